"""State of one work stream: epochs, keys and jobs of its partitions."""

from dataclasses import dataclass
from typing import Any

import msgspec
from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.idempotency.state import KeyEntry, KeysState
from egretcrank.jobs.state import (
    JOB_RECORDS,
    TASK_RECORDS,
    JobRecord,
    JobsState,
    TaskRecord,
)
from egretcrank.settings.schema import ClusterSettings
from egretcrank.stream.reader import Verdict
from egretcrank.stream.records import Fence, HeldGap, KeyClaim, KeyOutcome, Record
from egretcrank.wire.nesting import DECODE_ERRORS

WorkRecord = KeyClaim | KeyOutcome | HeldGap | JobRecord | TaskRecord


@dataclass(slots=True)
class PartitionState:
    """Keys and jobs of one partition under its highest fenced epoch.

    Held keys from before ``gap_at``, in seconds since the Unix epoch, may have no
    record. It is 0 if there is no such gap.
    """

    epoch: int
    keys: KeysState
    jobs: JobsState
    gap_at: float = 0.0


@dataclass(frozen=True, slots=True)
class _PartitionBody:
    partition: int
    epoch: int
    keys: tuple[KeyEntry, ...]
    jobs: dict[str, Any]
    gap_at: float = 0.0


class WorkState:
    """State replayed from a work stream.

    Records whose epoch is not the highest fenced one of their partition are rejected.
    """

    def __init__(self, cluster: ClusterSettings) -> None:
        self._cluster = cluster
        self._partitions: dict[int, PartitionState] = {}

    def find_partition(self, partition: int) -> PartitionState:
        """Return the state of a partition, which is empty if it has no records."""
        state = self._partitions.get(partition)
        if state is None:
            state = self._partitions[partition] = self._build_partition()
        return state

    def _build_partition(self) -> PartitionState:
        return PartitionState(
            0, KeysState(self._cluster.key_retention_seconds), JobsState()
        )

    def apply(self, offset: int, record: Record) -> Verdict:
        """Apply a fence with a higher epoch, or a record of the current epoch."""
        match record:
            case Fence(partition, epoch):
                return self._apply_fence(partition, epoch)
            case KeyClaim() | KeyOutcome() | HeldGap():
                return self._apply_epoch_record(record)
            case _ if isinstance(record, JOB_RECORDS + TASK_RECORDS):
                return self._apply_epoch_record(record)
            case _:
                detail = f"{type(record).__name__} is not expected in a work stream"
                return Failure(Problem(ErrorKind.INVALID_RECORD, detail, "work"))

    def _apply_epoch_record(self, record: WorkRecord) -> Verdict:
        state = self.find_partition(record.partition)
        if record.epoch != state.epoch:
            return Failure(_build_stale_epoch_problem(record.partition, record.epoch))
        match record:
            case KeyClaim():
                return state.keys.apply_claim(record)
            case KeyOutcome():
                return state.keys.apply_outcome(record)
            case HeldGap():
                state.gap_at = max(state.gap_at, record.completed_at)
                return Success(None)
            case _:
                return state.jobs.apply(record)

    def _apply_fence(self, partition: int, epoch: int) -> Verdict:
        state = self.find_partition(partition)
        if epoch <= state.epoch:
            return Failure(_build_stale_epoch_problem(partition, epoch))
        state.epoch = epoch
        return Success(None)

    def build_state(self) -> bytes:
        """Encode the state of all partitions for a snapshot."""
        return msgspec.msgpack.encode(
            [
                _PartitionBody(
                    partition,
                    state.epoch,
                    state.keys.list_entries(),
                    state.jobs.build_state(),
                    state.gap_at,
                )
                for partition, state in sorted(self._partitions.items())
            ]
        )

    def load_state(self, data: bytes) -> Verdict:
        """Replace the state of all partitions with that of a snapshot.

        Nothing changes if the snapshot is malformed.
        """
        try:
            bodies = msgspec.msgpack.decode(data, type=list[_PartitionBody])
        except DECODE_ERRORS as error:
            return Failure(
                Problem(
                    ErrorKind.INVALID_RECORD,
                    f"work snapshot is malformed: {error}",
                    "work",
                )
            )
        for body in bodies:
            verdict = JobsState().load_state(body.jobs)
            if isinstance(verdict, Failure):
                return verdict
        # Owners hold references to partition states, so these are updated in place.
        self._partitions = {
            body.partition: self.find_partition(body.partition) for body in bodies
        }
        for body in bodies:
            state = self._partitions[body.partition]
            state.epoch = body.epoch
            state.keys.load_entries(body.keys)
            state.jobs.load_state(body.jobs)
            state.gap_at = body.gap_at
        return Success(None)


def _build_stale_epoch_problem(partition: int, epoch: int) -> Problem:
    return Problem(
        ErrorKind.STALE_EPOCH, f"epoch {epoch} of partition {partition} is fenced"
    )
