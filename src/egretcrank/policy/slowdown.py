"""How much longer than estimated the steps of a queue take now."""

from datetime import timedelta

# Weight of one more step in the average; some ten steps tell a change of the load.
STEP_WEIGHT = 0.15
# Estimates below this tell nothing of the time that a step takes.
LEAST_ESTIMATE = timedelta(milliseconds=50)
# One step counts as this much slower at most, so that a stuck one does not decide.
MOST_SLOWDOWN = 10.0


class Slowdowns:
    """Average of span over estimate of the steps that were completed, by queue.

    The span is from the first start to the last end, so that it holds what tasks waited
    for room, and estimates that are wrong for all jobs of a queue.
    """

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def note(self, queue: str, span: timedelta, estimate: timedelta) -> None:
        """Note a completed step."""
        if estimate < LEAST_ESTIMATE:
            return
        ratio = min(span / estimate, MOST_SLOWDOWN)
        known = self._averages.get(queue, 1.0)
        self._averages[queue] = known + STEP_WEIGHT * (ratio - known)

    def find(self, queue: str) -> float:
        """Return the slowdown of a queue, 1 at least."""
        return max(1.0, self._averages.get(queue, 1.0))
