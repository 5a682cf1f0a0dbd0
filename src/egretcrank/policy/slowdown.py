"""Slowdown of the steps of a queue: actual over estimated time."""

from datetime import timedelta

# Weight of a new step in the moving average, which follows a change of the load within
# about 10 steps.
EWMA_WEIGHT = 0.15
# Steps with a shorter estimate are ignored: it says nothing about the time they take.
MIN_ESTIMATE = timedelta(milliseconds=50)
# Upper limit for the slowdown of one step, so that a stuck step does not dominate the
# average.
MAX_SLOWDOWN = 10.0


class Slowdowns:
    """Moving average, by queue, of actual over estimated time of completed steps.

    The actual time runs from the first start of a task to the last end. It therefore
    reflects both the time that tasks waited for capacity and estimates that are wrong
    for all jobs of a queue.
    """

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def record(self, queue: str, span: timedelta, estimate: timedelta) -> None:
        """Record a completed step."""
        if estimate < MIN_ESTIMATE:
            return
        ratio = min(span / estimate, MAX_SLOWDOWN)
        known = self._averages.get(queue, 1.0)
        self._averages[queue] = known + EWMA_WEIGHT * (ratio - known)

    def find(self, queue: str) -> float:
        """Return the slowdown of a queue, at least 1."""
        return max(1.0, self._averages.get(queue, 1.0))
