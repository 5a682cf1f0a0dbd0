"""Orders of a job owner to hosts about single attempts."""

from egretcrank.errors.kinds import ErrorKind
from egretcrank.jobs.context import JobOwnerContext
from egretcrank.jobs.interfaces import DEFINITE_REFUSALS, Placement
from egretcrank.jobs.model import Repeat, split_task_id
from egretcrank.jobs.reports import ReportRecorder
from egretcrank.jobs.sessions import HostSessions
from egretcrank.stream.records import TaskIntent
from egretcrank.wire.messages import (
    EvictTask,
    Session,
    StartTask,
    StopTask,
    ThrottleTask,
)


class TaskOrders:
    """Starts, stops, evicts and throttles attempts."""

    def __init__(
        self, context: JobOwnerContext, sessions: HostSessions, reports: ReportRecorder
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._reports = reports

    async def start(self, task_id: str, placement: Placement) -> None:
        """Send an attempt to its host; an unconfirmed start is sent again later."""
        address = self._sessions.find_address(placement.host)
        session = self._context.sessions.get(placement.host)
        if not placement.sent:
            if self._needs_renewal(task_id, placement):
                await self._sessions.renew(placement.host)
                session = self._context.sessions.get(placement.host)
            if session is None or address is None:
                self.drop_unsent_placement(task_id, placement, "host gave no session")
                return
            placement = placement._replace(incarnation=session.incarnation)
            if not await self._record_intent(task_id, placement):
                self.drop_unsent_placement(
                    task_id, placement, "intent could not be recorded"
                )
                return
        if address is None or not self._context.can_act():
            return
        if not self._context.is_current(task_id, placement.attempt):
            return
        if self._context.placements.get(task_id) is None:
            return
        is_first_send = not placement.sent
        self._context.placements[task_id] = placement._replace(sent=True)
        message = self._build_start(task_id, placement)
        problem = await self._sessions.send(placement.host, address, message)
        if problem is None:
            return
        not_delivered = is_first_send and problem.kind is ErrorKind.UNREACHABLE
        if problem.kind in DEFINITE_REFUSALS or not_delivered:
            self._context.record_decision(
                task_id, "refused", placement.host, problem.detail
            )
            self._context.refused_at[(task_id, placement.host)] = (
                self._context.clock.monotonic()
            )
            await self._reports.record_not_started(task_id, placement.attempt)

    def _needs_renewal(self, task_id: str, placement: Placement) -> bool:
        """Return whether a start needs a newer stamp of the host than the known one."""
        session = self._context.sessions.get(placement.host)
        if session is None or session.incarnation < placement.incarnation:
            return True
        # A host that refused an attempt accepts only stamps from after the refusal.
        refused_at = self._context.refused_at.get((task_id, placement.host))
        if refused_at is not None and session.received_at <= refused_at:
            return True
        session_length = self._context.settings.cluster.session_seconds
        return (
            self._context.clock.monotonic() > session.received_at + session_length / 2
        )

    def drop_unsent_placement(
        self, task_id: str, placement: Placement, reason: str
    ) -> None:
        """Drop a placement that was not sent to its host."""
        self._context.placements.pop(task_id, None)
        self._context.refused_at[(task_id, placement.host)] = (
            self._context.clock.monotonic()
        )
        self._context.set_waiting_reason(task_id, f"{placement.host}: {reason}")

    async def _record_intent(self, task_id: str, placement: Placement) -> bool:
        job, task_name = split_task_id(task_id)
        if self._context.state.jobs[job].spec.repeat != Repeat.NEVER:
            return True
        await self._context.append(
            TaskIntent(
                self._context.partition,
                self._context.epoch,
                job,
                task_name,
                placement.attempt,
                placement.host,
                placement.incarnation,
            )
        )
        task = self._context.state.find_task(job, task_name)
        expected_intent = (placement.attempt, placement.host, placement.incarnation)
        return task is not None and task.intent == expected_intent

    def _build_start(self, task_id: str, placement: Placement) -> StartTask:
        job_id, task_name = split_task_id(task_id)
        job = self._context.state.jobs[job_id]
        spec = next(s for s in job.spec.tasks if s.name == task_name)
        session = self._sessions.build_session(placement.host)
        return StartTask(
            # Only the incarnation of the placement may start the attempt.
            Session(
                session.partition,
                session.epoch,
                placement.incarnation,
                session.stamp,
            ),
            job_id,
            task_id,
            placement.attempt,
            job.spec.customer,
            job.spec.kind,
            spec.command,
            job.tasks[task_name].checkpoint,
            job.spec.repeat,
            job.spec.urgent,
            spec.resources,
        )

    async def stop(self, host: str, task_id: str, attempt: int) -> None:
        """Order a host to stop an attempt and never start it again."""
        address = self._sessions.find_address(host)
        if address is None:
            return
        reason = "attempt is not current"
        message = StopTask(self._sessions.build_session(host), task_id, attempt, reason)
        await self._sessions.send(host, address, message)

    async def evict(self, task_id: str, reason: str) -> None:
        """Checkpoint and stop a placed task, to be resumed once that is recorded."""
        placement = self._context.placements.get(task_id)
        if placement is None or not self._context.can_act():
            return
        self._context.record_decision(task_id, "evict", placement.host, reason)
        session = self._sessions.build_session(placement.host)
        message = EvictTask(session, task_id, placement.attempt, reason)
        if address := self._sessions.find_address(placement.host):
            await self._sessions.send(placement.host, address, message)

    async def throttle(self, task_id: str, share: float, reason: str) -> None:
        """Limit a placed task to a share of its processors."""
        placement = self._context.placements.get(task_id)
        if placement is None or not self._context.can_act():
            return
        self._context.record_decision(task_id, "throttle", placement.host, reason)
        session = self._sessions.build_session(placement.host)
        message = ThrottleTask(session, task_id, placement.attempt, share, reason)
        if address := self._sessions.find_address(placement.host):
            await self._sessions.send(placement.host, address, message)
