"""Error kinds and the problem type that carries them."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple


class ErrorKind(StrEnum):
    """Kinds of expected failures; the list is closed."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CUSTOMER = "unknown_customer"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    BODY_TOO_LARGE = "body_too_large"
    NOT_FOUND = "not_found"
    UNKNOWN_JOB = "unknown_job"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUEUE_OVERLOADED = "queue_overloaded"
    NO_UPSTREAM = "no_upstream"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    STARTING = "starting"
    LEAVING = "leaving"
    STALE_EPOCH = "stale_epoch"
    SESSION_ENDED = "session_ended"
    WRONG_INCARNATION = "wrong_incarnation"
    TOMBSTONED = "tombstoned"
    NO_CAPACITY = "no_capacity"
    CANNOT_RUN = "cannot_run"
    DEADLINE_BEFORE_START = "deadline_before_start"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UPSTREAM_FAILED = "upstream_failed"
    LOG_UNAVAILABLE = "log_unavailable"
    STALE_BASE = "stale_base"
    OVERRIDDEN = "overridden"
    INVALID_LIST = "invalid_list"
    INVALID_SETTINGS = "invalid_settings"
    INVALID_RECORD = "invalid_record"
    WRONG_SEQUENCE = "wrong_sequence"
    INVALID_MESSAGE = "invalid_message"
    UNSUPPORTED_MESSAGE = "unsupported_message"
    DUPLICATE_CALL = "duplicate_call"
    UNREACHABLE = "unreachable"
    CONNECTION_REFUSED = "connection_refused"
    CALL_TIMEOUT = "call_timeout"
    INTERNAL = "internal"


class Problem(NamedTuple):
    """Expected failure with its location and what would have been valid."""

    kind: ErrorKind
    detail: str
    where: str = ""
    expected: str = ""
    retry_after: timedelta | None = None
