"""State of an agent: its runner, the orders accepted and the reports due."""

import logging
from collections import OrderedDict
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.agent.averages import remove_averaging
from egretcrank.agent.crashes import Crash, CrashWatch, format_runs
from egretcrank.agent.identity import RunnerIdentity
from egretcrank.agent.limits import StartLimits
from egretcrank.agent.pace import PaceController
from egretcrank.agent.rooms import RoomLedger, fits
from egretcrank.agent.specs import SpecCache
from egretcrank.agent.starts import StartPermit, WaitingStart
from egretcrank.agent.stops import StopList
from egretcrank.platform.runner import RunnerSnapshot
from egretcrank.settings.platform import BoundSettings
from egretcrank.wire.hosting import (
    NO_ROOM,
    UNSUITABLE,
    WITHDRAWN,
    EndedTask,
    HostOrders,
    HostReport,
    NumberedOrder,
    Pressure,
    RefusedStart,
    Run,
    RunnerInfo,
    RunnerRequirement,
    RunningTask,
    TaskProfile,
    find_job,
    find_step,
    is_suitable,
)

# The clocks of the runner and of this host differ in rate by at most 2 percent.
MIN_CLOCK_RATE_RATIO = 0.98
# Interval between reports that list all running tasks.
FULL_REPORT_INTERVAL = timedelta(seconds=1)
# A runner answers a poll within half a second, or at once. It counts as silent after
# twice that time without a reply.
RUNNER_SILENCE_TIMEOUT = timedelta(seconds=1)
# A runner that still replies this long after an unregistration under its id has not
# left: a former process under the same id has.
LEAVE_TIMEOUT = timedelta(seconds=2)
# Time that the runner takes to kill its runs after their lease has expired.
KILL_MARGIN = timedelta(milliseconds=500)
# Time before the end of the authority at which runs are stopped that may outlast it.
STOP_MARGIN = timedelta(seconds=1)
DEFAULT_BOUNDS = BoundSettings()
# Reason of a refusal of a start that was ordered in an earlier session.
SESSION_OVER = "session is over"
# Reason of a refusal of a start that has waited for longer than it is good for.
OUTDATED = "order is out of date"

logger = logging.getLogger(__name__)


class Identity(NamedTuple):
    """Identity of an agent in its reports."""

    host: str
    address: str
    incarnation: str


