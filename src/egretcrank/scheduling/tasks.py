"""State of jobs, steps and tasks on the leading controller."""

from datetime import UTC, datetime, timedelta
from enum import StrEnum
from typing import NamedTuple

from egretcrank.policy.crashes import MIN_CRASHES, Crash
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.definitions import (
    MAX_OBJECTIVE,
    JobDefinition,
    Step,
    StepKey,
    TaskKey,
    parse_task_key,
)
from egretcrank.scheduling.records import (
    CrashesRecord,
    Phase,
    ProgressRecord,
    StepRecord,
    TaskRecord,
)

# A job is late if it takes longer than its objective, and too late to earn anything if
# it takes longer than this many times its objective.
LATE_FACTOR = 3
# Failures of a task that are restored where the log has only their number, as each of
# them takes memory.
MAX_RESTORED_FAILURES = 10_000
# Failed runs of a task that are named on the log. Of more, it has only the number.
MAX_NAMED_FAILURES = 256
# Neighbouring tasks of a step whose progress is one record, if the job is divided.
PART_TASKS = 64


class RunPhase(StrEnum):
    """State of a run that may hold capacity of a host.

    An agent has named a run that is ``STARTING``, which may have had no effect yet.
    """

    ORDERED = "ordered"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Progress(NamedTuple):
    """Progress of a run in percent of its work, and when it was reported."""

    percent: int
    reported_at: timedelta


class Placement:
    """A run of a task on a host, from its start order until its end is known."""

    __slots__ = (
        "host",
        "is_listed",
        "order_number",
        "phase",
        "placed_at",
        "progress",
        "run",
        "slow_since",
        "starting_at",
        "step",
        "task",
    )

    def __init__(
        self,
        task: TaskKey,
        step: "StepState",
        host: str,
        run: int,
        phase: RunPhase,
        placed_at: timedelta,
    ) -> None:
        self.task = task
        self.step = step
        self.host = host
        self.run = run
        self.phase = phase
        # When this leader placed the run, or first heard of it.
        self.placed_at = placed_at
        # Whether the runner has confirmed the run.
        self.is_listed = False
        # When its start was last reported to be still on its way.
        self.starting_at: timedelta | None = None
        self.order_number = 0
        # Time since which a best-effort task has been slow.
        self.slow_since: timedelta | None = None
        # The first and the last progress that was reported.
        self.progress: tuple[Progress, Progress] | None = None


class Task:
    """State of one task."""

    __slots__ = (
        "checkpoint",
        "crashes",
        "done",
        "ended_run",
        "failed_runs",
        "highest_run",
        "unlogged_crashes",
    )

    def __init__(self) -> None:
        self.done = False
        # Highest run numbers that were placed and that have ended.
        self.highest_run = 0
        self.ended_run = 0
        # A set of run numbers, as a new leader may learn of failures in any order.
        self.failed_runs: set[int] = set()
        self.checkpoint = ""
        # Crashes that the task may have caused, and the number of changes to them that
        # are not on the log yet.
        self.crashes: tuple[Crash, ...] = ()
        self.unlogged_crashes = 0

    @property
    def failures(self) -> int:
        """Return the number of runs that failed."""
        return len(self.failed_runs)


