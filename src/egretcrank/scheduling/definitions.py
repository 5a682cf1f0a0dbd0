"""Definitions of submitted jobs, and the names of their tasks."""

import re
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from egretcrank.scheduling.catalog import MAX_STRETCH, MAX_TARGET_LATENCY, Queue

# Limits of tasks per step and steps per job, which bound the memory of one job.
MAX_TASKS = 10_000
MAX_STEPS = 100
# Limit of a job's tasks over all steps and repetitions: each takes about 150 bytes on
# the leader, which has 200 MB on the smallest machines.
MAX_JOB_TASKS = 100_000
# Digits of the largest number of a step, of a task or of a repetition.
MAX_INDEX_DIGITS = len(str(MAX_JOB_TASKS))
# Limits of estimates and intervals, and of the time until the first run. Sums of a few
# of them stay within the range of ``datetime``.
MAX_DURATION = timedelta(days=365)
MAX_FIRST_RUN_DELAY = timedelta(days=3650)
# Limits of times, of the time between the first and the last repetition, and of the
# time that a job may take. Sums of a few of them stay within the range of ``datetime``.
MAX_TIME = datetime(3000, 1, 1, tzinfo=UTC)
MAX_REPETITION_SPAN = timedelta(days=365_000)
MAX_OBJECTIVE = timedelta(days=365_000)

# Identifiers are parts of the names of tasks, which are separated by dots.
_JOB_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


class Step(NamedTuple):
    """One step of a job: ``width`` equal tasks.

    ``cpu`` is in thousandths of a core and ``memory`` in MiB, both for one task.
    ``label`` is a label that the host must have, and ``rack`` the rack near the data,
    which is preferred. ``spread_limit`` is the number of the step's tasks that one host
    may run, 0 for no limit. ``target`` is the tail latency objective of a long-running
    task that serves requests. The tasks of a ``same_rack`` step are placed on one rack
    if possible, where other racks are slower. ``allow_duplicates`` and
    ``allowed_misses`` are stored, but this release does not evaluate them.
    """

    width: int
    cpu: int
    memory: int
    accelerators: int
    estimate: timedelta
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    spread_limit: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target: timedelta = timedelta()
    best_effort: bool = False
    allowed_misses: int = 0


class JobDefinition(NamedTuple):
    """A job; ``repetitions`` is 0 for a job that runs once, at its submission.

    ``queue`` is the configuration at acceptance, which is used if the queue has been
    removed since.
    """

    job_id: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]
    submitted_at: datetime
    repetitions: int = 0
    first_run: datetime | None = None
    interval: timedelta = timedelta()


class StepKey(NamedTuple):
    """A step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """A task of a job."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def format(self) -> str:
        """Return the task name that is used in messages to hosts."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"


def parse_task_key(name: str) -> TaskKey | None:
    """Parse a task name; return ``None`` if it is malformed."""
    parts = name.split(".")
    if len(parts) != 4 or not all(
        part.isdecimal() and len(part) <= MAX_INDEX_DIGITS for part in parts[1:]
    ):
        return None
    return TaskKey(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def find_unsupported(definition: JobDefinition) -> str:
    """Describe why this release cannot schedule a job; empty if it can."""
    if definition.queue.uses_advice:
        return "the queue's hosts are chosen by the advice service"
    if any(step.gang for step in definition.steps):
        return "gangs are not scheduled by this release"
    return ""


def find_defect(definition: JobDefinition) -> str:
    """Describe what is invalid in a job; empty if it is valid."""
    if not _JOB_ID.fullmatch(definition.job_id):
        return "a job identifier has 1 to 64 letters, digits, hyphens and underscores"
    return (
        _find_step_defect(definition)
        or _find_time_defect(definition)
        or _find_queue_defect(definition.queue)
    )


def _find_step_defect(definition: JobDefinition) -> str:
    steps = definition.steps
    if not steps or len(steps) > MAX_STEPS:
        return f"a job has 1 to {MAX_STEPS} steps"
    for number, step in enumerate(steps):
        if not 1 <= step.width <= MAX_TASKS:
            return f"step {number} has {step.width} tasks, not 1 to {MAX_TASKS}"
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            return f"step {number} depends on a step that is not before it"
        if min(step.cpu, step.memory, step.accelerators, step.spread_limit) < 0:
            return f"step {number} has a negative amount"
        if not timedelta() <= step.estimate <= MAX_DURATION:
            return f"step {number} has an estimate below 0 or over {MAX_DURATION}"
        if any(steps[earlier].long_running for earlier in step.depends_on):
            return f"step {number} depends on a step that never ends"
    tasks = sum(step.width for step in steps) * max(1, definition.repetitions)
    if definition.repetitions < 0 or tasks > MAX_JOB_TASKS:
        return f"a job has up to {MAX_JOB_TASKS} tasks over all its repetitions"
    return ""


def _find_time_defect(definition: JobDefinition) -> str:
    """Describe what is invalid in the times of a job whose steps are valid."""
    first_run = definition.first_run
    if definition.repetitions and first_run is None:
        return "a repeated job has no time of its first run"
    for time in (definition.submitted_at, first_run):
        if time is not None and (time.tzinfo is None or time > MAX_TIME):
            return f"a time has no time zone or is after {MAX_TIME}"
    if (
        first_run is not None
        and first_run - definition.submitted_at > MAX_FIRST_RUN_DELAY
    ):
        return f"the first run is over {MAX_FIRST_RUN_DELAY} ahead"
    if not timedelta() <= definition.interval <= MAX_DURATION:
        return f"repetitions are 0 to {MAX_DURATION} apart"
    if definition.repetitions * definition.interval > MAX_REPETITION_SPAN:
        return f"the last repetition is over {MAX_REPETITION_SPAN} after the first"
    return ""


def _find_queue_defect(queue: Queue) -> str:
    if not 0 <= queue.stretch <= MAX_STRETCH:
        return f"the queue's stretch is not from 0 to {MAX_STRETCH}"
    if not timedelta() <= queue.target_latency <= MAX_TARGET_LATENCY:
        return f"the queue's target latency is not from 0 to {MAX_TARGET_LATENCY}"
    return ""
