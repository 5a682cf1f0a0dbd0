"""Admission control: refusal of jobs that an overloaded service cannot begin in time.

It addresses bursts in which jobs of one kind arrive at 2 to 2.6 times their usual rate.
Without it, jobs are accepted that end long after they have lost all value. Each
controller decides by itself, from the table of jobs that it builds from the log. The
design is described in ``docs/design/admission.md``.
"""

import math
import threading
from collections import deque
from datetime import timedelta
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.policy.retries import compute_retry_after
from egretcrank.scheduling.definitions import MAX_OBJECTIVE, JobDefinition, Step
from egretcrank.scheduling.progress import Parts
from egretcrank.scheduling.records import (
    PROGRESS_KINDS,
    Phase,
    ProgressRecord,
    RecordKey,
    RecordKind,
    StepRecord,
)
from egretcrank.scheduling.table import JobEntry, JobTable
from egretcrank.scheduling.tasks import LATE_FACTOR, find_critical_path

# Time over which the throughput is measured. Jobs with longer tasks do not stand before
# others, as a window of this length may contain none of their ends.
THROUGHPUT_WINDOW = timedelta(seconds=5)
# The highest throughput within this time counts. For some seconds after a change of the
# leader, a loss of power or an idle time, the last window shows less than the capacity:
# urgent jobs were refused then that would have ended on time.
PEAK_MEMORY = timedelta(seconds=20)
# A longer time without a progress record means that reads have paused or that no leader
# writes. The throughput is uncertain until the window has been measured again.
MAX_PROGRESS_GAP = timedelta(seconds=1)
# Overdue work, in objectives of the new job, below which nothing is refused. Without
# such work, the throughput may be that of the arrivals instead of the capacity.
MIN_OVERDUE_OBJECTIVES = 1
# A few jobs may be overdue because of tasks that hang, while most hosts are free.
MIN_OVERDUE_JOBS = 3
SECOND = timedelta(seconds=1)
ZERO = timedelta()
# Demands beside the labels.
ACCELERATORS = " accelerators"
BEST_EFFORT = " best effort"
OBSERVED_KINDS = (RecordKind.JOB, RecordKind.CANCELLATION, *PROGRESS_KINDS)


class Refusal(NamedTuple):
    """Refusal of a job, with its inputs.

    ``on_time`` and ``overdue`` are the times that the service takes for the work before
    the job: that of jobs that can still be on time, and that of jobs that will be late.
    ``throughput`` is in cores. ``reason`` is ``backlog``, or ``higher_priority`` if
    most of the work is of queues with a higher priority.
    """

    reason: str
    retry_after: timedelta
    on_time: timedelta
    overdue: timedelta
    objective: timedelta
    throughput: float


class _Size(NamedTuple):
    """Largest processor time and memory of a task."""

    cpu: int = 0
    memory: int = 0


class _OpenJob:
    """Work of a job that has not ended; times are in seconds, work in core-seconds."""

    __slots__ = (
        "_definition",
        "_steps_done",
        "deadline",
        "demands",
        "is_measurable",
        "is_started",
        "matters_until",
        "on_time_until",
        "priority",
        "queue",
        "service",
        "size",
        "work",
    )

    def __init__(self, definition: JobDefinition) -> None:
        self._definition = definition
        self._steps_done = -1
        self.queue = definition.queue.name
        self.service = definition.queue.service
        self.priority = definition.queue.priority
        self.demands = _list_demands(definition)
        self.size = _Size(
            max(step.cpu for step in definition.steps),
            max(step.memory for step in definition.steps),
        )
        # Whether the ends of its tasks are frequent enough for the window.
        self.is_measurable = all(
            step.estimate <= THROUGHPUT_WINDOW for step in definition.steps
        )
        self.is_started = False
        objective = compute_objective(definition)
        self.deadline = (definition.submitted_at + objective).timestamp()
        # Latest begins of what remains, to end within the objective and before the job
        # earns nothing.
        self.on_time_until = self.matters_until = 0.0
        self.work = 0.0
        self.update(None)

    def update(
        self, progress: ProgressRecord | None, parts: Parts | None = None
    ) -> float:
        """Apply progress and return the work done since the last update."""
        steps = self._definition.steps
        records: list[StepRecord] = []
        if progress is not None:
            self.is_started = progress.phase is not Phase.QUEUED
            records = progress.occurrences.get(0, records)
        lefts = [step.width for step in steps]
        for number, record in zip(range(len(lefts)), records, strict=False):
            lefts[number] -= record.count_done()
        if parts is not None:
            lefts = [
                min(n, left)
                for n, left in zip(lefts, parts.count_left(steps), strict=True)
            ]
        work = sum(
            max(0, left) * _compute_work(step)
            for step, left in zip(steps, lefts, strict=True)
        )
        steps_done = sum(left <= 0 for left in lefts)
        if steps_done != self._steps_done:
            self._steps_done = steps_done
            self._update_limits(lefts)
        done, self.work = self.work - work, work
        return max(0.0, done)

    def _update_limits(self, lefts: list[int]) -> None:
        definition = self._definition
        chain = find_critical_path(
            definition.steps,
            [
                step.estimate if left > 0 else ZERO
                for step, left in zip(definition.steps, lefts, strict=True)
            ],
        )
        objective = compute_objective(definition)
        self.on_time_until = self.deadline - chain.total_seconds()
        late_time = (LATE_FACTOR - 1) * objective
        self.matters_until = self.on_time_until + late_time.total_seconds()


