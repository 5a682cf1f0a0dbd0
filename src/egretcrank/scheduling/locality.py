"""Decision how long the tasks of a step wait for room in a rack.

Answers the hot rack: for 5.5 s, 30% to 80% of the jobs of one kind name the same rack
of 8 or 9 hosts. A task takes ``remote_factor`` times as long elsewhere, so that waiting
for a task that is about to end in the rack is often faster than starting at once; but
if all waited, most of them would wait in vain. Each step therefore waits once at most,
if the rack is expected to have room for all of its tasks in time after those that wait
already, and until a fixed deadline.
"""

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.policy.pressures import PressureTable
from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.definitions import Step, StepKey
from egretcrank.scheduling.forecast import RackForecast, count_room
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.placement import Ranking, is_eligible
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.tasks import Job, StepState

# No step waits longer than this after it became ready. An accepted job may be without a
# run for 3 s while there is room for it, and a change of leaders needs a part of them.
MAX_WAIT = timedelta(milliseconds=1500)
# A task waits if its room is expected within this share of the time that it would lose
# on another rack. The rest covers estimates that are off by a factor of up to 1.9.
MAX_GAIN_SHARE = 0.5
# A wait has to save this many times the task's duration, as it takes the room from
# other tasks that want the rack. In a model of a hot rack with a factor of 2, the
# median job ended 5% sooner with this value, with which nothing waits then, and 3% with
# 0.6 (and a gain share of 0.7).
MIN_SAVED_SHARE = 1.0
# A wait lasts for the expected time and a margin for estimates and for reports of ends.
# Margins of 80 to 300 ms differ little: in the same model the median job ended 9% to
# 15% sooner with a factor of 3, and 12% to 16% with 2.5.
WAIT_MARGIN = timedelta(milliseconds=150)
# Tolerated difference between the clocks of the controller that accepted a job and of
# the leader. With more, a further leader could let the step wait again.
MAX_CLOCK_LEAD = timedelta(milliseconds=500)

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StartAnywhere:
    """The tasks are started on the best hosts of any rack."""

    reason: str


@dataclass(frozen=True, slots=True)
class StartInRack:
    """The rack has room for at least one of the tasks."""

    rack: str


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """``tasks`` of the tasks wait for the rack; the others are started elsewhere."""

    time: timedelta
    reason: str
    rack: str
    tasks: int


PlaceDecision = StartAnywhere | StartInRack | WaitUntil


@dataclass(slots=True)
class _Record:
    """What was decided for a step; it holds until the step may not wait any more.

    ``wait`` is ``None`` if the step does not wait or has waited.
    """

    step: StepState
    rack: str
    latest: timedelta
    reason: str
    begun_at: timedelta
    wait: WaitUntil | None = None

    @property
    def claimed_tasks(self) -> int:
        """Return how many tasks may take the next room in the rack."""
        waiting = len(self.step.waiting)
        return min(self.wait.tasks, waiting) if self.wait else waiting


@dataclass(frozen=True, slots=True)
class _Request:
    """A step for which a decision is made, and the hosts that it may use."""

    step: StepState
    service: str
    hosts: Sequence[HostState]
    runs: Runs
    now: timedelta
    count: int
    racks: dict[str, list[HostState]] = field(default_factory=dict)


def wants_rack(step: Step) -> bool:
    """Return whether the tasks of a step are faster in one rack than in others."""
    return bool(step.rack) or (step.same_rack and step.width > 1)


