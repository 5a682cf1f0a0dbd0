"""State that all parts of an owner of jobs share."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.jobs.interfaces import (
    Append,
    AttemptListener,
    Call,
    CheckQuota,
    HostSession,
    IgnoreAttempts,
    PlacedTask,
    Placement,
    PlaceTask,
    WaitingTask,
)
from egretcrank.jobs.model import (
    JobState,
    Repeat,
    Report,
    TaskState,
    build_task_id,
    split_task_id,
)
from egretcrank.jobs.state import JobsState
from egretcrank.observability.decisions import Decision, DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import Settings
from egretcrank.wire.messages import MemberStatus

MAX_PARALLEL_CALLS = 32


class OwnerContext:
    """What the parts of an owner share: its interfaces and what it keeps of tasks."""

    def __init__(
        self,
        partition: int,
        epoch: int,
        state: JobsState,
        append: Append,
        call: Call,
        members: Callable[[], Sequence[MemberStatus]],
        place: PlaceTask,
        check_quota: CheckQuota,
        may_act: Callable[[], bool],
        may_renew: Callable[[], bool],
        await_majority: bool,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
        settings: Settings,
        build_id: Callable[[], str],
        listener: AttemptListener,
    ) -> None:
        self.listener = listener
        self.started: dict[str, int] = {}
        self.build_id = build_id
        self.partition = partition
        self.epoch = epoch
        self.state = state
        self.append = append
        self.call = call
        self.members = members
        self.place = place
        self.check_quota = check_quota
        self.may_act = may_act
        self.may_renew = may_renew
        self.clock = clock
        self.decisions = decisions
        self.metrics = metrics
        self.settings = settings
        self.sessions: dict[str, HostSession] = {}
        self.placements: dict[str, Placement] = {}
        self.orphans: dict[tuple[str, int], str] = {}
        self.waiting: dict[str, str] = {}
        self.infeasible: dict[str, timedelta] = {}
        self.unresolved: dict[str, timedelta] = {}
        self.failed_on: dict[str, set[tuple[str, int]]] = {}
        self.refused_at: dict[tuple[str, str], timedelta] = {}
        self.asked_at: dict[str, timedelta] = {}
        self.wake = asyncio.Event()
        self.closed: set[str] = set()
        self.fenced = False
        self.accepted_here: set[str] = set()
        self.takeover_until = clock.monotonic()
        if epoch > 1 and await_majority:
            self.takeover_until = timedelta.max
        elif epoch > 1:
            self.complete_takeover()

    def complete_takeover(self) -> None:
        """Note that no host renews leases for the former owner after an outage.

        A host that reads the log may be behind by an outage and a poll; what it has
        renewed until then lapses.
        """
        log = self.settings.log
        wait = log.outage_seconds + log.poll_seconds + self.lapse_time()
        self.takeover_until = self.clock.monotonic() + wait

    def can_act(self) -> bool:
        """Tell whether this owner may still send and record anything."""
        return not self.fenced and self.may_act()

    def can_renew(self) -> bool:
        """Tell whether sessions may be renewed while nothing can be recorded."""
        return not self.fenced and self.may_renew()

    def describe_not_acting(self) -> Problem:
        """Return the problem of a message that comes while the owner may not act."""
        kind = ErrorKind.NOT_OWNER if self.fenced else ErrorKind.LOG_UNAVAILABLE
        return Problem(kind, "the owner may not act now", f"partition {self.partition}")

    def lapse_time(self) -> timedelta:
        """Return how long after a stamp its session and leases may last."""
        cluster = self.settings.cluster
        # Both clocks may deviate, in opposite directions.
        drift = 1 + 2 * cluster.clock_drift
        return (cluster.session_seconds + cluster.lease_seconds) * drift

    def list_active(self) -> list[tuple[JobState, TaskState]]:
        """List the tasks that have no final state."""
        return [
            (job, task)
            for job in self.state.jobs.values()
            for task in job.tasks.values()
            if task.ending is None
        ]

    def is_current(self, task_id: str, attempt: int) -> bool:
        """Tell whether an attempt is the one that may run now."""
        task = self.state.find_task(*split_task_id(task_id))
        return task is not None and task.ending is None and task.attempt == attempt

    def wait(self, name: str, reason: str) -> None:
        """Note why a task waits."""
        if self.waiting.get(name) != reason:
            self.waiting[name] = reason
            self.decide(name, "wait", "waiting", reason)

    def decide(self, subject: str, action: str, choice: str, reason: str) -> None:
        """Record a decision."""
        inputs = {"partition": self.partition, "epoch": self.epoch}
        self.decisions.record(Decision(subject, action, choice, reason, (), inputs))

    def note_start(self, name: str, placement: Placement) -> None:
        """Tell the listener of a start unless it knows of it."""
        job_id, task = split_task_id(name)
        job = self.state.jobs.get(job_id)
        if job is None or self.started.get(name) == placement.attempt:
            return
        self.note_end(name, Report.LOST)
        spec = next(s for s in job.spec.tasks if s.name == task)
        self.started[name] = placement.attempt
        self.listener.record_start(
            WaitingTask(
                name,
                job.spec.customer,
                job.spec.kind,
                job.spec.urgent,
                spec.resources,
                0.0,
            ),
            placement.host,
        )

    def note_end(self, name: str, state: str) -> None:
        """Tell the listener of the end of an attempt whose start it knows."""
        if self.started.pop(name, None) is not None:
            self.listener.record_end(name, state)

    def end_unplaced(self) -> None:
        """Tell the listener of attempts that ended without a report."""
        for name, attempt in list(self.started.items()):
            placement = self.placements.get(name)
            if placement is None or placement.attempt != attempt:
                self.note_end(name, Report.LOST)

    def stop_listening(self) -> None:
        """Tell the listener that all attempts have ended, and nothing after that."""
        for name in list(self.started):
            self.note_end(name, Report.LOST)
        self.listener = IgnoreAttempts()

    def forget_ended(self) -> None:
        """Drop what is kept of tasks that have ended."""
        active = {build_task_id(job.job, t.name) for job, t in self.list_active()}
        for kept in (
            self.waiting,
            self.infeasible,
            self.unresolved,
            self.failed_on,
        ):
            for name in kept.keys() - active:
                kept.pop(name)
        self.closed &= active
        self.accepted_here &= self.state.jobs.keys()
        for name, host in list(self.refused_at):
            if name not in active:
                del self.refused_at[(name, host)]

    def list_placed(self) -> list[PlacedTask]:
        """List what is placed, for quotas and preemption."""
        placed = []
        for name, placement in self.placements.items():
            job_id, task = split_task_id(name)
            job = self.state.jobs.get(job_id)
            if job is None:
                continue
            spec = next(s for s in job.spec.tasks if s.name == task)
            placed.append(
                PlacedTask(
                    name,
                    job.spec.customer,
                    job.spec.kind,
                    job.spec.urgent,
                    placement.host,
                    spec.resources,
                    placement.progress,
                    job.spec.repeat != Repeat.NEVER,
                )
            )
        return placed


async def run_bounded(calls: Iterable[Awaitable[object]]) -> None:
    """Run calls concurrently, a bounded number at a time."""
    free = asyncio.Semaphore(MAX_PARALLEL_CALLS)

    async def run(call: Awaitable[object]) -> None:
        async with free:
            await call

    await asyncio.gather(*(run(call) for call in calls))
