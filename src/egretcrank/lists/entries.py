"""Entries of the two lists: types, fields, and validation of the lists as a whole.

``plans/<customer>`` says which plan a customer has; ``allowances/<plan>`` says what a
plan allows. Memory is in MiB, processors are cores.
"""

import configparser
import difflib
import math
import re
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem

PLANS = "plans"
ALLOWANCES = "allowances"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
NAME_RULE = "1 to 100 letters, digits, '.', '_' or '-', first a letter or digit"
KEY_RULE = "plans/<customer> or allowances/<plan>, a name being " + NAME_RULE
MAX_ALIASES = 100

RawEntry = Mapping[str, Any]
RawLists = Mapping[str, RawEntry]
Problems = tuple[Problem, ...]


class Weights(NamedTuple):
    """Relative weights of the measures; only their ratios matter."""

    tail_latency: float = 1.0
    evictions: float = 1.0
    throughput: float = 1.0


class Customer(NamedTuple):
    """A customer with its plan; a higher priority goes first."""

    name: str
    plan: str
    aliases: tuple[str, ...] = ()
    priority: int = 0


class Allowance(NamedTuple):
    """What each customer of a plan may use.

    ``processors``, ``memory_mib`` and ``accelerators`` limit what its batch tasks hold
    at once, ``quota`` its unfinished batch tasks. ``request_share`` is its weight
    among the requests of an entry. ``service_aliases`` are pairs of an old service
    name and the service that it now means, for the callers of all plans.
    """

    plan: str
    processors: float = 1e6
    memory_mib: float = 1e9
    accelerators: float = 1e6
    request_share: float = 1.0
    quota: int = 1_000_000
    weights: Weights = Weights()
    service_aliases: tuple[tuple[str, str], ...] = ()


ListEntry = Customer | Allowance


class FieldKind(StrEnum):
    """How the value of a field is read."""

    NAME = "a name"
    NAMES = "names"
    PAIRS = "pairs of names"
    INTEGER = "a whole number"
    NUMBER = "a number"


class FieldRule(NamedTuple):
    """What is valid for a field; bounds apply to numbers."""

    kind: FieldKind
    default: Any = None
    minimum: float = 0.0
    maximum: float = 1e9

    @property
    def expected(self) -> str:
        """Describe a valid value."""
        match self.kind:
            case FieldKind.NAME:
                return NAME_RULE
            case FieldKind.NAMES:
                return f"at most {MAX_ALIASES} different names separated by commas"
            case FieldKind.PAIRS:
                return "pairs 'old name: service' separated by commas"
            case _:
                return f"{self.kind} from {self.minimum:g} to {self.maximum:g}"


FIELDS: Mapping[str, Mapping[str, FieldRule]] = {
    PLANS: {
        "plan": FieldRule(FieldKind.NAME),
        "aliases": FieldRule(FieldKind.NAMES, ()),
        "priority": FieldRule(FieldKind.INTEGER, 0, maximum=100),
    },
    ALLOWANCES: {
        "processors": FieldRule(FieldKind.NUMBER, 1e6, maximum=1e6),
        "memory_mib": FieldRule(FieldKind.NUMBER, 1e9),
        "accelerators": FieldRule(FieldKind.NUMBER, 1e6, maximum=1e6),
        "request_share": FieldRule(FieldKind.NUMBER, 1.0, 0.001, 1000),
        "quota": FieldRule(FieldKind.INTEGER, 1_000_000, maximum=1_000_000),
        "weight_tail_latency": FieldRule(FieldKind.NUMBER, 1.0, maximum=1000),
        "weight_evictions": FieldRule(FieldKind.NUMBER, 1.0, maximum=1000),
        "weight_throughput": FieldRule(FieldKind.NUMBER, 1.0, maximum=1000),
        "service_aliases": FieldRule(FieldKind.PAIRS, ()),
    },
}


class Lists(NamedTuple):
    """Both lists, typed, by key."""

    entries: Mapping[str, ListEntry]

    def list_customers(self) -> Iterable[Customer]:
        """Return the customers."""
        return (e for e in self.entries.values() if isinstance(e, Customer))

    def list_allowances(self) -> Iterable[Allowance]:
        """Return the allowances."""
        return (e for e in self.entries.values() if isinstance(e, Allowance))


