"""Table of the cell's jobs, which every controller builds from the log."""

import logging
from collections import OrderedDict
from datetime import datetime
from typing import NamedTuple

from returns.result import Failure, Success

from egretcrank.policy.pressures import is_plausible
from egretcrank.scheduling.definitions import JobDefinition, find_defect
from egretcrank.scheduling.progress import Parts, is_part_of
from egretcrank.scheduling.records import (
    CrashesRecord,
    HostRecord,
    LeaderRecord,
    PartKey,
    Phase,
    PressuresRecord,
    ProgressRecord,
    RecordKey,
    RecordKind,
    StepRecord,
    decode_record,
    parse_key,
    parse_part_key,
)
from egretcrank.wire.bounds import is_address
from egretcrank.wire.hosting import Pressure

# Deleted keys whose offset is kept: three records of each job, for 200 jobs a second
# and the seconds that a page of newest records may be old.
MAX_DELETED_KEYS = 20_000
# Kinds of the records of one job.
JOB_RECORD_KINDS = (
    RecordKind.JOB,
    RecordKind.CANCELLATION,
    RecordKind.PROGRESS,
    RecordKind.CRASHES,
)

logger = logging.getLogger(__name__)


class StoredValue(NamedTuple):
    """A record read from the log; an empty value deletes the key."""

    offset: int
    key: str
    value: bytes


class JobEntry:
    """State of a job according to the log."""

    __slots__ = ("cancelled", "crashes", "definition", "offset", "parts", "progress")

    def __init__(self) -> None:
        self.definition: JobDefinition | None = None
        self.offset = -1
        self.cancelled = False
        self.progress: ProgressRecord | None = None
        self.crashes: CrashesRecord | None = None
        # Progress that is newer than that of ``progress``, of a divided job.
        self.parts: Parts | None = None

    @property
    def phase(self) -> Phase:
        """Return the phase that callers see."""
        phase = self.progress.phase if self.progress else Phase.QUEUED
        if self.cancelled and not phase.final:
            return Phase.CANCELLED
        return phase


