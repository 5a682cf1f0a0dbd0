"""Deadlines of requests on the wire."""

from dataclasses import replace
from datetime import timedelta

from egretcrank.wire.messages import Execute


def set_timeout(request: Execute, remaining: timedelta) -> Execute:
    """Return the request with ``remaining`` as its timeout.

    A request carries the time left instead of a deadline, as clocks of hosts differ.
    """
    return replace(request, timeout_seconds=remaining.total_seconds())
