"""Handling of customers' requests to submit, cancel, show and acknowledge jobs."""

import math

from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.jobs.context import JobOwnerContext
from egretcrank.jobs.interfaces import Reply
from egretcrank.jobs.model import JobState, Repeat, TaskState, build_task_id
from egretcrank.stream.records import JobAccepted, JobAcknowledged, JobCancelled
from egretcrank.wire.messages import (
    AcknowledgeJob,
    CancelJob,
    JobReply,
    SubmitJob,
    TaskSummary,
)


class JobIntake:
    """Accepts, cancels and describes the jobs of a partition."""

    def __init__(self, context: JobOwnerContext) -> None:
        self._context = context

    async def submit(self, message: SubmitJob) -> Reply:
        """Accept a job at most once for its key and return its state."""
        problem = _validate_submission(message)
        if problem is not None:
            self._context.metrics.refusals.inc(
                {"source": "jobs", "kind": problem.kind.value}
            )
            return Failure(problem)
        if found := self._find_submitted(message):
            return found
        if not self._context.can_act():
            return Failure(self._context.describe_not_acting())
        job = f"{self._context.partition}-{self._context.build_id()}"
        record = JobAccepted(
            self._context.partition,
            self._context.epoch,
            job,
            message,
            self._context.clock.now().timestamp(),
        )
        verdict = await self._context.append(record)
        if found := self._find_submitted(message):
            self._context.accepted_here.add(job)
            self._context.wake.set()
            return found
        return Failure(_build_unconfirmed_problem(verdict, message.key))

    def _find_submitted(self, message: SubmitJob) -> Reply | None:
        job = self._context.state.find_submission(message.customer, message.key)
        if job is None:
            return None
        state = self._context.state.jobs.get(job)
        if state is None:
            return Success(JobReply(job, "acknowledged", message.customer))
        if state.spec != message:
            return Failure(
                Problem(
                    ErrorKind.KEY_REUSED,
                    f"key {message.key!r} was used for another job",
                    "Idempotency-Key",
                    "a new key for each job",
                )
            )
        return self.describe(job)

    async def cancel(self, message: CancelJob) -> Reply:
        """Cancel all tasks of a job that have not ended."""
        job = self._context.state.jobs.get(message.job)
        if job is None or job.has_ended:
            return self.describe(message.job)
        if not self._context.can_act():
            return Failure(self._context.describe_not_acting())
        record = JobCancelled(self._context.partition, self._context.epoch, message.job)
        verdict = await self._context.append(record)
        job = self._context.state.jobs.get(message.job)
        if job is not None and not job.has_ended:
            return Failure(_build_unconfirmed_problem(verdict, message.job))
        self._context.wake.set()
        return self.describe(message.job)

    async def acknowledge(self, message: AcknowledgeJob) -> Reply:
        """Drop a job that has ended; fails with ``BAD_REQUEST`` if it has not."""
        job = self._context.state.jobs.get(message.job)
        if job is None:
            return self.describe(message.job)
        if not job.has_ended:
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    "the job has not ended",
                    message.job,
                    "a job whose tasks have all ended",
                )
            )
        if not self._context.can_act():
            return Failure(self._context.describe_not_acting())
        record = JobAcknowledged(
            self._context.partition, self._context.epoch, message.job
        )
        verdict = await self._context.append(record)
        if message.job in self._context.state.jobs:
            return Failure(_build_unconfirmed_problem(verdict, message.job))
        return self.describe(message.job)

    def describe(self, job: str) -> Reply:
        """Return the state of a job and its tasks, or ``NOT_FOUND``."""
        state = self._context.state.jobs.get(job)
        if state is None:
            if self._context.state.is_acknowledged(job):
                return Success(JobReply(job, "acknowledged"))
            return Failure(
                Problem(ErrorKind.NOT_FOUND, f"job {job!r} is unknown", "job")
            )
        tasks = tuple(self._summarize(state, task) for task in state.tasks.values())
        if state.cancelled:
            status = "cancelled"
        elif state.has_ended:
            status = "ended"
        elif any(task.state == "running" for task in tasks):
            status = "running"
        else:
            status = "accepted"
        return Success(
            JobReply(job, status, state.spec.customer, state.spec.kind, tasks)
        )

    def _summarize(self, job: JobState, task: TaskState) -> TaskSummary:
        task_id = build_task_id(job.job, task.name)
        placement = self._context.placements.get(task_id)
        host = placement.host if placement else ""
        if task.ending is not None:
            return TaskSummary(
                task.name, task.ending, task.attempt, host, task.reason, task.result
            )
        if placement is None:
            reason = self._context.waiting_reasons.get(task_id, task.reason)
            return TaskSummary(task.name, "waiting", task.attempt, "", reason)
        status = "running" if placement.confirmed else "starting"
        return TaskSummary(task.name, status, task.attempt, host)


def _validate_submission(message: SubmitJob) -> Problem | None:
    if not message.key:
        return Problem(
            ErrorKind.KEY_REQUIRED,
            "the idempotency key is missing",
            "Idempotency-Key",
            "a key",
        )
    if message.repeat not in set(Repeat):
        expected = " or ".join(Repeat)
        return _build_bad_request(
            f"repeat {message.repeat!r} is invalid", "repeat", expected
        )
    names = [task.name for task in message.tasks]
    if not names or len(set(names)) != len(names) or "" in names:
        return _build_bad_request(
            "task names are missing or not unique",
            "tasks",
            "a unique name for each task",
        )
    for task in message.tasks:
        amounts = (
            task.resources.processors,
            task.resources.memory_mib,
            task.resources.accelerators,
            task.run_seconds,
        )
        if not all(math.isfinite(amount) and amount >= 0 for amount in amounts):
            return _build_bad_request(
                f"resources or run time of {task.name!r} are invalid",
                f"tasks.{task.name}",
                "finite, non-negative numbers",
            )
    return None


def _build_bad_request(detail: str, where: str, expected: str) -> Problem:
    return Problem(ErrorKind.BAD_REQUEST, detail, where, expected)


def _build_unconfirmed_problem(verdict: Result[None, Problem], where: str) -> Problem:
    """Build the problem of a record that was not read back from the log.

    Unless the log refused the record, it may still be appended.
    """
    match verdict:
        case Failure(Problem() as problem) if (
            problem.kind is not ErrorKind.LOG_UNAVAILABLE
        ):
            return problem
        case _:
            return Problem(
                ErrorKind.OUTCOME_UNKNOWN,
                "the log did not confirm the record in time",
                where,
                "a retry of the same request",
            )
