"""Digest of a request and creation time of a key."""

from datetime import UTC, datetime
from uuid import UUID

import xxhash

from egretcrank.wire.messages import Execute


def compute_digest(request: Execute) -> str:
    """Return the digest that tells whether two requests are the same."""
    state = xxhash.xxh64()
    for part in (request.service, request.customer, request.content_type):
        state.update(part.encode())
        state.update(b"\0")
    state.update(request.body)
    return state.hexdigest()


def read_creation_time(key: str) -> datetime | None:
    """Return the creation time in a UUIDv7, or nothing. Source: RFC 9562, 5.7."""
    try:
        value = UUID(key)
    except ValueError:
        return None
    if value.version != 7:
        return None
    return datetime.fromtimestamp((value.int >> 80) / 1000, UTC)
