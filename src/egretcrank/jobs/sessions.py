"""Sessions of an owner with hosts, and messages to and from them."""

from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.jobs.context import OwnerContext, run_bounded
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

# A pass waits for its calls, and urgent tasks wait for the pass.
CALL_TIMEOUT = timedelta(seconds=1)
# Sessions are renewed this many times within their length.
RENEWALS_PER_SESSION = 4


class HostSessions:
    """Keeps sessions with hosts and takes in what they answer."""

    def __init__(self, context: OwnerContext, reports: ReportRecorder) -> None:
        self._context = context
        self._reports = reports

    def build_session(self, host: str) -> Session:
        """Build a session with the newest stamp of a host."""
        known = self._context.sessions.get(host)
        incarnation, stamp = (known.incarnation, known.stamp) if known else (0, 0.0)
        return Session(self._context.partition, self._context.epoch, incarnation, stamp)

    async def renew_sessions(self) -> None:
        """Renew the sessions that are needed and due."""
        needed = {p.host for p in self._context.placements.values()}
        needed |= set(self._context.orphans.values())
        needed |= {
            task.intent.host
            for _, task in self._context.list_active()
            if task.intent is not None
        }
        if self._context.clock.monotonic() < self._context.takeover_until:
            needed |= {status.member.host for status in self._context.members()}
        now = self._context.clock.monotonic()
        interval = self._context.settings.cluster.session_seconds / RENEWALS_PER_SESSION
        due = [
            host
            for host in sorted(needed)
            if host not in self._context.asked_at
            or now >= self._context.asked_at[host] + interval
        ]
        await run_bounded(self.renew(host) for host in due)

    async def renew(self, host: str) -> bool:
        """Renew one session; tell whether the host answered."""
        address = self.find_address(host)
        if address is None:
            return False
        self._context.asked_at[host] = self._context.clock.monotonic()
        message = RenewSession((self.build_session(host),))
        return await self.send(host, address, message) is None

    def find_address(self, host: str) -> str | None:
        """Return the control address of a host."""
        for status in self._context.members():
            if status.member.host == host:
                return status.member.control_address
        known = self._context.sessions.get(host)
        return known.address if known else None

    async def send(self, host: str, address: str, message: Message) -> Problem | None:
        """Send a message to a host, absorb the reply, and return what failed."""
        match await self._context.call(address, message, CALL_TIMEOUT):
            case Success(TaskReply() as reply) if reply.host == host:
                await self.absorb(reply, address)
                return None
            case Failure(Problem() as problem):
                if problem.kind is ErrorKind.STALE_EPOCH:
                    self._context.fenced = True
                return problem
        return Problem(ErrorKind.INVALID_MESSAGE, "unexpected reply", host, "TaskReply")

    async def absorb(self, reply: TaskReply, address: str) -> None:
        """Take in the stamp and the reports of a reply."""
        if not self._note_stamp(reply.host, reply.incarnation, reply.stamp, address):
            return
        if not self._context.can_act():
            # Nothing can be recorded now; hosts repeat what has not been acknowledged.
            return
        for report in reply.tasks:
            await self._reports.take_report(
                report, reply.host, reply.incarnation, reply.stamp
            )
        listed = {(r.task, r.attempt) for r in reply.tasks}
        for name, placement in list(self._context.placements.items()):
            if placement.host != reply.host or (name, placement.attempt) in listed:
                continue
            if not placement.sent:
                continue
            if placement.incarnation < reply.incarnation:
                await self._reports.lose(
                    name, placement, "sidecar restarted without the task"
                )
            elif placement.confirmed and placement.seen_stamp < reply.stamp:
                self._context.placements[name] = placement._replace(confirmed=False)

    def _note_stamp(
        self, host: str, incarnation: int, stamp: float, address: str
    ) -> bool:
        """Keep the newest stamp; tell whether the message is of a known past."""
        known = self._context.sessions.get(host)
        if known is not None and incarnation < known.incarnation:
            return False
        if known is None or (incarnation, stamp) > (known.incarnation, known.stamp):
            self._context.sessions[host] = HostSession(
                address, incarnation, stamp, self._context.clock.monotonic()
            )
        return True

    async def take_events(self, events: TaskEvents) -> Reply:
        """Take in reports that a host sent on its own."""
        if events.epoch > self._context.epoch:
            self._context.fenced = True
        if not self._context.can_act():
            return Failure(self._context.describe_not_acting())
        settled = [
            await self._reports.take_report(
                report, events.host, events.incarnation, events.stamp, is_event=True
            )
            for report in events.tasks
        ]
        self._context.wake.set()
        if all(settled):
            return Success(Acknowledged())
        return Failure(
            Problem(ErrorKind.LOG_UNAVAILABLE, "a report could not be recorded", "log")
        )
