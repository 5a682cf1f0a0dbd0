"""Settings of the cell."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Lease and retention times of the cell.

    ``lease`` is the longest time between a confirmation of leadership and the expiry of
    the last lease granted on it. ``keep_ended`` is how long an ended job is kept, and a
    cancellation that has met no job; ``due_tolerance`` is how early a repetition is
    added.
    """

    lease: timedelta = timedelta(seconds=6)
    # Runners end tasks up to this much after the lease, as time passes between reading
    # the clock and acting on it.
    lease_margin: timedelta = timedelta(milliseconds=300)
    keep_ended: timedelta = timedelta(seconds=120)
    due_tolerance: timedelta = timedelta(milliseconds=50)