class _Throughput:
    """Work done for the jobs of a service, by second."""

    def __init__(self) -> None:
        self._seconds: deque[tuple[int, float]] = deque()

    def add(self, work: float, now: timedelta) -> None:
        second = now // SECOND
        if self._seconds and self._seconds[-1][0] == second:
            work += self._seconds.pop()[1]
        self._seconds.append((second, work))
        while self._seconds[0][0] <= second - PEAK_MEMORY // SECOND:
            self._seconds.popleft()

    def compute(self, now: timedelta) -> float:
        """Return the highest throughput of the last PEAK_MEMORY, in cores."""
        length, window = PEAK_MEMORY // SECOND, THROUGHPUT_WINDOW // SECOND
        first = now // SECOND - length + 1
        done = [0.0] * length
        for second, work in self._seconds:
            if second >= first:
                done[second - first] = work
        return max(sum(done[i : i + window]) for i in range(length)) / window


class Backlogs:
    """Backlog of each queue and throughput of each service, from applied records."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._jobs: dict[str, _OpenJob] = {}
        # Open work by service, priority and queue; the open jobs are examined only if
        # the sum could cause a refusal.
        self._open_work: dict[tuple[str, int, str], float] = {}
        self._throughputs: dict[str, _Throughput] = {}
        # Largest tasks of completed jobs by service: larger ones may fit no host.
        self._sizes: dict[str, _Size] = {}
        self._measured_since: timedelta | None = None
        self._progress_at: timedelta | None = None
        # Records are applied by one thread and requests are handled by others.
        self._lock = threading.Lock()

    def observe(self, table: JobTable, key: RecordKey) -> None:
        """Apply a record that the table has just applied."""
        if key.kind not in OBSERVED_KINDS:
            return
        now = self._clock.boottime()
        with self._lock:
            if key.kind in PROGRESS_KINDS:
                self._note_progress(now)
            self._update_job(key.job_id, table.jobs.get(key.job_id), now)

    def _note_progress(self, now: timedelta) -> None:
        """Measure anew after a pause, whose records come at once when it ends."""
        if self._progress_at is None or now - self._progress_at > MAX_PROGRESS_GAP:
            self._measured_since = now
        self._progress_at = now

    def _update_job(self, job_id: str, entry: JobEntry | None, now: timedelta) -> None:
        job = self._jobs.get(job_id)
        if entry is None or entry.definition is None or entry.phase.final:
            if job is None:
                return
            del self._jobs[job_id]
            self._change_open_work(job, -job.work)
            if entry is not None and entry.phase is Phase.COMPLETED:
                self._record_work(job, job.work, now)
                known = self._sizes.get(job.service, _Size())
                self._sizes[job.service] = _Size(*map(max, known, job.size))
            return
        if job is None:
            if not _is_finite(entry.definition):
                return
            job = self._jobs[job_id] = _OpenJob(entry.definition)
            job.update(entry.progress, entry.parts)
            self._change_open_work(job, job.work)
            return
        before = job.work
        done = job.update(entry.progress, entry.parts)
        self._change_open_work(job, job.work - before)
        self._record_work(job, done, now)

    def _change_open_work(self, job: _OpenJob, change: float) -> None:
        key = (job.service, job.priority, job.queue)
        self._open_work[key] = self._open_work.get(key, 0.0) + change

    def _record_work(self, job: _OpenJob, work: float, now: timedelta) -> None:
        if work > 0:
            self._throughputs.setdefault(job.service, _Throughput()).add(work, now)

    def _find_throughput(self, service: str, now: timedelta) -> float:
        """Return the throughput of a service in cores, 0 if it is uncertain."""
        since, progress_at = self._measured_since, self._progress_at
        if (
            since is None
            or progress_at is None
            or now - since < THROUGHPUT_WINDOW
            or now - progress_at > MAX_PROGRESS_GAP
            or service not in self._throughputs
        ):
            return 0.0
        return self._throughputs[service].compute(now)

    def find_refusal(self, definition: JobDefinition) -> Refusal | None:
        """Return why a new job is to be refused, None if it is to be accepted."""
        if not _is_finite(definition):
            return None
        new = _OpenJob(definition)
        objective = compute_objective(definition).total_seconds()
        now = self._clock.boottime()
        with self._lock:
            throughput = self._find_throughput(new.service, now)
            limit = LATE_FACTOR * objective * throughput
            if not 0 < limit < self._sum_open_work(new):
                return None
            largest = self._sizes.get(new.service, _Size())
            jobs = [
                job
                for job in self._jobs.values()
                if job.size.cpu <= largest.cpu and job.size.memory <= largest.memory
            ]
        return _judge(new, jobs, objective, throughput, definition.job_id)

    def _sum_open_work(self, new: _OpenJob) -> float:
        return sum(
            work
            for (service, priority, _), work in self._open_work.items()
            if service == new.service and priority <= new.priority
        )

    def update_gauges(self) -> None:
        """Update the gauge of each queue's backlog, NaN while it is uncertain."""
        now = self._clock.boottime()
        with self._lock:
            for (service, _, queue), work in self._open_work.items():
                throughput = self._find_throughput(service, now)
                seconds = max(0.0, work) / throughput if throughput else math.nan
                self._metrics.queue_backlog_seconds.set({"queue": queue}, seconds)


