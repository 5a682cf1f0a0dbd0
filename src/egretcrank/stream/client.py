"""Client interface of the log service, and its HTTP implementation.

The protocol of the log service is used in this module only. A stream is an append-only
sequence of records with consecutive offsets starting at 0; the log service drops the
oldest records after the retention period.
"""

import math
from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol, TypeVar
from urllib.parse import quote

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.transport.threads import ThreadBridge
from egretcrank.transport.traffic import Traffic
from egretcrank.wire.nesting import cut_nested

CONNECT_TIMEOUT = timedelta(seconds=2)
APPEND_TIMEOUT = timedelta(seconds=5)
READ_TIMEOUT_MARGIN = timedelta(seconds=5)

BodyT = TypeVar("BodyT", bound=msgspec.Struct)


class StoredRecord(NamedTuple):
    """A record of a stream as JSON text, with its offset."""

    offset: int
    data: bytes


class Page(NamedTuple):
    """Consecutive records of a stream, starting at a requested offset.

    ``first_available`` is the oldest retained offset; ``end`` is the offset of the next
    record to be appended.
    """

    first_available: int
    end: int
    records: tuple[StoredRecord, ...]


class LogClient(Protocol):
    """Operations of the log service that the system uses."""

    async def append(
        self, stream: str, records: Sequence[bytes]
    ) -> Result[int, Problem]:
        """Append records in order and return the offset of the first.

        After a failure (``log_unavailable``) the records may or may not be in the log.
        """

    async def read(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> Result[Page, Problem]:
        """Read up to ``limit`` records starting at ``offset``.

        If there is none, wait for up to ``wait`` for the first one (long polling).
        """


class _StoredRecordBody(msgspec.Struct):
    offset: int
    record: msgspec.Raw


class _PageBody(msgspec.Struct):
    first_available: int
    end: int
    records: list[_StoredRecordBody]


class _AppendBody(msgspec.Struct):
    records: list[msgspec.Raw]


class _AppendReply(msgspec.Struct):
    first_offset: int


class HttpLogClient:
    """Client of the log service over HTTP with JSON bodies."""

    def __init__(
        self,
        address: str,
        bridge: ThreadBridge,
        connections: int = 8,
        traffic: Traffic | None = None,
    ) -> None:
        self._traffic = traffic or Traffic()
        self._bridge = bridge
        # urllib3 must not retry: a repeated POST would append the records twice.
        # A connection pool costs a fifth less per request than a PoolManager.
        self._pool = urllib3.connection_from_url(
            f"http://{address}", maxsize=connections, block=False, retries=False
        )

    async def append(
        self, stream: str, records: Sequence[bytes]
    ) -> Result[int, Problem]:
        """Append records in order and return the offset of the first."""
        body = msgspec.json.encode(_AppendBody([msgspec.Raw(r) for r in records]))
        self._traffic.count_sent(len(body))
        reply = await self._request("POST", self._url(stream), body, APPEND_TIMEOUT)
        return reply.bind(lambda data: _decode(data, _AppendReply)).map(
            lambda decoded: decoded.first_offset
        )

    async def read(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> Result[Page, Problem]:
        """Read up to ``limit`` records starting at ``offset``."""
        query = f"?from={offset}&limit={limit}&wait={wait.total_seconds():.3f}"
        url = self._url(stream) + query
        self._traffic.count_sent(len(url))
        reply = await self._request("GET", url, b"", wait + READ_TIMEOUT_MARGIN)
        self._traffic.count_received(len(reply.value_or(b"")))
        return reply.bind(lambda data: _decode(data, _PageBody)).map(_build_page)

    def _url(self, stream: str) -> str:
        return f"/streams/{quote(stream, safe='')}"

    async def _request(
        self, method: str, url: str, body: bytes, timeout: timedelta
    ) -> Result[bytes, Problem]:
        return await self._bridge.run_blocking(self._send, method, url, body, timeout)

    def _send(
        self, method: str, url: str, body: bytes, timeout: timedelta
    ) -> Result[bytes, Problem]:
        limits = urllib3.Timeout(
            connect=CONNECT_TIMEOUT.total_seconds(), read=timeout.total_seconds()
        )
        try:
            response = self._pool.request(
                method,
                url,
                body=body or None,
                headers={"Content-Type": "application/json"},
                timeout=limits,
            )
        except urllib3.exceptions.HTTPError as error:
            return Failure(
                Problem(ErrorKind.LOG_UNAVAILABLE, f"{method} {url}: {error}", "log")
            )
        if response.status != 200:
            retry_after = _parse_seconds(response.headers.get("Retry-After"))
            return Failure(
                Problem(
                    ErrorKind.LOG_UNAVAILABLE,
                    f"{method} {url}: status {response.status}",
                    "log",
                    retry_after=retry_after,
                )
            )
        return Success(response.data)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()


def _parse_seconds(value: str | None) -> timedelta | None:
    try:
        seconds = float(value or "")
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return timedelta(seconds=seconds)


def _build_page(body: _PageBody) -> Page:
    records = tuple(StoredRecord(r.offset, bytes(r.record)) for r in body.records)
    return Page(body.first_available, body.end, records)


def _decode(data: bytes, kind: type[BodyT]) -> Result[BodyT, Problem]:
    try:
        try:
            return Success(msgspec.json.decode(data, type=kind))
        except RecursionError:
            # The other records of the page can be used.
            return Success(msgspec.json.decode(cut_nested(data), type=kind))
    except msgspec.MsgspecError as error:
        return Failure(
            Problem(ErrorKind.LOG_UNAVAILABLE, f"unexpected reply: {error}", "log")
        )