class StepState:
    """State of the tasks of one step of one occurrence."""

    def __init__(self, job: "Job", key: StepKey, definition: Step) -> None:
        self.job = job
        self.key = key
        self.definition = definition
        self.tasks = [Task() for _ in range(definition.width)]
        self.waiting = set(range(definition.width))
        self.done_count = 0
        # Time at which this leader placed the first task.
        self.started_at: timedelta | None = None
        # Time at which it was completed, if this leader placed any of its tasks.
        self.ended_at: timedelta | None = None
        # Number of runs by host, compared with the spread limit.
        self.spread: dict[str, int] = {}
        # Tasks that may have crashed a runner and have not proven harmless since.
        self.suspects: set[int] = set()
        # Parts whose progress has changed since they were last built for the log.
        self.changed_parts: set[int] = set()

    @property
    def complete(self) -> bool:
        """Return whether every task is done."""
        return self.done_count == self.definition.width

    def get_task_key(self, index: int) -> TaskKey:
        """Return the key of one task."""
        return TaskKey(self.key.job_id, self.key.occurrence, self.key.step, index)

    def mark_done(self, index: int) -> None:
        """Mark a task as done."""
        task = self.tasks[index]
        if not task.done:
            task.done = True
            self.done_count += 1
            self.waiting.discard(index)
            self.mark_changed(index)

    def mark_changed(self, index: int) -> None:
        """Record that the progress of a task has changed."""
        self.changed_parts.add(index // PART_TASKS)

    def restore(self, record: StepRecord, first: int = 0) -> None:
        """Load progress that is stored on the log, of the tasks from ``first`` on."""
        for position, task_record in record.tasks.items():
            index = first + position
            if position >= 0 and index < len(self.tasks):
                task = self.tasks[index]
                task.highest_run = task_record.highest_run
                task.ended_run = task_record.ended_run
                # The previous release records a count only. Negative run numbers stand
                # for those failures.
                task.failed_runs = set(task_record.failed_runs) or set(
                    range(-min(task_record.failures, MAX_RESTORED_FAILURES), 0)
                )
                task.checkpoint = task_record.checkpoint
        for position in range(min(len(self.tasks) - first, len(record.done) * 8)):
            if record.done[position // 8] & (1 << (position % 8)):
                self.mark_done(first + position)

    def build_record(self) -> StepRecord:
        """Return the progress as a record for the log."""
        return build_step_record(self.tasks)


def build_step_record(tasks: list[Task]) -> StepRecord:
    """Return the progress of tasks, numbered from 0, as a record for the log."""
    bits = bytearray((len(tasks) + 7) // 8)
    exceptions: dict[int, TaskRecord] = {}
    for index, task in enumerate(tasks):
        if task.done:
            bits[index // 8] |= 1 << (index % 8)
        elif task.ended_run or task.checkpoint:
            is_named = task.failures <= MAX_NAMED_FAILURES
            exceptions[index] = TaskRecord(
                task.highest_run,
                task.ended_run,
                task.failures,
                task.checkpoint,
                tuple(sorted(task.failed_runs)) if is_named else (),
            )
    return StepRecord(bytes(bits).rstrip(b"\0"), exceptions)


class Job:
    """State of a job; its occurrences are added when they are due."""

    def __init__(self, definition: JobDefinition, offset: int) -> None:
        self.definition = definition
        self.offset = offset
        self.queue = definition.queue
        self.phase = Phase.QUEUED
        self.ended_at: datetime | None = None
        self.occurrences: dict[int, list[StepState]] = {}
        # Number of runs that hold capacity, and the time since which there are none.
        self.active_runs = 0
        self.idle_since: timedelta | None = None
        # Runner processes that crashed under the job since one of its tasks was last
        # tried without a crash.
        self.crashed_processes: set[tuple[str, int]] = set()
        # Trials that its tasks have passed since a runner last crashed under it.
        self.passed_trials = 0
        # Whether its progress is on the log in parts.
        self.is_divided = False
        self._critical_path = find_critical_path(
            definition.steps, [step.estimate for step in definition.steps]
        )

    @property
    def job_id(self) -> str:
        """Return the identifier of the job."""
        return self.definition.job_id

    @property
    def occurrence_count(self) -> int:
        """Return how many times the job runs in total."""
        return max(1, self.definition.repetitions)

    def due_at(self, occurrence: int) -> datetime:
        """Return the earliest start time of an occurrence."""
        definition = self.definition
        if definition.first_run is None:
            return definition.submitted_at
        return definition.first_run + occurrence * definition.interval

    def add_occurrence(self, occurrence: int) -> list[StepState]:
        """Add the steps of an occurrence."""
        steps = [
            StepState(self, StepKey(self.job_id, occurrence, number), step)
            for number, step in enumerate(self.definition.steps)
        ]
        self.occurrences[occurrence] = steps
        return steps

    def find_step(self, key: TaskKey) -> StepState | None:
        """Return the step of a task, if the job has that task."""
        steps = self.occurrences.get(key.occurrence)
        if steps is None or not 0 <= key.step < len(steps):
            return None
        step = steps[key.step]
        return step if 0 <= key.position < len(step.tasks) else None

    def find_deadline(self, occurrence: int, queue: Queue) -> datetime:
        """Return the time by which an occurrence has to end to be on time."""
        objective = queue.stretch * self._critical_path + queue.target_latency
        return self.due_at(occurrence) + min(objective, MAX_OBJECTIVE)

    def estimate_remaining(self, occurrence: int) -> timedelta:
        """Return the estimated duration of the remaining critical path."""
        steps = self.occurrences[occurrence]
        return find_critical_path(
            self.definition.steps,
            [timedelta() if s.complete else s.definition.estimate for s in steps],
        )

    def is_complete(self) -> bool:
        """Return whether every occurrence is complete."""
        return len(self.occurrences) == self.occurrence_count and all(
            step.complete for steps in self.occurrences.values() for step in steps
        )

    def skip_runs(self, count: int) -> None:
        """Leave out run numbers of waiting tasks, which may be in use."""
        for steps in self.occurrences.values():
            for step in steps:
                for index in step.waiting:
                    step.tasks[index].highest_run += count

    @property
    def started(self) -> bool:
        """Return whether a task has begun or may be about to.

        A start that turns out to have had no effect does not count any more.
        """
        return self.phase is not Phase.QUEUED or self.active_runs > 0

    @property
    def is_suspect(self) -> bool:
        """Return whether each further task of the job may crash a runner."""
        return len(self.crashed_processes) >= MIN_CRASHES

    def restore_crashes(self, record: CrashesRecord) -> None:
        """Load the crashes of known occurrences that are stored on the log."""
        for name, crashes in record.tasks.items():
            key = parse_task_key(f"{self.job_id}.{name}")
            step = self.find_step(key) if key else None
            if key is None or step is None or not crashes:
                continue
            task = step.tasks[key.position]
            task.crashes = crashes
            task.highest_run = max(task.highest_run, *(c.run for c in crashes))
            if not task.done:
                step.suspects.add(key.position)
                self.crashed_processes.update(c.process for c in crashes if c.confirmed)

    def build_crashes_record(self) -> CrashesRecord:
        """Return the crashes under all tasks as a record for the log."""
        return CrashesRecord(
            {
                step.get_task_key(index).format().partition(".")[2]: task.crashes
                for steps in self.occurrences.values()
                for step in steps
                for index, task in enumerate(step.tasks)
                if task.crashes
            }
        )

    def restore(self, progress: ProgressRecord) -> None:
        """Load the progress that is stored on the log."""
        self.phase = progress.phase
        if progress.ended_at:
            self.ended_at = datetime.fromtimestamp(progress.ended_at, UTC)
        for occurrence, records in progress.occurrences.items():
            if not 0 <= occurrence < self.occurrence_count:
                continue
            steps = self.occurrences.get(occurrence) or self.add_occurrence(occurrence)
            for step, record in zip(steps, records, strict=False):
                step.restore(record)

    def build_record(self) -> ProgressRecord:
        """Return the progress as a record for the log, without steps once it ended."""
        ended = self.ended_at.timestamp() if self.ended_at else 0.0
        if self.phase.final:
            return ProgressRecord(self.phase, ended)
        return ProgressRecord(
            self.phase,
            ended,
            {
                number: [step.build_record() for step in steps]
                for number, steps in self.occurrences.items()
            },
        )


def find_critical_path(
    steps: tuple[Step, ...], durations: list[timedelta]
) -> timedelta:
    """Return the duration of the longest chain of dependent steps."""
    ends: list[timedelta] = []
    for step, duration in zip(steps, durations, strict=True):
        begin = max((ends[earlier] for earlier in step.depends_on), default=timedelta())
        ends.append(begin + duration)
    return max(ends, default=timedelta())
