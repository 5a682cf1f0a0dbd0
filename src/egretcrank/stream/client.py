"""Interface of the platform's log service, and its HTTP adapter.

Only this module knows the protocol of the log service. A stream is an append-only
sequence of records with consecutive offsets from 0, of which the oldest may be gone.
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

CONNECT_TIMEOUT = timedelta(seconds=2)
APPEND_TIMEOUT = timedelta(seconds=5)
READ_MARGIN = timedelta(seconds=5)

BodyT = TypeVar("BodyT", bound=msgspec.Struct)


class StoredRecord(NamedTuple):
    """A record of a stream as JSON text, with its offset."""

    offset: int
    data: bytes


class Page(NamedTuple):
    """Records of a stream from a requested offset on.

    ``first_available`` is the oldest offset that is still kept, ``end`` the offset
    that the next appended record gets.
    """

    first_available: int
    end: int
    records: tuple[StoredRecord, ...]


class LogClient(Protocol):
    """What the system needs from the log service."""

    async def append(
        self, stream: str, records: Sequence[bytes]
    ) -> Result[int, Problem]:
        """Append records in order and return the offset of the first.

        A failure (``log_unavailable``) does not tell whether the write took effect.
        """

    async def read(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> Result[Page, Problem]:
        """Read up to ``limit`` records from ``offset`` on.

        Waits up to ``wait`` for the first record if there is none.
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
    """Log service over HTTP with JSON bodies."""

    def __init__(
        self,
        address: str,
        bridge: ThreadBridge,
        connections: int = 8,
        traffic: Traffic | None = None,
    ) -> None:
        self._traffic = traffic or Traffic()
        self._bridge = bridge
        # A repeated POST would append again, so urllib3 must not retry by itself.
        # A pool of one host is a fifth cheaper for each request than a pool manager.
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
        """Read up to ``limit`` records from ``offset`` on."""
        query = f"?from={offset}&limit={limit}&wait={wait.total_seconds():.3f}"
        url = self._url(stream) + query
        self._traffic.count_sent(len(url))
        reply = await self._request("GET", url, b"", wait + READ_MARGIN)
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
        return Success(msgspec.json.decode(data, type=kind))
    except msgspec.MsgspecError as error:
        return Failure(
            Problem(ErrorKind.LOG_UNAVAILABLE, f"unexpected reply: {error}", "log")
        )
