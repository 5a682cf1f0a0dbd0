"""Entries of the two lists: types, fields, parsing and validation.

``plans/<customer>`` sets the plan of a customer; ``allowances/<plan>`` sets the limits
and weights of a plan. Memory is in MiB, processors are cores.
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
NAME_RULE = "1 to 100 letters, digits, '.', '_' or '-', starting with a letter or digit"
KEY_RULE = "plans/<customer> or allowances/<plan>, where a name is " + NAME_RULE
MAX_ALIASES = 100

RawEntry = Mapping[str, Any]
RawLists = Mapping[str, RawEntry]
Problems = tuple[Problem, ...]


class Weights(NamedTuple):
    """Relative weights of the scheduling objectives; only their ratios matter."""

    tail_latency: float = 1.0
    evictions: float = 1.0
    throughput: float = 1.0


class Customer(NamedTuple):
    """A customer with its plan; customers with a higher priority are served first."""

    name: str
    plan: str
    aliases: tuple[str, ...] = ()
    priority: int = 0


class Allowance(NamedTuple):
    """Limits and weights of each customer of a plan.

    ``processors``, ``memory_mib`` and ``accelerators`` limit the resources that its
    batch tasks use at the same time, ``quota`` the number of its unfinished batch
    tasks. ``request_share`` is its weight in the admission of requests by an entry.
    ``service_aliases`` are pairs of an old service name and the current one; they apply
    to the callers of all plans.
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
    """Type of the value of a field."""

    NAME = "a name"
    NAMES = "names"
    PAIRS = "pairs of names"
    INTEGER = "a whole number"
    NUMBER = "a number"


class FieldRule(NamedTuple):
    """Type, default and bounds of a field; the bounds apply to numbers only."""

    kind: FieldKind
    default: Any = None
    minimum: float = 0.0
    maximum: float = 1e9

    @property
    def expected(self) -> str:
        """Description of a valid value."""
        match self.kind:
            case FieldKind.NAME:
                return NAME_RULE
            case FieldKind.NAMES:
                return f"at most {MAX_ALIASES} distinct names separated by commas"
            case FieldKind.PAIRS:
                return "pairs 'old name: service' separated by commas"
            case _:
                return f"{self.kind} from {self.minimum:g} to {self.maximum:g}"


