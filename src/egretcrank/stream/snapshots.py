"""Snapshots of a folded stream: building, splitting and reassembling them."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import datetime
from typing import NamedTuple
from uuid import uuid4

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.stream.records import SnapshotChunk

CHUNK_BYTES = 48 * 1024
# Writers that die leave incomplete snapshots; few writers are active at a time.
MAX_INCOMPLETE = 8


class FoldedState(NamedTuple):
    """State of a stream after the record at offset ``through``."""

    through: int
    digest: str
    data: bytes


class VoidReason(NamedTuple):
    """Why a record is void; ``kind`` is a value of ``ErrorKind``."""

    kind: str
    detail: str = ""
    where: str = ""
    expected: str = ""


@dataclass(frozen=True, slots=True)
class StateBody:
    """Content of a snapshot: the fold's state and the record identifiers seen last.

    ``void`` has those among the identifiers whose records are void.
    """

    state: bytes
    recent_ids: tuple[str, ...] = ()
    void: dict[str, VoidReason] = field(default_factory=dict)


def build_state(through: int, body: StateBody) -> FoldedState:
    """Encode a state and compute its digest."""
    data = msgspec.msgpack.encode(body)
    return FoldedState(through, xxhash.xxh64_hexdigest(data), data)


def read_state(state: FoldedState) -> Result[StateBody, Problem]:
    """Check the digest of a state and decode it."""
    if xxhash.xxh64_hexdigest(state.data) != state.digest:
        return Failure(
            Problem(
                ErrorKind.INVALID_RECORD,
                f"digest of the state through offset {state.through} does not match",
                "snapshot",
            )
        )
    try:
        return Success(msgspec.msgpack.decode(state.data, type=StateBody))
    except msgspec.MsgspecError as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_RECORD, f"state is malformed: {error}", "snapshot"
            )
        )


def split_state(state: FoldedState, taken_at: datetime) -> tuple[SnapshotChunk, ...]:
    """Split a state into records of bounded size."""
    pieces = [
        state.data[start : start + CHUNK_BYTES]
        for start in range(0, len(state.data), CHUNK_BYTES)
    ] or [b""]
    snapshot_id = uuid4().hex
    return tuple(
        SnapshotChunk(
            snapshot_id=snapshot_id,
            through=state.through,
            index=index,
            count=len(pieces),
            digest=state.digest,
            data=piece,
            taken_at=taken_at.timestamp(),
        )
        for index, piece in enumerate(pieces)
    )


class SnapshotAssembler:
    """Collects chunks until one snapshot of the whole stream is complete."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, dict[int, SnapshotChunk]] = OrderedDict()

    def add(self, chunk: SnapshotChunk) -> FoldedState | None:
        """Add a chunk and return the state if that completes it.

        Chunks of a partition, and chunks that contradict the others of their snapshot,
        are ignored.
        """
        if chunk.scope or not 0 <= chunk.index < chunk.count:
            return None
        parts = self._parts.setdefault(chunk.snapshot_id, {})
        if any(not _belong_together(chunk, other) for other in parts.values()):
            return None
        parts[chunk.index] = chunk
        if len(parts) == chunk.count:
            del self._parts[chunk.snapshot_id]
            return FoldedState(chunk.through, chunk.digest, _join(parts))
        if len(self._parts) > MAX_INCOMPLETE:
            self._parts.popitem(last=False)
        return None

    def clear(self) -> None:
        """Forget incomplete snapshots."""
        self._parts.clear()


def _belong_together(first: SnapshotChunk, second: SnapshotChunk) -> bool:
    return (first.through, first.digest, first.count) == (
        second.through,
        second.digest,
        second.count,
    )


def _join(parts: dict[int, SnapshotChunk]) -> bytes:
    return b"".join(parts[index].data for index in sorted(parts))