class LocalityPolicy:
    """Decides where and when the tasks of steps that want a rack are started."""

    def __init__(
        self,
        settings: CellSettings,
        clock: Clock,
        slowdowns: Slowdowns,
        metrics: Metrics,
        find_queue: Callable[[Job], Queue],
        pressures: PressureTable,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._slowdowns = slowdowns
        self._metrics = metrics
        self._find_queue = find_queue
        self._pressures = pressures
        self._records: dict[StepKey, _Record] = {}

    @property
    def contested_racks(self) -> frozenset[str]:
        """Return the racks that lately had too little room for a step.

        Others leave their room to the steps that want them while there is room
        elsewhere.
        """
        return frozenset(r.rack for r in self._records.values() if r.rack)

    def review(self, usable_hosts: Iterable[HostState], now: timedelta) -> None:
        """End the waits that are over, and forget steps that may not wait any more."""
        if not self._records:
            return
        racks = {host.rack for host in usable_hosts}
        for key, record in list(self._records.items()):
            step = record.step
            wait = record.wait
            if step.job.phase.final:
                self._end_wait(record, "cancelled", now)
            elif not step.waiting:
                self._end_wait(record, "room", now)
            elif wait is not None and now >= wait.time:
                self._end_wait(record, "expired", now)
            elif record.rack not in racks:
                self._end_wait(record, "rack_lost", now)
            if step.job.phase.final or now >= record.latest:
                del self._records[key]

    def decide(
        self,
        step: StepState,
        usable_hosts: Sequence[HostState],
        runs: Runs,
        now: timedelta,
        count: int,
    ) -> PlaceDecision:
        """Decide for ``count`` waiting tasks of a step that wants a rack."""
        service = self._find_queue(step.job).service
        request = _Request(step, service, usable_hosts, runs, now, count)
        for host in usable_hosts:
            request.racks.setdefault(host.rack, []).append(host)
        if step.definition.rack:
            return self._decide_for_rack(request, step.definition.rack)
        return self._decide_for_any_rack(request)

    def _decide_for_rack(self, request: _Request, rack: str) -> PlaceDecision:
        if self._has_room(request, rack):
            return StartInRack(rack)
        record = self._records.get(request.step.key)
        if record is not None:
            return record.wait or StartAnywhere(record.reason)
        return self._consider(request, [rack])

    def _decide_for_any_rack(self, request: _Request) -> PlaceDecision:
        """Decide for a step whose tasks are to run on one rack, whichever it is."""
        step = request.step
        record = self._records.get(step.key)
        if record is not None and record.wait is not None:
            rack = record.rack
            return StartInRack(rack) if self._has_room(request, rack) else record.wait
        used = {host.rack for host in request.hosts if step.spread.get(host.name)}
        contested = self.contested_racks
        rooms = {rack: self._count_room(request, rack) for rack in request.racks}
        candidates = sorted(
            (
                rack
                for rack, room in rooms.items()
                if room and self._has_room(request, rack)
            ),
            key=lambda rack: (
                rack in used,
                rooms[rack] >= request.count,
                rack not in contested,
                rooms[rack],
            ),
        )
        best = candidates[-1] if candidates else ""
        if best and rooms[best] >= request.count and (not used or best in used):
            return StartInRack(best)
        # Nothing is left to gain if the tasks run on several racks already.
        if record is None and len(used) <= 1:
            wanted = sorted(used or request.racks)
            decision = self._consider(request, wanted)
            if isinstance(decision, WaitUntil):
                return decision
        return StartInRack(best) if best else StartAnywhere("no rack has room")

    def _has_room(self, request: _Request, rack: str) -> bool:
        """Return whether a task is worth starting in the rack now."""
        hosts = request.racks.get(rack, ())
        best = Ranking(request.step, request.service, hosts, self._pressures).best
        return best is not None and best.worthwhile

    def _count_room(self, request: _Request, rack: str) -> int:
        """Return how many of the tasks fit into the rack now."""
        step, hosts = request.step, request.racks[rack]
        return sum(count_room(step, request.service, host) for host in hosts)

    def _consider(self, request: _Request, racks: Sequence[str]) -> PlaceDecision:
        """Decide once for a step whether it waits, for the rack with room first.

        A step ends with its slowest task, so that it waits with all of them or not.
        """
        step, now = request.step, request.now
        if step.definition.long_running:
            return StartAnywhere("a long-running task has no duration to save")
        ready_at = self._find_ready_time(step, now)
        if ready_at is None:
            return StartAnywhere("it is unknown when the step became ready")
        if now >= ready_at + MAX_WAIT:
            return StartAnywhere("the step became ready too long ago")
        if not self._is_room_elsewhere(request, racks):
            return StartAnywhere("there is no room elsewhere")
        estimate = step.definition.estimate
        lost = estimate * (self._settings.remote_factor - 1)
        bound = min(
            ready_at + MAX_WAIT - now, MAX_WAIT, lost, self._find_slack(step, lost)
        )
        latest = now + min(
            bound, lost * MAX_GAIN_SHARE, lost - estimate * MIN_SAVED_SHARE
        )
        # Racks with the most tasks and the earliest room come first.
        options = sorted(
            (
                (self._forecast(request, rack, latest), rack)
                for rack in racks
                if rack in request.racks and latest > now
            ),
            key=lambda option: (-len(option[0]), option[0][-1:], option[1]),
        )
        times, rack = options[0] if options else ([], step.definition.rack)
        record = _Record(step, rack, ready_at + MAX_WAIT, "", now)
        self._records[step.key] = record
        if len(times) < request.count:
            record.reason = "no room is expected in time"
            return StartAnywhere(record.reason)
        expected = times[-1] - now
        wait = WaitUntil(
            now + min(bound, expected + WAIT_MARGIN),
            f"room is expected within {expected.total_seconds():.2f} s",
            rack,
            len(times),
        )
        self._begin_wait(record, wait, lost - expected)
        return wait

    def _find_ready_time(self, step: StepState, now: timedelta) -> timedelta | None:
        """Return when a step became ready, or ``None`` if this leader has not seen it.

        A step without dependencies is ready when its job is due, so that each leader
        finds the same time. A time that is far ahead is of a clock that is wrong.
        """
        steps = step.job.occurrences[step.key.occurrence]
        earlier = step.definition.depends_on
        if not earlier:
            ahead = step.job.due_at(step.key.occurrence) - self._clock.now()
            return now + ahead if ahead <= MAX_CLOCK_LEAD else None
        ends = [steps[number].ended_at for number in earlier]
        return max((end for end in ends if end is not None), default=None)

    def _find_slack(self, step: StepState, lost: timedelta) -> timedelta:
        """Return how long a wait may last because of the job's deadline.

        A job that ends on time without the rack does so after a vain wait as well. One
        that needs the rack for it waits while the rack can still help.
        """
        job, occurrence = step.job, step.key.occurrence
        deadline = job.find_deadline(occurrence, self._find_queue(job))
        slack = deadline - self._clock.now() - job.estimate_remaining(occurrence)
        if slack > lost:
            return slack - lost
        return slack if slack > timedelta() else MAX_WAIT

    def _is_room_elsewhere(self, request: _Request, racks: Sequence[str]) -> bool:
        """Return whether there is a choice between waiting and starting now.

        A step that waits for any rack has room in several racks that is too small.
        """
        step = request.step
        return any(
            is_eligible(step, request.service, host)
            for host in request.hosts
            if not step.definition.rack or host.rack not in racks
        )

    def _forecast(
        self, request: _Request, rack: str, latest: timedelta
    ) -> list[timedelta]:
        """Return when tasks find room in a rack, after those that want it already."""
        hosts = request.racks[rack]
        placements = (request.runs[key] for host in hosts for key in host.tasks)
        forecast = RackForecast(hosts, placements, self._expect_duration, request.now)
        for record in self._records.values():
            if record.rack == rack:
                service = self._find_queue(record.step.job).service
                forecast.forecast(record.step, service, record.claimed_tasks, latest)
        return forecast.forecast(request.step, request.service, request.count, latest)

    def _expect_duration(self, step: StepState, rack: str) -> timedelta:
        """Return how long a run of a task takes in a rack.

        The slowdown of its queue includes times of waiting, so that it is rather too
        high, and a wait too short.
        """
        slowdown = self._slowdowns.find(self._find_queue(step.job).name)
        is_remote = step.definition.rack not in ("", rack)
        factor = self._settings.remote_factor if is_remote else 1.0
        return step.definition.estimate * slowdown * factor

    def _begin_wait(self, record: _Record, wait: WaitUntil, saved: timedelta) -> None:
        record.wait = wait
        self._metrics.place_waits.inc({"event": "begun"})
        self._metrics.place_saved_seconds.add({}, saved.total_seconds())
        logger.info(
            "tasks wait for their rack",
            extra={
                "job": record.step.job.job_id,
                "step": record.step.key.step,
                "rack": wait.rack,
                "tasks": wait.tasks,
                "limit": (wait.time - record.begun_at).total_seconds(),
                "reason": wait.reason,
                "saved": saved.total_seconds(),
            },
        )

    def _end_wait(self, record: _Record, event: str, now: timedelta) -> None:
        """Note that a step waits no more, if it does."""
        if record.wait is None:
            return
        record.wait = None
        record.reason = f"the wait has ended: {event}"
        waited = (now - record.begun_at).total_seconds()
        self._metrics.place_waits.inc({"event": event})
        self._metrics.place_wait_seconds.add({}, waited)
        logger.info(
            "wait for a rack ended",
            extra={
                "job": record.step.job.job_id,
                "step": record.step.key.step,
                "rack": record.rack,
                "event": event,
                "waited": waited,
                "tasks": len(record.step.waiting),
            },
        )
