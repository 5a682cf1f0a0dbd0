"""Data model of jobs and tasks."""

from enum import StrEnum
from typing import NamedTuple

from egretcrank.wire.messages import SubmitJob


class Repeat(StrEnum):
    """Whether a task may be attempted again if the end of an attempt is unknown."""

    FROM_CHECKPOINT = "from_checkpoint"
    NEVER = "never"


class Ending(StrEnum):
    """Final states of a task."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    CANNOT_RUN = "cannot_run"
    UNKNOWN = "unknown"


class ReportedState(StrEnum):
    """States of an attempt that hosts report in ``TaskReport.state``."""

    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"
    LOST = "lost"
    NOT_STARTED = "not_started"


ACTIVE_STATES = frozenset({ReportedState.STARTING, ReportedState.RUNNING})


class Intent(NamedTuple):
    """Recorded intent to start an attempt of a task that must not repeat."""

    attempt: int
    host: str
    incarnation: int


class TaskState(NamedTuple):
    """Recorded state of a task; only the attempt with number ``attempt`` may run."""

    name: str
    attempt: int = 1
    checkpoint: str = ""
    intent: Intent | None = None
    ending: Ending | None = None
    result: str = ""
    reason: str = ""


class JobState(NamedTuple):
    """Recorded state of a job; ``accepted_at`` is in seconds since the Unix epoch."""

    job: str
    spec: SubmitJob
    accepted_at: float
    tasks: dict[str, TaskState]
    cancelled: bool = False

    @property
    def has_ended(self) -> bool:
        """Whether every task has a final state."""
        return all(task.ending is not None for task in self.tasks.values())


def build_task_id(job: str, name: str) -> str:
    """Return the identifier of a task, which is unique among all jobs."""
    return f"{job}/{name}"


def split_task_id(task: str) -> tuple[str, str]:
    """Split a task identifier into job identifier and task name."""
    job, _, name = task.partition("/")
    return job, name
