"""Interface of the local upstream, and its HTTP adapter.

Only this module knows the protocol of upstreams: a request is a POST to the path of its
service, and the answer is the body with its status and content type.
"""

import time
from datetime import timedelta
from typing import NamedTuple, Protocol

import urllib3
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.transport.threads import ThreadBridge
from egretcrank.wire.messages import Execute

DEFAULT_TYPE = "application/octet-stream"
CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_ANSWER_BYTES = 4 * 1024 * 1024
READ_BYTES = 65536
FIRST_FINAL_STATUS = 200


class UpstreamAnswer(NamedTuple):
    """Whole answer of an upstream."""

    status: int
    content_type: str
    body: bytes


class UpstreamClient(Protocol):
    """What a sidecar needs from its upstream."""

    async def run(
        self, path: str, request: Execute, timeout: timedelta
    ) -> Result[UpstreamAnswer, Problem]:
        """Run a request.

        Fails with ``no_upstream`` if nothing was sent, and with ``upstream_failed`` if
        the upstream may have run it.
        """


class HttpUpstreamClient:
    """Upstream over HTTP on the same host."""

    def __init__(self, address: str, bridge: ThreadBridge, connections: int) -> None:
        self._base = f"http://{address}"
        self._bridge = bridge
        # urllib3 would repeat a request after a connection error; the upstream may have
        # run it by then.
        self._pool = urllib3.PoolManager(
            num_pools=1, maxsize=connections, block=False, retries=False
        )

    async def run(
        self, path: str, request: Execute, timeout: timedelta
    ) -> Result[UpstreamAnswer, Problem]:
        """Run a request on a thread of the bridge."""
        return await self._bridge.run_blocking(self._send, path, request, timeout)

    def _send(
        self, path: str, request: Execute, timeout: timedelta
    ) -> Result[UpstreamAnswer, Problem]:
        headers = {
            "Content-Type": _write_text(request.content_type) or DEFAULT_TYPE,
            "X-Request-Id": request.request_id,
            "X-Customer": _write_text(request.customer),
        }
        limits = urllib3.Timeout(
            connect=CONNECT_TIMEOUT.total_seconds(), read=timeout.total_seconds()
        )
        deadline = time.monotonic() + timeout.total_seconds()
        try:
            response = self._pool.request(
                "POST",
                f"{self._base}{path}",
                body=request.body,
                headers=headers,
                timeout=limits,
                preload_content=False,
            )
            body = _read_whole(response, deadline)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Failure(Problem(ErrorKind.NO_UPSTREAM, f"not connected: {error}"))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Failure(Problem(ErrorKind.UPSTREAM_FAILED, f"no answer: {error}"))
        if isinstance(body, Problem):
            return Failure(body)
        return _check_answer(response, body, request.request_id)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.clear()


def _write_text(text: str) -> str:
    """Return a header value in UTF-8, which the client library takes as Latin-1."""
    return text.encode().decode("latin-1")


def _read_whole(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes | Problem:
    """Read an answer up to the limit of its length and to the deadline.

    The connection is reused only after a whole answer; the rest of another one would
    be taken for the answer to the next request.
    """
    parts: list[bytes] = []
    length = 0
    while part := response.read1(READ_BYTES):
        parts.append(part)
        length += len(part)
        if length > MAX_ANSWER_BYTES:
            response.close()
            detail = f"answer is longer than {MAX_ANSWER_BYTES} bytes"
            return Problem(ErrorKind.UPSTREAM_FAILED, detail)
        if time.monotonic() > deadline:
            response.close()
            detail = f"only {length} bytes of the answer arrived in time"
            return Problem(ErrorKind.UPSTREAM_FAILED, detail)
    response.release_conn()
    return b"".join(parts)


def _check_answer(
    response: urllib3.BaseHTTPResponse, body: bytes, request_id: str
) -> Result[UpstreamAnswer, Problem]:
    if response.status < FIRST_FINAL_STATUS:
        detail = f"status {response.status} is not final"
        return Failure(Problem(ErrorKind.UPSTREAM_FAILED, detail))
    answered = response.headers.get("X-Request-Id", request_id)
    if answered != request_id:
        detail = f"answer belongs to request {answered}"
        return Failure(Problem(ErrorKind.UPSTREAM_FAILED, detail))
    content_type = response.headers.get("Content-Type", "")
    return Success(UpstreamAnswer(response.status, content_type, body))
