"""Requirements of steps, by which an agent checks whether its runner may run them."""

from collections.abc import Callable, Iterable

from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.definitions import parse_task_key
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.tasks import Job
from egretcrank.wire.hosting import NumberedOrder, RunnerRequirement, find_step


def list_requirements(
    runs: Runs, orders: Iterable[NumberedOrder], find_queue: Callable[[Job], Queue]
) -> dict[str, RunnerRequirement]:
    """Return what the steps whose tasks ``orders`` start require, by step name."""
    requirements: dict[str, RunnerRequirement] = {}
    for order in orders:
        if order.start is None:
            continue
        name = find_step(order.start.task)
        placement = runs.find(parse_task_key(order.start.task))
        if placement is None or name in requirements:
            continue
        step = placement.step
        service = find_queue(step.job).service
        requirements[name] = RunnerRequirement(service, step.definition.label)
    return requirements
