"""Versioned envelope of the messages between processes."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.nesting import DECODE_ERRORS

PROTOCOL_VERSION = 1


# A msgspec struct, as msgspec does not decode ``Raw`` fields in dataclasses.
class Envelope(msgspec.Struct, frozen=True):
    """Envelope of a message on the wire; ``body`` is the encoded message."""

    version: int = PROTOCOL_VERSION
    kind: str = ""
    call_id: str = ""
    sent_by: str = ""
    body: msgspec.Raw = msgspec.Raw(b"\x80")


class Delivery(NamedTuple):
    """A decoded message, the id of its call and the name of the sending process."""

    message: Any
    call_id: str
    sent_by: str


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)


class Codec:
    """Encodes and decodes a closed set of message kinds as MessagePack."""

    def __init__(self, kinds: Iterable[type]) -> None:
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
            kind.__name__: msgspec.msgpack.Decoder(kind) for kind in kinds
        }

    def encode(self, message: object, call_id: str, sent_by: str) -> bytes:
        """Encode a message for the wire."""
        return _encoder.encode(
            Envelope(
                kind=type(message).__name__,
                call_id=call_id,
                sent_by=sent_by,
                body=msgspec.Raw(_encoder.encode(message)),
            )
        )

    def decode(self, data: bytes) -> Result[Delivery, Problem]:
        """Decode a message.

        Fails with ``invalid_message`` or ``unsupported_message``.
        """
        try:
            envelope = _envelope_decoder.decode(data)
        except DECODE_ERRORS as error:
            return Failure(
                Problem(
                    ErrorKind.INVALID_MESSAGE,
                    f"envelope could not be decoded: {error}",
                    "envelope",
                    "a MessagePack map with version, kind, call_id, sent_by and body",
                )
            )
        decoder = self._decoders.get(envelope.kind)
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
        except DECODE_ERRORS as error:
            return Failure(
                Problem(
                    ErrorKind.INVALID_MESSAGE,
                    f"{envelope.kind} could not be decoded: {error}",
                    envelope.kind,
                    f"the fields of {envelope.kind}",
                )
            )
        return Success(Delivery(message, envelope.call_id, envelope.sent_by))
