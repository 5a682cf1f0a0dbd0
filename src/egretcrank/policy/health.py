"""Workers that fail everything, and jobs that fail everywhere."""

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

# Different jobs that must fail on a worker, without a success, to set it aside.
FAILED_JOBS = 3

# Different workers on which a job must fail before it counts as unable to run.
FAILED_WORKERS = 3

# Failures of a job on one worker count as one; a job gives up after this many in all.
FAILURES_IN_ALL = 12

# Jobs that never succeed would otherwise be kept for the life of the process.
KEPT_JOBS = 10_000

FIRST_REST = timedelta(minutes=2)
LONGEST_REST = timedelta(minutes=30)


@dataclass(frozen=True, slots=True)
class Usable:
    """The worker may start tasks."""


@dataclass(frozen=True, slots=True)
class SetAside:
    """The worker may start nothing until ``until``."""

    until: timedelta


@dataclass(frozen=True, slots=True)
class OnTrial:
    """The worker may run one task at a time, to show whether it works again."""


Condition = Usable | SetAside | OnTrial


class _Record(NamedTuple):
    failed: frozenset[str] = frozenset()
    until: timedelta | None = None
    rest: timedelta = FIRST_REST


class WorkerHealth:
    """Tells failures of workers from failures of jobs."""

    def __init__(self) -> None:
        self._workers: defaultdict[str, _Record] = defaultdict(_Record)
        self._jobs: defaultdict[str, set[str]] = defaultdict(set)
        self._failures: defaultdict[str, int] = defaultdict(int)
        self._trials: dict[str, str] = {}

    def record_start(self, worker: str, task: str) -> None:
        """Record a start, which is the trial if the worker was set aside."""
        if self._workers[worker].until is not None:
            self._trials[worker] = task

    def record_success(self, worker: str, job: str) -> None:
        """Record that a task of ``job`` ended well on ``worker``."""
        self._workers[worker] = _Record()
        self._trials.pop(worker, None)
        self._jobs.pop(job, None)
        self._failures.pop(job, None)

    def record_failure(self, worker: str, job: str, time: timedelta) -> None:
        """Record that a task of ``job`` failed on ``worker``."""
        self._jobs[job].add(worker)
        self._failures[job] += 1
        if len(self._jobs) > KEPT_JOBS:
            oldest = next(iter(self._jobs))
            del self._jobs[oldest]
            self._failures.pop(oldest, None)
        self._trials.pop(worker, None)
        record = self._workers[worker]
        if record.until is not None:
            if not self._is_suspect(job, worker):
                rest = min(record.rest * 2, LONGEST_REST)
                self._workers[worker] = _Record(record.failed, time + rest, rest)
            return
        failed = frozenset(
            name for name in record.failed | {job} if not self._is_suspect(name, worker)
        )
        until = time + record.rest if len(failed) >= FAILED_JOBS else None
        self._workers[worker] = record._replace(failed=failed, until=until)

    def end_trial(self, worker: str) -> None:
        """Record that the trial task was stopped without a result."""
        self._trials.pop(worker, None)

    def find_condition(self, worker: str, time: timedelta) -> Condition:
        """Return what ``worker`` may be used for."""
        record = self._workers.get(worker)
        if record is None or record.until is None:
            return Usable()
        if time < record.until or worker in self._trials:
            return SetAside(record.until)
        return OnTrial()

    def cannot_run(self, job: str) -> bool:
        """Tell whether ``job`` failed on enough workers that are not set aside."""
        sound = [w for w in self._jobs.get(job, ()) if self._workers[w].until is None]
        return (
            len(sound) >= FAILED_WORKERS
            or self._failures.get(job, 0) >= FAILURES_IN_ALL
        )

    def list_failed(self, job: str) -> frozenset[str]:
        """Return the workers on which ``job`` failed since it last succeeded."""
        return frozenset(self._jobs.get(job, ()))

    def _is_suspect(self, job: str, worker: str) -> bool:
        """Tell whether ``job`` also failed on two other workers that work."""
        others = self._jobs[job] - {worker}
        return sum(self._workers[other].until is None for other in others) >= 2
