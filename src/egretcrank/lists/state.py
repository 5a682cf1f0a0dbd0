"""The lists in force: a state machine that applies list changes in log order."""

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
    check_references,
    parse_entry,
)
from egretcrank.stream.reader import Verdict
from egretcrank.stream.records import ListChange, Record
from egretcrank.wire.nesting import DECODE_ERRORS

# Authorities in ascending order.
AUTHORITIES = ("operator", "founder")
MAX_REPORTS = 200
# Removed keys are tracked to detect changes that are based on an older revision.
MAX_TRACKED_REMOVALS = 10_000
MAX_LISTED_PROBLEMS = 20
MAX_LISTED_KEYS = 50
MAX_TEXT_LENGTH = 2000


class Provenance(NamedTuple):
    """The change that last set an entry; ``published_at`` is in seconds since 1970."""

    revision: int = 0
    offset: int = -1
    author: str = ""
    authority: str = ""
    reason: str = ""
    published_at: float = 0.0


class Override(NamedTuple):
    """An override in force for a key, whether its entry is present or removed.

    Changes of the key by a lower authority are rejected.
    """

    authority: str
    provenance: Provenance


class ChangeReport(NamedTuple):
    """Result of a change; ``problem`` is empty if the change was accepted."""

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
    """The entire state as it is stored in snapshots.

    ``changed`` and ``removed`` are the revisions of the last change by key, and
    ``removed_floor`` is the highest revision of the removals that are not tracked any
    more.
    """

    revision: int = 0
    raw: dict[str, dict[str, Any]] = field(default_factory=dict)
    provenance: dict[str, Provenance] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    removed_floor: int = 0
    overrides: dict[str, Override] = field(default_factory=dict)
    reports: list[ChangeReport] = field(default_factory=list)


