"""HTTP client whose errors tell whether a request may have had an effect."""

import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from datetime import timedelta
from typing import NamedTuple, TypeVar

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.nesting import DECODE_ERRORS

# A running peer accepts a connection within a few round trips, even across regions.
CONNECT_TIMEOUT = timedelta(milliseconds=400)

BodyT = TypeVar("BodyT")

# Whether the current thread may open connections.
_openings = threading.local()


class _Connection(urllib3.connection.HTTPConnection):
    """Connection that a request may have to find open."""

    def connect(self) -> None:
        if not getattr(_openings, "allowed", True):
            raise urllib3.exceptions.NewConnectionError(self, "no connection is open")
        super().connect()


@contextmanager
def forbid_connecting() -> Iterator[None]:
    """Let calls of this thread fail as ``unreachable`` unless a connection is open."""
    _openings.allowed = False
    try:
        yield
    finally:
        _openings.allowed = True


class Response(NamedTuple):
    """Status and body of an HTTP response."""

    status: int
    body: bytes


class HttpClient:
    """HTTP client of one address with a connection pool; it never retries a request.

    A failure is ``unreachable`` if the request was not sent, ``connection_refused`` if
    no process listens at the address either, and ``call_timeout`` if the request may
    have had an effect.
    """

    def __init__(self, address: str, connections: int) -> None:
        self._address = address
        self._pool = urllib3.connection_from_url(
            f"http://{address}", maxsize=connections, block=False, retries=False
        )
        self._pool.ConnectionCls = _Connection

    def call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
    ) -> Result[Response, Problem]:
        """Send a request and wait up to ``timeout`` for the response."""
        timeouts = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT, timeout).total_seconds(),
            read=timeout.total_seconds(),
        )
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        try:
            response = self._pool.request(
                method, url, body=body, headers=all_headers, timeout=timeouts
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            kind = ErrorKind.CONNECTION_REFUSED if refused else ErrorKind.UNREACHABLE
            return Failure(self._build_problem(kind, method, url, error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(
                self._build_problem(ErrorKind.CALL_TIMEOUT, method, url, error)
            )
        return Success(Response(response.status, response.data))

    def _build_problem(
        self, kind: ErrorKind, method: str, url: str, error: Exception
    ) -> Problem:
        detail = f"{method} {url.partition('?')[0]}: {type(error).__name__}"
        return Problem(kind, detail, self._address)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()


def decode_body(body: bytes, body_type: type[BodyT]) -> Result[BodyT, Problem]:
    """Decode a JSON body; one that does not match the type is ``invalid_message``."""
    try:
        return Success(msgspec.json.decode(body, type=body_type))
    except DECODE_ERRORS as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_MESSAGE,
                f"body could not be decoded: {error}",
                "body",
                f"the fields of {body_type.__name__}",
            )
        )
