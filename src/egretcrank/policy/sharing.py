"""What tasks that fill do to the tail latency of tasks that serve beside them.

A serving task behaves like a queue: its tail grows as its floor over ``1 - u``, where
the utilization ``u`` is its own load and, for each core in use by tasks that fill, a
pressure that differs by pair of images. In ``u`` the effects add up, which they do not
in the tail itself.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.regression import BASELINE, Estimate, LinearFilter
from egretcrank.wire.hosting import Pressure

# Utilization from which on a tail tells only that the queue is full.
FULL_UTILIZATION = 0.97
# Tail over target of a serving task without load, before one was seen that low.
PRIOR_FLOOR = 0.17
LEAST_FLOOR = 0.05
# Weight of a new figure in the average that the floor is taken of.
AVERAGE_WEIGHT = 0.15
# Load of a serving task on its own before it was seen.
PRIOR_LOAD = 0.5
# Pressure of one core of an unknown pair, as a share of the serving task's utilization.
PRIOR_PRESSURE = Estimate(0.04, 0.05)
# Pressures are learned from changes over a span in which the own load of a serving
# task, which swings over many seconds, changes by about the deviation.
LEAST_SPAN = timedelta(milliseconds=400)
LONGEST_SPAN = timedelta(milliseconds=2500)
CHANGE_DEVIATION = 0.2
# Weight of a new sample of a serving task's own load.
LOAD_WEIGHT = 0.5
# What one host may claim to know at most, as its samples are not independent.
LEAST_DEVIATION = 0.01
# Share of the prior's deviation below which a pair counts as known in part.
KNOWN_SHARE = 0.95
# Millicores in a core.
CORE = 1000

# Changes of a pressure that are worth a message, and the interval in which all are told
# again: half of the smallest deviation, and some reports.
LEAST_CHANGE = LEAST_DEVIATION / 2
TOLD_SHARE = 0.8
REFRESH_INTERVAL = timedelta(seconds=10)

NO_BASELINE = Estimate(0.0, 1e-6)


class _Sum(NamedTuple):
    """Precisions of estimates, and means weighted with them."""

    precision: float
    weighted: float


PRIOR_SUM = _Sum(
    PRIOR_PRESSURE.deviation**-2, PRIOR_PRESSURE.mean * PRIOR_PRESSURE.deviation**-2
)


class SharingTask(NamedTuple):
    """A run on a host with its last figures.

    ``ratio`` is the tail latency over the target of a task that serves, 0 for others;
    ``cores`` is the processor time in use by a task that fills, 0 for others.
    """

    name: str
    image: str
    ratio: float = 0.0
    cores: float = 0.0


class _Sample(NamedTuple):
    at: timedelta
    utilizations: dict[str, float]
    doses: dict[str, float]


def sum_doses(tasks: Iterable[SharingTask]) -> dict[str, float]:
    """Return the cores in use by tasks that fill, by image."""
    doses: defaultdict[str, float] = defaultdict(float)
    for task in tasks:
        if not task.ratio and task.cores > 0:
            doses[task.image] += task.cores
    return dict(doses)


class SharingModel:
    """Estimates of the pressure of each filling image on each serving image."""

    def __init__(self) -> None:
        self._filters: dict[str, LinearFilter] = {}
        self._floors: dict[str, float] = {}
        self._samples: dict[str, _Sample] = {}
        self._loads: dict[str, dict[str, float]] = {}
        self._averages: dict[str, dict[str, float]] = {}

    def observe(self, host: str, tasks: Iterable[SharingTask], at: timedelta) -> None:
        """Learn from the figures of one host."""
        known = list(tasks)
        doses = sum_doses(known)
        serving = [task for task in known if task.ratio > 0]
        self._note_floors(host, serving)
        utilizations = {
            task.name: self.find_utilization(task.image, task.ratio) for task in serving
        }
        before = self._samples.get(host)
        if before is None or at - before.at >= LEAST_SPAN:
            self._samples[host] = _Sample(at, utilizations, doses)
            if before is not None and at - before.at <= LONGEST_SPAN:
                for task in serving:
                    self._learn(task, before, self._samples[host])
        self._note_loads(host, serving, utilizations, doses)

    def _note_floors(self, host: str, serving: list[SharingTask]) -> None:
        """Follow the lowest tail of each image; single figures are too rough for it."""
        before = self._averages.get(host, {})
        averages: dict[str, float] = {}
        for task in serving:
            known = before.get(task.name, task.ratio)
            average = known + AVERAGE_WEIGHT * (task.ratio - known)
            averages[task.name] = average
            floor = self._floors.get(task.image, PRIOR_FLOOR)
            self._floors[task.image] = max(LEAST_FLOOR, min(floor, average))
        self._averages[host] = averages

    def _learn(self, task: SharingTask, before: _Sample, after: _Sample) -> None:
        old = before.utilizations.get(task.name)
        if old is None:
            return
        changes = {
            image: after.doses.get(image, 0.0) - before.doses.get(image, 0.0)
            for image in before.doses.keys() | after.doses.keys()
        }
        new = after.utilizations[task.name]
        model = self._find_filter(task.image, changes)
        expected = model.predict(changes)
        # A full queue tells only that the change was at least as large as it shows.
        if new >= FULL_UTILIZATION and (
            old >= FULL_UTILIZATION or expected > new - old
        ):
            return
        if old >= FULL_UTILIZATION and expected < new - old:
            return
        model.update(changes, new - old, CHANGE_DEVIATION**2)

    def _find_filter(self, serving: str, kinds: Iterable[str]) -> LinearFilter:
        model = self._filters.get(serving)
        if model is None:
            model = LinearFilter(NO_BASELINE)
            self._filters[serving] = model
        for kind in kinds:
            if kind not in model.index:
                model.add(kind, PRIOR_PRESSURE)
        return model

    def _note_loads(
        self,
        host: str,
        serving: list[SharingTask],
        utilizations: Mapping[str, float],
        doses: Mapping[str, float],
    ) -> None:
        before = self._loads.get(host, {})
        loads: dict[str, float] = {}
        for task in serving:
            known = before.get(task.name, PRIOR_LOAD)
            utilization = utilizations[task.name]
            loads[task.name] = known
            if utilization < FULL_UTILIZATION:
                pressed = sum(
                    self.estimate_pressure(image, task.image).mean * dose
                    for image, dose in doses.items()
                )
                own = max(0.0, utilization - pressed)
                loads[task.name] = known + LOAD_WEIGHT * (own - known)
        self._loads[host] = loads

    def find_utilization(self, serving: str, ratio: float) -> float:
        """Return the utilization that shows in a tail, from 0 to below 1."""
        floor = self._floors.get(serving, PRIOR_FLOOR)
        return max(0.0, 1.0 - floor / max(ratio, floor))

    def estimate_pressure(self, filling: str, serving: str) -> Estimate:
        """Return the rise of a serving image's utilization by one filling core."""
        model = self._filters.get(serving)
        if model is None or filling not in model.index:
            return PRIOR_PRESSURE
        i = model.index[filling]
        return Estimate(
            max(0.0, model.means[i]), max(0.0, model.covariance[i][i]) ** 0.5
        )

    def list_pressures(self) -> tuple[Pressure, ...]:
        """List the pairs of which something was learned."""
        return tuple(
            Pressure(filling, serving, round(estimate.mean, 4), estimate.deviation)
            for serving, model in self._filters.items()
            for filling in model.index
            if filling != BASELINE
            and (estimate := self.estimate_pressure(filling, serving)).deviation
            < PRIOR_PRESSURE.deviation * KNOWN_SHARE
        )

    def find_rooms(
        self, host: str, tasks: Iterable[SharingTask], ratio: float
    ) -> dict[str, float]:
        """Return the utilization that may be pressed on each serving image.

        ``ratio`` is the tail over target up to which it is.
        """
        rooms: dict[str, float] = {}
        for task in tasks:
            if task.ratio > 0:
                limit = self.find_utilization(task.image, ratio)
                left = limit - self.estimate_load(host, task.name)
                rooms[task.image] = min(rooms.get(task.image, left), left)
        return rooms

    def estimate_load(self, host: str, name: str) -> float:
        """Return the utilization of a serving task on its own."""
        return self._loads.get(host, {}).get(name, PRIOR_LOAD)


