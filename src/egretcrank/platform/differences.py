"""Differences between two configurations and what they do to waiting work."""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from itertools import islice
from typing import Any, NamedTuple

from egretcrank.platform.findings import Finding, FindingKind, shorten_text
from egretcrank.platform.manifest import Manifest
from egretcrank.scheduling.catalog import Queue, Service

# Entries that are listed of one difference; 10 MB can hold millions.
MAX_LISTED_ENTRIES = 1000


class ChangeKind(StrEnum):
    """What happens to an entry."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


class FieldChange(NamedTuple):
    """Values of a field in both configurations."""

    before: Any
    after: Any


class EntryChange(NamedTuple):
    """An entry that differs; ``effects`` are those on callers and on waiting work."""

    entry: str
    kind: ChangeKind
    fields: Mapping[str, FieldChange] = {}
    effects: tuple[str, ...] = ()


class Difference(NamedTuple):
    """What differs between a configuration and the one in force."""

    version: FieldChange
    changes: tuple[EntryChange, ...]
    findings: tuple[Finding, ...]


def find_difference(old: Manifest, new: Manifest) -> Difference:
    """Compare two configurations, listing up to MAX_LISTED_ENTRIES entries."""
    changes = tuple(islice(_find_changes(old, new), MAX_LISTED_ENTRIES))
    findings: tuple[Finding, ...] = ()
    is_ignored = new.version < old.version or (new.version == old.version and changes)
    # Version 0 has a finding already.
    if is_ignored and new.version > 0:
        findings = (
            Finding(
                FindingKind.VERSION,
                "version",
                f"controllers ignore version {new.version}, as version {old.version}"
                " is in force",
                f"a whole number from {old.version + 1}",
            ),
        )
    return Difference(FieldChange(old.version, new.version), changes, findings)


def _find_changes(old: Manifest, new: Manifest) -> Iterator[EntryChange]:
    # Of entries with the same name the last one counts.
    old_queues = {queue.name: queue for queue in old.queues}
    new_queues = {queue.name: queue for queue in new.queues}
    for name, queue in new_queues.items():
        yield from _compare_queues(old_queues.get(name), queue)
    for name, queue in old_queues.items():
        if name not in new_queues:
            effects = _find_removal_effects(queue)
            entry = f"routes/{name}"
            yield EntryChange(entry, ChangeKind.REMOVED, effects=effects)
    old_services = {service.name: service for service in old.services}
    new_services = {service.name: service for service in new.services}
    for name, service in new_services.items():
        yield from _compare_services(old_services.get(name), service)
    for name in old_services:
        if name not in new_services:
            yield EntryChange(f"services/{name}", ChangeKind.REMOVED)
    if fields := _compare_fields(old.limits._asdict(), new.limits._asdict()):
        yield EntryChange("limits", ChangeKind.CHANGED, fields)


def _compare_queues(old: Queue | None, new: Queue) -> Iterator[EntryChange]:
    entry = f"routes/{new.name}"
    if old is None:
        yield EntryChange(entry, ChangeKind.ADDED, _list_fields(_describe_queue(new)))
    elif old != new:
        fields = _compare_fields(_describe_queue(old), _describe_queue(new))
        effects = tuple(_find_change_effects(old, new))
        yield EntryChange(entry, ChangeKind.CHANGED, fields, effects)


def _compare_services(old: Service | None, new: Service) -> Iterator[EntryChange]:
    entry = f"services/{new.name}"
    if old is None:
        yield EntryChange(entry, ChangeKind.ADDED, _list_fields(new._asdict()))
    elif old != new:
        fields = _compare_fields(old._asdict(), new._asdict())
        yield EntryChange(entry, ChangeKind.CHANGED, fields)


def _describe_queue(queue: Queue) -> dict[str, Any]:
    """Return the fields of a queue as the configuration names them."""
    fields = queue._asdict()
    latency = fields.pop("target_latency").total_seconds() * 1000
    advice = fields.pop("uses_advice")
    return {**fields, "target_latency_ms": latency, "advice": advice}


def _list_fields(new: Mapping[str, Any]) -> dict[str, FieldChange]:
    return {k: FieldChange(None, v) for k, v in new.items() if k != "name"}


def _compare_fields(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> dict[str, FieldChange]:
    return {k: FieldChange(old[k], new[k]) for k in new if old[k] != new[k]}


def _describe_path(queue: Queue) -> str:
    return f"{shorten_text(queue.path_prefix)} on {shorten_text(queue.host)}"


def _find_removal_effects(queue: Queue) -> tuple[str, ...]:
    # Jobs hold the configuration of their queue as of their acceptance.
    return (
        f"callers of {_describe_path(queue)} get not_found, unless another queue has a"
        " prefix of it",
        "its accepted jobs still run, by the rules that they were accepted with",
    )


def _find_change_effects(old: Queue, new: Queue) -> Iterator[str]:
    if (old.host, old.path_prefix) != (new.host, new.path_prefix):
        yield (
            f"callers of {_describe_path(old)} get not_found, unless another queue has"
            " a prefix of it; accepted jobs are not affected"
        )
    if old.service != new.service:
        yield (
            "waiting tasks start only on hosts of service"
            f" {shorten_text(new.service)}; running tasks stay where they are"
        )
    if max(1, new.max_attempts) < max(1, old.max_attempts):
        yield (
            "the next failure of a task fails its job if the task has then failed"
            f" {max(1, new.max_attempts)} times or more, earlier failures included"
        )
    if old.priority != new.priority:
        direction = "earlier" if new.priority < old.priority else "later"
        yield f"waiting tasks start {direction} in relation to other queues"
    if (old.stretch, old.target_latency) != (new.stretch, new.target_latency):
        yield "deadlines of accepted jobs change, and with them their order"
    if new.uses_advice and not old.uses_advice:
        yield "new jobs are refused with no_capacity; accepted jobs still run"