def _judge(
    new: _OpenJob,
    jobs: list[_OpenJob],
    objective: float,
    throughput: float,
    job_id: str,
) -> Refusal | None:
    """Refuse a job if all that the service can do until it is too late is taken.

    While the job can be on time, it yields only to work that can be on time as well;
    after that, it also yields to overdue work. Work that can no longer earn anything
    yields to it. A job is refused only if both times are taken, so that a service never
    works on late jobs because it has refused one that it could have ended on time.
    """
    now = new.deadline - objective
    on_time = overdue = higher = 0.0
    overdue_jobs = 0
    for job in jobs:
        if not _goes_before(job, new) or now > job.matters_until:
            continue
        if now <= job.on_time_until:
            on_time += job.work
        else:
            overdue += job.work
            overdue_jobs += 1
        if job.priority < new.priority:
            higher += job.work
    on_time, overdue, higher = (w / throughput for w in (on_time, overdue, higher))
    excess = on_time - (new.on_time_until - now)
    if (
        excess <= 0
        or overdue < MIN_OVERDUE_OBJECTIVES * objective
        or overdue_jobs < MIN_OVERDUE_JOBS
        or on_time + overdue <= LATE_FACTOR * objective
    ):
        return None
    return Refusal(
        "higher_priority" if higher > (on_time + overdue) / 2 else "backlog",
        compute_retry_after(_build_delay(excess), job_id),
        _build_delay(on_time),
        _build_delay(overdue),
        _build_delay(objective),
        throughput,
    )


def _goes_before(job: _OpenJob, new: _OpenJob) -> bool:
    """Return whether a job goes before a new one that is as late as itself.

    A job with a demand that the new one does not have is left out: it may wait for
    hosts that do not exist, while the new one could run. Best-effort tasks yield to
    all others, so their jobs go before best-effort jobs only.
    """
    if (
        job.service != new.service
        or not job.is_measurable
        or not job.demands <= new.demands
    ):
        return False
    if job.priority != new.priority:
        return job.priority < new.priority
    return job.is_started or job.deadline <= new.deadline


def compute_objective(definition: JobDefinition) -> timedelta:
    """Return the time within which a job has to end to be on time."""
    steps, queue = definition.steps, definition.queue
    chain = find_critical_path(steps, [step.estimate for step in steps])
    return min(queue.stretch * chain + queue.target_latency, MAX_OBJECTIVE)


def _build_delay(seconds: float) -> timedelta:
    """Return a delay within the range of ``timedelta``, as sizes have no limit."""
    return timedelta(seconds=min(seconds, MAX_OBJECTIVE.total_seconds()))


def _is_finite(definition: JobDefinition) -> bool:
    """Return whether a job runs once and ends."""
    return not definition.repetitions and not any(
        step.long_running for step in definition.steps
    )


def _list_demands(definition: JobDefinition) -> frozenset[str]:
    """Return what a job demands that not every host has for every task."""
    demands = {step.label for step in definition.steps if step.label}
    if any(step.accelerators for step in definition.steps):
        demands.add(ACCELERATORS)
    if any(step.best_effort for step in definition.steps):
        demands.add(BEST_EFFORT)
    return frozenset(demands)


def _compute_work(step: Step) -> float:
    """Return the core-seconds of one task of a step."""
    return step.cpu / 1000 * step.estimate.total_seconds()
