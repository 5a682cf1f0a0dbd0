"""Orders of an owner for single attempts."""

from egretcrank.errors.kinds import ErrorKind
from egretcrank.jobs.context import OwnerContext
from egretcrank.jobs.interfaces import DECIDED, Placement
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
        self, context: OwnerContext, sessions: HostSessions, reports: ReportRecorder
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._reports = reports

    async def start(self, name: str, placement: Placement) -> None:
        """Send an attempt to its host; without an answer it is sent again later."""
        address = self._sessions.find_address(placement.host)
        session = self._context.sessions.get(placement.host)
        if not placement.sent:
            if self._needs_renewal(name, placement):
                await self._sessions.renew(placement.host)
                session = self._context.sessions.get(placement.host)
            if session is None or address is None:
                self.drop_unsent(name, placement, "host gave no session")
                return
            placement = placement._replace(incarnation=session.incarnation)
            if not await self._declare_intent(name, placement):
                self.drop_unsent(name, placement, "intent could not be recorded")
                return
        if address is None or not self._context.can_act():
            return
        if not self._context.is_current(name, placement.attempt):
            return
        if self._context.placements.get(name) is None:
            return
        first = not placement.sent
        self._context.placements[name] = placement._replace(sent=True)
        message = self._build_start(name, placement)
        problem = await self._sessions.send(placement.host, address, message)
        if problem is None:
            return
        unsent = first and problem.kind is ErrorKind.UNREACHABLE
        if problem.kind in DECIDED or unsent:
            self._context.decide(name, "refused", placement.host, problem.detail)
            self._context.refused_at[(name, placement.host)] = (
                self._context.clock.monotonic()
            )
            await self._reports.record_not_started(name, placement.attempt)

    def _needs_renewal(self, name: str, placement: Placement) -> bool:
        """Tell whether a start needs a newer stamp than the one that is known."""
        session = self._context.sessions.get(placement.host)
        if session is None or session.incarnation < placement.incarnation:
            return True
        # A host that has refused an attempt wants a stamp from after its refusal.
        refused_at = self._context.refused_at.get((name, placement.host))
        if refused_at is not None and session.heard_at <= refused_at:
            return True
        length = self._context.settings.cluster.session_seconds
        return self._context.clock.monotonic() > session.heard_at + length / 2

    def drop_unsent(self, name: str, placement: Placement, reason: str) -> None:
        """Drop a placement that its host has not been told of."""
        self._context.placements.pop(name, None)
        self._context.refused_at[(name, placement.host)] = (
            self._context.clock.monotonic()
        )
        self._context.wait(name, f"{placement.host}: {reason}")

    async def _declare_intent(self, name: str, placement: Placement) -> bool:
        job, task_name = split_task_id(name)
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
        wanted = (placement.attempt, placement.host, placement.incarnation)
        return task is not None and task.intent == wanted

    def _build_start(self, name: str, placement: Placement) -> StartTask:
        job_id, task_name = split_task_id(name)
        job = self._context.state.jobs[job_id]
        spec = next(s for s in job.spec.tasks if s.name == task_name)
        session = self._sessions.build_session(placement.host)
        return StartTask(
            # Only the incarnation that the attempt was placed on may start it.
            Session(
                session.partition,
                session.epoch,
                placement.incarnation,
                session.stamp,
            ),
            job_id,
            name,
            placement.attempt,
            job.spec.customer,
            job.spec.kind,
            spec.command,
            job.tasks[task_name].checkpoint,
            job.spec.repeat,
            job.spec.urgent,
            spec.resources,
        )

    async def stop(self, host: str, name: str, attempt: int) -> None:
        """Tell a host to stop an attempt for good."""
        address = self._sessions.find_address(host)
        if address is None:
            return
        reason = "attempt is not current"
        message = StopTask(self._sessions.build_session(host), name, attempt, reason)
        await self._sessions.send(host, address, message)

    async def evict(self, name: str, reason: str) -> None:
        """Checkpoint and stop a placed task; its resume follows the record."""
        placement = self._context.placements.get(name)
        if placement is None or not self._context.can_act():
            return
        self._context.decide(name, "evict", placement.host, reason)
        session = self._sessions.build_session(placement.host)
        message = EvictTask(session, name, placement.attempt, reason)
        if address := self._sessions.find_address(placement.host):
            await self._sessions.send(placement.host, address, message)

    async def throttle(self, name: str, share: float, reason: str) -> None:
        """Limit a placed task to a share of its processors."""
        placement = self._context.placements.get(name)
        if placement is None or not self._context.can_act():
            return
        self._context.decide(name, "throttle", placement.host, reason)
        session = self._sessions.build_session(placement.host)
        message = ThrottleTask(session, name, placement.attempt, share, reason)
        if address := self._sessions.find_address(placement.host):
            await self._sessions.send(placement.host, address, message)