class PressureTable:
    """What the hosts learned of each pair, put together.

    Hosts report only what has changed, so that the sums are kept from one report to the
    next.
    """

    def __init__(self) -> None:
        self._by_host: dict[str, dict[tuple[str, str], Pressure]] = {}
        self._sums: dict[tuple[str, str], _Sum] = {}
        self._filling: defaultdict[str, set[str]] = defaultdict(set)

    def take(self, host: str, pressures: Iterable[Pressure]) -> None:
        """Take what one host has learned by itself since its last report."""
        known = self._by_host.setdefault(host, {})
        for pressure in pressures:
            pair = (pressure.filling, pressure.serving)
            self._add(pair, known.get(pair), -1)
            self._add(pair, pressure, 1)
            known[pair] = pressure
            self._filling[pressure.serving].add(pressure.filling)

    def forget(self, host: str) -> None:
        """Forget what a host had learned."""
        for pair, pressure in self._by_host.pop(host, {}).items():
            self._add(pair, pressure, -1)

    def _add(self, pair: tuple[str, str], found: Pressure | None, sign: int) -> None:
        """Add what one host knows beyond the prior, which all of them start from."""
        if found is None:
            return
        total = self._sums.get(pair, PRIOR_SUM)
        own = 1 / max(found.deviation, LEAST_DEVIATION) ** 2
        self._sums[pair] = _Sum(
            total.precision + sign * (own - PRIOR_SUM.precision),
            total.weighted + sign * (own * found.mean - PRIOR_SUM.weighted),
        )

    def estimate(self, filling: str, serving: str) -> Estimate:
        """Return the pressure of a pair; each host started from the same prior."""
        total = self._sums.get((filling, serving), PRIOR_SUM)
        mean = max(0.0, total.weighted / total.precision)
        return Estimate(mean, total.precision**-0.5)

    def list_for(self, serving: Iterable[str]) -> tuple[Pressure, ...]:
        """List the known pairs of some serving images."""
        return tuple(
            Pressure(filling, image, *self.estimate(filling, image))
            for image in serving
            for filling in sorted(self._filling.get(image, ()))
        )


class ChangedPressures:
    """Chooses the pressures of which a peer has to be told.

    Answers many hosts with many images: told in full with each report, they were most
    of the bytes between agents and their leader.
    """

    def __init__(self) -> None:
        self._told: dict[tuple[str, str], Pressure] = {}
        self._refreshed_at = timedelta()

    def choose(
        self, pressures: Iterable[Pressure], at: timedelta
    ) -> tuple[Pressure, ...]:
        """Return what has changed, and now and then all, as messages may be lost."""
        if at - self._refreshed_at >= REFRESH_INTERVAL:
            self.forget(at)
        changed = tuple(p for p in pressures if self._differs(p))
        self._told.update(((p.filling, p.serving), p) for p in changed)
        return changed

    def forget(self, at: timedelta) -> None:
        """Tell everything next time, as to a new peer."""
        self._told.clear()
        self._refreshed_at = at

    def _differs(self, pressure: Pressure) -> bool:
        told = self._told.get((pressure.filling, pressure.serving))
        return (
            told is None
            or abs(pressure.mean - told.mean) > LEAST_CHANGE
            or pressure.deviation < TOLD_SHARE * told.deviation
        )
