"""Deterministic state machine of the job records of one partition.

Epochs are checked by ``WorkState``, which passes on only records of the highest fenced
epoch.
"""

from collections import OrderedDict
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.jobs.model import Ending, Intent, JobState, Repeat, TaskState
from egretcrank.stream.records import (
    JobAccepted,
    JobAcknowledged,
    JobCancelled,
    TaskCheckpointed,
    TaskEnded,
    TaskEvicted,
    TaskIntent,
    TaskNotStarted,
)
from egretcrank.wire.messages import SubmitJob

# Keys of acknowledged jobs are kept so that a repeated submission does not run the job
# again.
MAX_ACKNOWLEDGED_JOBS = 10_000

Verdict = Result[None, Problem]
JobRecord = JobAccepted | JobCancelled | JobAcknowledged
TaskRecord = TaskIntent | TaskNotStarted | TaskCheckpointed | TaskEvicted | TaskEnded
JOB_RECORDS = (JobAccepted, JobCancelled, JobAcknowledged)
TASK_RECORDS = (TaskIntent, TaskNotStarted, TaskCheckpointed, TaskEvicted, TaskEnded)


class JobsState:
    """Jobs of one partition, determined only by its valid records."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self._by_key: dict[tuple[str, str], str] = {}
        self._acknowledged: OrderedDict[str, tuple[str, str]] = OrderedDict()

    def apply(self, record: JobRecord | TaskRecord) -> Verdict:
        """Apply a record; a failure means that it is invalid and changed nothing."""
        match record:
            case JobAccepted():
                return self._accept(record)
            case JobCancelled():
                return self._cancel(record)
            case JobAcknowledged():
                return self._acknowledge(record)
            case _:
                return self._apply_to_task(record)

    def find_task(self, job: str, name: str) -> TaskState | None:
        """Return the state of a task, or ``None`` if it is unknown."""
        state = self.jobs.get(job)
        return state.tasks.get(name) if state else None

    def find_submission(self, customer: str, key: str) -> str | None:
        """Return the job that a customer submitted under a key, or ``None``."""
        return self._by_key.get((customer, key))

    def is_acknowledged(self, job: str) -> bool:
        """Return whether a job was acknowledged and dropped."""
        return job in self._acknowledged

    def _accept(self, record: JobAccepted) -> Verdict:
        spec = record.spec
        if record.job in self.jobs or record.job in self._acknowledged:
            return _reject(record.job, "the job already exists", "a new identifier")
        if (spec.customer, spec.key) in self._by_key:
            return _reject(
                record.job, f"key {spec.key!r} was already used", "a new key"
            )
        names = [task.name for task in spec.tasks]
        if not names or len(set(names)) != len(names):
            return _reject(
                record.job, "task names are missing or not unique", "unique names"
            )
        tasks = {name: TaskState(name) for name in names}
        self.jobs[record.job] = JobState(record.job, spec, record.accepted_at, tasks)
        self._by_key[(spec.customer, spec.key)] = record.job
        return Success(None)

    def _cancel(self, record: JobCancelled) -> Verdict:
        job = self.jobs.get(record.job)
        if job is None or job.cancelled or job.has_ended:
            return _reject(record.job, "the job is not active", "an active job")
        for name, task in job.tasks.items():
            if task.ending is None:
                job.tasks[name] = task._replace(
                    ending=Ending.CANCELLED, reason="job was cancelled"
                )
        self.jobs[record.job] = job._replace(cancelled=True)
        return Success(None)

    def _acknowledge(self, record: JobAcknowledged) -> Verdict:
        job = self.jobs.get(record.job)
        if job is None or not job.has_ended:
            return _reject(record.job, "the job has not ended", "an ended job")
        del self.jobs[record.job]
        self._acknowledged[record.job] = (job.spec.customer, job.spec.key)
        if len(self._acknowledged) > MAX_ACKNOWLEDGED_JOBS:
            _, key = self._acknowledged.popitem(last=False)
            self._by_key.pop(key, None)
        return Success(None)

    def _apply_to_task(self, record: TaskRecord) -> Verdict:
        where = f"{record.job}/{record.task}"
        job = self.jobs.get(record.job)
        task = job.tasks.get(record.task) if job else None
        if job is None or task is None:
            return _reject(where, "the task is unknown", "a task of an accepted job")
        if task.ending is not None:
            return _reject(where, f"the task ended as {task.ending}", "an active task")
        if record.attempt != task.attempt:
            return _reject(
                where, f"attempt {record.attempt} is not current", str(task.attempt)
            )
        is_non_repeatable = job.spec.repeat == Repeat.NEVER
        changed = _update_task(task, record, is_non_repeatable)
        if isinstance(changed, TaskState):
            job.tasks[record.task] = changed
            return Success(None)
        return _reject(where, changed, "a valid transition of the task")

    def build_state(self) -> dict[str, Any]:
        """Return the whole state as plain data for a snapshot."""
        return {
            "jobs": [
                {
                    "job": job.job,
                    "spec": msgspec.to_builtins(job.spec),
                    "accepted_at": job.accepted_at,
                    "cancelled": job.cancelled,
                    "tasks": [msgspec.to_builtins(t) for t in job.tasks.values()],
                }
                for job in self.jobs.values()
            ],
            "acknowledged": [
                [job, customer, key]
                for job, (customer, key) in self._acknowledged.items()
            ],
        }

    def load_state(self, data: dict[str, Any]) -> Verdict:
        """Replace the state by that of a snapshot; on failure nothing changes."""
        try:
            loaded = msgspec.convert(data, _Snapshot)
        except msgspec.ValidationError as error:
            return _reject(
                "state", f"jobs snapshot is malformed: {error}", "a jobs snapshot"
            )
        self.jobs = {
            j.job: JobState(
                j.job, j.spec, j.accepted_at, {t.name: t for t in j.tasks}, j.cancelled
            )
            for j in loaded.jobs
        }
        self._acknowledged = OrderedDict(
            (job, (customer, key)) for job, customer, key in loaded.acknowledged
        )
        self._by_key = {key: job for job, key in self._acknowledged.items()}
        self._by_key |= {(j.spec.customer, j.spec.key): j.job for j in loaded.jobs}
        return Success(None)


class _JobSnapshot(msgspec.Struct):
    job: str
    spec: SubmitJob
    accepted_at: float
    cancelled: bool
    tasks: list[TaskState]


class _Snapshot(msgspec.Struct):
    jobs: list[_JobSnapshot]
    acknowledged: list[tuple[str, str, str]]


def _update_task(
    task: TaskState, record: TaskRecord, is_non_repeatable: bool
) -> TaskState | str:
    """Return the changed task, or the reason why the record is invalid."""
    has_intent = task.intent is not None
    match record:
        case TaskIntent():
            if not is_non_repeatable or has_intent:
                return "the task may repeat or has an intent already"
            intent = Intent(record.attempt, record.host, record.incarnation)
            return task._replace(intent=intent)
        case TaskNotStarted():
            if not has_intent:
                return "the attempt has no recorded intent"
            return task._replace(attempt=task.attempt + 1, intent=None)
        case TaskCheckpointed():
            return task._replace(checkpoint=record.checkpoint)
        case TaskEvicted():
            if is_non_repeatable and not (has_intent and record.checkpoint):
                return "the attempt has no intent or the record has no checkpoint"
            return task._replace(
                attempt=task.attempt + 1,
                checkpoint=record.checkpoint or task.checkpoint,
                intent=None,
                reason=record.reason,
            )
        case TaskEnded():
            if record.state not in set(Ending):
                return f"{record.state!r} is not a final state"
            return task._replace(
                ending=Ending(record.state), result=record.result, reason=record.reason
            )


def _reject(where: str, detail: str, expected: str) -> Verdict:
    return Failure(Problem(ErrorKind.INVALID_RECORD, detail, where, expected))
