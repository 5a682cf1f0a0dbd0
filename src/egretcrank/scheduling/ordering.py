"""Order in which waiting steps are placed."""

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.tasks import LATE_FACTOR, Job, StepState

# Safety factor on the expected duration of a job that has not started.
START_MARGIN = 1.2
# Upper bound of the expected duration, as a share of the job's latency objective: a job
# that was just submitted counts as on time however slow its queue is.
MAX_EXPECTED_SHARE = 0.85


class _SortKey(NamedTuple):
    """Sort key of a step, lowest first; ``offset`` breaks ties."""

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
    """Return the steps that are ready to run, by priority and then by deadline.

    Under overload, jobs that can still be on time go before those that will be late,
    and jobs too late to matter go last. Started jobs go before new ones, and a new job
    that would miss its deadline at its queue's current slowdown counts as late. In
    order of deadlines alone, each job would start with too little time left, and all
    would be late.
    """
    ordered: list[tuple[_SortKey, StepState]] = []
    for job in jobs:
        queue = find_queue(job)
        for number, steps in job.occurrences.items():
            # A former leader whose clock was ahead may have begun it before.
            if job.definition.repetitions and job.due_at(number) > now:
                continue
            ready = [step for step in steps if _is_ready(step, steps)]
            if not ready:
                continue
            deadline = job.find_deadline(number, queue)
            slowdown = slowdowns.find(queue.name)
            lateness = _find_lateness(job, number, deadline, slowdown, now)
            for step in ready:
                sort_key = _SortKey(
                    queue.priority,
                    0 if step.definition.long_running else lateness,
                    not (job.started or step.definition.long_running),
                    deadline,
                    job.offset,
                )
                ordered.append((sort_key, step))
    ordered.sort(key=lambda row: row[0])
    return [step for _, step in ordered]


def _find_lateness(
    job: Job, number: int, deadline: datetime, slowdown: float, now: datetime
) -> int:
    """Return 0 for on time, 1 for late, 2 for too late to matter."""
    due = job.due_at(number)
    objective = deadline - due
    remaining = job.estimate_remaining(number)
    if now + remaining > due + LATE_FACTOR * objective:
        return 2
    if not job.started:
        remaining = _estimate_duration(remaining, objective, slowdown)
    return int(now + remaining > deadline)


def _estimate_duration(
    remaining: timedelta, objective: timedelta, slowdown: float
) -> timedelta:
    """Return the expected duration of a job that has not started."""
    expected = remaining * slowdown * START_MARGIN
    return max(remaining, min(expected, MAX_EXPECTED_SHARE * objective))


def _is_ready(step: StepState, steps: list[StepState]) -> bool:
    if not step.waiting:
        return False
    return all(steps[earlier].complete for earlier in step.definition.depends_on)
