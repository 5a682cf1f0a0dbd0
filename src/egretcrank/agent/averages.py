"""Measurements that the runner averages, and how to undo that."""

import math
from datetime import timedelta

# Time constant of the runner's moving average of the measurements, and the shortest
# time between two polls from which a change can be derived.
AVERAGING_TIME_CONSTANT = timedelta(milliseconds=450)
MIN_SAMPLE_INTERVAL = timedelta(milliseconds=120)


def remove_averaging(average: float, before: float, elapsed: timedelta) -> float | None:
    """Return what was measured since the average was ``before``, ``elapsed`` ago.

    The average lags behind its cause by about a second. Returns None if the time is too
    short to tell.
    """
    if elapsed < MIN_SAMPLE_INTERVAL:
        return None
    decay = math.exp(-(elapsed / AVERAGING_TIME_CONSTANT))
    return max(0.0, (average - decay * before) / (1 - decay))
