"""Codec of the messages between entries, sidecars and their clients."""

from datetime import timedelta
from typing import get_args

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.envelope import Codec
from egretcrank.wire.messages import Message, Refused

_codec = Codec(get_args(Message))
encode = _codec.encode
decode = _codec.decode


def build_refusal(problem: Problem) -> Refused:
    """Build the reply that reports ``problem``."""
    seconds = problem.retry_after.total_seconds() if problem.retry_after else 0.0
    return Refused(
        problem.kind.value, problem.detail, problem.where, problem.expected, seconds
    )


def parse_refusal(refusal: Refused) -> Problem:
    """Return the problem in a reply; an unknown kind becomes ``internal``."""
    try:
        kind = ErrorKind(refusal.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    seconds = refusal.retry_after_seconds
    return Problem(
        kind,
        refusal.detail,
        refusal.where,
        refusal.expected,
        timedelta(seconds=seconds) if seconds > 0 else None,
    )
