"""State and dependencies shared by the components of a job owner."""

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
    NullAttemptListener,
    PlacedTask,
    Placement,
    PlaceTask,
    WaitingTask,
)
from egretcrank.jobs.model import (
    JobState,
    Repeat,
    ReportedState,
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


class JobOwnerContext:
    """Dependencies of a job owner, and its in-memory state of hosts and tasks.

    Keys are task identifiers unless stated otherwise. ``orphans`` maps tasks and
    attempts that must be stopped to their hosts. ``failed_on`` has the host and number
    of each failed attempt of a task. ``refused_at`` maps tasks and hosts to the time of
    the last start that failed, and ``unresolved_since`` has the time since which the
    recorded intent of a task has no placement. ``reported_starts`` has the attempts of
    whose start the listener was notified. No former owner can have started a task of
    the jobs in ``accepted_here``, because this owner accepted them itself.
    """

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
        self.reported_starts: dict[str, int] = {}
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
        self.waiting_reasons: dict[str, str] = {}
        self.infeasible_since: dict[str, timedelta] = {}
        self.unresolved_since: dict[str, timedelta] = {}
        self.failed_on: dict[str, set[tuple[str, int]]] = {}
        self.refused_at: dict[tuple[str, str], timedelta] = {}
        self.renewal_sent_at: dict[str, timedelta] = {}
        self.wake = asyncio.Event()
        self.former_attempts_closed: set[str] = set()
        self.fenced = False
        self.accepted_here: set[str] = set()
        self.takeover_until = clock.monotonic()
        if epoch > 1 and await_majority:
            self.takeover_until = timedelta.max
        elif epoch > 1:
            self.complete_takeover()

    def complete_takeover(self) -> None:
        """Start the wait after which all leases of the former owner have expired.

        A host may read the fence an outage and a poll interval late. Leases that it
        renewed until then expire one lease lifetime later.
        """
        log = self.settings.log
        wait = log.outage_seconds + log.poll_seconds + self.compute_lease_lifetime()
        self.takeover_until = self.clock.monotonic() + wait

    def can_act(self) -> bool:
        """Return whether this owner may send messages and append records."""
        return not self.fenced and self.may_act()

    def can_renew(self) -> bool:
        """Return whether sessions may be renewed while the log is unavailable."""
        return not self.fenced and self.may_renew()

    def describe_not_acting(self) -> Problem:
        """Build the refusal of a message while this owner may not act."""
        kind = ErrorKind.NOT_OWNER if self.fenced else ErrorKind.LOG_UNAVAILABLE
        return Problem(
            kind,
            "the owner is fenced or cannot reach the log",
            f"partition {self.partition}",
        )

    def compute_lease_lifetime(self) -> timedelta:
        """Return how long after its stamp a session and its leases may be valid."""
        cluster = self.settings.cluster
        # The clocks of owner and host may drift in opposite directions.
        drift = 1 + 2 * cluster.clock_drift
        return (cluster.session_seconds + cluster.lease_seconds) * drift

    def list_active_tasks(self) -> list[tuple[JobState, TaskState]]:
        """Return the tasks that have no final state, with their jobs."""
        return [
            (job, task)
            for job in self.state.jobs.values()
            for task in job.tasks.values()
            if task.ending is None
        ]

    def is_current(self, task_id: str, attempt: int) -> bool:
        """Return whether an attempt is the current one of a task that has not ended."""
        task = self.state.find_task(*split_task_id(task_id))
        return task is not None and task.ending is None and task.attempt == attempt

    def set_waiting_reason(self, task_id: str, reason: str) -> None:
        """Set why a task waits, and record a decision if the reason changed."""
        if self.waiting_reasons.get(task_id) != reason:
            self.waiting_reasons[task_id] = reason
            self.record_decision(task_id, "wait", "waiting", reason)

    def record_decision(
        self, subject: str, action: str, choice: str, reason: str
    ) -> None:
        """Record a decision without alternatives."""
        inputs = {"partition": self.partition, "epoch": self.epoch}
        self.decisions.record(Decision(subject, action, choice, reason, (), inputs))

    def notify_start(self, task_id: str, placement: Placement) -> None:
        """Notify the listener of a start once for each attempt.

        A former attempt of the task whose end was not reported is reported as lost.
        """
        job_id, task = split_task_id(task_id)
        job = self.state.jobs.get(job_id)
        if job is None or self.reported_starts.get(task_id) == placement.attempt:
            return
        self.notify_end(task_id, ReportedState.LOST)
        spec = next(s for s in job.spec.tasks if s.name == task)
        self.reported_starts[task_id] = placement.attempt
        self.listener.record_start(
            WaitingTask(
                task_id,
                job.spec.customer,
                job.spec.kind,
                job.spec.urgent,
                spec.resources,
                0.0,
            ),
            placement.host,
        )

    def notify_end(self, task_id: str, state: str) -> None:
        """Notify the listener of an attempt's end if it was notified of the start."""
        if self.reported_starts.pop(task_id, None) is not None:
            self.listener.record_end(task_id, state)

    def notify_unreported_ends(self) -> None:
        """Notify the listener of attempts that are no longer placed, as lost."""
        for task_id, attempt in list(self.reported_starts.items()):
            placement = self.placements.get(task_id)
            if placement is None or placement.attempt != attempt:
                self.notify_end(task_id, ReportedState.LOST)

    def detach_listener(self) -> None:
        """Notify the listener that all attempts are lost, and detach it."""
        for task_id in list(self.reported_starts):
            self.notify_end(task_id, ReportedState.LOST)
        self.listener = NullAttemptListener()

    def drop_ended_tasks(self) -> None:
        """Drop the in-memory state of tasks that have ended."""
        active = {build_task_id(job.job, t.name) for job, t in self.list_active_tasks()}
        for mapping in (
            self.waiting_reasons,
            self.infeasible_since,
            self.unresolved_since,
            self.failed_on,
        ):
            for task_id in mapping.keys() - active:
                mapping.pop(task_id)
        self.former_attempts_closed &= active
        self.accepted_here &= self.state.jobs.keys()
        for task_id, host in list(self.refused_at):
            if task_id not in active:
                del self.refused_at[(task_id, host)]

    def list_placed_tasks(self) -> list[PlacedTask]:
        """Return the placed tasks, for quotas and preemption."""
        placed = []
        for task_id, placement in self.placements.items():
            job_id, task = split_task_id(task_id)
            job = self.state.jobs.get(job_id)
            if job is None:
                continue
            spec = next(s for s in job.spec.tasks if s.name == task)
            placed.append(
                PlacedTask(
                    task_id,
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
    """Run calls concurrently, at most ``MAX_PARALLEL_CALLS`` at a time."""
    semaphore = asyncio.Semaphore(MAX_PARALLEL_CALLS)

    async def run(call: Awaitable[object]) -> None:
        async with semaphore:
            await call

    await asyncio.gather(*(run(call) for call in calls))