class JobTable:
    """Jobs, hosts and leader of a cell.

    A record that is not newer than the applied record of its key is ignored.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobEntry] = {}
        self.hosts: dict[str, HostRecord] = {}
        self.leader = LeaderRecord(0, "")
        self.pressures: tuple[Pressure, ...] = ()
        self._offsets: dict[str, int] = {}
        self._deleted: OrderedDict[str, int] = OrderedDict()
        self.refused = 0

    def apply(self, stored: StoredValue) -> RecordKey | None:
        """Apply a record; return its key, or ``None`` if it was ignored or refused."""
        known = self._offsets.get(stored.key, self._deleted.get(stored.key, -1))
        if known >= stored.offset:
            return None
        key = parse_key(stored.key)
        if key is None:
            self._refuse(stored, "key is not known")
            return None
        if not self._apply_value(key, stored):
            return None
        if stored.value:
            self._deleted.pop(stored.key, None)
            self._offsets[stored.key] = stored.offset
        else:
            self._offsets.pop(stored.key, None)
            self._remember_deletion(stored)
        return key

    def _remember_deletion(self, stored: StoredValue) -> None:
        """Keep the offset, so that an older record does not bring the key back."""
        self._deleted[stored.key] = stored.offset
        self._deleted.move_to_end(stored.key)
        while len(self._deleted) > MAX_DELETED_KEYS:
            self._deleted.popitem(last=False)

    def _apply_value(self, key: RecordKey, stored: StoredValue) -> bool:
        if not stored.value:
            self._drop(key, stored.offset)
            return True
        if key.kind is RecordKind.CANCELLATION:
            self._find(key.name).cancelled = True
            return True
        match decode_record(key.kind, stored.value):
            case Success(JobDefinition() as definition):
                defect = find_defect(definition)
                if defect or definition.job_id != key.name:
                    self._refuse(stored, defect or "key names another job")
                    return False
                entry = self._find(key.name)
                if entry.definition is None:
                    entry.definition = definition
                    entry.offset = stored.offset
            case Success(ProgressRecord() as progress):
                self._find(key.name).progress = progress
            case Success(CrashesRecord(tasks) as record) if all(
                crash.is_plausible for crashes in tasks.values() for crash in crashes
            ):
                self._find(key.name).crashes = record
            case Success(StepRecord() as record):
                part = parse_part_key(key.name)
                if part is None:
                    self._refuse(stored, "key names no part of a job")
                    return False
                entry = self._find(part.job_id)
                entry.parts = entry.parts or Parts()
                entry.parts.put(part, record)
            case Success(HostRecord(address) as host) if is_address(address):
                self.hosts[key.name] = host
            case Success(LeaderRecord(_, address) as leader) if is_address(address):
                if leader.epoch >= self.leader.epoch:
                    self.leader = leader
            case Success(PressuresRecord(pressures)) if all(
                map(is_plausible, pressures)
            ):
                self.pressures = pressures
            case Failure(problem):
                self._refuse(stored, problem.detail)
                return False
            case _:
                self._refuse(stored, "value is not plausible")
                return False
        return True

    def _find(self, job_id: str) -> JobEntry:
        return self.jobs.setdefault(job_id, JobEntry())

    def _drop(self, key: RecordKey, offset: int) -> None:
        match key.kind:
            case RecordKind.JOB | RecordKind.PROGRESS:
                self._drop_job(key.name, offset)
            case RecordKind.CANCELLATION:
                self._drop_unmet_cancellation(key.name)
            case RecordKind.CRASHES:
                if key.name in self.jobs:
                    self.jobs[key.name].crashes = None
            case RecordKind.PART:
                self._drop_part(key)
            case RecordKind.HOST:
                self.hosts.pop(key.name, None)
            case RecordKind.PRESSURES:
                self.pressures = ()

    def _drop_part(self, key: RecordKey) -> None:
        entry, part = self.jobs.get(key.job_id), parse_part_key(key.name)
        if entry is not None and entry.parts is not None and part is not None:
            entry.parts.drop(part)
            if not entry.parts.records:
                entry.parts = None
                self._drop_if_empty(key.job_id)

    def _drop_if_empty(self, job_id: str) -> None:
        """Drop the entry of a job of which no record is left."""
        entry = self.jobs[job_id]
        left = (entry.definition, entry.progress, entry.crashes, entry.parts)
        if not entry.cancelled and left == (None, None, None, None):
            del self.jobs[job_id]

    def _drop_job(self, job_id: str, offset: int) -> None:
        """Drop all records of an expired job, up to the deletion of one of them.

        A reader begins with the newest records, which may be later than a deletion that
        it reads next.
        """
        entry = self.jobs.pop(job_id, None)
        newer = {
            kind
            for kind in JOB_RECORD_KINDS
            if self._offsets.get(RecordKey(kind, job_id).format(), -1) > offset
        }
        parts = entry.parts if entry is not None else None
        if entry is None or not (newer or parts):
            return
        kept = self._find(job_id)
        # A part has a deletion of its own.
        kept.parts = parts
        if RecordKind.JOB in newer:
            kept.definition, kept.offset = entry.definition, entry.offset
        if RecordKind.PROGRESS in newer:
            kept.progress = entry.progress
        if RecordKind.CRASHES in newer:
            kept.crashes = entry.crashes
        kept.cancelled = RecordKind.CANCELLATION in newer

    def _drop_unmet_cancellation(self, job_id: str) -> None:
        """Drop a cancellation that has met no job; a job that met it stays cancelled.

        Leaders delete a cancellation whose job has not come for long. The record of the
        job may come just before that deletion.
        """
        entry = self.jobs.get(job_id)
        if entry is None or entry.definition is not None:
            return
        entry.cancelled = False
        self._drop_if_empty(job_id)

    def _refuse(self, stored: StoredValue, reason: str) -> None:
        self.refused += 1
        logger.warning(
            "record refused",
            extra={"key": stored.key, "offset": stored.offset, "reason": reason},
        )

    def find(self, job_id: str) -> JobEntry | None:
        """Return the entry of an accepted job, or ``None``."""
        entry = self.jobs.get(job_id)
        return entry if entry is not None and entry.definition is not None else None

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a job, or one whose record is yet to come, is cancelled."""
        entry = self.jobs.get(job_id)
        return entry is not None and entry.cancelled

    def count_waiting(self, queue: str) -> int:
        """Return the number of a queue's accepted jobs without a started task."""
        # Copied, as the thread that reads the log adds entries meanwhile.
        return sum(
            1
            for entry in list(self.jobs.values())
            if entry.phase is Phase.QUEUED
            and entry.definition is not None
            and entry.definition.queue.name == queue
        )

    def list_orphaned_crashes(self) -> list[str]:
        """Return the jobs of which nothing but crashes is left.

        An earlier release, which does not know these records, deletes the others only.
        """
        return [
            job_id
            for job_id, entry in self.jobs.items()
            if entry.crashes is not None and entry.definition is None
        ]

    def list_orphaned_parts(self) -> list[PartKey]:
        """Return the parts of jobs that have no other record, or not their tasks.

        An earlier release, which does not know these records, deletes the others only.
        """
        return [
            key
            for entry in self.jobs.values()
            if entry.parts is not None
            for key in entry.parts.records
            if entry.definition is None or not is_part_of(key, entry.definition)
        ]

    def list_expired(self, before: datetime) -> list[str]:
        """Return the identifiers of the jobs that ended before a time."""
        limit = before.timestamp()
        return [
            job_id
            for job_id, entry in self.jobs.items()
            if entry.progress is not None
            and entry.progress.phase.final
            and 0 < entry.progress.ended_at < limit
        ]
