"""HTTP client whose errors tell whether a request may have had an effect."""

import socket
import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.nesting import DECODE_ERRORS

# A running peer accepts a connection within a few round trips, even across regions.
CONNECT_TIMEOUT = timedelta(milliseconds=400)

BodyT = TypeVar("BodyT")


class _Connection(urllib3.connection.HTTPConnection):
    """Connection that may be known to lead to one server process.

    ``identified`` is the socket on which a reply has identified the process, and that
    process. A connection that is opened anew has another socket.
    """

    identified: "tuple[socket.socket, int] | None" = None

    def request(self, *args: Any, **kwargs: Any) -> None:
        required = _thread.required_process
        if required is not None and self.identified != (self.sock, required):
            message = "no open connection to the process is known"
            raise urllib3.exceptions.NewConnectionError(self, message)
        try:
            super().request(*args, **kwargs)
        finally:
            # An early reply is read also where the request could not be sent in full.
            _thread.connection, _thread.socket = self, self.sock


class _ThreadState(threading.local):
    """Restriction of the calls of one thread, and the connection that it used last.

    ``required_process`` is unset while calls may use any connection and open new ones.
    """

    required_process: int | None = None
    connection: _Connection | None = None
    socket: "socket.socket | None" = None


_thread = _ThreadState()


@contextmanager
def require_process(process: int) -> Iterator[None]:
    """Restrict this thread's calls to open connections to one server process.

    Without such a connection they fail as ``unreachable``.
    """
    _thread.required_process = process
    try:
        yield
    finally:
        _thread.required_process = None


def identify_process(process: int) -> None:
    """Record that the last reply to this thread came from a server process.

    The open connection leads to that process for good. Another thread may be using it
    by now, but none that requires a process.
    """
    if _thread.connection is not None and _thread.socket is not None:
        _thread.connection.identified = (_thread.socket, process)


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
        _thread.connection = _thread.socket = None
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
