"""What of a cell has to be made durable."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.records import (
    HostRecord,
    RecordKey,
    RecordKind,
    encode_record,
)
from egretcrank.scheduling.tasks import Job

# Work that a loss of power of everything may cost, beside what no checkpoint holds.
CHECKPOINT_INTERVAL = timedelta(seconds=2)
JOB_KINDS = (RecordKind.JOB, RecordKind.CANCELLATION, RecordKind.PROGRESS)


class LogChange(NamedTuple):
    """A record to append; an empty value drops the key."""

    key: RecordKey
    value: bytes


class Changes(NamedTuple):
    """What is to be made durable together, and what holds once it is.

    ``ends`` are the highest end seen of each host, with the life of its runner;
    ``hosts`` may run tasks from then on.
    """

    records: tuple[LogChange, ...]
    ends: dict[str, tuple[int, int]]
    hosts: tuple[str, ...]


class ChangeCollector:
    """Collects changes between two appends."""

    def __init__(self) -> None:
        self._jobs: set[str] = set()
        # Whether a host is to be registered or dropped.
        self._hosts: dict[str, bool] = {}
        self._expired: list[str] = []
        self._checkpointed: set[str] = set()
        self._checkpoints_noted_at = timedelta()

    def __bool__(self) -> bool:
        return bool(self._jobs or self._hosts or self._expired)

    def note_job(self, job_id: str) -> None:
        """Note that the progress of a job has changed."""
        self._jobs.add(job_id)

    def note_checkpoint(self, job_id: str) -> None:
        """Note a checkpoint, which is recorded with others now and then."""
        self._checkpointed.add(job_id)

    def note_host(self, name: str, present: bool) -> None:
        """Note that a host is to be registered, or dropped."""
        self._hosts[name] = present

    def note_expired(self, job_id: str) -> None:
        """Note that all records of a job are to be dropped."""
        self._expired.append(job_id)

    def pass_time(self, now: timedelta) -> None:
        """Let checkpoints be recorded when their interval has passed.

        Answers a loss of power of all machines: work resumes from these records.
        """
        if now - self._checkpoints_noted_at >= CHECKPOINT_INTERVAL:
            self._checkpoints_noted_at = now
            self._jobs |= self._checkpointed
            self._checkpointed.clear()

    def take(self, jobs: Mapping[str, Job], hosts: Mapping[str, HostState]) -> Changes:
        """Return what was collected, and begin anew."""
        records = [
            LogChange(
                RecordKey(RecordKind.PROGRESS, job_id),
                encode_record(jobs[job_id].describe()),
            )
            for job_id in sorted(self._jobs)
            if job_id in jobs
        ]
        registered = []
        for name, present in self._hosts.items():
            value = b""
            if present and name in hosts:
                value = encode_record(HostRecord(hosts[name].address))
                registered.append(name)
            records.append(LogChange(RecordKey(RecordKind.HOST, name), value))
        for job_id in self._expired:
            records += [LogChange(RecordKey(kind, job_id), b"") for kind in JOB_KINDS]
        self._jobs.clear()
        self._hosts.clear()
        self._expired.clear()
        ends = {
            host.name: (host.runner.born if host.runner else 0, host.ends_seen)
            for host in hosts.values()
            if host.ends_seen > host.ends_durable
        }
        return Changes(tuple(records), ends, tuple(registered))
