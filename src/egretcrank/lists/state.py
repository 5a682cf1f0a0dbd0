"""The lists in force: folding of list changes in the order of the log."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.lists.entries import (
    ALLOWANCES,
    PLANS,
    Allowance,
    Customer,
    ListEntry,
    Lists,
    RawLists,
    check_relations,
    parse_entry,
)
from egretcrank.stream.reader import Verdict
from egretcrank.stream.records import ListChange, Record

# Authorities in rising order.
AUTHORITIES = ("operator", "founder")
KEPT_REPORTS = 200
# Removed keys are kept so that a change based on an older revision is found stale.
KEPT_REMOVED = 10_000
MAX_NAMED_PROBLEMS = 20
MAX_NAMED_KEYS = 50
MAX_TEXT_LENGTH = 2000


class Provenance(NamedTuple):
    """Which change set an entry; ``published_at`` is in seconds since 1970."""

    revision: int = 0
    offset: int = -1
    author: str = ""
    authority: str = ""
    reason: str = ""
    published_at: float = 0.0


class Override(NamedTuple):
    """An override that is in force on a key, present or removed."""

    authority: str
    provenance: Provenance


class ChangeReport(NamedTuple):
    """What became of a change; ``problem`` is empty if it was accepted."""

    provenance: Provenance
    base_revision: int
    override: bool
    set: tuple[str, ...]
    remove: tuple[str, ...]
    lift: tuple[str, ...]
    problem: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class _Body:
    """Everything that is folded, as in a snapshot."""

    revision: int = 0
    raw: dict[str, dict[str, Any]] = field(default_factory=dict)
    provenance: dict[str, Provenance] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    removed_floor: int = 0
    overrides: dict[str, Override] = field(default_factory=dict)
    reports: list[ChangeReport] = field(default_factory=list)


class ListsState:
    """Lists in force with their provenance; a ``Fold`` of the stream ``lists``.

    While both lists are empty (nothing was ever published, or all was removed) no
    customer is unknown: each name is a customer of its own on the plan with the empty
    name, whose allowance is the default of every field. As soon as either list has an
    entry, only the customers in ``plans`` are known.
    """

    def __init__(self) -> None:
        self._load(_Body(), {})

    @property
    def revision(self) -> int:
        """Number of changes accepted so far."""
        return self._revision

    @property
    def raw(self) -> RawLists:
        """The lists in force as they were published, by key."""
        return self._raw

    @property
    def reports(self) -> tuple[ChangeReport, ...]:
        """Recent changes, accepted and refused, oldest first."""
        return tuple(self._reports)

    @property
    def overrides(self) -> Mapping[str, Override]:
        """Overrides in force by key."""
        return self._overrides

    def find_provenance(self, key: str) -> Provenance | None:
        """Return which change set the entry ``key``."""
        return self._provenance.get(key)

    def find_customer(self, name: str) -> Result[Customer, Problem]:
        """Find a customer by name or alias; fail with ``unknown_customer``.

        With empty lists every name is a customer; see the class.
        """
        customer = self._customers.get(name)
        if customer is not None:
            return Success(customer)
        if not self._entries:
            return Success(Customer(name, ""))
        return Failure(
            Problem(
                ErrorKind.UNKNOWN_CUSTOMER,
                f"customer {name!r} is not in the lists",
                "Egretcrank-Customer",
                "the name or an alias of a customer in the lists",
            )
        )

    def find_service(self, name: str) -> str:
        """Return the service that an alias means; any other name means itself."""
        return self._services.get(name, name)

    def find_allowance(self, plan: str) -> Allowance:
        """Find the allowance of a plan; one that is not listed has the defaults.

        The plan of a listed customer always has an allowance.
        """
        entry = self._entries.get(f"{ALLOWANCES}/{plan}")
        return entry if isinstance(entry, Allowance) else Allowance(plan)

    def find_request_share(self, name: str) -> float:
        """Return the weight of a customer's requests; an unknown name has weight 1.

        HTTP threads call this beside the event loop; it reads each table once.
        """
        customer = self._customers.get(name)
        return self.find_allowance(customer.plan).request_share if customer else 1.0

    def apply(self, offset: int, record: Record) -> Verdict:
        """Apply a change as a whole.

        A change that is refused changes nothing but the history. It fails with
        ``overridden``, ``stale_base`` or ``invalid_list``, checked in this order.
        """
        if not isinstance(record, ListChange):
            return Failure(
                Problem(
                    ErrorKind.INVALID_RECORD,
                    f"{type(record).__name__} does not belong into this stream",
                    "kind",
                    "ListChange",
                )
            )
        verdict = self._check(record)
        problem = verdict.failure() if isinstance(verdict, Failure) else None
        if problem is None:
            self._revision += 1
        provenance = Provenance(
            self._revision,
            offset,
            record.author[:MAX_TEXT_LENGTH],
            record.authority[:MAX_TEXT_LENGTH],
            record.reason[:MAX_TEXT_LENGTH],
            record.published_at,
        )
        self._reports.append(_build_report(record, provenance, problem))
        if problem is not None:
            return Failure(problem)
        self._take_over(record, provenance, verdict.unwrap())
        return Success(None)

    def _check(self, change: ListChange) -> Result[Mapping[str, ListEntry], Problem]:
        problem = (
            _check_form(change)
            or self._check_overrides(change)
            or self._check_base(change)
            or self._check_presence(change)
        )
        if problem is not None:
            return Failure(problem)
        return self._build_entries(change)

    def _check_overrides(self, change: ListChange) -> Problem | None:
        rank = AUTHORITIES.index(change.authority)
        for key in _list_touched(change):
            override = self._overrides.get(key)
            if override and AUTHORITIES.index(override.authority) > rank:
                return Problem(
                    ErrorKind.OVERRIDDEN,
                    f"overridden in revision {override.provenance.revision} by"
                    f" {override.provenance.author} ({override.authority}):"
                    f" {override.provenance.reason}",
                    f"[{key}]",
                    f"a change that leaves the entry alone, or one by authority"
                    f" {override.authority}",
                )
        return None

    def _check_base(self, change: ListChange) -> Problem | None:
        base = change.base_revision
        if not 0 <= base <= self._revision:
            return Problem(
                ErrorKind.STALE_BASE,
                f"base revision {base} does not exist",
                "base_revision",
                f"a revision from 0 to {self._revision}",
            )
        for key in (*_list_touched(change), *_list_referred(change)):
            changed = self._find_changed(key)
            if changed > base:
                return Problem(
                    ErrorKind.STALE_BASE,
                    f"changed in revision {changed}, after base revision {base}",
                    f"[{key}]",
                    f"a change made from the lists of revision {changed} or later",
                )
        return None

    def _find_changed(self, key: str) -> int:
        if key in self._changed:
            return self._changed[key]
        return self._removed.get(key, self._removed_floor)

    def _check_presence(self, change: ListChange) -> Problem | None:
        for key in change.remove:
            if key not in self._raw:
                return _report_change(f"[{key}]", "entry is not in the lists")
        for key in change.lift:
            if key not in self._overrides:
                return _report_change(f"[{key}]", "entry is under no override")
        return None

    def _build_entries(
        self, change: ListChange
    ) -> Result[Mapping[str, ListEntry], Problem]:
        entries = {k: e for k, e in self._entries.items() if k not in change.remove}
        problems: list[Problem] = []
        for key in sorted(change.set):
            match parse_entry(key, change.set[key], strict=False):
                case Success(entry):
                    entries[key] = entry
                case Failure(found):
                    problems.extend(found)
        if not problems:
            problems = check_relations(Lists(entries), known=entries.keys())
        if problems:
            return Failure(join_problems(problems))
        return Success(entries)

    def _take_over(
        self,
        change: ListChange,
        provenance: Provenance,
        entries: Mapping[str, ListEntry],
    ) -> None:
        for key in sorted(change.set):
            self._raw[key] = dict(change.set[key])
            self._provenance[key] = provenance
            self._removed.pop(key, None)
        for key in change.remove:
            del self._raw[key]
            del self._provenance[key]
            self._changed.pop(key, None)
            self._removed[key] = provenance.revision
            self._removed.move_to_end(key)
        for key in _list_touched(change):
            if key in self._raw:
                self._changed[key] = provenance.revision
            else:
                self._removed[key] = provenance.revision
                self._removed.move_to_end(key)
        if change.override:
            for key in (*sorted(change.set), *change.remove):
                self._overrides[key] = Override(change.authority, provenance)
        for key in change.lift:
            del self._overrides[key]
        while len(self._removed) > KEPT_REMOVED:
            _, self._removed_floor = self._removed.popitem(last=False)
        self._index(entries)

    def _index(self, entries: Mapping[str, ListEntry]) -> None:
        self._entries = dict(entries)
        lists = Lists(self._entries)
        self._customers: dict[str, Customer] = {}
        for customer in lists.list_customers():
            for name in (customer.name, *customer.aliases):
                self._customers[name] = customer
        self._services = {
            alias: service
            for allowance in lists.list_allowances()
            for alias, service in allowance.service_aliases
        }

    def build_state(self) -> bytes:
        """Encode everything that is folded."""
        # JSON, because MessagePack has no whole numbers above 64 bits, and a field of
        # a newer release may hold any value of a record.
        return msgspec.json.encode(
            _Body(
                self._revision,
                self._raw,
                self._provenance,
                self._changed,
                self._removed,
                self._removed_floor,
                self._overrides,
                list(self._reports),
            )
        )

    def load_state(self, data: bytes) -> Verdict:
        """Replace everything by an encoded state; fail with ``invalid_record``."""
        try:
            body = msgspec.json.decode(data, type=_Body)
        except msgspec.MsgspecError as error:
            return _report_state(f"state of the lists is malformed: {error}")
        entries: dict[str, ListEntry] = {}
        for key, fields in body.raw.items():
            match parse_entry(key, fields, strict=False):
                case Success(entry):
                    entries[key] = entry
                case Failure(problems):
                    return _report_state(join_problems(problems).detail)
        if any(o.authority not in AUTHORITIES for o in body.overrides.values()):
            return _report_state("an override has an authority that is not known")
        if body.raw.keys() != body.provenance.keys():
            return _report_state("entries and their provenance differ")
        self._load(body, entries)
        return Success(None)

    def _load(self, body: _Body, entries: Mapping[str, ListEntry]) -> None:
        self._revision = body.revision
        self._raw = body.raw
        self._provenance = body.provenance
        self._changed = body.changed
        self._removed = OrderedDict(body.removed)
        self._removed_floor = body.removed_floor
        self._overrides: dict[str, Override] = body.overrides
        self._reports = deque(body.reports, KEPT_REPORTS)
        self._index(entries)


def join_problems(problems: Iterable[Problem]) -> Problem:
    """Join the errors of a change into one problem."""
    found = list(problems)
    lines = [
        f"{p.where}: {p.detail}, expected {p.expected}"
        for p in found[:MAX_NAMED_PROBLEMS]
    ]
    if len(found) > MAX_NAMED_PROBLEMS:
        lines.append(f"and {len(found) - MAX_NAMED_PROBLEMS} more")
    return Problem(
        ErrorKind.INVALID_LIST, "; ".join(lines), found[0].where, found[0].expected
    )


def _check_form(change: ListChange) -> Problem | None:
    touched = _list_touched(change)
    if change.authority not in AUTHORITIES:
        return _report_change(
            "authority",
            f"authority {change.authority!r} is not known",
            "one of " + ", ".join(AUTHORITIES),
        )
    if not change.author.strip() or not change.reason.strip():
        return _report_change("author, reason", "a value is empty", "text in both")
    if max(len(change.author), len(change.reason)) > MAX_TEXT_LENGTH:
        expected = f"at most {MAX_TEXT_LENGTH} characters in each"
        return _report_change("author, reason", "a value is too long", expected)
    if not touched:
        return _report_change("set, remove, lift", "change is empty", "a key")
    if len({*change.set, *change.remove}) < len(change.set) + len(change.remove):
        return _report_change("set, remove", "a key is named twice", "each key once")
    if len(set(change.lift)) < len(change.lift):
        return _report_change("lift", "a key is named twice", "each key once")
    if change.override and {*change.set, *change.remove} & {*change.lift}:
        return _report_change(
            "override, lift", "a key is overridden and lifted", "one of the two"
        )
    return None


def _list_touched(change: ListChange) -> tuple[str, ...]:
    return (*sorted(change.set), *change.remove, *change.lift)


def _list_referred(change: ListChange) -> tuple[str, ...]:
    """List the allowances that the set customers refer to and that are not set too."""
    return tuple(
        f"{ALLOWANCES}/{fields['plan']}"
        for key, fields in sorted(change.set.items())
        if key.startswith(PLANS + "/")
        and isinstance(fields.get("plan"), str)
        and f"{ALLOWANCES}/{fields['plan']}" not in change.set
    )


def _build_report(
    change: ListChange, provenance: Provenance, problem: Problem | None
) -> ChangeReport:
    return ChangeReport(
        provenance,
        change.base_revision,
        change.override,
        _shorten_keys(sorted(change.set)),
        _shorten_keys(change.remove),
        _shorten_keys(change.lift),
        problem.kind.value if problem else "",
        f"{problem.where} {problem.detail}"[:MAX_TEXT_LENGTH] if problem else "",
    )


def _shorten_keys(keys: Sequence[str]) -> tuple[str, ...]:
    """Bound what the history keeps of a change."""
    named = tuple(key[:MAX_TEXT_LENGTH] for key in keys[:MAX_NAMED_KEYS])
    if len(keys) > MAX_NAMED_KEYS:
        return (*named, f"and {len(keys) - MAX_NAMED_KEYS} more")
    return named


def _report_change(where: str, detail: str, expected: str = "") -> Problem:
    return Problem(
        ErrorKind.INVALID_LIST, detail, where, expected or "a key that is in the lists"
    )


def _report_state(detail: str) -> Verdict:
    return Failure(Problem(ErrorKind.INVALID_RECORD, detail, "state"))
