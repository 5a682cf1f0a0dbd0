"""Interface of the local upstream, and its HTTP adapter.

Only this module knows the protocol of upstreams: a request is a POST to the path of its
service, and the answer is the body with its status and content type.
"""

from datetime import timedelta
from typing import NamedTuple, Protocol

import urllib3
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.transport.threads import ThreadBridge
from egretcrank.wire.messages import Execute

CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_ANSWER_BYTES = 4 * 1024 * 1024


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
            "Content-Type": request.content_type or "application/octet-stream",
            "X-Request-Id": request.request_id,
            "X-Customer": request.customer,
        }
        limits = urllib3.Timeout(
            connect=CONNECT_TIMEOUT.total_seconds(), read=timeout.total_seconds()
        )
        try:
            response = self._pool.request(
                "POST",
                f"{self._base}{path}",
                body=request.body,
                headers=headers,
                timeout=limits,
                preload_content=False,
            )
            body = response.read(MAX_ANSWER_BYTES + 1)
            response.release_conn()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Failure(Problem(ErrorKind.NO_UPSTREAM, f"not connected: {error}"))
        except urllib3.exceptions.HTTPError as error:
            return Failure(Problem(ErrorKind.UPSTREAM_FAILED, f"no answer: {error}"))
        return _check_answer(response, body, request.request_id)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.clear()


def _check_answer(
    response: urllib3.BaseHTTPResponse, body: bytes, request_id: str
) -> Result[UpstreamAnswer, Problem]:
    if len(body) > MAX_ANSWER_BYTES:
        detail = f"answer is longer than {MAX_ANSWER_BYTES} bytes"
        return Failure(Problem(ErrorKind.UPSTREAM_FAILED, detail))
    answered = response.headers.get("X-Request-Id", request_id)
    if answered != request_id:
        detail = f"answer belongs to request {answered}"
        return Failure(Problem(ErrorKind.UPSTREAM_FAILED, detail))
    content_type = response.headers.get("Content-Type", "")
    return Success(UpstreamAnswer(response.status, content_type, body))
