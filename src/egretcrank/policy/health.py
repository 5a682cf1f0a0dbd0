"""Detection of workers that fail any job, and of jobs that fail on any worker."""

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

# Number of different jobs that must fail on a worker, without a success, to quarantine
# it.
MIN_FAILED_JOBS = 3

# Number of different workers on which a job must fail to count as unable to run.
MIN_FAILED_WORKERS = 3

# A job also counts as unable to run after this many failures in total, as repeated
# failures on one worker count only once towards ``MIN_FAILED_WORKERS``.
MAX_JOB_FAILURES = 12

# Number of failed jobs to track. Without a limit, jobs that never succeed would be kept
# for the life of the process.
MAX_TRACKED_JOBS = 10_000

# The quarantine doubles with each failed trial, up to the maximum.
INITIAL_QUARANTINE = timedelta(minutes=2)
MAX_QUARANTINE = timedelta(minutes=30)


@dataclass(frozen=True, slots=True)
class Usable:
    """The worker may start tasks."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The worker may not start tasks before ``until``, nor while a trial task runs."""

    until: timedelta


@dataclass(frozen=True, slots=True)
class OnProbation:
    """The worker may run one trial task, which shows whether it works again."""


Condition = Usable | Quarantined | OnProbation


class _WorkerRecord(NamedTuple):
    failed_jobs: frozenset[str] = frozenset()
    until: timedelta | None = None
    quarantine: timedelta = INITIAL_QUARANTINE


class WorkerHealth:
    """Attributes failures to workers or to jobs."""

    def __init__(self) -> None:
        self._workers: defaultdict[str, _WorkerRecord] = defaultdict(_WorkerRecord)
        self._failed_workers: defaultdict[str, set[str]] = defaultdict(set)
        self._failure_counts: defaultdict[str, int] = defaultdict(int)
        self._trial_tasks: dict[str, str] = {}

    def record_start(self, worker: str, task: str) -> None:
        """Record a start, which is the trial if the worker was quarantined."""
        if self._workers[worker].until is not None:
            self._trial_tasks[worker] = task

    def record_success(self, worker: str, job: str) -> None:
        """Record that a task of ``job`` succeeded on ``worker``."""
        self._workers[worker] = _WorkerRecord()
        self._trial_tasks.pop(worker, None)
        self._failed_workers.pop(job, None)
        self._failure_counts.pop(job, None)

    def record_failure(self, worker: str, job: str, time: timedelta) -> None:
        """Record that a task of ``job`` failed on ``worker``."""
        self._failed_workers[job].add(worker)
        self._failure_counts[job] += 1
        if len(self._failed_workers) > MAX_TRACKED_JOBS:
            oldest = next(iter(self._failed_workers))
            del self._failed_workers[oldest]
            self._failure_counts.pop(oldest, None)
        self._trial_tasks.pop(worker, None)
        record = self._workers[worker]
        if record.until is not None:
            if not self._is_job_suspect(job, worker):
                quarantine = min(record.quarantine * 2, MAX_QUARANTINE)
                self._workers[worker] = _WorkerRecord(
                    record.failed_jobs, time + quarantine, quarantine
                )
            return
        failed_jobs = frozenset(
            name
            for name in record.failed_jobs | {job}
            if not self._is_job_suspect(name, worker)
        )
        until = (
            time + record.quarantine if len(failed_jobs) >= MIN_FAILED_JOBS else None
        )
        self._workers[worker] = record._replace(failed_jobs=failed_jobs, until=until)

    def end_trial(self, worker: str) -> None:
        """Record that a trial task, if any, was stopped without a result."""
        self._trial_tasks.pop(worker, None)

    def get_condition(self, worker: str, time: timedelta) -> Condition:
        """Return whether ``worker`` may start tasks at ``time``."""
        record = self._workers.get(worker)
        if record is None or record.until is None:
            return Usable()
        if time < record.until or worker in self._trial_tasks:
            return Quarantined(record.until)
        return OnProbation()

    def cannot_run(self, job: str) -> bool:
        """Return whether ``job`` counts as unable to run on any worker.

        Failures on workers that are not usable count only towards ``MAX_JOB_FAILURES``.
        """
        healthy = [
            w
            for w in self._failed_workers.get(job, ())
            if self._workers[w].until is None
        ]
        return (
            len(healthy) >= MIN_FAILED_WORKERS
            or self._failure_counts.get(job, 0) >= MAX_JOB_FAILURES
        )

    def list_failed_workers(self, job: str) -> frozenset[str]:
        """Return the workers on which ``job`` failed since it last succeeded."""
        return frozenset(self._failed_workers.get(job, ()))

    def _is_job_suspect(self, job: str, worker: str) -> bool:
        """Return whether ``job`` also failed on 2 or more other usable workers."""
        others = self._failed_workers[job] - {worker}
        return sum(self._workers[other].until is None for other in others) >= 2
