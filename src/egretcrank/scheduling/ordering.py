"""Order in which waiting work is placed."""

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.tasks import LATE_FACTOR, Job, StepState

# Time that a job must have left beyond what its queue's jobs take now, to be begun.
START_MARGIN = 1.2
# Share of a job's whole time that it may be expected to take. However slow the queue
# is, a job that has just come may be begun.
MOST_EXPECTED = 0.85


class _Turn(NamedTuple):
    """Turns sort by what goes first; the offset decides between equals."""

    priority: int
    lateness: int
    is_new: bool
    deadline: datetime
    offset: int


def order_steps(
    jobs: Iterable[Job],
    find_queue: Callable[[Job], Queue],
    slowdowns: Slowdowns,
    now: datetime,
) -> list[StepState]:
    """Order the steps whose turn has come: by priority, then by objective.

    Answers overload: what can still be in time goes before what will be late, and both
    before what is so late that it no longer matters when it ends. Jobs that have begun
    go before new ones, and a new one that can't make it at the pace of its queue goes
    behind those that can: in order of deadlines alone, each would be begun with too
    little time left, and all would be late.
    """
    ordered: list[tuple[_Turn, StepState]] = []
    for job in jobs:
        queue = find_queue(job)
        for number, steps in job.occurrences.items():
            ready = [step for step in steps if _is_ready(step, steps)]
            if not ready:
                continue
            deadline = job.find_deadline(number, queue)
            slowdown = slowdowns.find(queue.name)
            lateness = _find_lateness(job, number, deadline, slowdown, now)
            for step in ready:
                turn = _Turn(
                    queue.priority,
                    0 if step.step.lasting else lateness,
                    not (job.begun or step.step.lasting),
                    deadline,
                    job.offset,
                )
                ordered.append((turn, step))
    ordered.sort(key=lambda row: row[0])
    return [step for _, step in ordered]


def _find_lateness(
    job: Job, number: int, deadline: datetime, slowdown: float, now: datetime
) -> int:
    """Return 0 for what can be in time, 1 for what will be late, 2 for too late."""
    due = job.due_at(number)
    objective = deadline - due
    remaining = job.find_remaining(number)
    if now + remaining > due + LATE_FACTOR * objective:
        return 2
    if not job.begun:
        remaining = _expect(remaining, objective, slowdown)
    return int(now + remaining > deadline)


def _expect(remaining: timedelta, objective: timedelta, slowdown: float) -> timedelta:
    """Return how long a job that has not begun is likely to take."""
    expected = remaining * slowdown * START_MARGIN
    return max(remaining, min(expected, MOST_EXPECTED * objective))


def _is_ready(step: StepState, steps: list[StepState]) -> bool:
    if not step.waiting:
        return False
    return all(steps[earlier].complete for earlier in step.step.depends_on)
