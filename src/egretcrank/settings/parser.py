"""Parser for INI settings files that reports all errors at once."""

import configparser
import dataclasses
import difflib
import ipaddress
import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.settings.schema import (
    ClusterSettings,
    EntrySettings,
    Kind,
    LogOutage,
    LogSettings,
    ProcessSettings,
    Rule,
    ServiceSettings,
    Settings,
    UpstreamSettings,
    WorkerSettings,
)

SectionT = TypeVar("SectionT")
ValueT = TypeVar("ValueT")

SERVICE_PREFIX = "service "
NO_ENVIRONMENT: Mapping[str, str] = {}
SECTIONS: Mapping[str, type[Any]] = {
    "process": ProcessSettings,
    "log": LogSettings,
    "cluster": ClusterSettings,
    "entry": EntrySettings,
    "upstream": UpstreamSettings,
    "worker": WorkerSettings,
}


def load_settings(path: Path, role: str) -> Result[Settings, tuple[Problem, ...]]:
    """Read the settings file of a process whose role is ``entry`` or ``sidecar``."""
    return read_text(path).bind(lambda text: parse_settings(text, str(path), role))


def read_text(path: Path) -> Result[str, tuple[Problem, ...]]:
    """Read a settings file."""
    try:
        return Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(
            (_build_problem(str(path), f"cannot be read: {error}", "a text file"),)
        )


def parse_settings(
    text: str, source: str, role: str
) -> Result[Settings, tuple[Problem, ...]]:
    """Parse and validate settings; a failure lists every error found."""
    return _parse(text, source, lambda reader: reader.read_all(role))


def parse_sections(
    text: str,
    source: str,
    sections: Mapping[str, type[Any]],
    environment: Mapping[str, str] = NO_ENVIRONMENT,
) -> Result[dict[str, Any], tuple[Problem, ...]]:
    """Parse settings with exactly the given sections, all of them required.

    Variables of ``environment`` replace the values of settings that name them.
    """
    return _parse(
        text, source, lambda reader: reader.read_sections(sections), environment
    )


def _parse(
    text: str,
    source: str,
    read: Callable[["_SettingsReader"], ValueT],
    environment: Mapping[str, str] = NO_ENVIRONMENT,
) -> Result[ValueT, tuple[Problem, ...]]:
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return Failure((_build_problem(source, str(error), "INI sections and keys"),))
    reader = _SettingsReader(parser, source, environment)
    value = read(reader)
    if reader.problems:
        return Failure(tuple(reader.problems))
    return Success(value)


def list_rules(section: type[Any]) -> dict[str, tuple[Rule, Any]]:
    """Return rule and default of each setting, also for the settings reference."""
    return {
        f.name: (f.metadata["rule"], f.default)
        for f in dataclasses.fields(section)
        if "rule" in f.metadata
    }


def _build_problem(where: str, detail: str, expected: str) -> Problem:
    return Problem(ErrorKind.INVALID_SETTINGS, detail, where, expected)


