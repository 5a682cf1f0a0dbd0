"""HTTP interface of an entry, a WSGI application on cheroot's threads."""

import math
from collections.abc import Callable, Coroutine, Iterable
from datetime import timedelta
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol
from uuid import uuid4

import msgspec
from cheroot.wsgi import Server as WsgiServer
from returns.result import Failure, Result, Success

from egretcrank.entry.jobs import JobRequest, parse_submission
from egretcrank.errors.answers import ANSWERS, build_error_body
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.settings.schema import EntrySettings
from egretcrank.transport.threads import ThreadBridge
from egretcrank.wire.messages import (
    AcknowledgeJob,
    CancelJob,
    DescribeJob,
    Execute,
    Executed,
    JobReply,
)

SERVICE_PREFIX = "/v1/services/"
JOBS_PATH = "/v1/jobs"
EXPLAIN_PREFIX = "/explain/"
ANSWER_MARGIN = timedelta(seconds=5)
JOB_LIMIT = timedelta(seconds=20)
MAX_NAME_LENGTH = 200

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class HttpAnswer(NamedTuple):
    """Status, headers and body of an answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class EntryOperations(Protocol):
    """What the HTTP interface needs from the entry, on the event loop."""

    async def answer(self, request: Execute, key: str) -> Result[Executed, Problem]:
        """Answer a request of a caller."""

    async def handle_job(self, message: JobRequest) -> Result[JobReply, Problem]:
        """Handle a request on batch work."""

    async def describe_status(self) -> dict[str, Any]:
        """Return the status document."""

    async def drain(self, host: str) -> Result[None, Problem]:
        """Ask the sidecar of a host to leave."""

    async def explain(self, subject: str) -> list[dict[str, Any]]:
        """Return the decisions on a subject."""

    async def render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics."""


