"""Durable records of a cell, keyed so that the newest of each key is enough.

All controllers fold the same records. Jobs and cancellations are appended by any
controller, the others only by the one that leads the cell, under its epoch.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.scheduling.definitions import JobDefinition


class RecordKind(StrEnum):
    """First part of a record's key."""

    JOB = "j"
    CANCELLATION = "c"
    PROGRESS = "p"
    HOST = "h"
    LEADER = "l"


class Phase(StrEnum):
    """State of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Tell whether the job has ended."""
        return self in (Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED)


class TaskRecord(NamedTuple):
    """What must last of a task that did not simply end ``done`` in its first run."""

    highest_run: int = 0
    ended_run: int = 0
    # For the release before, which counts them only.
    failures: int = 0
    checkpoint: str = ""
    failed_runs: tuple[int, ...] = ()


class StepRecord(NamedTuple):
    """Progress of a step: a bit for each task that is done, and exceptions."""

    done: bytes = b""
    tasks: dict[int, TaskRecord] = {}


class ProgressRecord(NamedTuple):
    """Progress of a job; ``ended_at`` is in seconds since 1970, 0 while it runs."""

    phase: Phase
    ended_at: float = 0.0
    occurrences: dict[int, list[StepRecord]] = {}


class HostRecord(NamedTuple):
    """A host that may run tasks of the cell."""

    address: str


class LeaderRecord(NamedTuple):
    """The controller that leads the cell."""

    epoch: int
    address: str


class RecordKey(NamedTuple):
    """Kind and name of a record."""

    kind: RecordKind
    name: str

    def format(self) -> str:
        """Return the key as it is stored."""
        return f"{self.kind}/{self.name}"


Record = JobDefinition | ProgressRecord | HostRecord | LeaderRecord

_encoder = msgspec.msgpack.Encoder()
_decoders: dict[RecordKind, msgspec.msgpack.Decoder[Record]] = {
    RecordKind.JOB: msgspec.msgpack.Decoder(JobDefinition),
    RecordKind.PROGRESS: msgspec.msgpack.Decoder(ProgressRecord),
    RecordKind.HOST: msgspec.msgpack.Decoder(HostRecord),
    RecordKind.LEADER: msgspec.msgpack.Decoder(LeaderRecord),
}


def parse_key(text: str) -> RecordKey | None:
    """Read a record's key; ``None`` for a key that no release writes."""
    kind, separator, name = text.partition("/")
    if not separator or kind not in list(RecordKind):
        return None
    return RecordKey(RecordKind(kind), name)


def encode_record(record: Record) -> bytes:
    """Encode the value of a record."""
    return _encoder.encode(record)


def decode_record(kind: RecordKind, value: bytes) -> Result[Record, Problem]:
    """Decode the value of a record; fail with ``invalid_record``."""
    try:
        return Success(_decoders[kind].decode(value))
    except (msgspec.MsgspecError, KeyError) as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_RECORD,
                f"record could not be decoded: {error}",
                kind.value,
                "a record of this release",
            )
        )
