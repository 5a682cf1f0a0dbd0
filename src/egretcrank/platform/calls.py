"""HTTP calls whose failures tell whether the call may have had an effect."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple, TypeVar

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem

# A peer that is up accepts within a few round trips, also between regions.
CONNECT_TIMEOUT = timedelta(milliseconds=400)

BodyT = TypeVar("BodyT")


class Reply(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class Caller:
    """Calls one address over kept connections, and never repeats a call by itself.

    A failure is ``unreachable`` if the call was not sent, ``call_timeout`` if it may
    have had an effect.
    """

    def __init__(self, address: str, connections: int) -> None:
        self._address = address
        self._pool = urllib3.connection_from_url(
            f"http://{address}", maxsize=connections, block=False, retries=False
        )

    def call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
    ) -> Result[Reply, Problem]:
        """Send a call and wait up to ``timeout`` for its answer."""
        limits = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT, timeout).total_seconds(),
            read=timeout.total_seconds(),
        )
        sent = {"Content-Type": "application/json", **(headers or {})}
        try:
            response = self._pool.request(
                method, url, body=body, headers=sent, timeout=limits
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Failure(self._report(ErrorKind.UNREACHABLE, method, url, error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(self._report(ErrorKind.CALL_TIMEOUT, method, url, error))
        return Success(Reply(response.status, response.data))

    def _report(
        self, kind: ErrorKind, method: str, url: str, error: Exception
    ) -> Problem:
        detail = f"{method} {url.partition('?')[0]}: {type(error).__name__}"
        return Problem(kind, detail, self._address)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()


def decode_body(body: bytes, kind: type[BodyT]) -> Result[BodyT, Problem]:
    """Decode a JSON body; a body of another shape is ``invalid_message``."""
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(
            Problem(
                ErrorKind.INVALID_MESSAGE,
                f"body could not be decoded: {error}",
                expected=f"the fields of {kind.__name__}",
            )
        )
