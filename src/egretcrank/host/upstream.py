"""Client interface of the local upstream and its HTTP implementation.

Only this module depends on the protocol of upstreams: a request is a POST to the path
of its service; status, content type and body of the response form the result.
"""

import time
from datetime import timedelta
from typing import NamedTuple, Protocol

import urllib3
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.transport.threads import ThreadBridge
from egretcrank.wire.messages import Execute

DEFAULT_CONTENT_TYPE = "application/octet-stream"
CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
READ_CHUNK_BYTES = 65536
FIRST_FINAL_STATUS = 200


class UpstreamResponse(NamedTuple):
    """Complete response of an upstream."""

    status: int
    content_type: str
    body: bytes


class UpstreamClient(Protocol):
    """Interface through which a sidecar calls its upstream."""

    async def run(
        self, path: str, request: Execute, timeout: timedelta
    ) -> Result[UpstreamResponse, Problem]:
        """Run a request.

        Fails with ``no_upstream`` if no connection was made, so that nothing was sent,
        and with ``upstream_failed`` if the upstream may have run the request.
        """


class HttpUpstreamClient:
    """Client of an upstream that serves HTTP on the same host."""

    def __init__(self, address: str, bridge: ThreadBridge, connections: int) -> None:
        self._base = f"http://{address}"
        self._bridge = bridge
        # By default urllib3 retries a request after a connection error, when the
        # upstream may have run it already.
        self._pool = urllib3.PoolManager(
            num_pools=1, maxsize=connections, block=False, retries=False
        )

    async def run(
        self, path: str, request: Execute, timeout: timedelta
    ) -> Result[UpstreamResponse, Problem]:
        """Send a request on a thread of the bridge and wait for the response."""
        return await self._bridge.run_blocking(self._send, path, request, timeout)

    def _send(
        self, path: str, request: Execute, timeout: timedelta
    ) -> Result[UpstreamResponse, Problem]:
        headers = {
            "Content-Type": _encode_header_value(request.content_type)
            or DEFAULT_CONTENT_TYPE,
            "X-Request-Id": request.request_id,
            "X-Customer": _encode_header_value(request.customer),
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
            body = _read_body(response, deadline)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Failure(
                Problem(ErrorKind.NO_UPSTREAM, f"connection failed: {error}")
            )
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Failure(Problem(ErrorKind.UPSTREAM_FAILED, f"no response: {error}"))
        if isinstance(body, Problem):
            return Failure(body)
        return _check_response(response, body, request.request_id)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.clear()


def _encode_header_value(text: str) -> str:
    """Return a header value that is UTF-8 once urllib3 has encoded it as Latin-1."""
    return text.encode().decode("latin-1")


def _read_body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes | Problem:
    """Read a response body within the size limit and the deadline.

    The connection is reused only after a complete response; the rest of an incomplete
    one would be read as the start of the next response.
    """
    chunks: list[bytes] = []
    length = 0
    while chunk := response.read1(READ_CHUNK_BYTES):
        chunks.append(chunk)
        length += len(chunk)
        if length > MAX_RESPONSE_BYTES:
            response.close()
            detail = f"response is longer than {MAX_RESPONSE_BYTES} bytes"
            return Problem(ErrorKind.UPSTREAM_FAILED, detail)
        if time.monotonic() > deadline:
            response.close()
            detail = f"deadline expired after {length} bytes of the response"
            return Problem(ErrorKind.UPSTREAM_FAILED, detail)
    response.release_conn()
    return b"".join(chunks)


def _check_response(
    response: urllib3.BaseHTTPResponse, body: bytes, request_id: str
) -> Result[UpstreamResponse, Problem]:
    if response.status < FIRST_FINAL_STATUS:
        detail = f"status {response.status} is not a final status"
        return Failure(Problem(ErrorKind.UPSTREAM_FAILED, detail))
    response_id = response.headers.get("X-Request-Id", request_id)
    if response_id != request_id:
        detail = f"response has the ID of another request: {response_id}"
        return Failure(Problem(ErrorKind.UPSTREAM_FAILED, detail))
    content_type = response.headers.get("Content-Type", "")
    return Success(UpstreamResponse(response.status, content_type, body))
