"""WSGI application with the platform's HTTP interface for callers."""

import logging
import threading
from collections.abc import Callable, Iterable
from datetime import UTC, datetime, timedelta
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.controller.service import JobService, JobState
from egretcrank.errors.answers import ANSWERS, build_error_body
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.calls import decode_body
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.definitions import JobDefinition, Step
from egretcrank.scheduling.records import Phase
from egretcrank.wire.bounds import Integer

DEADLINE_HEADER = "HTTP_EGRETCRANK_REQUEST_DEADLINE"
# Callers that send no deadline header wait about this long.
DEFAULT_TIMEOUT = timedelta(seconds=3)
# Longer waits of callers are cut to this; a number of more digits is not parsed.
MAX_TIMEOUT = timedelta(hours=1)
MAX_TIMEOUT_DIGITS = 12
# Minimum time before the shutdown deadline to store a job or a cancellation; with less,
# the request is rejected before any append.
MIN_TIME_LEFT = timedelta(milliseconds=400)
JOB_ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdef")

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

logger = logging.getLogger(__name__)


class _Step(msgspec.Struct):
    count: Integer = 0
    cpu: Integer = 0
    mem_mb: Integer = 0
    gpu: Integer = 0
    estimated_ms: float = 0.0
    depends_on: tuple[Integer, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that the runner must have.
    requirements: str = ""
    # Rack that holds the input data.
    affinity: str = ""
    # Maximum number of tasks of the step on one runner.
    anti_affinity: Integer = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    # Whether the tasks are best-effort tasks.
    fills: bool = False
    miss_allowed: Integer = 0


class _Job(msgspec.Struct):
    spec: str = ""
    steps: list[_Step] = []
    repetitions: Integer = 0
    first_run_ms: float = 0.0
    interval_ms: float = 0.0


class Response(NamedTuple):
    """Status, body and Retry-After delay of an HTTP response."""

    status: int
    body: bytes
    retry_after: timedelta | None = None


class Ingress:
    """Decodes requests of callers and passes them to the job service."""

    def __init__(self, service: JobService, clock: Clock, metrics: Metrics) -> None:
        self._service = service
        self._clock = clock
        self._metrics = metrics
        # Time by which the last responses are due, set when shutdown begins.
        self._shutdown_deadline: timedelta | None = None
        self._in_flight_lock = threading.Lock()
        self.in_flight = 0

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        self._change_in_flight(1)
        try:
            return self._respond(environ, start)
        finally:
            self._change_in_flight(-1)

    def close(self, shutdown_deadline: timedelta) -> None:
        """Serve requests until a deadline and ask callers to close their connections.

        Used on a planned restart: a request that waits for the log for its caller's
        whole timeout would lose its connection when the process exits.
        """
        self._shutdown_deadline = shutdown_deadline

    def _change_in_flight(self, change: int) -> None:
        with self._in_flight_lock:
            self.in_flight += change

    def _respond(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        method = environ.get("REQUEST_METHOD", "")
        started_at = self._clock.boottime()
        try:
            response = self._handle(environ)
        except Exception:
            logger.exception("request failed", extra={"path": environ.get("PATH_INFO")})
            response = _build_error_response(
                Problem(ErrorKind.INTERNAL, "request failed")
            )
        elapsed = self._clock.boottime() - started_at
        self._metrics.caller_seconds.add({"method": method}, elapsed.total_seconds())
        self._metrics.caller_requests.inc(
            {"method": method, "status": str(int(response.status))}
        )
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
        ]
        if response.retry_after is not None:
            seconds = max(1, round(response.retry_after.total_seconds()))
            headers.append(("Retry-After", str(seconds)))
        # If the log is unavailable here, the caller reconnects to another controller,
        # which may be able to reach it.
        unavailable = response.status == HTTPStatus.SERVICE_UNAVAILABLE
        if self._shutdown_deadline is not None or unavailable:
            headers.append(("Connection", "close"))
        start(f"{response.status} {HTTPStatus(response.status).phrase}", headers)
        return [response.body]

    def _handle(self, environ: Environ) -> Response:
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        path = environ.get("PATH_INFO", "")
        body = _read_body(environ)
        match self._service.find_queue(host, path):
            case Success(queue):
                subpath = path[len(queue.path_prefix) :]
                return self._handle_queue(environ, queue, subpath, body)
            case Failure(problem):
                return _build_error_response(problem)
        raise AssertionError("unreachable")

    def _handle_queue(
        self, environ: Environ, queue: Queue, subpath: str, body: bytes
    ) -> Response:
        method = environ.get("REQUEST_METHOD", "")
        if method == "GET" and not subpath:
            return _build_json_response({"waiting": self._service.count_waiting(queue)})
        if len(subpath) != JOB_ID_LENGTH or not set(subpath) <= HEX_DIGITS:
            return _build_error_response(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    "path does not end in a job identifier",
                    subpath[:100],
                )
            )
        if method == "GET":
            return _build_response(self._service.describe(subpath))
        time_left = self._get_time_left()
        if method in ("POST", "DELETE") and time_left < MIN_TIME_LEFT:
            logger.info(
                "request refused",
                extra={
                    "job": subpath,
                    "why": "stopping",
                    "left": time_left.total_seconds(),
                },
            )
            return _build_error_response(
                Problem(ErrorKind.LEAVING, "process is shutting down")
            )
        timeout = min(_read_timeout(environ), time_left)
        match method:
            case "POST":
                return _build_response(self._submit(queue, subpath, body, timeout))
            case "DELETE":
                return _build_response(self._service.cancel(subpath, timeout))
        return _build_error_response(Problem(ErrorKind.METHOD_NOT_ALLOWED, method))

    def _get_time_left(self) -> timedelta:
        """Return the time until the shutdown deadline, unlimited before shutdown."""
        if self._shutdown_deadline is None:
            return timedelta.max
        return self._shutdown_deadline - self._clock.boottime()

    def _submit(
        self, queue: Queue, job_id: str, body: bytes, timeout: timedelta
    ) -> Result[JobState, Problem]:
        now = self._clock.now()
        match decode_body(body, _Job):
            case Success(job):
                try:
                    definition = _build_definition(job, queue, job_id, now)
                except (OverflowError, ValueError) as error:
                    return Failure(
                        Problem(
                            ErrorKind.BAD_REQUEST,
                            f"time or duration is out of range: {error}",
                            "body",
                            "times and durations within a few years",
                        )
                    )
                return self._service.submit(definition, timeout)
            case Failure(problem):
                return Failure(
                    Problem(
                        ErrorKind.BAD_REQUEST,
                        problem.detail,
                        "body",
                        problem.expected,
                    )
                )
        raise AssertionError("unreachable")


