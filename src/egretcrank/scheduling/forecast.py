"""Forecast of when the hosts of a rack have room for further tasks.

Answers the hot rack: for some seconds most jobs of a kind name the same 8 or 9 hosts,
which are full, but where dozens of short tasks end within a second. The forecast is
cautious: a run that is late, stalled or long-running is not expected to end soon.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from egretcrank.scheduling.definitions import Step
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.placement import MIN_GAIN, is_eligible
from egretcrank.scheduling.tasks import Placement, RunPhase, StepState
from egretcrank.wire.hosting import is_suitable

# A run that has taken longer than expected is expected to go on for this share of the
# time it has taken: 3% of the wide tasks last seven times as long as their kind.
OVERDUE_SHARE = 0.5
# Progress, in percent, between two reports from which the speed of a run is derived.
# Below it, the rounding of the reported progress weighs too much.
MIN_PROGRESS_PERCENT = 10
# Time until the end of a run that has been ordered to stop is reported.
STOP_TIME = timedelta(milliseconds=300)


class Amounts(NamedTuple):
    """Resources in thousandths of a core, MiB and accelerators.

    ``best_effort_cpu`` is the processor time that best-effort tasks can use, of which
    other tasks take away.
    """

    cpu: float
    best_effort_cpu: float
    memory: float
    accelerators: float

    def plus(self, other: "Amounts") -> "Amounts":
        """Return the sum."""
        return Amounts(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: "Amounts") -> "Amounts":
        """Return the difference."""
        return Amounts(*(a - b for a, b in zip(self, other, strict=True)))

    def covers(self, demand: "Amounts") -> bool:
        """Return whether a task that needs ``demand`` fits."""
        return all(
            need <= 0 or need <= have for have, need in zip(self, demand, strict=True)
        )


class Release(NamedTuple):
    """Resources that a run is expected to release."""

    time: timedelta
    amounts: Amounts


class RackForecast:
    """Expected room on the hosts of a rack; each forecast task takes part of it."""

    def __init__(
        self,
        hosts: Iterable[HostState],
        placements: Iterable[Placement],
        expect_duration: Callable[[StepState, str], timedelta],
        now: timedelta,
    ) -> None:
        self._now = now
        self._rooms = {host.name: _HostRoom(host) for host in hosts}
        for placement in placements:
            room = self._rooms.get(placement.host)
            if room is None or placement.step.definition.long_running:
                continue
            duration = expect_duration(placement.step, room.host.rack)
            end = now + estimate_remaining(placement, duration, now)
            room.releases.append(Release(end, _list_reserved(placement.step)))
        for room in self._rooms.values():
            room.releases.sort()

    def forecast(
        self, step: StepState, service: str, count: int, latest: timedelta
    ) -> list[timedelta]:
        """Return the times, in order, at which tasks of a step find room.

        Ends with the last task that finds room until ``latest``, or with ``count``.
        """
        rooms = [r for r in self._rooms.values() if _is_allowed(step, service, r.host)]
        limit = step.definition.spread_limit
        taken = {r.host.name: step.spread.get(r.host.name, 0) for r in rooms}
        need = _list_needed(step.definition)
        times: list[timedelta] = []
        while len(times) < count:
            options = [
                (time, room.host.name)
                for room in rooms
                if not limit or taken[room.host.name] < limit
                if (time := room.find_time(need, self._now, latest)) is not None
            ]
            if not options:
                break
            time, name = min(options)
            self._rooms[name].take(_list_reserved(step))
            taken[name] += 1
            times.append(time)
        return times


class _HostRoom:
    """Unreserved resources of a host, and those that its runs release."""

    def __init__(self, host: HostState) -> None:
        self.host = host
        self.releases: list[Release] = []
        self._free = Amounts(
            host.free_cpu,
            host.unused_best_effort_cpu,
            host.free_memory,
            host.free_accelerators,
        )

    def find_time(
        self, need: Amounts, now: timedelta, latest: timedelta
    ) -> timedelta | None:
        """Return when a task fits, or ``None`` if not until ``latest``."""
        free = self._free
        if free.covers(need):
            return now
        for release in self.releases:
            if release.time > latest:
                return None
            free = free.plus(release.amounts)
            if free.covers(need):
                return release.time
        return None

    def take(self, amounts: Amounts) -> None:
        """Reserve the resources of a task."""
        self._free = self._free.minus(amounts)


def count_room(step: StepState, service: str, host: HostState) -> int:
    """Return how many tasks of a step fit on a host now, by its unreserved resources.

    Interference of best-effort tasks with serving tasks is ignored.
    """
    if not is_eligible(step, service, host):
        return 0
    definition = step.definition
    counts = [step.definition.width]
    if definition.spread_limit:
        counts.append(definition.spread_limit - step.spread.get(host.name, 0))
    if definition.memory:
        counts.append(host.free_memory // definition.memory)
    if definition.accelerators:
        counts.append(host.free_accelerators // definition.accelerators)
    if definition.cpu and definition.best_effort:
        # The last task may use less than its demand.
        share = host.unused_best_effort_cpu / definition.cpu
        counts.append(max(0, int(share + 1 - MIN_GAIN)))
    elif definition.cpu:
        counts.append(host.free_cpu // definition.cpu)
    return min(counts)


def estimate_remaining(
    placement: Placement, duration: timedelta, now: timedelta
) -> timedelta:
    """Return the expected time until a run ends, given its expected duration."""
    if placement.phase is RunPhase.STOPPING:
        return STOP_TIME
    elapsed = now - placement.placed_at
    remaining = duration - elapsed
    if placement.progress is not None:
        first, last = placement.progress
        made = last.percent - first.percent
        left = max(0, 100 - last.percent)
        since = now - last.reported_at
        if made >= MIN_PROGRESS_PERCENT:
            remaining = (last.reported_at - first.reported_at) * (left / made) - since
        elif last.percent > 0:
            remaining = duration * (left / 100) - since
    if remaining > timedelta():
        return remaining
    return elapsed * OVERDUE_SHARE


def _is_allowed(step: StepState, service: str, host: HostState) -> bool:
    """Return whether a host may run tasks of the step once it has room.

    How much headroom serving tasks leave to best-effort ones cannot be forecast.
    """
    definition = step.definition
    runner = host.runner
    if runner is None or not is_suitable(runner, service, definition.label):
        return False
    return not (definition.best_effort and host.serving_images)


def _list_needed(step: Step) -> Amounts:
    """Return what has to be unreserved for a task to be started."""
    if step.best_effort:
        return Amounts(0, MIN_GAIN * step.cpu, step.memory, step.accelerators)
    return Amounts(step.cpu, 0, step.memory, step.accelerators)


def _list_reserved(step: StepState) -> Amounts:
    """Return what a running task of a step takes."""
    definition = step.definition
    cpu = 0 if definition.best_effort else definition.cpu
    return Amounts(cpu, definition.cpu, definition.memory, definition.accelerators)