FIELD_RULES: Mapping[str, Mapping[str, FieldRule]] = {
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
    """Parsed entries of both lists, by key."""

    entries: Mapping[str, ListEntry]

    def list_customers(self) -> Iterable[Customer]:
        """Return the customers."""
        return (e for e in self.entries.values() if isinstance(e, Customer))

    def list_allowances(self) -> Iterable[Allowance]:
        """Return the allowances."""
        return (e for e in self.entries.values() if isinstance(e, Allowance))


def parse_lists(raw: RawLists) -> Result[Lists, Problems]:
    """Parse and validate both lists; the failure has every error (``invalid_list``)."""
    entries: dict[str, ListEntry] = {}
    problems: list[Problem] = []
    for key, fields in raw.items():
        match parse_entry(key, fields, strict=True):
            case Success(entry):
                entries[key] = entry
            case Failure(found):
                problems.extend(found)
    # ``known`` includes invalid entries, so that references to them are no errors.
    problems.extend(check_references(Lists(entries), known=raw.keys()))
    if problems:
        return Failure(tuple(problems))
    return Success(Lists(entries))


def parse_entry(
    key: str, fields: RawEntry, strict: bool
) -> Result[ListEntry, Problems]:
    """Parse one entry; with ``strict``, unknown fields are errors.

    Records are parsed without ``strict``, so that readers of two releases agree on a
    change with a field that only the newer release knows.
    """
    section, name = split_key(key)
    rules = FIELD_RULES.get(section)
    if rules is None or not is_valid_name(name):
        return Failure((build_problem(key, "", f"key {key!r} is not valid", KEY_RULE),))
    problems: list[Problem] = []
    values = {field: rule.default for field, rule in rules.items()}
    for field, value in fields.items():
        rule = rules.get(field)
        if rule is None:
            if strict:
                expected = _suggest_name(field, rules)
                problems.append(build_problem(key, field, "unknown field", expected))
            continue
        typed_value = _validate_value(value, rule)
        if typed_value is None:
            detail = f"value {value!r} is not valid"
            problems.append(build_problem(key, field, detail, rule.expected))
        values[field] = typed_value
    if section == PLANS and "plan" not in fields:
        problems.append(build_problem(key, "plan", "field is missing", NAME_RULE))
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
        expected = "at least one of the three weights above 0"
        return Failure((build_problem(key, "weight_*", "all weights are 0", expected),))
    return Success(Allowance(name, weights=weights, **values))


def check_references(lists: Lists, known: Iterable[str]) -> list[Problem]:
    """Check the references between entries and the aliases; ``known`` has all keys."""
    return [
        *_check_plans(lists, frozenset(known)),
        *_check_customer_aliases(lists),
        *_check_service_aliases(lists),
    ]


def _check_plans(lists: Lists, known: frozenset[str]) -> Iterable[Problem]:
    plans = [split_key(key)[1] for key in known if key.startswith(ALLOWANCES + "/")]
    for customer in lists.list_customers():
        if f"{ALLOWANCES}/{customer.plan}" not in known:
            yield build_problem(
                f"{PLANS}/{customer.name}",
                "plan",
                f"plan {customer.plan!r} has no allowance",
                _suggest_name(customer.plan, sorted(plans))
                if plans
                else "an allowance",
            )


def _check_customer_aliases(lists: Lists) -> Iterable[Problem]:
    owners = {customer.name: customer.name for customer in lists.list_customers()}
    for customer in lists.list_customers():
        for alias in customer.aliases:
            owner = owners.setdefault(alias, customer.name)
            if owner != customer.name or alias == customer.name:
                yield build_problem(
                    f"{PLANS}/{customer.name}",
                    "aliases",
                    f"{alias!r} already refers to customer {owner!r}",
                    "an alias that is neither a customer nor another customer's alias",
                )


def _check_service_aliases(lists: Lists) -> Iterable[Problem]:
    service_by_alias: dict[str, str] = {}
    pairs = [
        (allowance.plan, alias, service)
        for allowance in lists.list_allowances()
        for alias, service in allowance.service_aliases
    ]
    for plan, alias, service in pairs:
        known_service = service_by_alias.setdefault(alias, service)
        if known_service != service:
            yield build_problem(
                f"{ALLOWANCES}/{plan}",
                "service_aliases",
                f"{alias!r} already refers to service {known_service!r}",
                "the same service for an alias in all plans",
            )
    for plan, _, service in pairs:
        if service in service_by_alias:
            yield build_problem(
                f"{ALLOWANCES}/{plan}",
                "service_aliases",
                f"service {service!r} is itself an alias",
                f"the service {service_by_alias[service]!r} or another name",
            )


def read_ini(text: str, source: str) -> Result[dict[str, dict[str, Any]], Problems]:
    """Parse the text of a lists file; the values of fields are not validated."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", delimiters=("=",)
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return Failure(
            (build_problem(source, "", str(error), "INI sections and keys"),)
        )
    return Success(
        {
            key: {
                field: _parse_text(key, field, value)
                for field, value in parser.items(key)
            }
            for key in parser.sections()
        }
    )


def write_ini(raw: RawLists) -> str:
    """Format lists as the text of a lists file."""
    lines: list[str] = []
    for key in sorted(raw):
        lines.append(f"[{key}]")
        lines += [f"{field} = {write_value(v)}" for field, v in raw[key].items()]
        lines.append("")
    return "\n".join(lines)


def write_value(value: Any) -> str:
    """Format the value of a field as in a lists file."""
    match value:
        case Mapping():
            return ", ".join(f"{alias}: {name}" for alias, name in value.items())
        case list() | tuple():
            return ", ".join(map(str, value))
        case float():
            return f"{value:.12g}"
        case _:
            return str(value)


def _parse_text(key: str, field: str, text: str) -> Any:
    """Parse the text of a field to the value in a record; invalid text is kept."""
    rule = FIELD_RULES.get(split_key(key)[0], {}).get(field)
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


def _validate_value(value: Any, rule: FieldRule) -> Any:
    """Return the value with the type of its field, or ``None`` if it is invalid."""
    match rule.kind:
        case FieldKind.NAME:
            return value if is_valid_name(value) else None
        case FieldKind.NAMES:
            return _validate_names(value)
        case FieldKind.PAIRS:
            return _validate_pairs(value)
        case FieldKind.INTEGER:
            is_valid = type(value) is int
        case FieldKind.NUMBER:
            is_valid = type(value) in (int, float) and math.isfinite(value)
    if not is_valid or not rule.minimum <= value <= rule.maximum:
        return None
    return float(value) if rule.kind is FieldKind.NUMBER else value


def _validate_names(value: Any) -> tuple[str, ...] | None:
    if not isinstance(value, list | tuple) or len(value) > MAX_ALIASES:
        return None
    if not all(map(is_valid_name, value)) or len(set(value)) < len(value):
        return None
    return tuple(value)


def _validate_pairs(value: Any) -> tuple[tuple[str, str], ...] | None:
    if not isinstance(value, Mapping) or len(value) > MAX_ALIASES:
        return None
    if not all(
        is_valid_name(a) and is_valid_name(s) and a != s for a, s in value.items()
    ):
        return None
    return tuple(sorted(value.items()))


def is_valid_name(value: Any) -> bool:
    """Return whether a value is a valid name of a customer, plan or service."""
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None


def split_key(key: str) -> tuple[str, str]:
    """Split a key into the name of the list and the name of the entry."""
    section, _, name = key.partition("/")
    return section, name


def build_problem(key: str, field: str, detail: str, expected: str) -> Problem:
    """Build the error of an entry, or of one of its fields if ``field`` is given."""
    where = f"[{key}] {field}" if field else f"[{key}]"
    return Problem(ErrorKind.INVALID_LIST, detail, where, expected)


def _suggest_name(name: str, known: Iterable[str]) -> str:
    names = list(known)
    close = difflib.get_close_matches(name, names, n=1)
    return f"did you mean {close[0]!r}?" if close else "one of " + ", ".join(names)
