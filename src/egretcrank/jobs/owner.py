"""Owner of the jobs of one partition under one epoch.

The owner acts only on the state that is replayed from the log: an attempt may run only
while it is the current one of a task without a final state. Each reconciliation
compares the placements with that state and resends what has not been confirmed.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from datetime import timedelta
from uuid import uuid4

from returns.result import Result

from egretcrank.clock import Clock
from egretcrank.errors.kinds import Problem
from egretcrank.jobs.context import JobOwnerContext
from egretcrank.jobs.intake import JobIntake
from egretcrank.jobs.interfaces import (
    Append,
    AttemptListener,
    Call,
    CheckQuota,
    JobMessage,
    NullAttemptListener,
    PlacedTask,
    PlacementDecision,
    PlaceTask,
    Reply,
    WaitingTask,
)
from egretcrank.jobs.model import build_task_id
from egretcrank.jobs.orders import TaskOrders
from egretcrank.jobs.placing import TaskPlacer
from egretcrank.jobs.reports import ReportRecorder
from egretcrank.jobs.sessions import HostSessions
from egretcrank.jobs.state import JobsState
from egretcrank.jobs.summary import FindPlan, WaitingSummary, WorkSummary
from egretcrank.jobs.supervision import TaskSupervisor
from egretcrank.observability.decisions import DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import Settings
from egretcrank.stream.records import Record
from egretcrank.wire.messages import (
    AcknowledgeJob,
    CancelJob,
    DescribeJob,
    FenceReply,
    MemberStatus,
    Message,
    SubmitJob,
    TaskEvents,
    TaskReply,
)

__all__ = ["JobMessage", "JobOwner", "PlacedTask", "PlacementDecision", "WaitingTask"]

RECONCILE_INTERVAL = timedelta(seconds=0.25)
# Submissions and reports wake an idle owner. It still reconciles periodically, because
# a record can be applied after its append timed out.
IDLE_RECONCILE_INTERVAL = timedelta(seconds=1)

logger = logging.getLogger(__name__)


class JobOwner:
    """Accepts the jobs of a partition and runs each task until it has a final state.

    ``may_act`` must return false once ownership is lost, and once the log has not been
    read for longer than ``outage_seconds``. ``may_renew`` may stay true during a log
    outage, so that tasks continue to run: hosts then accept a renewal only while a
    majority of the entries knows of no later owner. With ``await_majority`` a successor
    starts nothing that may still run elsewhere until ``complete_takeover`` was called
    and the leases of that time have expired.
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
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
        settings: Settings,
        build_id: Callable[[], str] = lambda: uuid4().hex,
        listener: AttemptListener | None = None,
        may_renew: Callable[[], bool] = lambda: False,
        await_majority: bool = False,
    ) -> None:
        self._append = append
        self._call = call
        self._context = JobOwnerContext(
            partition,
            epoch,
            state,
            self._append_record,
            self._call_process,
            members,
            place,
            check_quota,
            may_act,
            may_renew,
            await_majority,
            clock,
            decisions,
            metrics,
            settings,
            build_id,
            listener or NullAttemptListener(),
        )
        self._intake = JobIntake(self._context)
        self._reports = ReportRecorder(self._context)
        self._sessions = HostSessions(self._context, self._reports)
        self._orders = TaskOrders(self._context, self._sessions, self._reports)
        self._supervisor = TaskSupervisor(self._context, self._orders, self._reports)
        self._placer = TaskPlacer(self._context, self._orders, self._reports)

    # The components use these methods instead of the functions, so that tests can
    # replace the functions of an owner.

    async def _append_record(self, record: Record) -> Result[None, Problem]:
        return await self._append(record)

    async def _call_process(
        self, address: str, message: Message, timeout: timedelta
    ) -> Reply:
        return await self._call(address, message, timeout)

    @property
    def is_fenced(self) -> bool:
        """Whether a host has reported a higher epoch of the partition."""
        return self._context.fenced

    async def run(self) -> None:
        """Reconcile periodically and when woken, until cancelled."""
        while True:
            try:
                await self.reconcile()
            except Exception:
                # An error with one task must not stop all jobs of the partition.
                logger.exception(
                    "reconciliation failed",
                    extra={"partition": self._context.partition},
                )
            interval = (
                RECONCILE_INTERVAL if self._has_work() else IDLE_RECONCILE_INTERVAL
            )
            timer = asyncio.ensure_future(self._context.clock.sleep(interval))
            wake = asyncio.ensure_future(self._context.wake.wait())
            try:
                await asyncio.wait({timer, wake}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                timer.cancel()
                wake.cancel()
            self._context.wake.clear()

    def _has_work(self) -> bool:
        """Return whether a task has not ended or hosts are still asked for tasks."""
        context = self._context
        if context.placements or context.orphans:
            return True
        if context.clock.monotonic() < context.takeover_until:
            return True
        return any(not job.has_ended for job in context.state.jobs.values())

    async def reconcile(self) -> None:
        """Renew sessions, check placements and place waiting tasks once."""
        if not self._context.can_act():
            if self._context.can_renew():
                await self._sessions.renew_sessions()
            return
        self._context.drop_ended_tasks()
        self._context.notify_unreported_ends()
        await self._sessions.renew_sessions()
        await self._supervisor.stop_stale_attempts()
        await self._supervisor.end_expired_attempts()
        await self._supervisor.resend_unconfirmed_starts()
        await self._supervisor.resolve_intents()
        await self._placer.place_waiting_tasks()

    async def handle(self, message: JobMessage) -> Reply:
        """Handle a message from an entry or a host."""
        match message:
            case SubmitJob():
                return await self._intake.submit(message)
            case CancelJob():
                return await self._intake.cancel(message)
            case DescribeJob():
                return self._intake.describe(message.job)
            case AcknowledgeJob():
                return await self._intake.acknowledge(message)
            case TaskEvents():
                return await self._sessions.apply_events(message)

    def complete_takeover(self) -> None:
        """Start the wait for the former owner's leases to expire.

        Must be called once no host accepts renewals of the former owner.
        """
        self._context.complete_takeover()

    def close(self) -> None:
        """Notify the listener of the end of all attempts; hosts keep running them."""
        self._context.detach_listener()

    async def adopt(self, reply: FenceReply, address: str) -> None:
        """Adopt the tasks that a host reported in its reply to ``FencePartition``."""
        await self._sessions.apply_reply(
            TaskReply(reply.host, reply.incarnation, reply.stamp, reply.tasks),
            address,
        )

    def summarize_work(self, find_plan: FindPlan) -> WorkSummary:
        """Summarize the tasks of this partition that have not ended."""
        summary = WorkSummary()
        now = self._context.clock.now().timestamp()
        for job, task in self._context.list_active_tasks():
            task_id = build_task_id(job.job, task.name)
            plan = find_plan(job.spec.customer)
            placement = self._context.placements.get(task_id)
            if placement is not None and placement.confirmed:
                summary.count_running(plan)
                continue
            if placement is not None:
                reason = f"{placement.host} has not confirmed the start"
            else:
                reason = (
                    self._context.waiting_reasons.get(task_id, task.reason)
                    or "not placed yet"
                )
            waited = max(0.0, now - job.accepted_at)
            summary.count_waiting(
                plan, WaitingSummary(task_id, job.spec.customer, waited, reason)
            )
        return summary

    async def evict(self, task_id: str, reason: str) -> None:
        """Checkpoint and stop a placed task, to be resumed once that is recorded."""
        await self._orders.evict(task_id, reason)

    async def throttle(self, task_id: str, share: float, reason: str) -> None:
        """Limit a placed task to a share of its processors."""
        await self._orders.throttle(task_id, share, reason)
