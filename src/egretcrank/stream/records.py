"""Records of the streams and their encoding as JSON.

Every field has a default and unknown fields are ignored, so that processes of different
releases can share a stream. Readers skip records of an unknown kind.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, get_args
from uuid import uuid4

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.bounds import Integer
from egretcrank.wire.messages import Executed, Refused, SubmitJob
from egretcrank.wire.nesting import DECODE_ERRORS

RECORD_VERSION = 1


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of list entries; keys are ``plans/<customer>`` or ``allowances/<plan>``.

    ``authority`` is ``operator`` or ``founder``. With ``override``, later changes of
    these entries by a lower authority are rejected, until a change lists their keys in
    ``lift``. ``published_at`` is in seconds since 1970, by the clock of the publisher.
    """

    base_revision: Integer = 0
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
    """Chunk ``index`` of ``count`` of the state after the record at offset ``through``.

    ``scope`` is empty for an entire stream, or names a partition of a work stream. All
    chunks of a snapshot have the same ``snapshot_id``; ``digest`` is the xxh64 of the
    entire state. ``taken_at`` is when the state was built, in seconds since 1970.
    """

    snapshot_id: str = ""
    scope: str = ""
    through: Integer = -1
    index: Integer = 0
    count: Integer = 1
    digest: str = ""
    data: bytes = b""
    taken_at: float = 0.0


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """Claim of the ownership of a partition.

    It is valid if ``epoch`` is the current epoch of the partition plus one.
    """

    partition: Integer = 0
    epoch: Integer = 0
    host: str = ""
    incarnation: Integer = 0
    address: str = ""


@dataclass(frozen=True, slots=True)
class OwnerRelease:
    """Release of a partition by its owner.

    It is ``clean`` if no held attempt of this ownership can be missing from the log.
    """

    partition: Integer = 0
    epoch: Integer = 0
    host: str = ""
    clean: bool = False


@dataclass(frozen=True, slots=True)
class Fence:
    """Makes all later records of lower epochs for ``partition`` void."""

    partition: Integer = 0
    epoch: Integer = 0
    host: str = ""


@dataclass(frozen=True, slots=True)
class HeldGap:
    """Marks that held keys from before ``completed_at`` may be missing from the log.

    Written by an owner that could not query every host for the held attempts of the
    previous owner. ``completed_at`` is in seconds since 1970.
    """

    partition: Integer = 0
    epoch: Integer = 0
    completed_at: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Intent to run an attempt for a key on one incarnation of a host.

    ``held`` marks the claim of an attempt that a former owner held in memory and its
    successor recorded. ``claimed_at`` is in seconds since 1970.
    """

    partition: Integer = 0
    epoch: Integer = 0
    key: str = ""
    attempt: Integer = 0
    host: str = ""
    incarnation: Integer = 0
    digest: str = ""
    service: str = ""
    customer: str = ""
    held: bool = False
    claimed_at: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyOutcome:
    """Outcome of an attempt for a key: a response or an error."""

    partition: Integer = 0
    epoch: Integer = 0
    key: str = ""
    attempt: Integer = 0
    outcome: Executed | None = None
    problem: Refused | None = None


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """Acceptance of a submitted job; ``job`` is its ID."""

    partition: Integer = 0
    epoch: Integer = 0
    job: str = ""
    spec: SubmitJob = field(default_factory=SubmitJob)
    accepted_at: float = 0.0


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """Cancellation of the tasks of a job that have not ended."""

    partition: Integer = 0
    epoch: Integer = 0
    job: str = ""


@dataclass(frozen=True, slots=True)
class JobAcknowledged:
    """Confirmation that the customer has the results; the job may be deleted."""

    partition: Integer = 0
    epoch: Integer = 0
    job: str = ""


@dataclass(frozen=True, slots=True)
class TaskIntent:
    """Intent to start an attempt of a task that must not run twice."""

    partition: Integer = 0
    epoch: Integer = 0
    job: str = ""
    task: str = ""
    attempt: Integer = 0
    host: str = ""
    incarnation: Integer = 0


@dataclass(frozen=True, slots=True)
class TaskNotStarted:
    """Statement that an attempt with a recorded intent did not and will not start."""

    partition: Integer = 0
    epoch: Integer = 0
    job: str = ""
    task: str = ""
    attempt: Integer = 0


@dataclass(frozen=True, slots=True)
class TaskCheckpointed:
    """Newest checkpoint of a running attempt."""

    partition: Integer = 0
    epoch: Integer = 0
    job: str = ""
    task: str = ""
    attempt: Integer = 0
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class TaskEvicted:
    """End of an attempt that another one may follow, with its checkpoint, if any.

    For example, the attempt was evicted, has failed or was lost.
    """

    partition: Integer = 0
    epoch: Integer = 0
    job: str = ""
    task: str = ""
    attempt: Integer = 0
    checkpoint: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """Final state of a task: done, failed, cancelled, cannot_run or unknown."""

    partition: Integer = 0
    epoch: Integer = 0
    job: str = ""
    task: str = ""
    attempt: Integer = 0
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
    """A record with its ID; entries with the same ID are the same write."""

    record_id: str
    record: Record


# A msgspec struct, because msgspec does not decode Raw fields of dataclasses.
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
    """Assign a new ID to a record."""
    return Entry(uuid4().hex, record)


def encode_entry(entry: Entry) -> bytes:
    """Encode a record as one JSON object."""
    kind = type(entry.record).__name__
    body = msgspec.Raw(_encoder.encode(entry.record))
    return _encoder.encode(_Envelope(entry.record_id, kind, body=body))


def decode_entry(data: bytes) -> Result[Entry, Problem]:
    """Decode a record.

    Fails with ``invalid_record`` if the record is malformed or of an unknown kind.
    """
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
    except DECODE_ERRORS as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_RECORD,
                f"record could not be decoded: {error}",
                "record",
                "a JSON object with record_id, kind, version and body",
            )
        )