def parse_lists(raw: RawLists) -> Result[Lists, Problems]:
    """Check both lists as a whole; the failure lists every error (``invalid_list``)."""
    entries: dict[str, ListEntry] = {}
    problems: list[Problem] = []
    for key, fields in raw.items():
        match parse_entry(key, fields, strict=True):
            case Success(entry):
                entries[key] = entry
            case Failure(found):
                problems.extend(found)
    # An entry with an error of its own must not cause more errors elsewhere.
    problems.extend(check_relations(Lists(entries), known=raw.keys()))
    if problems:
        return Failure(tuple(problems))
    return Success(Lists(entries))


def parse_entry(
    key: str, fields: RawEntry, strict: bool
) -> Result[ListEntry, Problems]:
    """Check one entry; ``strict`` refuses fields that this release does not know.

    Records are not checked strictly, so that readers of two releases agree on a change
    that has a field which only the newer release knows.
    """
    section, name = split_key(key)
    rules = FIELDS.get(section)
    if rules is None or not is_name(name):
        return Failure((report(key, "", f"key {key!r} is not valid", KEY_RULE),))
    problems: list[Problem] = []
    values = {field: rule.default for field, rule in rules.items()}
    for field, value in fields.items():
        rule = rules.get(field)
        if rule is None:
            if strict:
                expected = _suggest(field, rules)
                problems.append(report(key, field, "field is not known", expected))
            continue
        read = _read_value(value, rule)
        if read is None:
            detail = f"value {value!r} is not valid"
            problems.append(report(key, field, detail, rule.expected))
        values[field] = read
    if section == PLANS and "plan" not in fields:
        problems.append(report(key, "plan", "field is missing", NAME_RULE))
    if problems:
        return Failure(tuple(problems))
    return _build_entry(key, name, values)


def _build_entry(
    key: str, name: str, values: dict[str, Any]
) -> Result[ListEntry, Problems]:
    if split_key(key)[0] == PLANS:
        return Success(Customer(name, **values))
    weights = Weights(
        values.pop("weight_tail_latency"),
        values.pop("weight_evictions"),
        values.pop("weight_throughput"),
    )
    if not any(weights):
        expected = "a weight above 0 in at least one of the three"
        return Failure((report(key, "weight_*", "all weights are 0", expected),))
    return Success(Allowance(name, weights=weights, **values))


def check_relations(lists: Lists, known: Iterable[str]) -> list[Problem]:
    """Check references and aliases between entries; ``known`` has all keys."""
    return [
        *_check_plans(lists, frozenset(known)),
        *_check_customer_aliases(lists),
        *_check_service_aliases(lists),
    ]


def _check_plans(lists: Lists, known: frozenset[str]) -> Iterable[Problem]:
    plans = [split_key(key)[1] for key in known if key.startswith(ALLOWANCES + "/")]
    for customer in lists.list_customers():
        if f"{ALLOWANCES}/{customer.plan}" not in known:
            yield report(
                f"{PLANS}/{customer.name}",
                "plan",
                f"plan {customer.plan!r} has no allowance",
                _suggest(customer.plan, sorted(plans)) if plans else "an allowance",
            )


def _check_customer_aliases(lists: Lists) -> Iterable[Problem]:
    owners = {customer.name: customer.name for customer in lists.list_customers()}
    for customer in lists.list_customers():
        for alias in customer.aliases:
            owner = owners.setdefault(alias, customer.name)
            if owner != customer.name or alias == customer.name:
                yield report(
                    f"{PLANS}/{customer.name}",
                    "aliases",
                    f"{alias!r} already means customer {owner!r}",
                    "an alias that is no customer's name and no other's alias",
                )


def _check_service_aliases(lists: Lists) -> Iterable[Problem]:
    meanings: dict[str, str] = {}
    pairs = [
        (allowance.plan, alias, service)
        for allowance in lists.list_allowances()
        for alias, service in allowance.service_aliases
    ]
    for plan, alias, service in pairs:
        meaning = meanings.setdefault(alias, service)
        if meaning != service:
            yield report(
                f"{ALLOWANCES}/{plan}",
                "service_aliases",
                f"{alias!r} already means service {meaning!r}",
                "one meaning for an alias in all plans",
            )
    for plan, _, service in pairs:
        if service in meanings:
            yield report(
                f"{ALLOWANCES}/{plan}",
                "service_aliases",
                f"service {service!r} is itself an alias",
                f"the service {meanings[service]!r} or another name",
            )