def _build_definition(
    job: _Job, queue: Queue, job_id: str, now: datetime
) -> JobDefinition:
    first_run_at = None
    if job.repetitions > 0:
        first_run_at = datetime.fromtimestamp(job.first_run_ms / 1000, UTC)
    return JobDefinition(
        job_id,
        queue,
        job.spec,
        tuple(_build_step(step) for step in job.steps),
        now,
        job.repetitions,
        first_run_at,
        timedelta(milliseconds=job.interval_ms),
    )


def _build_step(step: _Step) -> Step:
    return Step(
        width=step.count,
        cpu=step.cpu,
        memory=step.mem_mb,
        accelerators=step.gpu,
        estimate=timedelta(milliseconds=step.estimated_ms),
        depends_on=step.depends_on,
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requirements,
        rack=step.affinity,
        spread_limit=step.anti_affinity,
        allow_duplicates=step.allow_duplicates,
        long_running=step.long_running,
        image=step.image,
        target=timedelta(milliseconds=step.target_ms),
        best_effort=step.fills,
        allowed_misses=step.miss_allowed,
    )


def _read_body(environ: Environ) -> bytes:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal() or length == "0":
        return b""
    data: bytes = environ["wsgi.input"].read(int(length))
    return data


def _read_timeout(environ: Environ) -> timedelta:
    text = environ.get(DEADLINE_HEADER, "")
    if not text.isdecimal():
        return DEFAULT_TIMEOUT
    if len(text) > MAX_TIMEOUT_DIGITS:
        return MAX_TIMEOUT
    return min(MAX_TIMEOUT, timedelta(milliseconds=int(text)))


def _build_response(result: Result[JobState, Problem]) -> Response:
    match result:
        case Success(JobState(phase, reason)):
            document = {"state": _get_state_name(phase)}
            if reason:
                document["reason"] = reason
            return _build_json_response(document)
        case Failure(problem):
            return _build_error_response(problem)
    raise AssertionError("unreachable")


def _get_state_name(phase: Phase) -> str:
    """Return the platform's name of a state, which equals the phase's value."""
    return phase.value


def _build_json_response(document: object) -> Response:
    return Response(HTTPStatus.OK, msgspec.json.encode(document))


def _build_error_response(problem: Problem) -> Response:
    status = ANSWERS[problem.kind].status
    body = msgspec.json.encode(build_error_body(problem, ""))
    retry_after = problem.retry_after
    if status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS):
        retry_after = retry_after or timedelta(seconds=1)
    return Response(status, body, retry_after)
