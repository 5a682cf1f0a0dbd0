"""True resource use of tasks, learned from late reports."""

from collections import OrderedDict, defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from egretcrank.wire.messages import Resources

# Declared sizes are assumed to be short by at most this factor until reports arrive.
IGNORANT_FACTOR = 3.0

# Allowance above the largest ratio seen, by the number of measured tasks.
MARGINS = ((3, 1.4), (2, 1.6), (1, 2.0))

# From this number of tasks on, the allowance follows from their spread: the largest of
# n values is expected to be short of the true maximum by about the range divided by n.
MANY_TASKS = 10
RANGE_FACTOR = 4.0
SMALLEST_MARGIN = 1.05

KEPT_TASKS = 60


class Ratios(NamedTuple):
    """Used amounts as a share of the declared ones."""

    processors: float
    memory: float


class SizeEstimates:
    """Keeps, for each kind, the ratio of used to declared amounts of recent tasks."""

    def __init__(self) -> None:
        self._ratios: defaultdict[str, OrderedDict[str, Ratios]] = defaultdict(
            OrderedDict
        )

    def observe(
        self, task: str, kind: str, declared: Resources, used: Resources
    ) -> None:
        """Fold the measured use of a task; amounts only grow for the same task."""
        kept = self._ratios[kind]
        before = kept.pop(task, Ratios(0.0, 0.0))
        kept[task] = Ratios(
            max(before.processors, _divide(used.processors, declared.processors)),
            max(before.memory, _divide(used.memory_mib, declared.memory_mib)),
        )
        if len(kept) > KEPT_TASKS:
            kept.popitem(last=False)

    def bound(self, kind: str, declared: Resources) -> Resources:
        """Return a safe upper bound of the use of a task."""
        processors, memory = self._find_factors(kind)
        return Resources(
            declared.processors * processors,
            declared.memory_mib * memory,
            declared.accelerators,
        )

    def _find_factors(self, kind: str) -> Ratios:
        kept = self._ratios.get(kind)
        if not kept:
            return Ratios(IGNORANT_FACTOR, IGNORANT_FACTOR)
        return Ratios(
            _add_margin([ratios.processors for ratios in kept.values()]),
            _add_margin([ratios.memory for ratios in kept.values()]),
        )


def _add_margin(ratios: Sequence[float]) -> float:
    largest, count = max(ratios), len(ratios)
    if count >= MANY_TASKS:
        spread = RANGE_FACTOR * (largest - min(ratios)) / count
        return max(largest * SMALLEST_MARGIN, largest + spread)
    return largest * next(margin for least, margin in MARGINS if count >= least)


def _divide(used: float, declared: float) -> float:
    return used / declared if declared > 0 else IGNORANT_FACTOR


def cut_bound(bound: Resources, declared: Resources, whole: Resources) -> Resources:
    """Cut a bound to what an empty host offers: the task gets the host for itself.

    An amount of which even the declared size does not fit is left as it is.
    """
    return Resources(
        _cut(bound.processors, declared.processors, whole.processors),
        _cut(bound.memory_mib, declared.memory_mib, whole.memory_mib),
        bound.accelerators,
    )


def _cut(bound: float, declared: float, whole: float) -> float:
    return bound if declared > whole else min(bound, whole)
