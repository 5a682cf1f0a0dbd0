"""Mapping of error kinds to the HTTP responses that callers receive."""

from enum import StrEnum
from typing import NamedTuple, TypedDict

from egretcrank.errors.kinds import ErrorKind, Problem


class Ran(StrEnum):
    """Whether the upstream executed a request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Answer(NamedTuple):
    """HTTP status of an error kind and whether the request was executed."""

    status: int
    ran: Ran


class ErrorBody(TypedDict):
    """JSON body of an error response."""

    kind: str
    ran: str
    detail: str
    where: str
    expected: str
    request_id: str


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Ran.NO),
    ErrorKind.UNKNOWN_CUSTOMER: Answer(403, Ran.NO),
    ErrorKind.KEY_REQUIRED: Answer(400, Ran.NO),
    ErrorKind.KEY_REUSED: Answer(422, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO),
    ErrorKind.NOT_FOUND: Answer(404, Ran.NO),
    ErrorKind.UNKNOWN_JOB: Answer(410, Ran.NO),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, Ran.NO),
    ErrorKind.OVERLOADED: Answer(503, Ran.NO),
    ErrorKind.QUOTA_EXCEEDED: Answer(429, Ran.NO),
    ErrorKind.QUEUE_OVERLOADED: Answer(429, Ran.NO),
    ErrorKind.NO_UPSTREAM: Answer(503, Ran.NO),
    ErrorKind.NO_OWNER: Answer(503, Ran.NO),
    ErrorKind.NOT_OWNER: Answer(503, Ran.NO),
    ErrorKind.STARTING: Answer(503, Ran.NO),
    ErrorKind.LEAVING: Answer(503, Ran.NO),
    ErrorKind.STALE_EPOCH: Answer(503, Ran.NO),
    ErrorKind.SESSION_ENDED: Answer(503, Ran.NO),
    ErrorKind.WRONG_INCARNATION: Answer(503, Ran.NO),
    ErrorKind.TOMBSTONED: Answer(503, Ran.NO),
    ErrorKind.NO_CAPACITY: Answer(503, Ran.NO),
    ErrorKind.CANNOT_RUN: Answer(422, Ran.NO),
    ErrorKind.DEADLINE_BEFORE_START: Answer(504, Ran.NO),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, Ran.UNKNOWN),
    ErrorKind.UPSTREAM_FAILED: Answer(502, Ran.UNKNOWN),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, Ran.NO),
    ErrorKind.STALE_BASE: Answer(409, Ran.NO),
    ErrorKind.OVERRIDDEN: Answer(409, Ran.NO),
    ErrorKind.INVALID_LIST: Answer(422, Ran.NO),
    ErrorKind.INVALID_SETTINGS: Answer(400, Ran.NO),
    ErrorKind.INVALID_RECORD: Answer(500, Ran.UNKNOWN),
    ErrorKind.WRONG_SEQUENCE: Answer(503, Ran.NO),
    ErrorKind.INVALID_MESSAGE: Answer(500, Ran.UNKNOWN),
    ErrorKind.UNSUPPORTED_MESSAGE: Answer(501, Ran.NO),
    ErrorKind.DUPLICATE_CALL: Answer(500, Ran.UNKNOWN),
    ErrorKind.UNREACHABLE: Answer(503, Ran.NO),
    ErrorKind.CONNECTION_REFUSED: Answer(503, Ran.NO),
    ErrorKind.CALL_TIMEOUT: Answer(504, Ran.UNKNOWN),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN),
}


def was_not_run(kind: ErrorKind) -> bool:
    """Return whether ``kind`` guarantees that the request was not executed."""
    return ANSWERS[kind].ran is Ran.NO


def mark_outcome_unknown(problem: Problem, may_have_run: bool) -> Problem:
    """Return ``outcome_unknown`` if the problem wrongly rules out an execution.

    ``may_have_run`` tells whether an earlier attempt may have been executed.
    """
    if may_have_run and was_not_run(problem.kind):
        detail = f"an earlier attempt may have run; last attempt: {problem.detail}"
        return Problem(ErrorKind.OUTCOME_UNKNOWN, detail, problem.where)
    return problem


def build_error_body(problem: Problem, request_id: str) -> ErrorBody:
    """Build the JSON body of an error response for ``problem``."""
    return ErrorBody(
        kind=problem.kind.value,
        ran=ANSWERS[problem.kind].ran.value,
        detail=problem.detail,
        where=problem.where,
        expected=problem.expected,
        request_id=request_id,
    )
