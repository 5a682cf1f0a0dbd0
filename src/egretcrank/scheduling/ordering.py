"""Order in which waiting work is placed."""

from collections.abc import Callable, Iterable
from datetime import datetime

from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.tasks import LATE_FACTOR, Job, StepState


def order_steps(
    jobs: Iterable[Job], find_queue: Callable[[Job], Queue], now: datetime
) -> list[StepState]:
    """Order the steps whose turn has come: by priority, then by objective.

    Answers overload: what can still be in time goes before what will be late, and both
    before what is so late that it no longer matters when it ends.
    """
    ordered: list[tuple[int, int, datetime, int, StepState]] = []
    for job in jobs:
        queue = find_queue(job)
        for number, steps in job.occurrences.items():
            ready = [step for step in steps if _is_ready(step, steps)]
            if not ready:
                continue
            deadline = job.find_deadline(number, queue)
            due = job.due_at(number)
            ends = now + job.find_remaining(number)
            lateness = int(ends > deadline)
            lateness += int(ends > due + LATE_FACTOR * (deadline - due))
            for step in ready:
                rank = 0 if step.step.lasting else lateness
                ordered.append((queue.priority, rank, deadline, job.offset, step))
    ordered.sort(key=lambda row: (row[0], row[1], row[2], row[3]))
    return [row[-1] for row in ordered]


def _is_ready(step: StepState, steps: list[StepState]) -> bool:
    if not step.waiting:
        return False
    return all(steps[earlier].complete for earlier in step.step.depends_on)
