"""Records of the log's streams and their encoding as JSON.

Every field has a default and unknown fields are ignored, so that releases can be mixed.
A record of an unknown kind is skipped by readers.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, get_args
from uuid import uuid4

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.messages import Executed, Refused, SubmitJob

RECORD_VERSION = 1


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of list entries, by key ``plans/<customer>`` or ``allowances/<plan>``.

    ``authority`` is ``operator`` or ``founder``; ``lift`` names the keys whose override
    ends. ``published_at`` is in seconds since 1970, by the clock of the author.
    """

    base_revision: int = 0
    author: str = ""
    authority: str = "operator"
    override: bool = False
    lift: tuple[str, ...] = ()
    set: dict[str, dict[str, Any]] = field(default_factory=dict)
    remove: tuple[str, ...] = ()
    reason: str = ""
    published_at: float = 0.0


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part ``index`` of ``count`` of a folded state through offset ``through``.

    ``scope`` is empty for a whole stream, or names a partition of a work stream. The
    parts of one snapshot share ``snapshot_id``; ``digest`` is xxh64 of the whole state.
    ``taken_at`` is when the state was built, in seconds since 1970.
    """

    snapshot_id: str = ""
    scope: str = ""
    through: int = -1
    index: int = 0
    count: int = 1
    digest: str = ""
    data: bytes = b""
    taken_at: float = 0.0


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """Claim of a partition; valid if ``epoch`` is the current epoch plus one."""

    partition: int = 0
    epoch: int = 0
    host: str = ""
    incarnation: int = 0
    address: str = ""


@dataclass(frozen=True, slots=True)
class OwnerRelease:
    """End of an ownership by its holder.

    It is ``clean`` if no held attempt of it can be missing from the log.
    """

    partition: int = 0
    epoch: int = 0
    host: str = ""
    clean: bool = False


@dataclass(frozen=True, slots=True)
class Fence:
    """Makes records of lower epochs for ``partition`` void from here on."""

    partition: int = 0
    epoch: int = 0
    host: str = ""


@dataclass(frozen=True, slots=True)
class HeldGap:
    """Held keys from before ``completed_at`` (seconds since 1970) may be unknown.

    Written by an owner that could not ask every host for the held attempts of its
    predecessor.
    """

    partition: int = 0
    epoch: int = 0
    completed_at: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Intent to run attempt ``attempt`` of ``key`` on one incarnation of a host."""

    partition: int = 0
    epoch: int = 0
    key: str = ""
    attempt: int = 0
    host: str = ""
    incarnation: int = 0
    digest: str = ""
    service: str = ""
    customer: str = ""
    held: bool = False
    claimed_at: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyOutcome:
    """Outcome of an attempt of ``key``: an answer, or a problem that is final."""

    partition: int = 0
    epoch: int = 0
    key: str = ""
    attempt: int = 0
    outcome: Executed | None = None
    problem: Refused | None = None


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job as submitted; ``job`` is its identifier."""

    partition: int = 0
    epoch: int = 0
    job: str = ""
    spec: SubmitJob = field(default_factory=SubmitJob)
    accepted_at: float = 0.0


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """Cancellation of what has not ended of a job."""

    partition: int = 0
    epoch: int = 0
    job: str = ""


@dataclass(frozen=True, slots=True)
class JobAcknowledged:
    """The customer has taken the results; the job may be dropped."""

    partition: int = 0
    epoch: int = 0
    job: str = ""


@dataclass(frozen=True, slots=True)
class TaskIntent:
    """Intent to start an attempt of a task that must not repeat."""

    partition: int = 0
    epoch: int = 0
    job: str = ""
    task: str = ""
    attempt: int = 0
    host: str = ""
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class TaskNotStarted:
    """The host confirmed that this attempt has not started and never will."""

    partition: int = 0
    epoch: int = 0
    job: str = ""
    task: str = ""
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class TaskCheckpointed:
    """Newest checkpoint of a running attempt."""

    partition: int = 0
    epoch: int = 0
    job: str = ""
    task: str = ""
    attempt: int = 0
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class TaskEvicted:
    """Confirmed stop of an attempt with its checkpoint."""

    partition: int = 0
    epoch: int = 0
    job: str = ""
    task: str = ""
    attempt: int = 0
    checkpoint: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """Final state of a task: done, failed, cancelled, cannot_run or unknown."""

    partition: int = 0
    epoch: int = 0
    job: str = ""
    task: str = ""
    attempt: int = 0
    state: str = ""
    result: str = ""
    reason: str = ""


Record = (
    ListChange
    | SnapshotChunk
    | OwnerClaim
    | OwnerRelease
    | Fence
    | HeldGap
    | KeyClaim
    | KeyOutcome
    | JobAccepted
    | JobCancelled
    | JobAcknowledged
    | TaskIntent
    | TaskNotStarted
    | TaskCheckpointed
    | TaskEvicted
    | TaskEnded
)


class Entry(NamedTuple):
    """A record with its identifier; equal identifiers mean the same write."""

    record_id: str
    record: Record


# msgspec decodes raw fields in its own structs only, not in data classes.
class _Envelope(msgspec.Struct, frozen=True):
    record_id: str
    kind: str
    version: int = RECORD_VERSION
    body: msgspec.Raw = msgspec.Raw(b"{}")


_encoder = msgspec.json.Encoder()
_envelope_decoder = msgspec.json.Decoder(_Envelope)
_body_decoders: Mapping[str, msgspec.json.Decoder[Any]] = {
    record_type.__name__: msgspec.json.Decoder(record_type)
    for record_type in get_args(Record)
}


def build_entry(record: Record) -> Entry:
    """Give a new record its identifier."""
    return Entry(uuid4().hex, record)


def encode_entry(entry: Entry) -> bytes:
    """Encode a record as one JSON object."""
    kind = type(entry.record).__name__
    body = msgspec.Raw(_encoder.encode(entry.record))
    return _encoder.encode(_Envelope(entry.record_id, kind, body=body))


def decode_entry(data: bytes) -> Result[Entry, Problem]:
    """Decode a record; fail with ``invalid_record`` if it is unknown or malformed."""
    try:
        envelope = _envelope_decoder.decode(data)
        decoder = _body_decoders.get(envelope.kind)
        if decoder is None:
            return Failure(
                Problem(
                    ErrorKind.INVALID_RECORD,
                    f"record kind {envelope.kind!r} is not known to this release",
                    "kind",
                    "a record kind of this release",
                )
            )
        return Success(Entry(envelope.record_id, decoder.decode(envelope.body)))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_RECORD,
                f"record could not be decoded: {error}",
                "record",
                "a JSON object with record_id, kind, version and body",
            )
        )
