"""Encoding of messages as MessagePack in a versioned envelope."""

from datetime import timedelta
from typing import Any, NamedTuple, get_args

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.messages import Message, Refused

PROTOCOL_VERSION = 1


# msgspec decodes raw fields in its own structs only, not in data classes.
class Envelope(msgspec.Struct, frozen=True):
    """What surrounds each message on the wire; ``body`` is still encoded."""

    version: int = PROTOCOL_VERSION
    kind: str = ""
    call_id: str = ""
    sent_by: str = ""
    body: msgspec.Raw = msgspec.Raw(b"\x80")


class Delivery(NamedTuple):
    """A decoded message with the call and the process that it came from."""

    message: Message
    call_id: str
    sent_by: str


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_body_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
    message_type.__name__: msgspec.msgpack.Decoder(message_type)
    for message_type in get_args(Message)
}


def encode(message: Message, call_id: str, sent_by: str) -> bytes:
    """Encode a message for the wire."""
    return _encoder.encode(
        Envelope(
            kind=type(message).__name__,
            call_id=call_id,
            sent_by=sent_by,
            body=msgspec.Raw(_encoder.encode(message)),
        )
    )


def decode(data: bytes) -> Result[Delivery, Problem]:
    """Decode a message; fail with ``invalid_message`` or ``unsupported_message``."""
    try:
        envelope = _envelope_decoder.decode(data)
    except msgspec.MsgspecError as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_MESSAGE,
                f"envelope could not be decoded: {error}",
                "envelope",
                "a MessagePack map with version, kind, call_id, sent_by and body",
            )
        )
    decoder = _body_decoders.get(envelope.kind)
    if decoder is None:
        return Failure(
            Problem(
                ErrorKind.UNSUPPORTED_MESSAGE,
                f"message kind {envelope.kind!r} is not known to this release",
                "envelope.kind",
                "a message kind of this release",
            )
        )
    try:
        message = decoder.decode(envelope.body)
    except msgspec.MsgspecError as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_MESSAGE,
                f"{envelope.kind} could not be decoded: {error}",
                envelope.kind,
                f"the fields of {envelope.kind}",
            )
        )
    return Success(Delivery(message, envelope.call_id, envelope.sent_by))


def build_refusal(problem: Problem) -> Refused:
    """Build the reply that carries ``problem``."""
    seconds = problem.retry_after.total_seconds() if problem.retry_after else 0.0
    return Refused(
        problem.kind.value, problem.detail, problem.where, problem.expected, seconds
    )


def parse_refusal(refusal: Refused) -> Problem:
    """Read the problem out of a reply; an unknown kind becomes ``internal``."""
    try:
        kind = ErrorKind(refusal.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    seconds = refusal.retry_after_seconds
    return Problem(
        kind,
        refusal.detail,
        refusal.where,
        refusal.expected,
        timedelta(seconds=seconds) if seconds > 0 else None,
    )
