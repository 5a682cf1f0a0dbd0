"""State of one work stream: fences, and the keys and jobs of its partitions."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.idempotency.state import KeyEntry, KeysState
from egretcrank.settings.schema import ClusterSettings
from egretcrank.stream.reader import Verdict
from egretcrank.stream.records import Fence, KeyClaim, KeyOutcome, Record


@dataclass(slots=True)
class PartitionState:
    """Work of one partition under its highest fenced epoch."""

    epoch: int
    keys: KeysState


@dataclass(frozen=True, slots=True)
class _PartitionBody:
    partition: int
    epoch: int
    keys: tuple[KeyEntry, ...]


class WorkState:
    """Folds a work stream; records of any other than the fenced epoch are void."""

    def __init__(self, cluster: ClusterSettings) -> None:
        self._cluster = cluster
        self._partitions: dict[int, PartitionState] = {}

    def find_partition(self, partition: int) -> PartitionState:
        """Return the state of a partition, empty if it has no records."""
        state = self._partitions.get(partition)
        if state is None:
            state = PartitionState(0, KeysState(self._cluster.key_retention_seconds))
            self._partitions[partition] = state
        return state

    def apply(self, offset: int, record: Record) -> Verdict:
        """Apply a fence, or a record of the fenced epoch."""
        match record:
            case Fence(partition, epoch):
                return self._apply_fence(partition, epoch)
            case KeyClaim() | KeyOutcome():
                state = self.find_partition(record.partition)
                if record.epoch != state.epoch:
                    return Failure(_describe_stale(record.partition, record.epoch))
                if isinstance(record, KeyClaim):
                    return state.keys.apply_claim(record)
                return state.keys.apply_outcome(record)
            case _:
                detail = f"{type(record).__name__} is not expected in a work stream"
                return Failure(Problem(ErrorKind.INVALID_RECORD, detail, "work"))

    def _apply_fence(self, partition: int, epoch: int) -> Verdict:
        state = self.find_partition(partition)
        if epoch <= state.epoch:
            return Failure(_describe_stale(partition, epoch))
        state.epoch = epoch
        return Success(None)

    def build_state(self) -> bytes:
        """Encode the state of all partitions."""
        return msgspec.msgpack.encode(
            [
                _PartitionBody(partition, state.epoch, state.keys.list_entries())
                for partition, state in sorted(self._partitions.items())
            ]
        )

    def load_state(self, data: bytes) -> Verdict:
        """Replace the state of all partitions."""
        try:
            bodies = msgspec.msgpack.decode(data, type=list[_PartitionBody])
        except msgspec.MsgspecError as error:
            return Failure(
                Problem(ErrorKind.INVALID_RECORD, f"work is malformed: {error}", "work")
            )
        # Owners hold references to partition states, so these are filled in place.
        self._partitions = {
            body.partition: self._partitions.get(body.partition)
            or PartitionState(0, KeysState(self._cluster.key_retention_seconds))
            for body in bodies
        }
        for body in bodies:
            self._partitions[body.partition].epoch = body.epoch
            self._partitions[body.partition].keys.load_entries(body.keys)
        return Success(None)


def _describe_stale(partition: int, epoch: int) -> Problem:
    return Problem(
        ErrorKind.STALE_EPOCH, f"epoch {epoch} of partition {partition} is fenced"
    )
