"""True resource use of tasks, learned from late reports."""

from collections import OrderedDict, defaultdict
from typing import NamedTuple

from egretcrank.wire.messages import Resources

# Declared sizes are assumed to be short by at most this factor until reports arrive.
IGNORANT_FACTOR = 3.0

# Allowance above the largest ratio seen, for few and for many measured tasks.
FEW_FACTOR = 1.4
MANY_FACTOR = 1.25
FEW_TASKS = 3
MANY_TASKS = 10

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

    def is_known(self, kind: str) -> bool:
        """Tell whether enough tasks of ``kind`` were measured to trust the ratios."""
        return len(self._ratios.get(kind, ())) >= FEW_TASKS

    def bound(self, kind: str, declared: Resources, largest: Resources) -> Resources:
        """Return what to reserve: a safe upper bound of the use of a task.

        ``largest`` is what an empty host offers. A bound beyond it is cut to it, so
        that a task of unknown size gets a host for itself.
        """
        processors, memory = self._find_factors(kind)
        return Resources(
            _cut(declared.processors, processors, largest.processors),
            _cut(declared.memory_mib, memory, largest.memory_mib),
            declared.accelerators,
        )

    def _find_factors(self, kind: str) -> Ratios:
        kept = self._ratios.get(kind)
        if not kept or len(kept) < FEW_TASKS:
            return Ratios(IGNORANT_FACTOR, IGNORANT_FACTOR)
        margin = MANY_FACTOR if len(kept) >= MANY_TASKS else FEW_FACTOR
        return Ratios(
            margin * max(ratios.processors for ratios in kept.values()),
            margin * max(ratios.memory for ratios in kept.values()),
        )


def _divide(used: float, declared: float) -> float:
    return used / declared if declared > 0 else IGNORANT_FACTOR


def _cut(declared: float, factor: float, largest: float) -> float:
    if declared > largest:
        return declared
    return min(declared * factor, largest)
