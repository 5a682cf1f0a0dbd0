"""Changes of a cell that have to be appended to the log."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from egretcrank.scheduling.definitions import TaskKey
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.progress import build_changes, build_deletions
from egretcrank.scheduling.records import (
    CANCELLATION_VALUE,
    HostRecord,
    LogChange,
    PartKey,
    PressuresRecord,
    RecordKey,
    RecordKind,
    encode_record,
)
from egretcrank.scheduling.tasks import Job
from egretcrank.wire.hosting import Pressure

# Interval at which checkpoints are logged. A power failure of all machines loses at
# most this much work, in addition to the work since each task's last checkpoint.
CHECKPOINT_INTERVAL = timedelta(seconds=2)
PRESSURES_KEY = RecordKey(RecordKind.PRESSURES, "0")
JOB_KINDS = (RecordKind.JOB, RecordKind.CANCELLATION, RecordKind.PROGRESS)


class Changes(NamedTuple):
    """Records to append together, and the state that is durable with them.

    ``ends`` maps a host to its runner's ``born`` and the number of the last end
    seen. ``hosts`` are registered by the records and may run tasks once appended.
    ``crashes`` names the task of each change to the crashes under tasks, and
    ``suspects`` maps a host to its agent process and the number of the last suspect.
    """

    records: tuple[LogChange, ...]
    ends: dict[str, tuple[int, int]]
    hosts: tuple[str, ...]
    crashes: tuple[TaskKey, ...] = ()
    suspects: Mapping[str, tuple[str, int]] = {}


class ChangeCollector:
    """Collects the changes between two appends to the log."""

    def __init__(self) -> None:
        self._jobs: set[str] = set()
        # True for a host to register, False for a host to remove.
        self._hosts: dict[str, bool] = {}
        self._expired: list[str] = []
        self._expired_parts: list[PartKey] = []
        self._checkpointed: set[str] = set()
        self._pressures: tuple[Pressure, ...] = ()
        self._crashes: list[TaskKey] = []
        self._orphaned_crashes: list[str] = []
        # True for a cancellation to store again, False for one to delete.
        self._cancellations: dict[str, bool] = {}
        self._checkpoints_flushed_at = timedelta()

    def __bool__(self) -> bool:
        return bool(
            self._jobs
            or self._hosts
            or self._expired
            or self._expired_parts
            or self._pressures
            or self._crashes
            or self._orphaned_crashes
            or self._cancellations
        )

    def mark_job(self, job_id: str) -> None:
        """Record that the progress of a job has changed."""
        self._jobs.add(job_id)

    def mark_checkpoint(self, job_id: str) -> None:
        """Record a checkpoint, which is written with others at an interval."""
        self._checkpointed.add(job_id)

    def mark_host(self, name: str, present: bool) -> None:
        """Record that a host is to be registered or removed."""
        self._hosts[name] = present

    def is_removal_due(self, name: str) -> bool:
        """Return whether the next append removes a host."""
        return self._hosts.get(name) is False

    def mark_pressures(self, pressures: tuple[Pressure, ...]) -> None:
        """Record what is known of the interference between images."""
        self._pressures = pressures

    def mark_crashes(self, key: TaskKey) -> None:
        """Record that the crashes under a task have changed."""
        self._crashes.append(key)

    def mark_orphaned_crashes(self, job_id: str) -> None:
        """Record that the crashes of a job are the last of its records."""
        self._orphaned_crashes.append(job_id)

    def mark_cancellation(self, job_id: str, present: bool) -> None:
        """Record that a cancellation without a job is to be stored or deleted."""
        self._cancellations[job_id] = present

    def mark_expired(self, job_id: str) -> None:
        """Record that all records of a job are to be deleted."""
        self._expired.append(job_id)

    def mark_expired_parts(self, keys: Iterable[PartKey]) -> None:
        """Record that parts of a job's progress are to be deleted."""
        self._expired_parts += keys

    def flush_checkpoints(self, now: timedelta) -> None:
        """Schedule the collected checkpoints for the log once per interval.

        Tasks resume from these records after a power failure of all machines.
        """
        if now - self._checkpoints_flushed_at >= CHECKPOINT_INTERVAL:
            self._checkpoints_flushed_at = now
            self._jobs |= self._checkpointed
            self._checkpointed.clear()

    def take(self, jobs: Mapping[str, Job], hosts: Mapping[str, HostState]) -> Changes:
        """Return the collected changes and reset the collector."""
        records = [
            change
            for job_id in sorted(self._jobs)
            if job_id in jobs
            for change in build_changes(jobs[job_id])
        ]
        registered = []
        for name, present in self._hosts.items():
            value = b""
            if present and name in hosts:
                value = encode_record(HostRecord(hosts[name].address))
                registered.append(name)
            records.append(LogChange(RecordKey(RecordKind.HOST, name), value))
        # Before the records of their job, without which nobody would delete them.
        records += build_deletions(self._expired_parts)
        for job_id in self._expired:
            records += [LogChange(RecordKey(kind, job_id), b"") for kind in JOB_KINDS]
        for job_id in sorted({key.job_id for key in self._crashes}):
            if job_id in jobs:
                value = encode_record(jobs[job_id].build_crashes_record())
                records.append(LogChange(_build_crashes_key(job_id), value))
        for job_id in self._orphaned_crashes:
            records.append(LogChange(_build_crashes_key(job_id), b""))
        for job_id, present in self._cancellations.items():
            if job_id not in jobs:
                key = RecordKey(RecordKind.CANCELLATION, job_id)
                records.append(LogChange(key, CANCELLATION_VALUE if present else b""))
        self._cancellations.clear()
        if self._pressures:
            value = encode_record(PressuresRecord(self._pressures))
            records.append(LogChange(PRESSURES_KEY, value))
        self._pressures = ()
        self._jobs.clear()
        self._hosts.clear()
        self._expired.clear()
        self._expired_parts.clear()
        crashes = tuple(self._crashes)
        self._crashes.clear()
        self._orphaned_crashes.clear()
        ends = {
            host.name: (host.runner.born if host.runner else 0, host.ends_seen)
            for host in hosts.values()
            if host.ends_seen > host.ends_durable
        }
        suspects = {
            host.name: (host.incarnation, host.suspects_seen)
            for host in hosts.values()
            if host.suspects_seen > host.suspects_durable
        }
        return Changes(tuple(records), ends, tuple(registered), crashes, suspects)


def _build_crashes_key(job_id: str) -> RecordKey:
    return RecordKey(RecordKind.CRASHES, job_id)
