"""Settings of the cell."""

from dataclasses import dataclass
from datetime import timedelta

# No task is placed if its agent has less time than this to send the start, or less than
# a third of all the time where that is short.
MAX_ORDER_TIME = timedelta(milliseconds=800)


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Lease and retention times of the cell.

    ``lease`` is the longest time between a confirmation of leadership and the expiry of
    the last lease granted on it. ``cancellation_bound`` is the longest time between the
    acknowledgement of a cancellation and the last start of a task of its job.
    ``evacuation_bound`` is the longest time between the acknowledgement of a request to
    evacuate a failure domain and the last start there, or None where no domain is ever
    evacuated. ``remote_factor`` is how many times as long a task takes away from its
    rack. ``keep_ended`` is how long an ended job is kept, and a cancellation that has
    met no job; ``due_tolerance`` is how early a repetition is added.
    """

    lease: timedelta = timedelta(seconds=6)
    # Runners end tasks up to this much after the lease, as time passes between reading
    # the clock and acting on it.
    lease_margin: timedelta = timedelta(milliseconds=300)
    cancellation_bound: timedelta = timedelta(seconds=3)
    # Part of a bound on starts in which an agent's call reaches the runner and is
    # carried out.
    cancellation_margin: timedelta = timedelta(milliseconds=500)
    evacuation_bound: timedelta | None = None
    remote_factor: float = 1.0
    keep_ended: timedelta = timedelta(seconds=120)
    due_tolerance: timedelta = timedelta(milliseconds=50)

    @property
    def start_limit(self) -> timedelta:
        """Return the longest time from the proof of a view to a start based on it."""
        return self._subtract_margin(self.cancellation_bound)

    @property
    def evacuation_start_limit(self) -> timedelta | None:
        """Return the same for the view of the operator's records."""
        if self.evacuation_bound is None:
            return None
        return self._subtract_margin(self.evacuation_bound)

    def _subtract_margin(self, bound: timedelta) -> timedelta:
        return bound - min(self.cancellation_margin, bound / 4)

    @property
    def min_start_time(self) -> timedelta:
        """Return the shortest time for an order's way that a task is placed with."""
        limit = self.start_limit
        if self.evacuation_start_limit is not None:
            limit = min(limit, self.evacuation_start_limit)
        return min(MAX_ORDER_TIME, limit / 3)
