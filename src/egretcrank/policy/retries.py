"""Delay after which refused callers should retry."""

from datetime import timedelta
from zlib import crc32

# Callers retry a few times, 4 times on most sites. With delays of 1 second, they use up
# their retries before an outage of 5 seconds or more ends. The delay is 1 second only
# during the first 2 seconds of an outage, which may still end within these retries.
# Delays above 3 seconds cost the callers refused near the end of an outage more than
# they save the others.
MAX_SHORT_OUTAGE = timedelta(seconds=2)
MIN_RETRY_DELAY = timedelta(seconds=1)
MAX_RETRY_DELAY = timedelta(seconds=3)
# The same for a backlog, whose end can be estimated.
MIN_BACKLOG_DELAY = timedelta(seconds=1)
MAX_BACKLOG_DELAY = timedelta(seconds=10)
# Delays are spread up to this factor above the earliest useful time, and by at least a
# second, as they are sent in whole seconds.
BACKLOG_SPREAD = 5 / 3
SECOND = timedelta(seconds=1)
CRC32_RANGE = 1 << 32


def compute_retry_delay(outage: timedelta, request: str) -> timedelta:
    """Return the time in whole seconds after which a refused caller should retry.

    ``outage`` is the duration of the outage so far; it is expected to last as long
    again. The delay is rounded up or down by a hash of ``request``, so that callers
    refused at the same time don't retry at the same time.
    """
    if outage < MAX_SHORT_OUTAGE:
        return MIN_RETRY_DELAY
    delay = min(outage, MAX_RETRY_DELAY)
    jitter = crc32(request.encode()) / CRC32_RANGE
    return int(delay / SECOND + jitter) * SECOND


def compute_retry_after(excess: timedelta, job_id: str) -> timedelta:
    """Return the time in whole seconds after which a refused caller should retry.

    ``excess`` is the time after which the job could be begun early enough. The result
    is spread by a hash of the job's identifier, so that callers refused at the same
    time do not retry at the same time.
    """
    earliest = min(max(excess, MIN_BACKLOG_DELAY), MAX_BACKLOG_DELAY / BACKLOG_SPREAD)
    latest = max(earliest * BACKLOG_SPREAD, earliest + SECOND)
    share = crc32(job_id.encode()) / CRC32_RANGE
    return round((earliest + share * (latest - earliest)) / SECOND) * SECOND
