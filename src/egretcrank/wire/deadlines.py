"""Deadlines that travel with requests."""

from dataclasses import replace
from datetime import timedelta

from egretcrank.wire.messages import Execute


def limit_time(request: Execute, remaining: timedelta) -> Execute:
    """Return the request with the time that remains; clocks of hosts may differ."""
    return replace(request, timeout_seconds=remaining.total_seconds())
