"""Estimates of the actual resource use of tasks, learned from usage reports."""

from collections import OrderedDict, defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from egretcrank.wire.messages import Resources

# Until reports arrive, tasks are assumed to use at most this multiple of their declared
# sizes.
UNKNOWN_SIZE_FACTOR = 3.0

# Safety factors on the largest ratio seen, by the minimum number of measured tasks.
MARGINS = ((3, 1.4), (2, 1.6), (1, 2.0))

# From this number of tasks on, the allowance above the largest ratio is a multiple of
# the range of the ratios divided by n: the largest of n values is expected to be below
# the true maximum by about that quotient.
MIN_TASKS_FOR_RANGE = 10
RANGE_FACTOR = 4.0
MIN_MARGIN = 1.05

# Measured tasks that are kept per kind; the least recently updated are dropped.
MAX_TASKS_PER_KIND = 60


class UsageRatios(NamedTuple):
    """Used amounts as fractions of the declared ones."""

    processors: float
    memory: float


class SizeEstimates:
    """Tracks, by kind, the ratios of used to declared amounts of recent tasks."""

    def __init__(self) -> None:
        self._ratios: defaultdict[str, OrderedDict[str, UsageRatios]] = defaultdict(
            OrderedDict
        )

    def observe(
        self, task: str, kind: str, declared: Resources, used: Resources
    ) -> None:
        """Record the measured use of a task; the peak of all reports on it counts."""
        recent = self._ratios[kind]
        before = recent.pop(task, UsageRatios(0.0, 0.0))
        recent[task] = UsageRatios(
            max(
                before.processors, _compute_ratio(used.processors, declared.processors)
            ),
            max(before.memory, _compute_ratio(used.memory_mib, declared.memory_mib)),
        )
        if len(recent) > MAX_TASKS_PER_KIND:
            recent.popitem(last=False)

    def bound(self, kind: str, declared: Resources) -> Resources:
        """Return an upper bound for the use of a task of ``kind``."""
        processors, memory = self._find_factors(kind)
        return Resources(
            declared.processors * processors,
            declared.memory_mib * memory,
            declared.accelerators,
        )

    def _find_factors(self, kind: str) -> UsageRatios:
        recent = self._ratios.get(kind)
        if not recent:
            return UsageRatios(UNKNOWN_SIZE_FACTOR, UNKNOWN_SIZE_FACTOR)
        return UsageRatios(
            _add_margin([ratios.processors for ratios in recent.values()]),
            _add_margin([ratios.memory for ratios in recent.values()]),
        )


def _add_margin(ratios: Sequence[float]) -> float:
    largest, count = max(ratios), len(ratios)
    if count >= MIN_TASKS_FOR_RANGE:
        allowance = RANGE_FACTOR * (largest - min(ratios)) / count
        return max(largest * MIN_MARGIN, largest + allowance)
    return largest * next(margin for min_count, margin in MARGINS if count >= min_count)


def _compute_ratio(used: float, declared: float) -> float:
    return used / declared if declared > 0 else UNKNOWN_SIZE_FACTOR


def clamp_bound(
    bound: Resources, declared: Resources, capacity: Resources
) -> Resources:
    """Limit a bound to the capacity of an empty host, which the task then fills.

    An amount whose declared size already exceeds the capacity is not limited.
    """
    return Resources(
        _clamp(bound.processors, declared.processors, capacity.processors),
        _clamp(bound.memory_mib, declared.memory_mib, capacity.memory_mib),
        bound.accelerators,
    )


def _clamp(bound: float, declared: float, capacity: float) -> float:
    return bound if declared > capacity else min(bound, capacity)
