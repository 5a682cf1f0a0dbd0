"""Snapshots of stream states: encoding, splitting into chunks, and reassembly."""

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
from egretcrank.wire.nesting import DECODE_ERRORS

CHUNK_BYTES = 48 * 1024
# Writers that fail leave incomplete snapshots. Few writers are active at a time.
MAX_INCOMPLETE_SNAPSHOTS = 8


class StreamState(NamedTuple):
    """Encoded state of a stream after the record at offset ``through``."""

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
    """Content of a snapshot: the state of the state machine and the latest record IDs.

    ``void`` has the reasons of those records that are void, by record ID.
    """

    state: bytes
    recent_ids: tuple[str, ...] = ()
    void: dict[str, VoidReason] = field(default_factory=dict)


def build_state(through: int, body: StateBody) -> StreamState:
    """Encode a state and compute its digest."""
    data = msgspec.msgpack.encode(body)
    return StreamState(through, xxhash.xxh64_hexdigest(data), data)


def read_state(state: StreamState) -> Result[StateBody, Problem]:
    """Verify the digest of a state and decode it."""
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
    except DECODE_ERRORS as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_RECORD, f"state is malformed: {error}", "snapshot"
            )
        )


def split_state(state: StreamState, taken_at: datetime) -> tuple[SnapshotChunk, ...]:
    """Split a state into chunks of at most ``CHUNK_BYTES``."""
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
    """Reassembles snapshots of an entire stream from their chunks."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, dict[int, SnapshotChunk]] = OrderedDict()

    def add(self, chunk: SnapshotChunk) -> StreamState | None:
        """Add a chunk; return the state if this completes a snapshot.

        Chunks of a partition snapshot, and chunks that are inconsistent with the others
        of their snapshot, are ignored.
        """
        if chunk.scope or not 0 <= chunk.index < chunk.count:
            return None
        parts = self._parts.setdefault(chunk.snapshot_id, {})
        if any(not _are_same_snapshot(chunk, other) for other in parts.values()):
            return None
        parts[chunk.index] = chunk
        if len(parts) == chunk.count:
            del self._parts[chunk.snapshot_id]
            return StreamState(chunk.through, chunk.digest, _join(parts))
        if len(self._parts) > MAX_INCOMPLETE_SNAPSHOTS:
            self._parts.popitem(last=False)
        return None

    def clear(self) -> None:
        """Discard incomplete snapshots."""
        self._parts.clear()


def _are_same_snapshot(first: SnapshotChunk, second: SnapshotChunk) -> bool:
    return (first.through, first.digest, first.count) == (
        second.through,
        second.digest,
        second.count,
    )


def _join(parts: dict[int, SnapshotChunk]) -> bytes:
    return b"".join(parts[index].data for index in sorted(parts))