class ListsState:
    """Lists in force with their provenance; the ``StateMachine`` of stream ``lists``.

    While both lists are empty (nothing was published yet, or all entries were removed),
    every name is a valid customer on the plan with the empty name, whose allowance has
    the default of every field. Once either list has an entry, only the customers in
    ``plans`` are known.
    """

    def __init__(self) -> None:
        self._restore(_Body(), {})

    @property
    def revision(self) -> int:
        """Number of changes accepted so far."""
        return self._revision

    @property
    def raw(self) -> RawLists:
        """The fields of the entries in force as they were published, by key."""
        return self._raw

    @property
    def reports(self) -> tuple[ChangeReport, ...]:
        """Recent changes, accepted and rejected, oldest first."""
        return tuple(self._reports)

    @property
    def overrides(self) -> Mapping[str, Override]:
        """Overrides in force, by key."""
        return self._overrides

    def find_provenance(self, key: str) -> Provenance | None:
        """Return the change that last set the entry ``key``."""
        return self._provenance.get(key)

    def find_customer(self, name: str) -> Result[Customer, Problem]:
        """Find a customer by name or alias; fail with ``unknown_customer``.

        While the lists are empty, every name is a customer.
        """
        customer = self._customer_by_name.get(name)
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
        """Resolve a service alias; other names are returned unchanged."""
        return self._service_by_alias.get(name, name)

    def find_allowance(self, plan: str) -> Allowance:
        """Find the allowance of a plan; return the defaults if it has no entry.

        The plan of a customer in the lists always has one.
        """
        entry = self._entries.get(f"{ALLOWANCES}/{plan}")
        return entry if isinstance(entry, Allowance) else Allowance(plan)

    def find_request_share(self, name: str) -> float:
        """Return the weight of a customer's requests; an unknown name has weight 1.

        Called by HTTP threads while the event loop may replace the tables, so each
        table is read only once.
        """
        customer = self._customer_by_name.get(name)
        return self.find_allowance(customer.plan).request_share if customer else 1.0

    def apply(self, offset: int, record: Record) -> Verdict:
        """Apply a change atomically.

        A rejected change is added to the history and has no other effect. Checks in
        this order the form of the change (``invalid_list``), overrides
        (``overridden``), the base revision (``stale_base``), and whether the keys to
        remove or lift exist and the resulting lists are valid (``invalid_list``).
        """
        if not isinstance(record, ListChange):
            return Failure(
                Problem(
                    ErrorKind.INVALID_RECORD,
                    f"{type(record).__name__} is not a record of this stream",
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
        self._accept_change(record, provenance, verdict.unwrap())
        return Success(None)

    def _check(self, change: ListChange) -> Result[Mapping[str, ListEntry], Problem]:
        problem = (
            _check_structure(change)
            or self._check_overrides(change)
            or self._check_base(change)
            or self._check_presence(change)
        )
        if problem is not None:
            return Failure(problem)
        return self._build_entries(change)

    def _check_overrides(self, change: ListChange) -> Problem | None:
        rank = AUTHORITIES.index(change.authority)
        for key in _list_affected_keys(change):
            override = self._overrides.get(key)
            if override and AUTHORITIES.index(override.authority) > rank:
                return Problem(
                    ErrorKind.OVERRIDDEN,
                    f"overridden in revision {override.provenance.revision} by"
                    f" {override.provenance.author} ({override.authority}):"
                    f" {override.provenance.reason}",
                    f"[{key}]",
                    f"a change that does not affect the entry, or one with authority"
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
        for key in (*_list_affected_keys(change), *_list_referenced_keys(change)):
            changed = self._find_last_change(key)
            if changed > base:
                return Problem(
                    ErrorKind.STALE_BASE,
                    f"changed in revision {changed}, after base revision {base}",
                    f"[{key}]",
                    f"a change based on revision {changed} or later",
                )
        return None

    def _find_last_change(self, key: str) -> int:
        if key in self._changed:
            return self._changed[key]
        return self._removed.get(key, self._removed_floor)

    def _check_presence(self, change: ListChange) -> Problem | None:
        for key in change.remove:
            if key not in self._raw:
                return _build_change_problem(f"[{key}]", "entry is not in the lists")
        for key in change.lift:
            if key not in self._overrides:
                return _build_change_problem(f"[{key}]", "entry is not overridden")
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
            problems = check_references(Lists(entries), known=entries.keys())
        if problems:
            return Failure(join_problems(problems))
        return Success(entries)

    def _accept_change(
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
        for key in _list_affected_keys(change):
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
        while len(self._removed) > MAX_TRACKED_REMOVALS:
            _, self._removed_floor = self._removed.popitem(last=False)
        self._build_indexes(entries)

    def _build_indexes(self, entries: Mapping[str, ListEntry]) -> None:
        self._entries = dict(entries)
        lists = Lists(self._entries)
        self._customer_by_name: dict[str, Customer] = {}
        for customer in lists.list_customers():
            for name in (customer.name, *customer.aliases):
                self._customer_by_name[name] = customer
        self._service_by_alias = {
            alias: service
            for allowance in lists.list_allowances()
            for alias, service in allowance.service_aliases
        }

    def build_state(self) -> bytes:
        """Encode the entire state."""
        # JSON, because MessagePack has no integers above 64 bits, and an unknown field
        # of a newer release may have any value that a record can have.
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
        """Replace the state by an encoded one; fail with ``invalid_record``."""
        try:
            body = msgspec.json.decode(data, type=_Body)
        except DECODE_ERRORS as error:
            return _build_state_failure(f"state of the lists is malformed: {error}")
        entries: dict[str, ListEntry] = {}
        for key, fields in body.raw.items():
            match parse_entry(key, fields, strict=False):
                case Success(entry):
                    entries[key] = entry
                case Failure(problems):
                    return _build_state_failure(join_problems(problems).detail)
        if any(o.authority not in AUTHORITIES for o in body.overrides.values()):
            return _build_state_failure("an override has an unknown authority")
        if body.raw.keys() != body.provenance.keys():
            return _build_state_failure("entries and provenance have different keys")
        self._restore(body, entries)
        return Success(None)

    def _restore(self, body: _Body, entries: Mapping[str, ListEntry]) -> None:
        self._revision = body.revision
        self._raw = body.raw
        self._provenance = body.provenance
        self._changed = body.changed
        self._removed = OrderedDict(body.removed)
        self._removed_floor = body.removed_floor
        self._overrides: dict[str, Override] = body.overrides
        self._reports = deque(body.reports, MAX_REPORTS)
        self._build_indexes(entries)


def join_problems(problems: Iterable[Problem]) -> Problem:
    """Combine the errors of a change into one."""
    found = list(problems)
    lines = [
        f"{p.where}: {p.detail}, expected {p.expected}"
        for p in found[:MAX_LISTED_PROBLEMS]
    ]
    if len(found) > MAX_LISTED_PROBLEMS:
        lines.append(f"and {len(found) - MAX_LISTED_PROBLEMS} more")
    return Problem(
        ErrorKind.INVALID_LIST, "; ".join(lines), found[0].where, found[0].expected
    )


def _check_structure(change: ListChange) -> Problem | None:
    affected_keys = _list_affected_keys(change)
    if change.authority not in AUTHORITIES:
        return _build_change_problem(
            "authority",
            f"authority {change.authority!r} is not known",
            "one of " + ", ".join(AUTHORITIES),
        )
    if not change.author.strip() or not change.reason.strip():
        return _build_change_problem(
            "author, reason", "a value is empty", "non-empty text in both"
        )
    if max(len(change.author), len(change.reason)) > MAX_TEXT_LENGTH:
        expected = f"at most {MAX_TEXT_LENGTH} characters in each"
        return _build_change_problem("author, reason", "a value is too long", expected)
    if not affected_keys:
        return _build_change_problem("set, remove, lift", "change is empty", "a key")
    if len({*change.set, *change.remove}) < len(change.set) + len(change.remove):
        return _build_change_problem(
            "set, remove", "a key is listed twice", "each key once"
        )
    if len(set(change.lift)) < len(change.lift):
        return _build_change_problem("lift", "a key is listed twice", "each key once")
    if change.override and {*change.set, *change.remove} & {*change.lift}:
        return _build_change_problem(
            "override, lift", "a key is overridden and lifted", "one of the two"
        )
    return None


def _list_affected_keys(change: ListChange) -> tuple[str, ...]:
    return (*sorted(change.set), *change.remove, *change.lift)


def _list_referenced_keys(change: ListChange) -> tuple[str, ...]:
    """List the allowances that a change refers to without setting them."""
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
        _truncate_keys(sorted(change.set)),
        _truncate_keys(change.remove),
        _truncate_keys(change.lift),
        problem.kind.value if problem else "",
        f"{problem.where} {problem.detail}"[:MAX_TEXT_LENGTH] if problem else "",
    )


def _truncate_keys(keys: Sequence[str]) -> tuple[str, ...]:
    """Limit the number and length of the keys that the history keeps of a change."""
    listed_keys = tuple(key[:MAX_TEXT_LENGTH] for key in keys[:MAX_LISTED_KEYS])
    if len(keys) > MAX_LISTED_KEYS:
        return (*listed_keys, f"and {len(keys) - MAX_LISTED_KEYS} more")
    return listed_keys


def _build_change_problem(where: str, detail: str, expected: str = "") -> Problem:
    return Problem(
        ErrorKind.INVALID_LIST, detail, where, expected or "a key that is in the lists"
    )


def _build_state_failure(detail: str) -> Verdict:
    return Failure(Problem(ErrorKind.INVALID_RECORD, detail, "state"))
