"""Demands of tasks, by which an agent checks the room on its runner."""

from collections.abc import Iterable

from egretcrank.scheduling.definitions import Step, TaskKey, parse_task_key
from egretcrank.scheduling.runs import Runs
from egretcrank.wire.hosting import NumberedOrder, TaskDemand


def build_demand(step: Step) -> TaskDemand:
    """Return what a task of a step reserves on a runner."""
    cpu = 0 if step.best_effort else step.cpu
    return TaskDemand(cpu, step.memory, step.accelerators)


def list_demands(
    runs: Runs, orders: Iterable[NumberedOrder], others: Iterable[TaskKey]
) -> dict[str, TaskDemand]:
    """Return the demands of the tasks that ``orders`` start and of ``others``."""
    started = [
        parse_task_key(order.start.task) for order in orders if order.start is not None
    ]
    placements = [runs.find(key) for key in (*started, *others)]
    return {
        placement.task.format(): build_demand(placement.step.definition)
        for placement in placements
        if placement is not None
    }
