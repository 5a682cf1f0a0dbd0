"""HTTP interface of an entry: a WSGI application that runs on cheroot's threads."""

import logging
import math
from collections.abc import Callable, Coroutine, Iterable
from datetime import timedelta
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol
from uuid import uuid4

import msgspec
from cheroot.errors import MaxSizeExceeded
from returns.result import Failure, Result, Success

from egretcrank.entry.jobs import JobRequest, parse_submission
from egretcrank.errors.answers import ANSWERS, build_error_body
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.routing.admission import Admission
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
READ_ONLY_PATHS = frozenset({"/healthz", "/status", "/metrics"})
# Time that the event loop may take beyond the timeout of a service request; also the
# total time of requests of operators.
RESPONSE_MARGIN = timedelta(seconds=5)
JOB_TIMEOUT = timedelta(seconds=20)
MAX_HEADER_VALUE_LENGTH = 200
READ_CHUNK_BYTES = 65536

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

logger = logging.getLogger(__name__)


class HttpResponse(NamedTuple):
    """Status, headers and body of a response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class EntryOperations(Protocol):
    """Operations of the entry that the HTTP interface runs on the event loop."""

    async def answer(self, request: Execute, key: str) -> Result[Executed, Problem]:
        """Answer a caller's request; ``key`` is its idempotency key or empty."""

    async def handle_job(self, message: JobRequest) -> Result[JobReply, Problem]:
        """Handle a request about a batch job."""

    async def describe_status(self) -> dict[str, Any]:
        """Return the status document."""

    async def drain(self, host: str) -> Result[None, Problem]:
        """Ask the sidecar of a host to shut down."""

    async def explain(self, subject: str) -> list[dict[str, Any]]:
        """Return the recorded decisions about a subject."""

    async def render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a format that ``accept`` allows, with its headers."""


class HttpInterface:
    """Parses requests, runs them on the event loop and builds the responses."""

    def __init__(
        self,
        settings: EntrySettings,
        operations: EntryOperations,
        bridge: ThreadBridge,
        admission: Admission,
    ) -> None:
        self._settings = settings
        self._operations = operations
        self._bridge = bridge
        self._admission = admission

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        try:
            response = self._route(environ)
        except Exception:
            logger.exception("request failed", extra={"path": environ.get("PATH_INFO")})
            response = _build_error(Problem(ErrorKind.INTERNAL, "request failed"), "")
        if response.status >= 400:
            _discard_rest(environ)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        start_response(
            f"{response.status} {_get_reason_phrase(response.status)}", headers
        )
        return [] if environ.get("REQUEST_METHOD") == "HEAD" else [response.body]

    def _route(self, environ: Environ) -> HttpResponse:
        path = environ.get("PATH_INFO", "")
        method = environ.get("REQUEST_METHOD", "")
        match method, path:
            case "POST", path if path.startswith(SERVICE_PREFIX):
                return self._handle_service(environ, path.removeprefix(SERVICE_PREFIX))
            case _, path if path == JOBS_PATH or path.startswith(JOBS_PATH + "/"):
                return self._handle_job(environ, method, path)
            case _, path if (
                allowed := _get_allowed_methods(path)
            ) and method not in allowed:
                return _build_method_error(method, path, allowed)
            case _, "/healthz":
                return _build_json(200, {"status": "ok"})
            case _, "/status":
                return self._respond_json(self._operations.describe_status())
            case _, path if path.startswith(EXPLAIN_PREFIX):
                subject = path.removeprefix(EXPLAIN_PREFIX)
                return self._respond_json(self._operations.explain(subject))
            case _, path if host := _read_drain_path(path):
                return self._handle_drain(host)
            case _, "/metrics":
                return self._respond_metrics(environ.get("HTTP_ACCEPT", "*/*"))
            case _:
                detail = f"{method} {path} is not a known resource"
                return _build_error(Problem(ErrorKind.NOT_FOUND, detail, "path"), "")

    def _handle_service(self, environ: Environ, service: str) -> HttpResponse:
        request_id = uuid4().hex
        name = _read_customer(environ)
        if isinstance(name, Failure):
            return _build_error(name.failure(), request_id)
        customer = name.unwrap()
        # Admitted before the body is read, so that a slow client occupies only threads
        # of its customer's share.
        refusal = self._admission.admit(customer)
        if refusal is not None:
            return _build_error(refusal, request_id)
        try:
            return self._handle_admitted(environ, service, customer, request_id)
        finally:
            self._admission.release(customer)

    def _handle_admitted(
        self, environ: Environ, service: str, customer: str, request_id: str
    ) -> HttpResponse:
        match self._read_request(environ, service, customer, request_id):
            case Failure(problem):
                return _build_error(problem, request_id)
            case Success(request):
                pass
        match _read_header(environ, "HTTP_IDEMPOTENCY_KEY", "Idempotency-Key"):
            case Failure(problem):
                return _build_error(problem, request_id)
            case Success(key):
                pass
        limit = timedelta(seconds=request.timeout_seconds) + RESPONSE_MARGIN
        result = self._bridge.run_on_loop(
            self._operations.answer(request, key), limit
        ).bind(lambda outcome: outcome)
        match result:
            case Success(executed):
                return _build_response(executed, request_id)
            case Failure(problem):
                return _build_error(problem, request_id)
        raise AssertionError("unreachable")

    def _handle_job(self, environ: Environ, method: str, path: str) -> HttpResponse:
        match self._read_job_request(environ, method, path):
            case Failure(problem):
                return _build_error(problem, "")
            case Success(message):
                pass
        result = self._bridge.run_on_loop(
            self._operations.handle_job(message), JOB_TIMEOUT
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
                return _read_header(
                    environ, "HTTP_IDEMPOTENCY_KEY", "Idempotency-Key"
                ).bind(
                    lambda key: self._read_body(environ).bind(
                        lambda body: parse_submission(body, key)
                    )
                )
            case "GET", [job]:
                return Success(DescribeJob(job))
            case "DELETE", [job]:
                return Success(CancelJob(job))
            case "POST", [job, "acknowledge"]:
                return Success(AcknowledgeJob(job))
        detail = f"{method} {path} is not a known resource"
        return Failure(Problem(ErrorKind.NOT_FOUND, detail, "path"))

    def _read_request(
        self, environ: Environ, service: str, customer: str, request_id: str
    ) -> Result[Execute, Problem]:
        timeout = self._read_timeout(environ)
        if isinstance(timeout, Failure):
            return Failure(timeout.failure())
        body = self._read_body(environ)
        if isinstance(body, Failure):
            return Failure(body.failure())
        content_type = _read_header(environ, "CONTENT_TYPE", "Content-Type")
        if isinstance(content_type, Failure):
            return Failure(content_type.failure())
        return Success(
            Execute(
                request_id=request_id,
                service=service,
                customer=customer,
                timeout_seconds=timeout.unwrap().total_seconds(),
                content_type=content_type.unwrap(),
                body=body.unwrap(),
            )
        )

    def _read_timeout(self, environ: Environ) -> Result[timedelta, Problem]:
        text = environ.get("HTTP_EGRETCRANK_TIMEOUT")
        if text is None:
            return Success(self._settings.default_timeout_seconds)
        max_seconds = self._settings.max_timeout_seconds.total_seconds()
        try:
            seconds = float(text)
        except ValueError:
            seconds = math.nan
        if not 0 < seconds <= max_seconds:
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"timeout {text!r} is not valid",
                    "Egretcrank-Timeout",
                    f"seconds above 0 and up to {max_seconds:g}",
                )
            )
        return Success(timedelta(seconds=seconds))

    def _read_body(self, environ: Environ) -> Result[bytes, Problem]:
        text = environ.get("CONTENT_LENGTH", "")
        chunked = "HTTP_TRANSFER_ENCODING" in environ
        if chunked and text:
            detail = "Content-Length and Transfer-Encoding are both present"
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    detail,
                    "Content-Length",
                    "only one of the two headers",
                )
            )
        if chunked:
            return self._read_chunks(environ)
        text = text or "0"
        if not (
            text.isascii() and text.isdecimal() and len(text) < MAX_HEADER_VALUE_LENGTH
        ):
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"content length {text!r} is not valid",
                    "Content-Length",
                    "a decimal number of bytes",
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
        try:
            body = environ["wsgi.input"].read(length) if length else b""
        except (OSError, ValueError) as error:
            return Failure(_build_read_error(error))
        _mark_received(environ)
        if len(body) != length:
            detail = f"body ended after {len(body)} of {length} bytes"
            return Failure(Problem(ErrorKind.BAD_REQUEST, detail, "body"))
        return Success(body)

    def _handle_drain(self, host: str) -> HttpResponse:
        result = self._bridge.run_on_loop(
            self._operations.drain(host), RESPONSE_MARGIN
        ).bind(lambda outcome: outcome)
        match result:
            case Success(_):
                return _build_json(200, {"host": host, "state": "leaving"})
            case Failure(problem):
                return _build_error(problem, "")
        raise AssertionError("unreachable")

    def _read_chunks(self, environ: Environ) -> Result[bytes, Problem]:
        limit = self._settings.max_body_bytes
        chunks: list[bytes] = []
        length = 0
        try:
            while chunk := environ["wsgi.input"].read(READ_CHUNK_BYTES):
                chunks.append(chunk)
                length += len(chunk)
                if length > limit:
                    return Failure(
                        Problem(
                            ErrorKind.BODY_TOO_LARGE,
                            f"body has more than {limit} bytes",
                            "body",
                            f"at most {limit} bytes",
                        )
                    )
        except (OSError, ValueError, MaxSizeExceeded) as error:
            return Failure(_build_read_error(error))
        _mark_received(environ)
        return Success(b"".join(chunks))

    def _respond_json(self, coroutine: Coroutine[Any, Any, Any]) -> HttpResponse:
        match self._bridge.run_on_loop(coroutine, RESPONSE_MARGIN):
            case Success(document):
                return _build_json(200, document)
            case Failure(problem):
                return _build_error(problem, "")
        raise AssertionError("unreachable")

    def _respond_metrics(self, accept: str) -> HttpResponse:
        rendered = self._operations.render_metrics(accept)
        match self._bridge.run_on_loop(rendered, RESPONSE_MARGIN):
            case Success((body, headers)):
                return HttpResponse(200, list(headers.items()), body)
            case Failure(problem):
                return _build_error(problem, "")
        raise AssertionError("unreachable")


def _read_drain_path(path: str) -> str:
    """Return the host in ``/hosts/<host>/drain``, or an empty string."""
    match path.split("/"):
        case ["", "hosts", host, "drain"]:
            return host
    return ""


def _get_reason_phrase(status: int) -> str:
    """Return the reason phrase; an upstream may send a status that has none."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _get_allowed_methods(path: str) -> tuple[str, ...]:
    if path.startswith(SERVICE_PREFIX):
        return ("POST",)
    if _read_drain_path(path):
        return ("POST",)
    if path in READ_ONLY_PATHS or path.startswith(EXPLAIN_PREFIX):
        return ("GET", "HEAD")
    return ()


