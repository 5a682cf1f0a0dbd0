"""Log records of a cell; only the newest record of each key counts.

All controllers read the same records. Any controller appends jobs and cancellations,
and only the leader appends the others, under its epoch.
"""

from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.policy.crashes import MAX_TIMESTAMP, Crash
from egretcrank.scheduling.definitions import (
    JobDefinition,
    parse_task_key,
)
from egretcrank.wire.bounds import Count, Integer
from egretcrank.wire.hosting import Pressure
from egretcrank.wire.nesting import DECODE_ERRORS

# Seconds since 1970.
Timestamp = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIMESTAMP)]


class RecordKind(StrEnum):
    """Kind of a record, which is the first part of its key."""

    JOB = "j"
    CANCELLATION = "c"
    PROGRESS = "p"
    HOST = "h"
    LEADER = "l"
    PRESSURES = "i"
    CRASHES = "x"
    PART = "t"


class Phase(StrEnum):
    """Phase of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Return whether the job has ended."""
        return self in (Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED)


class TaskRecord(NamedTuple):
    """Progress of a task that is not done and has an ended run or a checkpoint."""

    highest_run: Count = 0
    ended_run: Count = 0
    # Read by the previous release, which has no ``failed_runs``.
    failures: Count = 0
    checkpoint: str = ""
    # Negative numbers stand for failures of which only the count is known.
    failed_runs: tuple[Integer, ...] = ()


class StepRecord(NamedTuple):
    """Progress of a step: a bitmap of done tasks, and records of some other tasks."""

    done: bytes = b""
    tasks: dict[int, TaskRecord] = {}

    def count_done(self) -> int:
        """Return the number of done tasks."""
        return int.from_bytes(self.done, "little").bit_count()

    def drop_checkpoints(self, limit: int) -> "StepRecord":
        """Return the record without the checkpoints of over ``limit`` characters."""
        tasks = {
            index: task
            if len(task.checkpoint) <= limit
            else task._replace(checkpoint="")
            for index, task in self.tasks.items()
        }
        return self._replace(tasks=tasks)


class ProgressRecord(NamedTuple):
    """Progress of a job; ``ended_at`` is in seconds since 1970, 0 until it ends."""

    phase: Phase
    ended_at: Timestamp = 0.0
    occurrences: dict[int, list[StepRecord]] = {}


class PartKey(NamedTuple):
    """A group of neighbouring tasks of one step of one occurrence."""

    job_id: str
    occurrence: int
    step: int
    number: int

    def format(self) -> str:
        """Return the name of the part in a record's key."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.number}"


class HostRecord(NamedTuple):
    """A host that may run tasks of the cell."""

    address: str


class LeaderRecord(NamedTuple):
    """The controller that leads the cell."""

    epoch: Count
    address: str


class PressuresRecord(NamedTuple):
    """Interference that the leader has merged from the reports of all hosts."""

    pressures: tuple[Pressure, ...]


class CrashesRecord(NamedTuple):
    """Crashes of runners under tasks of a job, by task name without the job.

    A record of its own, as earlier releases write a job's progress without it.
    """

    tasks: dict[str, tuple[Crash, ...]]


class RecordKey(NamedTuple):
    """Kind and name of a record."""

    kind: RecordKind
    name: str

    def format(self) -> str:
        """Return the key in its stored form."""
        return f"{self.kind}/{self.name}"

    @property
    def job_id(self) -> str:
        """Return the job that the record is of, if it is of one."""
        return self.name.partition(".")[0]


class LogChange(NamedTuple):
    """A record to append; an empty value deletes the key."""

    key: RecordKey
    value: bytes


CANCELLATION_VALUE = b"1"
# Kinds of the records that hold the progress of a job.
PROGRESS_KINDS = (RecordKind.PROGRESS, RecordKind.PART)

Record = (
    JobDefinition
    | ProgressRecord
    | HostRecord
    | LeaderRecord
    | PressuresRecord
    | CrashesRecord
    | StepRecord
)

_encoder = msgspec.msgpack.Encoder()
_decoders: dict[RecordKind, msgspec.msgpack.Decoder[Record]] = {
    RecordKind.JOB: msgspec.msgpack.Decoder(JobDefinition),
    RecordKind.PROGRESS: msgspec.msgpack.Decoder(ProgressRecord),
    RecordKind.HOST: msgspec.msgpack.Decoder(HostRecord),
    RecordKind.LEADER: msgspec.msgpack.Decoder(LeaderRecord),
    RecordKind.PRESSURES: msgspec.msgpack.Decoder(PressuresRecord),
    RecordKind.CRASHES: msgspec.msgpack.Decoder(CrashesRecord),
    RecordKind.PART: msgspec.msgpack.Decoder(StepRecord),
}


def parse_key(text: str) -> RecordKey | None:
    """Parse a record's key; return ``None`` if its kind is unknown."""
    kind, separator, name = text.partition("/")
    if not separator or kind not in list(RecordKind):
        return None
    return RecordKey(RecordKind(kind), name)


def parse_part_key(name: str) -> PartKey | None:
    """Parse the name of a part; return ``None`` if it is malformed."""
    # The names of parts are formed like those of tasks.
    key = parse_task_key(name)
    return PartKey(*key) if key is not None else None


def encode_record(record: Record) -> bytes:
    """Encode the value of a record."""
    return _encoder.encode(record)


def decode_record(kind: RecordKind, value: bytes) -> Result[Record, Problem]:
    """Decode the value of a record, or return an ``invalid_record`` problem."""
    try:
        return Success(_decoders[kind].decode(value))
    except (*DECODE_ERRORS, KeyError) as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_RECORD,
                f"record could not be decoded: {error}",
                kind.value,
                "a record of this release",
            )
        )
