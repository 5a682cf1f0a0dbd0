"""Room on a runner that does not guard its capacity."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from egretcrank.wire.hosting import Run, RunnerInfo, TaskDemand


class Load(NamedTuple):
    """Sum of the demands of runs, and the number of runs whose demand is unknown."""

    cpu: int
    memory: int
    accelerators: int
    unknown: int


def fits(load: Load, runner: RunnerInfo) -> bool:
    """Return whether a load is known and within the capacity of a runner."""
    return (
        not load.unknown
        and load.cpu <= runner.cpu
        and load.memory <= runner.memory
        and load.accelerators <= runner.accelerators
    )


class RoomLedger:
    """Demands of tasks, and the starts whose effect on a runner is not known yet.

    Not thread-safe, like the state of the agent that holds it.
    """

    def __init__(self) -> None:
        self._demands: dict[str, TaskDemand] = {}
        self._reserved: set[Run] = set()

    def learn(self, demands: Mapping[str, TaskDemand]) -> None:
        """Add the demands of tasks."""
        self._demands.update(demands)

    def knows(self, task: str) -> bool:
        """Return whether the demand of a task is known."""
        return task in self._demands

    def forget_others(self, runs: Iterable[Run]) -> None:
        """Remove the demands of tasks that are not among ``runs`` or reserved."""
        kept = {run.task for run in (*runs, *self._reserved)}
        self._demands = {t: d for t, d in self._demands.items() if t in kept}

    def reserve(self, run: Run) -> None:
        """Count a run until it is released, whether or not a runner lists it."""
        self._reserved.add(run)

    def release(self, run: Run) -> None:
        """Stop counting a run that the runner holds by now, or never will."""
        self._reserved.discard(run)

    def add_up(self, runs: Iterable[Run]) -> Load:
        """Return the load of ``runs`` and the reserved ones, each counted once."""
        cpu = memory = accelerators = unknown = 0
        for run in {*runs, *self._reserved}:
            demand = self._demands.get(run.task)
            if demand is None:
                unknown += 1
                continue
            cpu += demand.cpu
            memory += demand.memory
            accelerators += demand.accelerators
        return Load(cpu, memory, accelerators, unknown)
