"""Sessions of a job owner with hosts, and messages to and from them."""

from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.jobs.context import JobOwnerContext, run_bounded
from egretcrank.jobs.interfaces import HostSession, Reply
from egretcrank.jobs.reports import ReportRecorder
from egretcrank.wire.messages import (
    Acknowledged,
    Message,
    RenewSession,
    Session,
    TaskEvents,
    TaskReply,
)

# A reconciliation waits for its calls, which delays the placement of urgent tasks.
CALL_TIMEOUT = timedelta(seconds=1)
# Number of renewals within the length of a session.
RENEWALS_PER_SESSION = 4


class HostSessions:
    """Renews sessions with hosts and applies their replies."""

    def __init__(self, context: JobOwnerContext, reports: ReportRecorder) -> None:
        self._context = context
        self._reports = reports

    def build_session(self, host: str) -> Session:
        """Build a session with the newest stamp of a host."""
        session = self._context.sessions.get(host)
        incarnation, stamp = (
            (session.incarnation, session.stamp) if session else (0, 0.0)
        )
        return Session(self._context.partition, self._context.epoch, incarnation, stamp)

    async def renew_sessions(self) -> None:
        """Renew the sessions with all hosts that are needed and due."""
        needed_hosts = {p.host for p in self._context.placements.values()}
        needed_hosts |= set(self._context.orphans.values())
        needed_hosts |= {
            task.intent.host
            for _, task in self._context.list_active_tasks()
            if task.intent is not None
        }
        if self._context.clock.monotonic() < self._context.takeover_until:
            needed_hosts |= {status.member.host for status in self._context.members()}
        now = self._context.clock.monotonic()
        interval = self._context.settings.cluster.session_seconds / RENEWALS_PER_SESSION
        due_hosts = [
            host
            for host in sorted(needed_hosts)
            if host not in self._context.renewal_sent_at
            or now >= self._context.renewal_sent_at[host] + interval
        ]
        await run_bounded(self.renew(host) for host in due_hosts)

    async def renew(self, host: str) -> bool:
        """Renew the session with a host; return whether the host replied."""
        address = self.find_address(host)
        if address is None:
            return False
        self._context.renewal_sent_at[host] = self._context.clock.monotonic()
        message = RenewSession((self.build_session(host),))
        return await self.send(host, address, message) is None

    def find_address(self, host: str) -> str | None:
        """Return the control address of a host, or ``None`` if it is unknown."""
        for status in self._context.members():
            if status.member.host == host:
                return status.member.control_address
        session = self._context.sessions.get(host)
        return session.address if session else None

    async def send(self, host: str, address: str, message: Message) -> Problem | None:
        """Send a message to a host and apply the reply; return the problem, if any."""
        match await self._context.call(address, message, CALL_TIMEOUT):
            case Success(TaskReply() as reply) if reply.host == host:
                await self.apply_reply(reply, address)
                return None
            case Failure(Problem() as problem):
                if problem.kind is ErrorKind.STALE_EPOCH:
                    self._context.fenced = True
                return problem
        return Problem(ErrorKind.INVALID_MESSAGE, "unexpected reply", host, "TaskReply")

    async def apply_reply(self, reply: TaskReply, address: str) -> None:
        """Apply the stamp and the task reports of a reply."""
        if not self._update_session(
            reply.host, reply.incarnation, reply.stamp, address
        ):
            return
        if not self._context.can_act():
            # Nothing can be recorded now; hosts resend unacknowledged reports.
            return
        for report in reply.tasks:
            await self._reports.apply_report(
                report, reply.host, reply.incarnation, reply.stamp
            )
        reported = {(r.task, r.attempt) for r in reply.tasks}
        for task_id, placement in list(self._context.placements.items()):
            if placement.host != reply.host or (task_id, placement.attempt) in reported:
                continue
            if not placement.sent:
                continue
            if placement.incarnation < reply.incarnation:
                await self._reports.record_lost(
                    task_id, placement, "sidecar restarted without the task"
                )
            elif placement.confirmed and placement.reported_stamp < reply.stamp:
                self._context.placements[task_id] = placement._replace(confirmed=False)

    def _update_session(
        self, host: str, incarnation: int, stamp: float, address: str
    ) -> bool:
        """Update the newest stamp; return false for a message of an old incarnation."""
        session = self._context.sessions.get(host)
        if session is not None and incarnation < session.incarnation:
            return False
        if session is None or (incarnation, stamp) > (
            session.incarnation,
            session.stamp,
        ):
            self._context.sessions[host] = HostSession(
                address, incarnation, stamp, self._context.clock.monotonic()
            )
        return True

    async def apply_events(self, events: TaskEvents) -> Reply:
        """Apply reports that a host sent without a request."""
        if events.epoch > self._context.epoch:
            self._context.fenced = True
        if not self._context.can_act():
            return Failure(self._context.describe_not_acting())
        recorded = [
            await self._reports.apply_report(
                report, events.host, events.incarnation, events.stamp, is_event=True
            )
            for report in events.tasks
        ]
        self._context.wake.set()
        if all(recorded):
            return Success(Acknowledged())
        return Failure(
            Problem(ErrorKind.LOG_UNAVAILABLE, "a report could not be recorded", "log")
        )