def read_ini(text: str, source: str) -> Result[dict[str, dict[str, Any]], Problems]:
    """Read a lists file; values are still unchecked unless they are not numbers."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", delimiters=("=",)
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return Failure((report(source, "", str(error), "INI sections and keys"),))
    return Success(
        {
            key: {
                field: _read_text(key, field, value)
                for field, value in parser.items(key)
            }
            for key in parser.sections()
        }
    )


def write_ini(raw: RawLists) -> str:
    """Write lists as the text of a lists file."""
    lines: list[str] = []
    for key in sorted(raw):
        lines.append(f"[{key}]")
        lines += [f"{field} = {write_value(v)}" for field, v in raw[key].items()]
        lines.append("")
    return "\n".join(lines)


def write_value(value: Any) -> str:
    """Write the value of a field as in a lists file."""
    match value:
        case Mapping():
            return ", ".join(f"{alias}: {name}" for alias, name in value.items())
        case list() | tuple():
            return ", ".join(map(str, value))
        case float():
            return f"{value:.12g}"
        case _:
            return str(value)


def _read_text(key: str, field: str, text: str) -> Any:
    """Turn text into the value that a record has; what cannot be read stays text."""
    rule = FIELDS.get(split_key(key)[0], {}).get(field)
    parts = [part.strip() for part in text.split(",") if part.strip()]
    try:
        match rule and rule.kind:
            case FieldKind.INTEGER:
                return int(text)
            case FieldKind.NUMBER:
                return float(text)
            case FieldKind.NAMES:
                return parts
            case FieldKind.PAIRS:
                pairs = [part.partition(":") for part in parts]
                names = {alias.strip(): name.strip() for alias, _, name in pairs}
                return names if len(names) == len(pairs) else text
    except ValueError:
        return text
    return text


def _read_value(value: Any, rule: FieldRule) -> Any:
    """Return the typed value, or nothing if it is not valid."""
    match rule.kind:
        case FieldKind.NAME:
            return value if is_name(value) else None
        case FieldKind.NAMES:
            return _read_names(value)
        case FieldKind.PAIRS:
            return _read_pairs(value)
        case FieldKind.INTEGER:
            is_valid = type(value) is int
        case FieldKind.NUMBER:
            is_valid = type(value) in (int, float) and math.isfinite(value)
    if not is_valid or not rule.minimum <= value <= rule.maximum:
        return None
    return float(value) if rule.kind is FieldKind.NUMBER else value


def _read_names(value: Any) -> tuple[str, ...] | None:
    if not isinstance(value, list | tuple) or len(value) > MAX_ALIASES:
        return None
    if not all(map(is_name, value)) or len(set(value)) < len(value):
        return None
    return tuple(value)


def _read_pairs(value: Any) -> tuple[tuple[str, str], ...] | None:
    if not isinstance(value, Mapping) or len(value) > MAX_ALIASES:
        return None
    if not all(is_name(a) and is_name(s) and a != s for a, s in value.items()):
        return None
    return tuple(sorted(value.items()))


def is_name(value: Any) -> bool:
    """Tell whether a value is a valid name of a customer, plan or service."""
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None


def split_key(key: str) -> tuple[str, str]:
    """Split a key into the list and the name of the entry."""
    section, _, name = key.partition("/")
    return section, name


def report(key: str, field: str, detail: str, expected: str) -> Problem:
    """Build the problem of an invalid field of an entry."""
    where = f"[{key}] {field}" if field else f"[{key}]"
    return Problem(ErrorKind.INVALID_LIST, detail, where, expected)


def _suggest(name: str, known: Iterable[str]) -> str:
    names = list(known)
    close = difflib.get_close_matches(name, names, n=1)
    return f"did you mean {close[0]!r}?" if close else "one of " + ", ".join(names)