class _SettingsReader:
    """Reads the sections of a settings file and collects problems."""

    def __init__(
        self,
        parser: configparser.ConfigParser,
        source: str,
        environment: Mapping[str, str],
    ) -> None:
        self._parser = parser
        self._source = source
        self._environment = environment
        self.problems: list[Problem] = []

    def read_all(self, role: str) -> Settings:
        """Read all sections; those that the role requires must be present."""
        self._check_section_names()
        services = {
            name: self._read_service(name)
            for name in (
                s.removeprefix(SERVICE_PREFIX).strip()
                for s in self._parser.sections()
                if s.startswith(SERVICE_PREFIX)
            )
        }
        settings = Settings(
            process=self._read_section("process", ProcessSettings, True),
            log=self._read_section("log", LogSettings, True),
            cluster=self._read_section("cluster", ClusterSettings, True),
            entry=self._read_section("entry", EntrySettings, role == "entry"),
            upstream=self._read_section("upstream", UpstreamSettings, False),
            worker=self._read_section("worker", WorkerSettings, False),
            services=services,
        )
        self._check_relations(settings)
        return settings

    def read_sections(self, sections: Mapping[str, type[Any]]) -> dict[str, Any]:
        """Read the given sections, all of which must be present."""
        for section in self._parser.sections():
            if section not in sections:
                hint = _suggest(section, sorted(sections))
                self._add_problem(section, "", "unknown section", hint)
        return {
            name: self._read_section(name, kind, True)
            for name, kind in sections.items()
        }

    def _check_section_names(self) -> None:
        known = sorted(SECTIONS)
        for section in self._parser.sections():
            if section in SECTIONS or section.startswith(SERVICE_PREFIX):
                continue
            self._add_problem(section, "", "unknown section", _suggest(section, known))

    def _read_section(
        self, name: str, kind: type[SectionT], required: bool
    ) -> SectionT:
        if not self._parser.has_section(name):
            if required:
                self._add_problem(name, "", "section is missing", f"a section [{name}]")
            return kind()
        return kind(**self._read_values(name, kind))

    def _read_service(self, name: str) -> ServiceSettings:
        section = next(
            s
            for s in self._parser.sections()
            if s.startswith(SERVICE_PREFIX)
            and s.removeprefix(SERVICE_PREFIX).strip() == name
        )
        if not name:
            self._add_problem(section, "", "service has no name", "[service NAME]")
        values = self._read_values(section, ServiceSettings)
        values.setdefault("path", f"/{name}")
        return ServiceSettings(name, **values)

    def _read_values(self, section: str, kind: type[Any]) -> dict[str, Any]:
        rules = list_rules(kind)
        values: dict[str, Any] = {}
        for key, text in self._parser.items(section):
            if key not in rules:
                self._add_problem(
                    section, key, "unknown key", _suggest(key, list(rules))
                )
                continue
            self._read_value(section, key, text, rules[key][0], values)
        for key, (rule, _) in rules.items():
            text = self._environment.get(rule.environment, "").strip()
            if rule.environment and text:
                self._read_value(section, key, text, rule, values)
            if rule.required and not self._parser.has_option(section, key):
                self._add_problem(section, key, "key is missing", _describe_rule(rule))
        return values

    def _read_value(
        self, section: str, key: str, text: str, rule: Rule, values: dict[str, Any]
    ) -> None:
        match _parse_and_check(text.strip(), rule):
            case Success(value):
                values[key] = value
            case Failure(expected):
                self._add_problem(section, key, f"value {text!r} is invalid", expected)

    def _check_relations(self, settings: Settings) -> None:
        cluster = settings.cluster
        if cluster.suspect_seconds >= cluster.dead_seconds:
            self._add_problem(
                "cluster",
                "suspect_seconds",
                "is not below dead_seconds",
                "a value below dead_seconds",
            )
        if cluster.announce_seconds * 2 > cluster.suspect_seconds:
            self._add_problem(
                "cluster",
                "announce_seconds",
                "is above half of suspect_seconds",
                "at most half of suspect_seconds, to tolerate one lost message",
            )
        if cluster.shards > cluster.partitions:
            self._add_problem(
                "cluster", "shards", "is above partitions", "at most partitions"
            )
        for service in settings.upstream.services:
            if service not in settings.services:
                self._add_problem(
                    "upstream",
                    "services",
                    f"service {service!r} has no section",
                    f"a section [service {service}]",
                )

    def _add_problem(self, section: str, key: str, detail: str, expected: str) -> None:
        where = f"{self._source} [{section}]" + (f" {key}" if key else "")
        self.problems.append(_build_problem(where, detail, expected))


def _suggest(name: str, known: list[str]) -> str:
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return "one of " + ", ".join(known)


def _describe_rule(rule: Rule) -> str:
    match rule.kind:
        case Kind.INTEGER | Kind.NUMBER | Kind.SECONDS:
            return f"{rule.kind} from {rule.minimum:g} to {rule.maximum:g}"
        case Kind.ADDRESS:
            return "an IP address and a port, as in 127.0.0.1:7000"
        case Kind.ADDRESSES:
            return "IP addresses with ports, separated by commas"
        case Kind.BOOLEAN:
            return "yes or no"
        case Kind.NAMES:
            return "names separated by commas"
        case _:
            return str(rule.kind)


def _parse_and_check(text: str, rule: Rule) -> Result[Any, str]:
    value = _parse_value(text, rule.kind)
    if value is None:
        return Failure(_describe_rule(rule))
    if isinstance(value, timedelta):
        number = value.total_seconds()
    elif isinstance(value, int | float):
        number = value
    else:
        return Success(value)
    if not rule.minimum <= number <= rule.maximum:
        return Failure(_describe_rule(rule))
    return Success(value)


def _parse_value(text: str, kind: Kind) -> Any:
    match kind:
        case Kind.TEXT:
            return text or None
        case Kind.ADDRESS:
            return text if _is_address(text) else None
        case Kind.ADDRESSES:
            parts = _split_list(text)
            return parts if parts and all(map(_is_address, parts)) else None
        case Kind.NAMES:
            return _split_list(text)
        case Kind.BOOLEAN:
            return configparser.ConfigParser.BOOLEAN_STATES.get(text.lower())
        case Kind.LOG_OUTAGE:
            return next((o for o in LogOutage if o.value == text), None)
        case Kind.INTEGER:
            return _parse_integer(text)
        case Kind.NUMBER:
            return _parse_number(text)
        case Kind.SECONDS:
            number = _parse_number(text)
            return None if number is None else timedelta(seconds=number)


def _split_list(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


def _parse_integer(text: str) -> int | None:
    try:
        return int(text)
    except ValueError:
        return None


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and abs(number) <= 1e12 else None


def _is_address(text: str) -> bool:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True