class AgentState:
    """State of one agent. Not thread-safe: the daemon holds a lock around each call.

    Attributes named like fields of ``HostReport`` or ``HostOrders`` have the meaning
    described there. Leases may last until ``authority_until``.
    """

    def __init__(
        self, identity: Identity, bounds: BoundSettings = DEFAULT_BOUNDS
    ) -> None:
        self._identity = identity
        # Longest time for which a lease lasts on a slow clock.
        self._lease_bound = bounds.lease / MIN_CLOCK_RATE_RATIO + KILL_MARGIN
        self.epoch = 0
        self.session = 0
        self.applied = 0
        self.authority_until = timedelta()
        self.leader_heard_at: timedelta | None = None
        self._runner_identity = RunnerIdentity()
        self.has_snapshot = False
        # Whether each run of the runner process was listed, or is known by its start. A
        # list that omits ends does not show this to an agent that has just started.
        self._knows_all_runs = False
        # When the runner had last replied before it left.
        self._replied_before_leaving_at = timedelta()
        self.durable_ends = 0
        self._seen_ends = 0
        self._sequence = 0
        self._full_report_due = True
        self._full_report_at = timedelta()
        # Clock of the runner in its last reply, in milliseconds, and when that arrived.
        self._clock_base: tuple[int, timedelta] | None = None
        # Last time at which a call may have extended the lease of the runner's runs.
        self._renewed_at = timedelta()
        # Number of the last poll without a reply, and whether none since then had one.
        # Another runner process may be next, to which neither the clock nor the numbers
        # of ends apply.
        self._unanswered_poll = 0
        self._last_poll_answered = True
        # Until when leases may outlast the authority, as a call that was meant for a
        # former runner process was carried out by the next one.
        self._excess_until = timedelta()
        # Number of polls sent so far, and that number at the last reply.
        self._polls_sent = 0
        self._polls_at_reply = 0
        # Starts in progress, with the numbers of their orders in the current session,
        # or 0 for orders of an earlier one.
        self._starting: dict[Run, int] = {}
        # Those of them that have not been sent yet, in the order of their arrival.
        self._waiting: OrderedDict[Run, WaitingStart] = OrderedDict()
        self._limits = StartLimits()
        # Confirmed starts that no poll has listed yet, with the number of polls sent
        # until the confirmation. The reply to one of these may be older than the start.
        self._started: dict[Run, int] = {}
        self._stops = StopList()
        self._running: dict[Run, RunningTask] = {}
        self._ended: dict[int, EndedTask] = {}
        # Refusals, with the sequence number of the first report that carried each one.
        self._refused: dict[RefusedStart, int] = {}
        # First full report since one was requested, 0 if none has been sent yet.
        self._full_report_sequence = 0
        self.profiles: dict[str, TaskProfile] = {}
        self._rooms = RoomLedger()
        # Whether the leader sends the demands of tasks. Room is not checked for one of
        # the previous release, which sends none.
        self._are_demands_sent = False
        self._specs = SpecCache()
        # Measurements as averaged by the runner, and its clock then in milliseconds.
        self.raw_measurements: dict[Run, float] = {}
        self._snapshot_clock = 0
        self._crash_watch = CrashWatch()

    def _request_full_report(self) -> None:
        self._full_report_due = True
        self._full_report_sequence = 0

    # Runner

    @property
    def born(self) -> int:
        """Birth of the runner process that replied last, 0 before the first reply."""
        return self._runner_identity.born

    @property
    def runner(self) -> RunnerInfo | None:
        """Newest description of the runner, only a claim before the first reply."""
        return self._runner_identity.runner

    @property
    def runner_left(self) -> bool:
        """Whether the runner has unregistered."""
        return self._runner_identity.has_left

    @property
    def runner_id(self) -> str:
        """Id of the runner process that replied last, empty if it is not known."""
        return self._runner_identity.runner_id

    @property
    def expected_instance(self) -> str:
        """Id that the next poll names, empty if any process may answer.

        A poll after one without an answer renews and acknowledges nothing, and asks
        which process is the runner by now.
        """
        return self.runner_id if self._last_poll_answered else ""

    def update_runner(self, runner: RunnerInfo, sequence: int) -> bool:
        """Apply a heartbeat and return whether it is a new description of the runner.

        A network partition may delay heartbeats. One that was sent before the runner
        began to drain, left or restarted is ignored, as it would bring an unusable
        runner back into use.
        """
        is_new = self._runner_identity.add_report(runner, sequence, self._polls_sent)
        if is_new:
            self._crash_watch.mark_draining(runner.born, runner.draining)
        return is_new

    def mark_runner_left(self, runner_id: str) -> None:
        """Record that the runner has left, unless another one is known by now.

        The unregistration names no process, so it may be a delayed one of a former
        process under the same id. It is no proof that runs have ended.
        """
        runner = self.runner
        if runner is not None and self._runner_identity.mark_left(runner_id):
            self._crash_watch.mark_left(runner.born)
            if self._clock_base is not None:
                self._replied_before_leaving_at = self._clock_base[1]

    def begin_poll(self) -> int:
        """Return the number of a poll that is about to be sent."""
        self._polls_sent += 1
        return self._polls_sent

    def apply_snapshot(
        self, snapshot: RunnerSnapshot, received_at: timedelta, poll: int
    ) -> bool:
        """Apply the reply to poll number ``poll``; return whether to report it."""
        if self._is_outdated(snapshot, poll):
            return snapshot.born == self.born and self._add_ends(snapshot)
        changed = False
        if snapshot.born != self.born:
            self._log_new_runner(snapshot)
            if self.born:
                self._find_crash_suspects(snapshot, received_at, poll)
            # A former agent process, or a call that was meant for the former runner
            # process, may have set a lease of any length.
            self._renewed_at = received_at
            # A former agent process may have met the restart of a young runner.
            age = timedelta(milliseconds=snapshot.clock) / MIN_CLOCK_RATE_RATIO
            if self.born or age < self._lease_bound:
                self._excess_until = received_at + self._lease_bound
            self._reset_runner_state()
            changed = True
        elif self._clock_base is not None and snapshot.clock < self._clock_base[0]:
            # One of the two clocks is odd, and leases may have been set by it.
            self._excess_until = received_at + self._lease_bound
            logger.warning(
                "clock of the runner went back",
                extra={"clock_before": self._clock_base[0], "clock": snapshot.clock},
            )
        self._confirm_process(snapshot, poll)
        self.has_snapshot = True
        self._last_poll_answered = poll > self._unanswered_poll
        self._polls_at_reply = self._polls_sent
        self._clock_base = (snapshot.clock, received_at)
        changed = self._recheck_leaving(received_at) or changed
        listed = {
            Run(r.task, r.run): self._remove_averaging(r, snapshot)
            for r in snapshot.running
        }
        self._snapshot_clock = snapshot.clock
        self.raw_measurements = {
            Run(r.task, r.run): r.measurement for r in snapshot.running
        }
        for run, polls_sent in list(self._started.items()):
            if run in listed or (poll > polls_sent and not snapshot.has_more_ends):
                del self._started[run]
        if snapshot.has_more_ends:
            # The runs that are not listed may be among the ends that are left out.
            ended = {Run(e.task, e.run) for e in snapshot.ended}
            kept = {r: t for r, t in self._running.items() if r not in ended}
            listed = {**kept, **listed}
        self._update_completeness(snapshot)
        self._running = listed
        in_progress = {*listed, *self._starting, *self._started}
        self._stops.keep(in_progress)
        self._crash_watch.mark_replied(listed, in_progress, received_at)
        return self._add_ends(snapshot) or changed

    def _confirm_process(self, snapshot: RunnerSnapshot, poll: int) -> None:
        self._runner_identity.confirm_process(snapshot.born, poll)
        runner = self._runner_identity.described
        if runner is not None:
            self._crash_watch.mark_draining(runner.born, runner.draining)

    def _update_completeness(self, snapshot: RunnerSnapshot) -> None:
        """Note whether a list shows that all runs of the runner process are known."""
        if self._knows_all_runs:
            return
        self._knows_all_runs = not snapshot.has_more_ends
        logger.info(
            "all runs of the runner are known"
            if self._knows_all_runs
            else "runner omits ended runs",
            extra={
                "born": snapshot.born,
                "running": len(snapshot.running),
                "ended": len(snapshot.ended),
                "durable_ends": self.durable_ends,
            },
        )

    def _add_ends(self, snapshot: RunnerSnapshot) -> bool:
        """Add the ends of a list and return whether there are new ones."""
        changed = False
        for ended in snapshot.ended:
            self._crash_watch.forget(Run(ended.task, ended.run))
            if ended.number > self.durable_ends and ended.number not in self._ended:
                self._ended[ended.number] = ended
                self.profiles.pop(ended.task, None)
                changed = True
        return changed

    def _remove_averaging(
        self, task: RunningTask, snapshot: RunnerSnapshot
    ) -> RunningTask:
        """Undo the runner's averaging of a tail latency."""
        profile = self.profiles.get(task.task)
        before = self.raw_measurements.get(Run(task.task, task.run))
        if profile is None or not profile.target_milliseconds or before is None:
            return task
        elapsed = timedelta(milliseconds=snapshot.clock - self._snapshot_clock)
        measurement = remove_averaging(task.measurement, before, elapsed)
        if measurement is None:
            return self._running.get(Run(task.task, task.run), task)
        return task._replace(measurement=measurement)

    def _list_former_runs(self, poll: int) -> set[Run]:
        """Return the runs of the process that did not answer poll number ``poll``.

        Starts that were confirmed after the poll are those of the next process.
        """
        started = [run for run, sent in self._started.items() if sent < poll]
        return {*self._running, *started, *self._starting}

    def _find_crash_suspects(
        self, snapshot: RunnerSnapshot, received_at: timedelta, poll: int
    ) -> None:
        listed = {Run(r.task, r.run) for r in snapshot.running}
        listed |= {Run(e.task, e.run) for e in snapshot.ended}
        runs = self._list_former_runs(poll)
        self._crash_watch.mark_crashed(
            runs, listed, self.born, snapshot.born, received_at
        )

    def _log_new_runner(self, snapshot: RunnerSnapshot) -> None:
        listed = {Run(r.task, r.run) for r in snapshot.running}
        logger.info(
            "runner is another process than before",
            extra={
                "born_before": self.born,
                "born": snapshot.born,
                "runner_clock": snapshot.clock,
                "listed": len(listed),
                "dropped": format_runs({*self._running, *self._started} - listed),
            },
        )

    def _is_outdated(self, snapshot: RunnerSnapshot, poll: int) -> bool:
        """Return whether a reply is older than the one applied last.

        Replies to concurrent polls may overtake each other. Those of one runner process
        are ordered by its clock. Births are not, as the time of day may go back: the
        next poll tells which process is the current one.
        """
        if self._clock_base is None or poll > self._polls_at_reply:
            return False
        return snapshot.born != self.born or snapshot.clock <= self._clock_base[0]

    def _recheck_leaving(self, replied_at: timedelta) -> bool:
        """Return whether a runner that was said to have left turns out to go on."""
        if (
            not self.runner_left
            or not self._has_consistent_runner()
            or replied_at - self._replied_before_leaving_at < LEAVE_TIMEOUT
        ):
            return False
        self._runner_identity.mark_staying()
        logger.warning(
            "runner replies after it has left; a former process left",
            extra={"born": self.born},
        )
        return True

    def _reset_runner_state(self) -> None:
        """Discard the state of the runner from before its restart."""
        self.durable_ends = 0
        self._seen_ends = 0
        self._clock_base = None
        self._knows_all_runs = False
        # Starts that were confirmed before the first list may be of this process.
        self._stops.restart({*self._starting, *self._started})
        self._running.clear()
        self._ended.clear()
        self._request_full_report()

    def compute_lease_deadline(self, now: timedelta) -> int | None:
        """Return the end of the lease in milliseconds of the runner's clock.

        Returns None without the leader's authority to renew leases. The time that is
        left is scaled down, as the runner's clock may run slow and reach a given
        reading later. The lease of a silent runner is not extended, so that the time
        of its expiry is known; None is returned for it too, and after a poll without a
        reply.
        """
        if self._clock_base is None or self.is_silent(now):
            return None
        if not self._last_poll_answered:
            return None
        clock, read_at = self._clock_base
        left = (self.authority_until - read_at) * MIN_CLOCK_RATE_RATIO
        if left <= timedelta():
            return None
        self._renewed_at = max(self._renewed_at, now)
        return clock + int(left / timedelta(milliseconds=1))

    def is_silent(self, now: timedelta) -> bool:
        """Return whether the runner has not replied within the silence timeout."""
        return (
            self._clock_base is None
            or now - self._clock_base[1] > RUNNER_SILENCE_TIMEOUT
        )

    def have_leases_expired(self, now: timedelta, refused: bool) -> bool:
        """Return whether all runs of an unresponsive runner have certainly ended.

        ``refused`` tells that no process listens at the runner's address.
        """
        if self.runner_left and refused:
            return True
        if self._clock_base is None or not self.is_silent(now):
            return False
        return now > self._renewed_at + self._lease_bound

    def expire_silent_runs(self, now: timedelta, refused: bool, poll: int) -> bool:
        """Discard the runs of an unresponsive runner once they have certainly ended.

        ``refused`` tells that no process listened at the runner's address when poll
        number ``poll`` was sent. Returns whether there were any runs.
        """
        if not (self._running or self._started):
            return False
        if not self.have_leases_expired(now, refused):
            return False
        _, read_at = self._clock_base or (0, now)
        logger.warning(
            "runs of the unresponsive runner have ended",
            extra={
                "born": self.born,
                "silent_seconds": (now - read_at).total_seconds(),
                "runner_left": self.runner_left,
                "refused": refused,
                "renewed_seconds_ago": (now - self._renewed_at).total_seconds(),
                "dropped": format_runs({*self._running, *self._started}),
            },
        )
        self.suspect_silent_runs(now, poll)
        self._running.clear()
        # Starts that were confirmed after the poll are those of the next process.
        self._started = {r: sent for r, sent in self._started.items() if sent >= poll}
        self._stops.keep({*self._started, *self._starting})
        self._request_full_report()
        return True

    def suspect_silent_runs(self, now: timedelta, poll: int) -> None:
        """Name the crash suspects of a runner whose runs are given up.

        It did not answer poll number ``poll``.
        """
        self._crash_watch.mark_silent(self._list_former_runs(poll), self.born, now)

    def take_crashes(self) -> list[Crash]:
        """Return the crashes of the runner since the last call."""
        return self._crash_watch.take_crashes()

    @property
    def running(self) -> list[RunningTask]:
        """Running tasks as of the last poll."""
        return list(self._running.values())

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Whether the log does not hold all ended runs of the runner yet."""
        return bool(self._ended)

    @property
    def acknowledged_ends(self) -> int:
        """Number up to which the runner may discard ended runs."""
        return self.durable_ends if self._last_poll_answered else 0

    def mark_unanswered(
        self, poll: int, now: timedelta, is_broken: bool = False
    ) -> bool:
        """Record that poll number ``poll`` was not answered.

        ``is_broken`` tells that its connection broke or was refused, and that it did
        not time out. Returns whether there are new crash suspects.
        """
        self.mark_failed(now)
        self._runner_identity.mark_unanswered(poll)
        self._unanswered_poll = max(self._unanswered_poll, poll)
        self._last_poll_answered = False
        return is_broken and self._suspect_early(now)

    def refuse_instance(self, runner_id: str, poll: int) -> None:
        """Record that poll number ``poll`` named an id that is not the runner's."""
        self._runner_identity.refuse_name(runner_id, poll)

    def _suspect_early(self, now: timedelta) -> bool:
        """Name the crash suspects of a runner whose connections break."""
        runs = {*self._running, *self._started, *self._starting}
        return self._crash_watch.mark_silent(runs, self.born, now)

    def mark_failed(self, now: timedelta) -> None:
        """Record that a call to the runner has failed."""
        self._crash_watch.mark_failed(now)

    # Stops

    def take_stop(self, now: timedelta) -> Run | None:
        """Return a run for which a stop is due, and record that it is sent now."""
        return self._stops.take(self._list_unleased(now), now)

    def count_due_stops(self, now: timedelta) -> int:
        """Return the number of stops to send now."""
        return self._stops.count_due(self._list_unleased(now), now)

    def mark_stop_failed(self, run: Run) -> None:
        """Record that the last stop of a run had no effect, so that one is due."""
        self._stops.mark_failed(run)

    def _list_unleased(self, now: timedelta) -> Iterable[Run]:
        """Return the runs that have to stop as their lease may outlast the authority.

        These are all runs, shortly before the authority ends. A restarted agent does
        not know of any authority until it attaches.
        """
        ends_soon = self.authority_until - STOP_MARGIN <= now
        if self.authority_until and ends_soon and now < self._excess_until:
            return self._running.keys()
        return ()

    # Orders

    def accept_orders(
        self, message: HostOrders, received_at: timedelta = timedelta()
    ) -> list[NumberedOrder]:
        """Apply a message of the leader and return its new orders.

        Each order is returned exactly once. Its start is due for ``take_start``, or its
        stop for ``take_stop``.
        """
        session = (message.epoch, message.session)
        if session < (self.epoch, self.session) or (
            message.incarnation != self._identity.incarnation
        ):
            return []
        if session > (self.epoch, self.session):
            self.epoch, self.session = session
            self.applied = 0
            self._seen_ends = 0
            self._request_full_report()
            self._refused.clear()
            self._limits = StartLimits()
            self._starting = dict.fromkeys(self._starting, 0)
            for run in list(self._waiting):
                self.mark_refused(run, SESSION_OVER)
        sent_at = timedelta(seconds=message.report_sent_at)
        authority = sent_at + timedelta(seconds=message.authority_seconds)
        if message.authority_seconds > 0:
            self.authority_until = max(self.authority_until, authority)
        self._limits.update(message)
        if message.born == self.born:
            self._seen_ends = max(self._seen_ends, message.seen_ends)
            self.durable_ends = max(self.durable_ends, message.durable_ends)
            for number in [n for n in self._ended if n <= self.durable_ends]:
                del self._ended[number]
        self._crash_watch.confirm_durable(message.durable_suspects)
        self.profiles.update(message.profiles)
        self._are_demands_sent = message.demands is not None
        self._rooms.learn(message.demands or {})
        new = []
        self._specs.add(message.specs)
        for order in message.orders:
            if order.number != self.applied + 1:
                continue
            if order.start is not None:
                spec = self._specs.find(find_job(order.start.task))
                if spec is None:
                    # The order stays unconfirmed, so the leader sends it again together
                    # with the specification.
                    break
                start = order.start._replace(spec=spec)
                order = order._replace(start=start)
                requirement = _find_requirement(message, start.task)
                waiting = WaitingStart(start, session, received_at, requirement)
                self._starting[waiting.run] = order.number
                self._waiting[waiting.run] = waiting
                self.profiles[start.task] = start.profile
            if order.stop is not None:
                self._withdraw(Run(order.stop.task, order.stop.run))
            self.applied = order.number
            new.append(order)
        self._specs.trim()
        return new

    def _withdraw(self, run: Run) -> None:
        """Stop a run, or drop its start if that has not been sent yet."""
        if run in self._waiting:
            self.mark_refused(run, WITHDRAWN)
            return
        self._stops.add(run)

    @property
    def waiting_starts(self) -> int:
        """Number of starts that wait for ``take_start``."""
        return len(self._waiting)

    def take_start(self) -> WaitingStart | None:
        """Return the next start, which ``permit_start`` may still refuse.

        Returns None while a message is missing, which may withdraw the start.
        """
        if not self._waiting or self._limits.is_order_missing(self.applied):
            return None
        _, waiting = self._waiting.popitem(last=False)
        return waiting

    def refuse_outdated_starts(self, now: timedelta) -> None:
        """Refuse the starts that wait for longer than they are good for."""
        if self._limits.is_outdated(now):
            for run in list(self._waiting):
                self.mark_refused(run, OUTDATED)

    def permit_start(
        self, waiting: WaitingStart, now: timedelta
    ) -> Result[StartPermit, str]:
        """Permit to send a start at ``now``, or tell the reason to refuse it.

        What was decided when the order arrived may have changed while it waited.
        """
        run = waiting.run
        if waiting.session != (self.epoch, self.session):
            return Failure(SESSION_OVER)
        if run in self._stops:
            return Failure(WITHDRAWN)
        if self._limits.is_outdated(now) or self._limits.is_order_missing(self.applied):
            return Failure(OUTDATED)
        runner = self._runner_identity.described
        if runner is None:
            return Failure(UNSUITABLE)
        if runner.draining:
            return Failure("draining")
        requirement = waiting.requirement
        if requirement is not None and not is_suitable(runner, *requirement):
            return Failure(UNSUITABLE)
        deadline = self.compute_lease_deadline(now)
        if deadline is None:
            return Failure("no authority")
        if not self.reserve_start(run):
            return Failure(NO_ROOM)
        self.mark_sent(run, now)
        return Success(StartPermit(deadline, self.born))

    def mark_sent(self, run: Run, now: timedelta) -> None:
        """Record that a start is about to be sent to the runner."""
        self._crash_watch.mark_sent(run, now)

    def mark_unsent(self, run: Run) -> None:
        """Record that a start that was permitted has not been sent."""
        self._crash_watch.forget(run)

    def mark_start_unanswered(
        self, run: Run, now: timedelta, may_have_run: bool
    ) -> bool:
        """Record that a start got no answer.

        Returns whether there are new crash suspects.
        """
        if may_have_run:
            is_broken = self._crash_watch.mark_start_failed(run, now)
            return is_broken and self._suspect_early(now)
        self._crash_watch.forget(run)
        self.mark_failed(now)
        return False

    def reserve_start(self, run: Run) -> bool:
        """Return whether the runner has room for a start that is about to be sent.

        What is being stopped counts, and this start from now on. A start whose room is
        not known is not sent either.
        """
        self._rooms.reserve(run)
        if not self._are_demands_sent:
            return True
        load = self._rooms.add_up(self._list_held_runs())
        runner = self._runner_identity.described
        if runner is not None and fits(load, runner):
            return True
        self._rooms.release(run)
        logger.info(
            "no room for a start",
            extra={
                "task": run.task,
                "run": run.run,
                "load": load._asdict(),
                "cpu": runner.cpu if runner else None,
                "memory": runner.memory if runner else None,
                "accelerators": runner.accelerators if runner else None,
            },
        )
        return False

    def _list_held_runs(self) -> set[Run]:
        """Return the runs that may hold capacity of the runner."""
        ended = {Run(e.task, e.run) for e in self._ended.values()}
        return {*self._running, *(self._started.keys() - ended)}

    def mark_started(self, run: Run, confirmed_at: timedelta, born: int) -> None:
        """Record a run that the runner has started.

        ``born`` identifies the runner process that the start was meant for. The next
        one may have carried it out, whose clock reaches its deadline much later.
        """
        self._starting.pop(run, None)
        self._crash_watch.mark_begun(run, confirmed_at)
        self._rooms.release(run)
        self._renewed_at = max(self._renewed_at, confirmed_at)
        if born != self.born:
            self._excess_until = confirmed_at + self._lease_bound
        if run not in self._running:
            self._started[run] = self._polls_sent

    def resolve_start(
        self, run: Run, snapshot: RunnerSnapshot, born: int, received_at: timedelta
    ) -> bool:
        """Return whether an unanswered start took effect, and record it if it did.

        ``snapshot`` was polled with a higher fencing token, so a start that has had no
        effect by then never will. ``born`` identifies the runner process that the start
        was sent to. If the runner has restarted since, the new process may have carried
        out the start, but its ended runs prove nothing about the former process.
        """
        is_listed = any((r.task, r.run) == run for r in snapshot.running)
        ended = snapshot.born == born and any(
            (e.task, e.run) == run for e in snapshot.ended
        )
        if is_listed:
            self.mark_started(run, received_at, born)
        elif ended:
            # Its end may be acknowledged already, and must not be followed by a report
            # that lists it as running.
            self._starting.pop(run, None)
            self._rooms.release(run)
        return is_listed or ended

    def mark_refused(self, run: Run, reason: str) -> None:
        """Record a start that has had no effect and never will."""
        number = self._starting.pop(run, 0)
        self._waiting.pop(run, None)
        self._rooms.release(run)
        self._refused.setdefault(RefusedStart(run.task, run.run, reason, number), 0)
        logger.info(
            "start refused",
            extra={"task": run.task, "run": run.run, "reason": reason},
        )

    # Reports

    def build_report(self, now: timedelta, pace: PaceController) -> HostReport:
        """Build the next report.

        Lists all running tasks if the full report interval has passed or the leader
        needs one.
        """
        self._sequence += 1
        full = (
            self._full_report_due or now - self._full_report_at >= FULL_REPORT_INTERVAL
        )
        # Until the runner has described itself, a report cannot tell what it runs.
        full = full and self.has_snapshot and self._has_consistent_runner()
        running: tuple[RunningTask, ...] = ()
        starting: tuple[tuple[str, int], ...] = ()
        pressures: tuple[Pressure, ...] = ()
        if full:
            pressures = pace.take_changed_pressures(now, self._full_report_due)
            self._full_report_at = now
            self._full_report_sequence = self._full_report_sequence or self._sequence
            ended_runs = {Run(e.task, e.run) for e in self._ended.values()}
            unlisted = [
                RunningTask(run.task, run.run, "", 0, 0.0)
                for run in self._started
                if run not in self._running and run not in ended_runs
            ]
            running = (*self._running.values(), *unlisted)
            starting = tuple((run.task, run.run) for run in self._starting)
            self._rooms.forget_others((*self._running, *self._started, *self._starting))
        for refusal, first in self._refused.items():
            self._refused[refusal] = first or self._sequence
        return HostReport(
            host=self._identity.host,
            address=self._identity.address,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            epoch=self.epoch,
            session=self.session,
            applied=self.applied,
            sent_at=now.total_seconds(),
            runner=self.runner if self._has_consistent_runner() else None,
            full=full,
            running=running,
            starting=starting,
            ended=tuple(
                self._ended[n] for n in sorted(self._ended) if n > self._seen_ends
            ),
            refused=tuple(self._refused),
            pressures=pressures,
            rooms=pace.headrooms if full else (),
            unprofiled=sum(not self._is_profiled(run.task) for run in self._running),
            leaving=self.runner_left,
            silent=self.is_silent(now),
            suspects=self._crash_watch.suspects,
            unanswered=not self._last_poll_answered or self._crash_watch.has_failed,
            ends_omitted=not self._knows_all_runs,
        )

    def _is_profiled(self, task: str) -> bool:
        return task in self.profiles and (
            self._rooms.knows(task) or not self._are_demands_sent
        )

    def is_running(self, run: Run) -> bool:
        """Return whether a run goes on, as of the last poll, and need not stop."""
        return run in self._running and run not in self._stops

    def _has_consistent_runner(self) -> bool:
        """Return whether the process that replied last is described and goes on.

        It may have ended while calls fail and another process has reported.
        """
        identity = self._runner_identity
        is_in_doubt = identity.has_claimant and not self._last_poll_answered
        return identity.described is not None and not is_in_doubt

    def confirm_report(self, message: HostOrders) -> None:
        """Record that the leader has received a report."""
        sequence = message.report_sequence
        session = (message.epoch, message.session)
        if session != (self.epoch, self.session) or sequence <= 0:
            return
        if message.incarnation != self._identity.incarnation:
            return
        if self._full_report_sequence and sequence >= self._full_report_sequence:
            self._full_report_due = False
        self._refused = {
            refusal: first
            for refusal, first in self._refused.items()
            if not first or first > sequence
        }


def _find_requirement(message: HostOrders, task: str) -> RunnerRequirement | None:
    """Return what a task requires of its runner, if the leader sends requirements.

    No runner meets a requirement that is missing in the message.
    """
    if message.requirements is None:
        return None
    return message.requirements.get(find_step(task), RunnerRequirement("", ""))