def _build_method_error(
    method: str, path: str, allowed: tuple[str, ...]
) -> HttpResponse:
    methods = ", ".join(allowed)
    problem = Problem(
        ErrorKind.METHOD_NOT_ALLOWED,
        f"{method} is not allowed for {path}",
        "method",
        methods,
    )
    response = _build_error(problem, "")
    response.headers.append(("Allow", methods))
    return response


def _discard_rest(environ: Environ) -> None:
    receive_control = environ.get("egretcrank.reception")
    if receive_control is not None:
        receive_control.discard_rest()


def _mark_received(environ: Environ) -> None:
    receive_control = environ.get("egretcrank.reception")
    if receive_control is not None:
        receive_control.mark_received()


def _build_read_error(error: Exception) -> Problem:
    return Problem(
        ErrorKind.BAD_REQUEST,
        f"body could not be read: {error}",
        "body",
        "a complete body",
    )


def _read_header(environ: Environ, name: str, header: str) -> Result[str, Problem]:
    """Decode a header as UTF-8; WSGI passes its bytes decoded as Latin-1."""
    try:
        text = environ.get(name, "").encode("latin-1").decode()
    except UnicodeError:
        detail = "header value is not UTF-8"
        return Failure(Problem(ErrorKind.BAD_REQUEST, detail, header, "UTF-8 text"))
    if len(text) > MAX_HEADER_VALUE_LENGTH or not text.isprintable():
        return Failure(
            Problem(
                ErrorKind.BAD_REQUEST,
                f"header value is not printable or too long ({len(text)} characters)",
                header,
                f"at most {MAX_HEADER_VALUE_LENGTH} printable characters",
            )
        )
    return Success(text)


