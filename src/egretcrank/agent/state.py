"""What an agent knows of its runner and of the orders it has taken."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from egretcrank.agent.pace import PaceController
from egretcrank.platform.runner import Look
from egretcrank.wire.hosting import (
    EndedTask,
    HostOrders,
    HostReport,
    NumberedOrder,
    Pressure,
    RefusedStart,
    Run,
    RunnerFacts,
    RunningTask,
    TaskProfile,
    find_job,
)

# Rates of the runner's clock and of this host's differ by this much at most.
CLOCK_RATE_FLOOR = 0.98
# Interval of reports that list everything that runs.
FULL_INTERVAL = timedelta(seconds=1)
# Span over which the runner averages the figures, and the shortest one between two
# looks from which a change can be told.
FIGURE_SPAN = timedelta(milliseconds=450)
LEAST_SPAN = timedelta(milliseconds=120)
# A runner answers a look within half a second, or at once; two missed ones are silence.
SILENT_AFTER = timedelta(seconds=1)
# Time from the end of a lease until the runner has killed what it held.
OVER_MARGIN = timedelta(milliseconds=500)
# Jobs whose specification is kept, twice what a leader takes for known: 2 MB at most.
MOST_SPECS = 512


class Identity(NamedTuple):
    """Who reports."""

    host: str
    address: str
    incarnation: str


class AgentState:
    """Bookkeeping of an agent; its daemon holds a lock around each call."""

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self.epoch = 0
        self.session = 0
        self.applied = 0
        self.authority_until = timedelta()
        self.heard_at: timedelta | None = None
        self.runner: RunnerFacts | None = None
        # Number of the heartbeat that the facts are from; it grows within a life.
        self._heartbeat = -1
        self.looked = False
        self.left = False
        self.born = 0
        self.durable_ends = 0
        self._seen_ends = 0
        self._sequence = 0
        self._full_due = True
        self._full_at = timedelta()
        self._clock_base: tuple[int, timedelta] | None = None
        self._latest_deadline = 0
        # Starts under way, with the numbers of their orders.
        self._starting: dict[Run, int] = {}
        self._started: dict[Run, int] = {}
        self._stopping: set[Run] = set()
        self._running: dict[Run, RunningTask] = {}
        self._ended: dict[int, EndedTask] = {}
        # Refusals with the number of the first report that carried each.
        self._refused: dict[RefusedStart, int] = {}
        self._full_sequence = 0
        self.profiles: dict[str, TaskProfile] = {}
        # Specifications by job, the one used last at the end.
        self._specs: OrderedDict[str, str] = OrderedDict()
        # Figures as the runner gave them, and its clock then.
        self.figures: dict[Run, float] = {}
        self._listed_at = 0

    def _require_full(self) -> None:
        self._full_due = True
        self._full_sequence = 0

    # Runner

    def take_runner(self, runner: RunnerFacts, sequence: int) -> bool:
        """Take what the runner says of itself in a heartbeat; tell whether it is news.

        Answers heartbeats that a partition held up: one from before the runner began
        to drain, before it left, or of a former life puts nothing back into use.
        """
        if runner.born < self.born:
            return False
        known = self.runner
        if known is not None:
            if (runner.born, sequence) <= (known.born, self._heartbeat):
                return False
            if self.left and runner.born == known.born:
                return False
        self.runner = runner
        self._heartbeat = sequence
        self.left = False
        return True

    def leave(self, runner_id: str) -> None:
        """Note that the runner's life has ended, unless another one is known."""
        if self.runner is not None and self.runner.runner_id == runner_id:
            self.left = True

    def take_look(self, look: Look, received_at: timedelta) -> bool:
        """Take a list of runs and ends; tell whether it has something to report."""
        changed = False
        if look.born == self.born and self._is_old(look):
            return False
        if look.born != self.born:
            self._forget_life()
            self.born = look.born
            changed = True
        self.looked = True
        self._clock_base = (look.clock, received_at)
        listed = {Run(r.task, r.run): self._sharpen(r, look) for r in look.running}
        self._listed_at = look.clock
        self.figures = {Run(r.task, r.run): r.figure for r in look.running}
        for run, clock in list(self._started.items()):
            if run in listed or look.clock > clock:
                del self._started[run]
        self._running = listed
        self._stopping &= set(listed)
        for ended in look.ended:
            if ended.number > self.durable_ends and ended.number not in self._ended:
                self._ended[ended.number] = ended
                self.profiles.pop(ended.task, None)
                changed = True
        return changed

    def _sharpen(self, task: RunningTask, look: Look) -> RunningTask:
        """Undo the averaging of a tail, which goes on for a second after its cause."""
        profile = self.profiles.get(task.task)
        before = self.figures.get(Run(task.task, task.run))
        if profile is None or not profile.target_milliseconds or before is None:
            return task
        elapsed = timedelta(milliseconds=look.clock - self._listed_at)
        if elapsed < LEAST_SPAN:
            return self._running.get(Run(task.task, task.run), task)
        kept = math.exp(-(elapsed / FIGURE_SPAN))
        figure = max(0.0, (task.figure - kept * before) / (1 - kept))
        return task._replace(figure=figure)

    def _is_old(self, look: Look) -> bool:
        return self._clock_base is not None and look.clock < self._clock_base[0]

    def _forget_life(self) -> None:
        """Forget what the runner held in a former life."""
        self.durable_ends = 0
        self._seen_ends = 0
        self._clock_base = None
        self._latest_deadline = 0
        self._started.clear()
        self._stopping.clear()
        self._running.clear()
        self._ended.clear()
        self._require_full()

    def find_deadline(self, now: timedelta) -> int | None:
        """Return the lease's end on the runner's clock, if there is authority.

        The runner's clock may run slow, so that the same reading comes later there. A
        silent runner gets no longer lease, so that its end comes in sight.
        """
        if self._clock_base is None or self.is_silent(now):
            return None
        clock, read_at = self._clock_base
        left = (self.authority_until - read_at) * CLOCK_RATE_FLOOR
        if left <= timedelta():
            return None
        deadline = clock + int(left / timedelta(milliseconds=1))
        self._latest_deadline = max(self._latest_deadline, deadline)
        return deadline

    def is_silent(self, now: timedelta) -> bool:
        """Tell whether the runner has not answered for a while."""
        return self._clock_base is None or now - self._clock_base[1] > SILENT_AFTER

    def is_over(self, now: timedelta) -> bool:
        """Tell whether all that a runner without answer held has certainly ended."""
        if self._clock_base is None:
            return True
        if self.left:
            return True
        clock, read_at = self._clock_base
        passed = (now - read_at - OVER_MARGIN) * CLOCK_RATE_FLOOR
        reading = clock + passed / timedelta(milliseconds=1)
        return self.is_silent(now) and reading > self._latest_deadline

    def check_silence(self, now: timedelta) -> bool:
        """Forget the runs of a silent runner once they are over; tell whether any."""
        if not (self._running or self._started) or not self.is_over(now):
            return False
        self._running.clear()
        self._started.clear()
        self._stopping.clear()
        self._require_full()
        return True

    @property
    def running(self) -> list[RunningTask]:
        """Return the tasks of the last look."""
        return list(self._running.values())

    @property
    def has_ends(self) -> bool:
        """Tell whether ends are not acknowledged yet."""
        return bool(self._ended)

    def list_stops_due(self) -> list[Run]:
        """Return the runs that were to be stopped and still run."""
        return [run for run in self._stopping if run in self._running]

    # Orders

    def take_orders(self, message: HostOrders) -> list[NumberedOrder]:
        """Take orders; return those that are new, each exactly once."""
        session = (message.epoch, message.session)
        if session < (self.epoch, self.session) or (
            message.incarnation != self._identity.incarnation
        ):
            return []
        if session > (self.epoch, self.session):
            self.epoch, self.session = session
            self.applied = 0
            self._seen_ends = 0
            self._require_full()
            self._refused.clear()
            self._starting = dict.fromkeys(self._starting, 0)
        sent_at = timedelta(seconds=message.report_sent_at)
        authority = sent_at + timedelta(seconds=message.authority_seconds)
        if message.authority_seconds > 0:
            self.authority_until = max(self.authority_until, authority)
        if message.born == self.born:
            self._seen_ends = max(self._seen_ends, message.seen_ends)
            self.durable_ends = max(self.durable_ends, message.durable_ends)
            for number in [n for n in self._ended if n <= self.durable_ends]:
                del self._ended[number]
        self.profiles.update(message.profiles)
        new = []
        self._keep_specs(message.specs)
        for order in message.orders:
            if order.number != self.applied + 1:
                continue
            if order.start is not None:
                spec = self._specs.get(find_job(order.start.task))
                if spec is None:
                    # The leader sends it again with the order, which stays unconfirmed.
                    break
                start = order.start._replace(spec=spec)
                order = order._replace(start=start)
                self._starting[Run(start.task, start.run)] = order.number
                self.profiles[start.task] = start.profile
            if order.stop is not None:
                self._stopping.add(Run(order.stop.task, order.stop.run))
            self.applied = order.number
            new.append(order)
        return new

    def _keep_specs(self, specs: Mapping[str, str]) -> None:
        for job, spec in specs.items():
            self._specs[job] = spec
            self._specs.move_to_end(job)
        while len(self._specs) > MOST_SPECS:
            self._specs.popitem(last=False)

    def mark_started(self, run: Run, clock: int) -> None:
        """Note that the runner has a run; ``clock`` is its reading then."""
        self._starting.pop(run, None)
        if run not in self._running:
            self._started[run] = clock

    def settle(self, run: Run, look: Look, born: int) -> bool:
        """Tell whether an unanswered start took effect, and note it if it did.

        ``look`` was made under a higher token, so that a start which had none by then
        never will. ``born`` is the life that the start was meant for; a next life of
        the runner may have carried it out, and its ends prove nothing of the former.
        """
        listed = any((r.task, r.run) == run for r in look.running)
        ended = look.born == born and any((e.task, e.run) == run for e in look.ended)
        if listed or ended:
            self.mark_started(run, look.clock)
        return listed or ended

    def mark_refused(self, run: Run, reason: str) -> None:
        """Note that a start had no effect and never will."""
        number = self._starting.pop(run, 0)
        self._refused.setdefault(RefusedStart(run.task, run.run, reason, number), 0)

    # Reports

    def build_report(self, now: timedelta, pace: PaceController) -> HostReport:
        """Build the next report."""
        self._sequence += 1
        full = self._full_due or now - self._full_at >= FULL_INTERVAL
        full = full and self.looked
        running: tuple[RunningTask, ...] = ()
        starting: tuple[tuple[str, int], ...] = ()
        pressures: tuple[Pressure, ...] = ()
        if full:
            pressures = pace.list_new_pressures(now, self._full_due)
            self._full_at = now
            self._full_sequence = self._full_sequence or self._sequence
            over = {Run(e.task, e.run) for e in self._ended.values()}
            unlisted = [
                RunningTask(run.task, run.run, "", 0, 0.0)
                for run in self._started
                if run not in self._running and run not in over
            ]
            running = (*self._running.values(), *unlisted)
            starting = tuple((run.task, run.run) for run in self._starting)
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
            runner=self.runner if self._knows_life() else None,
            full=full and self._knows_life(),
            running=running,
            starting=starting,
            ended=tuple(
                self._ended[n] for n in sorted(self._ended) if n > self._seen_ends
            ),
            refused=tuple(self._refused),
            pressures=pressures,
            rooms=pace.rooms if full else (),
            unprofiled=sum(r.task not in self.profiles for r in self._running),
            leaving=self.left,
            silent=self.is_silent(now),
        )

    def _knows_life(self) -> bool:
        """Tell whether heartbeat and look are of the same life of the runner."""
        return self.runner is not None and self.runner.born == self.born

    def may_start(self, session: tuple[int, int]) -> bool:
        """Tell whether a start that was ordered in a session may still be made."""
        return session == (self.epoch, self.session)

    def confirm_report(self, message: HostOrders) -> None:
        """Note that the leader took a report."""
        sequence = message.report_sequence
        session = (message.epoch, message.session)
        if session != (self.epoch, self.session) or sequence <= 0:
            return
        if self._full_sequence and sequence >= self._full_sequence:
            self._full_due = False
        self._refused = {
            refusal: first
            for refusal, first in self._refused.items()
            if not first or first > sequence
        }