class HttpInterface:
    """Reads requests, hands them to the event loop and writes the answers."""

    def __init__(
        self, settings: EntrySettings, operations: EntryOperations, bridge: ThreadBridge
    ) -> None:
        self._settings = settings
        self._operations = operations
        self._bridge = bridge

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        answer = self._route(environ)
        phrase = HTTPStatus(answer.status).phrase
        headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
        start(f"{answer.status} {phrase}", headers)
        return [answer.body]

    def _route(self, environ: Environ) -> HttpAnswer:
        path = environ.get("PATH_INFO", "")
        method = environ.get("REQUEST_METHOD", "")
        match method, path:
            case "POST", path if path.startswith(SERVICE_PREFIX):
                return self._answer_service(environ, path.removeprefix(SERVICE_PREFIX))
            case _, path if path == JOBS_PATH or path.startswith(JOBS_PATH + "/"):
                return self._answer_job(environ, method, path)
            case "GET", "/healthz":
                return _build_json(200, {"status": "ok"})
            case "GET", "/status":
                return self._answer_json(self._operations.describe_status())
            case "GET", path if path.startswith(EXPLAIN_PREFIX):
                subject = path.removeprefix(EXPLAIN_PREFIX)
                return self._answer_json(self._operations.explain(subject))
            case "POST", path if host := _read_drain_path(path):
                return self._answer_drain(host)
            case "GET", "/metrics":
                return self._answer_metrics(environ.get("HTTP_ACCEPT", "*/*"))
            case _:
                detail = f"{method} {path} is not known"
                return _build_error(Problem(ErrorKind.NOT_FOUND, detail, "path"), "")

    def _answer_service(self, environ: Environ, service: str) -> HttpAnswer:
        request_id = uuid4().hex
        match self._read_request(environ, service, request_id):
            case Failure(problem):
                return _build_error(problem, request_id)
            case Success(request):
                pass
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if len(key) > MAX_NAME_LENGTH:
            problem = Problem(
                ErrorKind.BAD_REQUEST,
                f"key has {len(key)} characters",
                "Idempotency-Key",
                f"at most {MAX_NAME_LENGTH} characters",
            )
            return _build_error(problem, request_id)
        limit = timedelta(seconds=request.timeout_seconds) + ANSWER_MARGIN
        result = self._bridge.run_on_loop(
            self._operations.answer(request, key), limit
        ).bind(lambda outcome: outcome)
        match result:
            case Success(executed):
                return _build_answer(executed, request_id)
            case Failure(problem):
                return _build_error(problem, request_id)
        raise AssertionError("unreachable")

    def _answer_job(self, environ: Environ, method: str, path: str) -> HttpAnswer:
        match self._read_job_request(environ, method, path):
            case Failure(problem):
                return _build_error(problem, "")
            case Success(message):
                pass
        result = self._bridge.run_on_loop(
            self._operations.handle_job(message), JOB_LIMIT
        ).bind(lambda outcome: outcome)
        match result:
            case Success(reply):
                return _build_json(200, reply)
            case Failure(problem):
                return _build_error(problem, "")
        raise AssertionError("unreachable")

    def _read_job_request(
        self, environ: Environ, method: str, path: str
    ) -> Result[JobRequest, Problem]:
        match method, path.removeprefix(JOBS_PATH).split("/")[1:]:
            case "POST", []:
                key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
                return self._read_body(environ).bind(
                    lambda body: parse_submission(body, key)
                )
            case "GET", [job]:
                return Success(DescribeJob(job))
            case "DELETE", [job]:
                return Success(CancelJob(job))
            case "POST", [job, "acknowledge"]:
                return Success(AcknowledgeJob(job))
        detail = f"{method} {path} is not known"
        return Failure(Problem(ErrorKind.NOT_FOUND, detail, "path"))

    def _read_request(
        self, environ: Environ, service: str, request_id: str
    ) -> Result[Execute, Problem]:
        timeout = self._read_timeout(environ)
        if isinstance(timeout, Failure):
            return Failure(timeout.failure())
        body = self._read_body(environ)
        if isinstance(body, Failure):
            return Failure(body.failure())
        customer = environ.get("HTTP_EGRETCRANK_CUSTOMER", "")
        if not customer or len(customer) > MAX_NAME_LENGTH:
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    "customer is missing or too long",
                    "Egretcrank-Customer",
                    "the name or alias of a customer",
                )
            )
        return Success(
            Execute(
                request_id=request_id,
                service=service,
                customer=customer,
                timeout_seconds=timeout.unwrap().total_seconds(),
                content_type=environ.get("CONTENT_TYPE", ""),
                body=body.unwrap(),
            )
        )

    def _read_timeout(self, environ: Environ) -> Result[timedelta, Problem]:
        text = environ.get("HTTP_EGRETCRANK_TIMEOUT")
        if text is None:
            return Success(self._settings.default_timeout_seconds)
        longest = self._settings.max_timeout_seconds.total_seconds()
        try:
            seconds = float(text)
        except ValueError:
            seconds = math.nan
        if not 0 < seconds <= longest:
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"timeout {text!r} is not valid",
                    "Egretcrank-Timeout",
                    f"seconds above 0 and up to {longest:g}",
                )
            )
        return Success(timedelta(seconds=seconds))

    def _read_body(self, environ: Environ) -> Result[bytes, Problem]:
        text = environ.get("CONTENT_LENGTH") or "0"
        if not text.isdecimal():
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"length {text!r} is not valid",
                    "Content-Length",
                    "a number of bytes",
                )
            )
        length = int(text)
        if length > self._settings.max_body_bytes:
            return Failure(
                Problem(
                    ErrorKind.BODY_TOO_LARGE,
                    f"body has {length} bytes",
                    "Content-Length",
                    f"at most {self._settings.max_body_bytes} bytes",
                )
            )
        body = environ["wsgi.input"].read(length) if length else b""
        if len(body) != length:
            detail = f"body has {len(body)} of {length} bytes"
            return Failure(Problem(ErrorKind.BAD_REQUEST, detail, "body"))
        return Success(body)

    def _answer_drain(self, host: str) -> HttpAnswer:
        result = self._bridge.run_on_loop(
            self._operations.drain(host), ANSWER_MARGIN
        ).bind(lambda outcome: outcome)
        match result:
            case Success(_):
                return _build_json(200, {"host": host, "state": "leaving"})
            case Failure(problem):
                return _build_error(problem, "")
        raise AssertionError("unreachable")

    def _answer_json(self, coroutine: Coroutine[Any, Any, Any]) -> HttpAnswer:
        match self._bridge.run_on_loop(coroutine, ANSWER_MARGIN):
            case Success(document):
                return _build_json(200, document)
            case Failure(problem):
                return _build_error(problem, "")
        raise AssertionError("unreachable")

    def _answer_metrics(self, accept: str) -> HttpAnswer:
        rendered = self._operations.render_metrics(accept)
        match self._bridge.run_on_loop(rendered, ANSWER_MARGIN):
            case Success((body, headers)):
                return HttpAnswer(200, list(headers.items()), body)
            case Failure(problem):
                return _build_error(problem, "")
        raise AssertionError("unreachable")


def _read_drain_path(path: str) -> str:
    """Return the host in ``/hosts/<host>/drain``, or an empty text."""
    match path.split("/"):
        case ["", "hosts", host, "drain"]:
            return host
    return ""


def _build_answer(executed: Executed, request_id: str) -> HttpAnswer:
    headers = [
        ("Content-Type", executed.content_type or "application/octet-stream"),
        ("Egretcrank-Request-Id", request_id),
        ("Egretcrank-Host", executed.host),
    ]
    if executed.replayed:
        headers.append(("Egretcrank-Replayed", "yes"))
    return HttpAnswer(executed.status, headers, executed.body)


def _build_error(problem: Problem, request_id: str) -> HttpAnswer:
    answer = _build_json(
        ANSWERS[problem.kind].status, build_error_body(problem, request_id)
    )
    if problem.retry_after is not None:
        seconds = max(1, math.ceil(problem.retry_after.total_seconds()))
        answer.headers.append(("Retry-After", str(seconds)))
    return answer


def _build_json(status: int, document: Any) -> HttpAnswer:
    headers = [("Content-Type", "application/json")]
    return HttpAnswer(status, headers, msgspec.json.encode(document))


def build_http_server(
    settings: EntrySettings, application: HttpInterface
) -> WsgiServer:
    """Build the HTTP server; ``start`` blocks and ``stop`` waits for its threads."""
    host, _, port = settings.http_address.rpartition(":")
    server = WsgiServer(
        (host.strip("[]"), int(port)),
        application,
        numthreads=settings.threads,
        max=settings.threads,
        request_queue_size=settings.max_in_flight,
        timeout=30,
        shutdown_timeout=30,
    )
    server.max_request_body_size = settings.max_body_bytes
    return server