def _read_customer(environ: Environ) -> Result[str, Problem]:
    header = "Egretcrank-Customer"
    result = _read_header(environ, "HTTP_EGRETCRANK_CUSTOMER", header)
    if isinstance(result, Success) and not result.unwrap():
        return Failure(
            Problem(
                ErrorKind.BAD_REQUEST,
                "customer header is missing",
                header,
                "the name or alias of a customer",
            )
        )
    return result


def _build_response(executed: Executed, request_id: str) -> HttpResponse:
    headers = [
        (
            "Content-Type",
            _sanitize_header_value(executed.content_type) or "application/octet-stream",
        ),
        ("Egretcrank-Request-Id", request_id),
        ("Egretcrank-Host", executed.host),
    ]
    if executed.replayed:
        headers.append(("Egretcrank-Replayed", "yes"))
    return HttpResponse(executed.status, headers, executed.body)


def _sanitize_header_value(value: str) -> str:
    """Return a header value on one line, with its UTF-8 bytes decoded as Latin-1."""
    return " ".join(value.split()).encode().decode("latin-1")


def _build_error(problem: Problem, request_id: str) -> HttpResponse:
    response = _build_json(
        ANSWERS[problem.kind].status, build_error_body(problem, request_id)
    )
    if problem.retry_after is not None:
        seconds = max(1, math.ceil(problem.retry_after.total_seconds()))
        response.headers.append(("Retry-After", str(seconds)))
    return response


def _build_json(status: int, document: Any) -> HttpResponse:
    headers = [("Content-Type", "application/json")]
    return HttpResponse(status, headers, msgspec.json.encode(document))
