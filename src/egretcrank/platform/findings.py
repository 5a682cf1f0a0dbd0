"""Entries and limits of a valid configuration that do not do what they seem to do.

Controllers accept such a configuration.
"""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from itertools import islice
from typing import NamedTuple

from egretcrank.errors.kinds import Problem
from egretcrank.platform.manifest import Manifest
from egretcrank.scheduling.catalog import Queue
from egretcrank.wire.bounds import MAX_LOGGED_CHARACTERS

# Findings that are listed of one configuration; 10 MB can hold millions.
MAX_LISTED_FINDINGS = 1000


class FindingKind(StrEnum):
    """Kinds of findings; ``INVALID`` ones make controllers reject a configuration."""

    INVALID = "invalid"
    DUPLICATE_NAME = "duplicate_name"
    HIDDEN_QUEUE = "hidden_queue"
    UNREACHABLE_QUEUE = "unreachable_queue"
    UNKNOWN_SERVICE = "unknown_service"
    UNUSED_SERVICE = "unused_service"
    LIMIT = "limit"
    VERSION = "version"


class Finding(NamedTuple):
    """A finding with its location and what would have none."""

    kind: FindingKind
    where: str
    detail: str
    expected: str


def build_invalid(problem: Problem) -> Finding:
    """Build the finding of an error of the parser."""
    return Finding(FindingKind.INVALID, problem.where, problem.detail, problem.expected)


def find_findings(manifest: Manifest) -> tuple[Finding, ...]:
    """Return the findings of a configuration, up to MAX_LISTED_FINDINGS."""
    return tuple(islice(_find_all(manifest), MAX_LISTED_FINDINGS))


def shorten_text(text: str) -> str:
    """Return the start of a text, in quotation marks and on one line."""
    return repr(text[:MAX_LOGGED_CHARACTERS])


def _find_all(manifest: Manifest) -> Iterator[Finding]:
    if manifest.version == 0:
        yield Finding(
            FindingKind.VERSION,
            "version",
            "controllers ignore version 0",
            "a whole number from 1",
        )
    yield from _find_duplicates("routes", (queue.name for queue in manifest.queues))
    yield from _find_duplicates("services", (s.name for s in manifest.services))
    yield from _find_hidden_queues(manifest.queues)
    services = {service.name for service in manifest.services}
    for number, queue in enumerate(manifest.queues):
        where = f"routes[{number}]"
        yield from _find_mismatches(queue, where)
        if queue.service not in services:
            yield Finding(
                FindingKind.UNKNOWN_SERVICE,
                f"{where}.service",
                f"queue {shorten_text(queue.name)} has the service"
                f" {shorten_text(queue.service)}, which is not listed",
                "the name of an entry of services",
            )
        yield from _find_odd_limits(queue, where)
    used = {queue.service for queue in manifest.queues}
    for number, service in enumerate(manifest.services):
        if service.name not in used:
            yield Finding(
                FindingKind.UNUSED_SERVICE,
                f"services[{number}]",
                f"no queue has the service {shorten_text(service.name)}",
                "a service that a queue names",
            )


def _find_duplicates(entries: str, names: Iterable[str]) -> Iterator[Finding]:
    numbers: dict[str, int] = {}
    for number, name in enumerate(names):
        if name in numbers:
            yield Finding(
                FindingKind.DUPLICATE_NAME,
                f"{entries}[{numbers[name]}].name",
                f"{entries}[{number}] has the name {shorten_text(name)} as well and"
                " replaces this entry",
                "names that differ",
            )
        numbers[name] = number


def _find_hidden_queues(queues: Iterable[Queue]) -> Iterator[Finding]:
    # An entry that is replaced leaves its place in the order to the last of its name.
    newest = {queue.name: (number, queue) for number, queue in enumerate(queues)}
    first: dict[tuple[str, str], int] = {}
    for number, queue in newest.values():
        other = first.setdefault((queue.host, queue.path_prefix), number)
        if other != number:
            yield Finding(
                FindingKind.HIDDEN_QUEUE,
                f"routes[{number}].path_prefix",
                f"queue {shorten_text(queue.name)} gets no requests, as routes[{other}]"
                " has the same host and prefix",
                "a prefix that no other queue of the host has",
            )


def _find_mismatches(queue: Queue, where: str) -> Iterator[Finding]:
    name = shorten_text(queue.name)
    if ":" in queue.host:
        yield Finding(
            FindingKind.UNREACHABLE_QUEUE,
            f"{where}.host",
            f"queue {name} gets no requests, as their host is compared without a port",
            "a host name without a port",
        )
    if queue.path_prefix and not queue.path_prefix.startswith("/"):
        yield Finding(
            FindingKind.UNREACHABLE_QUEUE,
            f"{where}.path_prefix",
            f"queue {name} gets no requests, as their paths begin with /",
            "a prefix that begins with /",
        )


def _find_odd_limits(queue: Queue, where: str) -> Iterator[Finding]:
    name = shorten_text(queue.name)
    if queue.max_attempts < 1:
        yield Finding(
            FindingKind.LIMIT,
            f"{where}.max_attempts",
            f"queue {name} has {queue.max_attempts} attempts, which count as 1",
            "a whole number from 1",
        )
    if queue.stretch < 1:
        yield Finding(
            FindingKind.LIMIT,
            f"{where}.stretch",
            f"queue {name} has a stretch of {queue.stretch:g}, less time than the"
            " longest chain of a job takes",
            "a number from 1",
        )
    if queue.priority < 0:
        yield Finding(
            FindingKind.LIMIT,
            f"{where}.priority",
            f"queue {name} has the priority {queue.priority}, which goes before the"
            " highest",
            "a whole number from 0, the highest",
        )
