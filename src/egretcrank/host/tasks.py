"""Batch tasks on this host: owner sessions, admission, leases and task reports."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.host.capacity import CapacityLedger
from egretcrank.host.worker import (
    Attempt,
    AttemptOrder,
    Lease,
    RenewOrder,
    StartOrder,
    WorkerClient,
    WorkerTask,
    WorkerView,
)
from egretcrank.jobs.model import ACTIVE_STATES, ReportedState
from egretcrank.observability.decisions import Decision, DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import Settings
from egretcrank.wire.messages import (
    EvictTask,
    FencePartition,
    FenceReply,
    Message,
    RenewSession,
    Resources,
    Session,
    StartTask,
    StopTask,
    TaskEvents,
    TaskReply,
    TaskReport,
    ThrottleTask,
)

TaskMessage = StartTask | RenewSession | EvictTask | StopTask | ThrottleTask
Reply = Result[Message, Problem]
SendEvents = Callable[[TaskEvents], Awaitable[bool]]
# Takes a partition and an epoch, and tells whether the owner of that epoch may still
# act, as far as this host knows.
IsEpochValid = Callable[[int, int], bool]

logger = logging.getLogger(__name__)


class HostTask(NamedTuple):
    """Attempt on this host.

    ``valid_until`` is the end of the start order's lease in seconds on the worker's
    clock, or 0 if the attempt was found on the worker; renewals do not change it.
    ``reported`` tells whether the owner has acknowledged the current state.
    """

    report: TaskReport
    resources: Resources
    valid_until: float = 0.0
    reported: bool = False

    @property
    def is_active(self) -> bool:
        """Whether the attempt is running or may still start."""
        return self.report.state in ACTIVE_STATES


class AcknowledgedAttempt(NamedTuple):
    """Ended attempt whose final report an owner has acknowledged.

    ``at`` is the stamp of the acknowledgement, and ``valid_until`` is copied from the
    ``HostTask``.
    """

    at: float
    valid_until: float


class TaskHost:
    """Runs tasks of remote owners on the local worker.

    ``send_events`` sends events to the owner of their partition and returns whether the
    owner acknowledged them. A lock serializes all operations that change the worker, so
    that a task list is never merged with a start that is newer than the list.

    A stamp is a reading of this host's monotonic clock in seconds. Replies carry one,
    and an owner's message is valid for ``session_seconds`` after the stamp it returns.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        worker: WorkerClient,
        settings: Settings,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
        send_events: SendEvents,
        is_epoch_valid: IsEpochValid = lambda partition, epoch: True,
    ) -> None:
        self._is_epoch_valid = is_epoch_valid
        upstream = settings.upstream
        self.ledger = CapacityLedger(
            Resources(upstream.processors, upstream.memory_mib, upstream.accelerators)
        )
        self._host = host
        self._incarnation = incarnation
        self._worker = worker
        self._settings = settings
        self._clock = clock
        self._decisions = decisions
        self._metrics = metrics
        self._send_events = send_events
        self._lock = asyncio.Lock()
        self._view: WorkerView | None = None
        self._view_read_at = timedelta()
        self._leaving = False
        self._epochs: dict[int, int] = {}
        self._stamps: dict[int, float] = {}
        self._tasks: dict[Attempt, HostTask] = {}
        # Messages with a stamp older than one session are rejected anyway, so entries
        # of both maps are removed after two sessions; those of acknowledged attempts
        # stay for as long as the worker lists the attempt.
        self._tombstones: dict[Attempt, float] = {}
        self._acknowledged: dict[Attempt, AcknowledgedAttempt] = {}

    @property
    def is_ready(self) -> bool:
        """Whether the worker's tasks have been read."""
        return self._view is not None

    @property
    def has_active_tasks(self) -> bool:
        """Whether an attempt is running or may still start."""
        return any(task.is_active for task in self._tasks.values())

    def leave(self) -> None:
        """Reject new tasks from now on."""
        self._leaving = True

    def advance_epoch(self, partition: int, epoch: int) -> None:
        """Reject lower epochs of a partition, given one from a message or the log."""
        if epoch > self._epochs.get(partition, 0):
            self._epochs[partition] = epoch
            # Only the owner of the highest epoch may renew leases.
            self._stamps.pop(partition, None)

    async def run(self) -> None:
        """Poll the worker until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(self._settings.worker.poll_seconds)

    async def poll(self) -> None:
        """Read the worker, renew leases of valid sessions and send reports."""
        async with self._lock:
            await self._read_worker()
            await self._renew_leases()
            await self._forget_acknowledged()
        await self._send_reports()

    async def handle(self, message: TaskMessage) -> Reply:
        """Handle a message of an owner."""
        match message:
            case RenewSession():
                return self._renew_sessions(message.sessions)
            case StartTask():
                async with self._lock:
                    return await self._start(message)
            case EvictTask():
                async with self._lock:
                    return await self._evict(message)
            case StopTask():
                async with self._lock:
                    return await self._stop(message)
            case ThrottleTask():
                async with self._lock:
                    return await self._throttle(message)

    def fence(self, message: FencePartition) -> Result[FenceReply, Problem]:
        """Advance the epoch of a partition and return its task reports.

        Fails with ``stale_epoch`` or, before the worker was read, ``starting``.
        """
        problem = self._check_epoch(message.partition, message.epoch)
        if problem is not None:
            return Failure(problem)
        if not self.is_ready:
            return Failure(self._build_starting_problem())
        return Success(
            FenceReply(
                self._host,
                self._incarnation,
                (),
                self._list_reports({message.partition}),
                self._read_stamp(),
            )
        )

    def _read_stamp(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _check_epoch(self, partition: int, epoch: int) -> Problem | None:
        highest = self._epochs.get(partition, 0)
        if epoch < highest:
            return Problem(
                ErrorKind.STALE_EPOCH,
                f"epoch {epoch} of partition {partition} is fenced",
                self._host,
                f"epoch {highest} or higher",
            )
        self.advance_epoch(partition, epoch)
        return None

    def _check_session(self, session: Session) -> Problem | None:
        """Check incarnation, epoch and stamp, and record the stamp if it is valid."""
        if session.incarnation != self._incarnation:
            return Problem(
                ErrorKind.WRONG_INCARNATION,
                f"message is for incarnation {session.incarnation}",
                self._host,
                str(self._incarnation),
            )
        if problem := self._check_epoch(session.partition, session.epoch):
            return problem
        if not self.is_ready:
            return self._build_starting_problem()
        if not self._is_stamp_valid(session.stamp):
            return Problem(
                ErrorKind.SESSION_ENDED,
                f"stamp {session.stamp:.3f} has expired",
                self._host,
                "a stamp of the current session",
            )
        if not self._is_epoch_valid(session.partition, session.epoch):
            return Problem(
                ErrorKind.SESSION_ENDED,
                "neither the log nor the entries confirm the owner",
                self._host,
                "the current owner",
            )
        latest = self._stamps.get(session.partition, session.stamp)
        self._stamps[session.partition] = max(latest, session.stamp)
        return None

    def _is_stamp_valid(self, stamp: float) -> bool:
        duration = self._settings.cluster.session_seconds.total_seconds()
        return stamp <= self._read_stamp() < stamp + duration

    def _build_starting_problem(self) -> Problem:
        return Problem(
            ErrorKind.STARTING, "the worker's tasks have not been read yet", self._host
        )

    def _list_reports(self, partitions: set[int]) -> tuple[TaskReport, ...]:
        return tuple(
            task.report
            for task in self._tasks.values()
            if task.report.partition in partitions
        )

    def _build_reply(self, partitions: set[int]) -> Reply:
        return Success(
            TaskReply(
                self._host,
                self._incarnation,
                self._read_stamp(),
                self._list_reports(partitions),
            )
        )

    def _renew_sessions(self, sessions: Sequence[Session]) -> Reply:
        if not self.is_ready:
            return Failure(self._build_starting_problem())
        accepted: set[int] = set()
        refusal: Problem | None = None
        for session in sessions:
            problem = self._check_epoch(session.partition, session.epoch)
            if problem is not None:
                refusal = problem
                continue
            # An expired stamp renews no lease, but the reply carries a new stamp.
            self._check_session(session)
            accepted.add(session.partition)
        if refusal is not None and not accepted:
            return Failure(refusal)
        return self._build_reply(accepted)

    async def _start(self, message: StartTask) -> Reply:
        attempt = Attempt(message.task, message.attempt)
        partition = message.session.partition
        problem = self._check_session(message.session)
        if problem is not None and problem.kind is ErrorKind.WRONG_INCARNATION:
            return Failure(problem)
        if problem is None or problem.kind is ErrorKind.SESSION_ENDED:
            if attempt in self._tasks:
                return self._build_reply({partition})
            if attempt in self._acknowledged:
                return self._reply_acknowledged(attempt, partition)
        if problem is None:
            problem = self._check_admission(message, attempt)
        if problem is None:
            problem = await self._order_start(message, attempt)
        if problem is None:
            self._record_decision(
                message.task, "start", self._host, "admitted", message
            )
            return self._build_reply({partition})
        self._record_decision(
            message.task, "refuse", self._host, problem.detail, message
        )
        if attempt not in self._tasks:
            # A delayed duplicate of this message must not start the attempt later.
            self._tombstones[attempt] = self._read_stamp()
        return Failure(problem)

    def _check_admission(self, message: StartTask, attempt: Attempt) -> Problem | None:
        if message.session.stamp <= self._tombstones.get(attempt, -1.0):
            return Problem(
                ErrorKind.TOMBSTONED,
                "attempt was rejected after the stamp was issued",
                message.task,
                "a newer stamp",
            )
        if self._leaving:
            return Problem(ErrorKind.LEAVING, "host is shutting down", self._host)
        if any(a.task == attempt.task and t.is_active for a, t in self._tasks.items()):
            return Problem(
                ErrorKind.NO_CAPACITY,
                "another attempt of the task is active on this host",
                message.task,
            )
        return None

    async def _order_start(
        self, message: StartTask, attempt: Attempt
    ) -> Problem | None:
        holder = f"{attempt.task}#{attempt.number}"
        match self.ledger.reserve(holder, message.resources):
            case Failure(Problem() as refusal):
                return refusal
            case _:
                pass
        view = self._view
        if view is None or self._is_view_stale():
            view = await self._read_worker()
        # The worker's clock was read before this session check, so the lease ends at
        # most one session plus one lease after the stamp, even after a pause.
        problem = self._check_session(message.session)
        if view is None and problem is None:
            problem = Problem(ErrorKind.STARTING, "worker does not reply", self._host)
        if view is None or problem is not None:
            self.ledger.release(holder)
            return problem
        lease = self._settings.cluster.lease_seconds.total_seconds()
        order = StartOrder(
            view.instance,
            self._incarnation,
            message.task,
            message.attempt,
            message.session.partition,
            message.job,
            message.command,
            message.checkpoint,
            message.resources,
            view.clock + lease,
        )
        report = TaskReport(
            message.job,
            message.task,
            message.attempt,
            message.session.partition,
            ReportedState.STARTING,
            message.checkpoint,
        )
        self._tasks[attempt] = HostTask(report, message.resources, order.valid_until)
        match await self._worker.start(order):
            case Success(started):
                self._merge(attempt, started)
            case Failure(Problem() as failure):
                # The order may still arrive after a timeout, until its lease expires.
                if failure.kind is ErrorKind.CALL_TIMEOUT:
                    return failure
                self._remove_task(attempt)
                # The caller would take the worker's error kind for that of its own
                # call.
                return Problem(
                    ErrorKind.NO_CAPACITY,
                    f"worker rejected the start: {failure.detail}",
                    self._host,
                )
        self._metrics.tasks.inc({"state": "started"})
        return None

    def _is_view_stale(self) -> bool:
        age = self._clock.monotonic() - self._view_read_at
        return age > self._settings.cluster.lease_seconds / 3

    async def _evict(self, message: EvictTask) -> Reply:
        attempt = Attempt(message.task, message.attempt)
        if problem := self._check_session(message.session):
            return Failure(problem)
        task = self._tasks.get(attempt)
        if task is None or task.report.state != ReportedState.RUNNING:
            return self._build_reply({message.session.partition})
        order = AttemptOrder(self._incarnation, *attempt)
        match await self._worker.checkpoint(order):
            case Failure(Problem() as problem):
                return Failure(problem)
            case Success(checkpoint):
                return await self._stop_running(
                    attempt,
                    message.session,
                    ReportedState.EVICTED,
                    message.reason,
                    checkpoint,
                )
        raise AssertionError("unreachable")

    async def _stop(self, message: StopTask) -> Reply:
        attempt = Attempt(message.task, message.attempt)
        if problem := self._check_session(message.session):
            return Failure(problem)
        task = self._tasks.get(attempt)
        if task is None:
            return self._tombstone(message, attempt)
        if not task.is_active:
            return self._build_reply({message.session.partition})
        return await self._stop_running(
            attempt, message.session, ReportedState.STOPPED, message.reason, ""
        )

    def _tombstone(self, message: StopTask, attempt: Attempt) -> Reply:
        """Report that an attempt has not started, and prevent it from starting."""
        partition = message.session.partition
        if attempt in self._acknowledged:
            return self._reply_acknowledged(attempt, partition)
        self._tombstones[attempt] = self._read_stamp()
        return self._reply_with_report(
            TaskReport(
                task=message.task,
                attempt=message.attempt,
                partition=partition,
                state=ReportedState.NOT_STARTED,
            )
        )

    def _reply_acknowledged(self, attempt: Attempt, partition: int) -> Reply:
        """Report an attempt that ended and whose final report was acknowledged."""
        return self._reply_with_report(
            TaskReport(
                task=attempt.task,
                attempt=attempt.number,
                partition=partition,
                state=ReportedState.LOST,
                reason="attempt has ended and was acknowledged",
            )
        )

    def _reply_with_report(self, report: TaskReport) -> Reply:
        partition = report.partition
        reports = (*self._list_reports({partition}), report)
        return Success(
            TaskReply(self._host, self._incarnation, self._read_stamp(), reports)
        )

    async def _stop_running(
        self,
        attempt: Attempt,
        session: Session,
        state: ReportedState,
        reason: str,
        checkpoint: str,
    ) -> Reply:
        reply = await self._worker.stop(AttemptOrder(self._incarnation, *attempt))
        match reply:
            case Failure(Problem() as problem):
                return Failure(problem)
            case Success(ended):
                self._merge(attempt, ended)
                task = self._tasks[attempt]
                if task.report.state == ReportedState.STOPPED:
                    report = _replace_report(
                        task.report, state, checkpoint or ended.checkpoint, reason
                    )
                    self._tasks[attempt] = task._replace(report=report)
        self._record_decision(attempt.task, str(state), self._host, reason, None)
        return self._build_reply({session.partition})

    async def _throttle(self, message: ThrottleTask) -> Reply:
        if problem := self._check_session(message.session):
            return Failure(problem)
        order = AttemptOrder(
            self._incarnation, message.task, message.attempt, message.share
        )
        match await self._worker.throttle(order):
            case Failure(Problem() as problem):
                return Failure(problem)
            case _:
                return self._build_reply({message.session.partition})

    async def _read_worker(self) -> WorkerView | None:
        """Read the worker's tasks and merge them; the caller must hold the lock."""
        requested_at = self._clock.monotonic()
        match await self._worker.list_tasks(self._incarnation):
            case Success(WorkerView() as view):
                restarted = self._view is not None and (
                    self._view.instance != view.instance
                )
                self._view, self._view_read_at = view, requested_at
                self.ledger.set_total(view.capacity)
                self._merge_view(view, restarted)
                return view
            case Failure(Problem() as problem):
                logger.warning("worker not read", extra={"detail": problem.detail})
        return None

    def _merge_view(self, view: WorkerView, restarted: bool) -> None:
        listed_tasks = {Attempt(t.task, t.attempt): t for t in view.tasks}
        for attempt, found in listed_tasks.items():
            if attempt not in self._acknowledged:
                self._merge(attempt, found)
        for attempt, task in list(self._tasks.items()):
            if attempt in listed_tasks or not task.is_active:
                continue
            if task.report.state == ReportedState.RUNNING:
                self._merge(
                    attempt,
                    WorkerTask(
                        *attempt,
                        state=ReportedState.LOST,
                        reason="worker lost the task",
                    ),
                )
            elif restarted or view.clock >= task.valid_until:
                # The worker rejects the start order from now on.
                self._remove_task(attempt)
                self._tombstones[attempt] = self._read_stamp()
        self._remove_expired_tombstones(listed_tasks.keys())

    async def _forget_acknowledged(self) -> None:
        """Make the worker forget attempts that no start order can start again."""
        view = self._view
        if view is None:
            return
        for found in view.tasks:
            attempt = Attempt(found.task, found.attempt)
            acknowledged = self._acknowledged.get(attempt)
            # Until ``valid_until``, a delayed duplicate of the start order would start
            # a forgotten attempt again.
            if acknowledged is not None and view.clock >= acknowledged.valid_until:
                await self._worker.forget(AttemptOrder(self._incarnation, *attempt))

    def _remove_expired_tombstones(self, listed_tasks: Collection[Attempt]) -> None:
        expired_before = self._read_stamp() - (
            2 * self._settings.cluster.session_seconds.total_seconds()
        )
        for attempt in [a for a, at in self._tombstones.items() if at < expired_before]:
            del self._tombstones[attempt]
        for attempt, acknowledged in list(self._acknowledged.items()):
            if acknowledged.at < expired_before and attempt not in listed_tasks:
                del self._acknowledged[attempt]

    def _merge(self, attempt: Attempt, found: WorkerTask) -> None:
        """Update an attempt from the worker; a final state does not change."""
        task = self._tasks.get(attempt)
        if task is not None and not task.is_active:
            return
        holder = f"{attempt.task}#{attempt.number}"
        if task is None:
            report = TaskReport(found.job, found.task, found.attempt, found.partition)
            task = HostTask(report, found.resources)
        changed = task.report.state != found.state
        report = _replace_report(
            task.report,
            ReportedState(found.state),
            found.checkpoint or task.report.checkpoint,
            found.reason,
            found.result,
            found.progress,
        )
        task = task._replace(report=report, reported=task.reported and not changed)
        self._tasks[attempt] = task
        if task.is_active:
            self.ledger.adopt(holder, task.resources)
        else:
            self.ledger.release(holder)
            self._metrics.tasks.inc({"state": found.state})

    def _remove_task(self, attempt: Attempt) -> None:
        self._tasks.pop(attempt, None)
        self.ledger.release(f"{attempt.task}#{attempt.number}")

    async def _renew_leases(self) -> None:
        view = self._view
        if view is None:
            return
        valid = {p for p, s in self._stamps.items() if self._is_stamp_valid(s)}
        valid_until = view.clock + self._settings.cluster.lease_seconds.total_seconds()
        leases = tuple(
            Lease(*attempt, valid_until)
            for attempt, task in self._tasks.items()
            if task.report.state == ReportedState.RUNNING
            and task.report.partition in valid
        )
        if not leases:
            return
        order = RenewOrder(view.instance, self._incarnation, leases)
        match await self._worker.renew(order):
            case Failure(Problem() as problem):
                logger.warning("leases not renewed", extra={"detail": problem.detail})
            case _:
                pass

    async def _send_reports(self) -> None:
        """Send the reports that no owner has acknowledged, grouped by partition."""
        unsent: dict[int, dict[Attempt, TaskReport]] = {}
        for attempt, task in self._tasks.items():
            if not task.reported:
                unsent.setdefault(task.report.partition, {})[attempt] = task.report
        for partition, reports in unsent.items():
            events = TaskEvents(
                self._host,
                self._incarnation,
                partition,
                self._read_stamp(),
                tuple(reports.values()),
                self._epochs.get(partition, 0),
            )
            if await self._send_events(events):
                await self._mark_acknowledged(reports)

    async def _mark_acknowledged(self, reports: Mapping[Attempt, TaskReport]) -> None:
        async with self._lock:
            for attempt, report in reports.items():
                task = self._tasks.get(attempt)
                if task is None or task.report.state != report.state:
                    continue
                if task.is_active:
                    self._tasks[attempt] = task._replace(reported=True)
                    continue
                now = self._read_stamp()
                self._acknowledged[attempt] = AcknowledgedAttempt(now, task.valid_until)
                self._remove_task(attempt)

    def _record_decision(
        self, subject: str, action: str, choice: str, reason: str, message: object
    ) -> None:
        inputs = {"free": str(self.ledger.free)}
        if isinstance(message, StartTask):
            inputs |= {
                "attempt": str(message.attempt),
                "resources": str(message.resources),
            }
        self._decisions.record(Decision(subject, action, choice, reason, (), inputs))


def _replace_report(
    report: TaskReport,
    state: ReportedState,
    checkpoint: str,
    reason: str,
    result: str = "",
    progress: float | None = None,
) -> TaskReport:
    return TaskReport(
        report.job,
        report.task,
        report.attempt,
        report.partition,
        state,
        checkpoint,
        result or report.result,
        reason or report.reason,
        report.progress if progress is None else progress,
        report.usage,
    )
