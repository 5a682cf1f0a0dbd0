"""Request digests and creation times of keys."""

from datetime import UTC, datetime
from uuid import UUID

import xxhash

from egretcrank.wire.messages import Execute


def compute_digest(request: Execute) -> str:
    """Return a digest that is equal for requests with the same content."""
    state = xxhash.xxh64()
    for part in (request.service, request.customer, request.content_type):
        state.update(part.encode())
        state.update(b"\0")
    state.update(request.body)
    return state.hexdigest()


def parse_creation_time(key: str) -> datetime | None:
    """Return the timestamp of a UUIDv7, or ``None`` for other keys.

    See RFC 9562, section 5.7.
    """
    try:
        value = UUID(key)
    except ValueError:
        return None
    if value.version != 7:
        return None
    return datetime.fromtimestamp((value.int >> 80) / 1000, UTC)
