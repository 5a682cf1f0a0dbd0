"""HTTP endpoint for the heartbeats of the runner on the agent's machine."""

import logging
import re
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.bounds import Clock, DurationMilliseconds, Identifier
from egretcrank.platform.calls import decode_body
from egretcrank.wire.bounds import Amount, Count, is_address
from egretcrank.wire.hosting import RunnerInfo

INSTANCES_PREFIX = "/-/instances/"
READY_STATE = "ready"
DRAINING_STATE = "draining"
# Limits all strings and lists of a heartbeat, which each report to the leader repeats.
MAX_HEARTBEAT_BYTES = 64 * 1024
MAX_LOGGED_CHARACTERS = 40

# Runner ids are sent back in a header, so they are visible ASCII characters.
_RUNNER_ID = re.compile(r"[!-~]{1,255}")

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

logger = logging.getLogger(__name__)


class _Capacity(msgspec.Struct, frozen=True):
    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class _HeartbeatBody(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    # Increases with each heartbeat of one runner process, to detect delayed ones.
    sequence: Count
    born: Identifier
    # Without it, the body is of another writer and describes no runner.
    capacity: _Capacity
    clock_ms: Clock = 0
    # The runner's kind, followed by its rack.
    labels: list[str] = []
    # Minimum time before a draining runner stops.
    remaining_ms: DurationMilliseconds = 0.0


class Heartbeat(msgspec.Struct):
    """Description and address of a runner, and its clock in milliseconds."""

    runner: RunnerInfo
    address: str
    sequence: int
    clock: int


class HeartbeatEndpoint:
    """WSGI application that passes valid heartbeats to a callback.

    An invalid heartbeat is logged and answered with status 400.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], None],
        on_unregister: Callable[[str], None],
    ) -> None:
        self._on_heartbeat = on_heartbeat
        self._on_unregister = on_unregister

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        status = self._handle(environ)
        start(status, [("Content-Type", "application/json"), ("Content-Length", "2")])
        return [b"{}"]

    def _handle(self, environ: Environ) -> str:
        path = environ.get("PATH_INFO", "")
        if not path.startswith(INSTANCES_PREFIX):
            return "404 Not Found"
        runner_id = path.removeprefix(INSTANCES_PREFIX)
        method = environ.get("REQUEST_METHOD", "")
        if method == "DELETE":
            self._on_unregister(runner_id)
            return "200 OK"
        if method != "PUT":
            return "405 Method Not Allowed"
        length = environ.get("CONTENT_LENGTH") or "0"
        size = int(length) if length.isdecimal() else 0
        if size > MAX_HEARTBEAT_BYTES:
            logger.warning("heartbeat refused", extra={"bytes": size})
            return "413 Content Too Large"
        data = environ["wsgi.input"].read(size) if size else b""
        match decode_body(data, _HeartbeatBody).bind(
            lambda body: _check_heartbeat(runner_id, body)
        ):
            case Success(body):
                self._on_heartbeat(_build_heartbeat(runner_id, body))
                return "200 OK"
            case Failure(problem):
                logger.warning(
                    "heartbeat refused",
                    extra={
                        "detail": problem.detail,
                        "where": problem.where,
                        "expected": problem.expected,
                    },
                )
        return "400 Bad Request"


def _check_heartbeat(
    runner_id: str, body: _HeartbeatBody
) -> Result[_HeartbeatBody, Problem]:
    if not _RUNNER_ID.fullmatch(runner_id):
        return _refuse("path", runner_id, "1 to 255 visible ASCII characters")
    if body.state not in (READY_STATE, DRAINING_STATE):
        return _refuse("state", body.state, f"{READY_STATE} or {DRAINING_STATE}")
    if not is_address(body.address):
        return _refuse("address", body.address, "a host and a port from 1 to 65535")
    return Success(body)


def _refuse(where: str, value: str, expected: str) -> Failure[Problem]:
    detail = f"{value[:MAX_LOGGED_CHARACTERS]!r} is not valid"
    return Failure(Problem(ErrorKind.INVALID_MESSAGE, detail, where, expected))


def _build_heartbeat(runner_id: str, body: _HeartbeatBody) -> Heartbeat:
    return Heartbeat(
        RunnerInfo(
            runner_id,
            body.born,
            body.service,
            body.zone,
            body.labels[1] if len(body.labels) > 1 else "",
            tuple(body.labels),
            body.capacity.cpu,
            body.capacity.mem_mb,
            body.capacity.gpu,
            body.state == DRAINING_STATE,
            body.remaining_ms / 1000,
        ),
        body.address,
        body.sequence,
        body.clock_ms,
    )
