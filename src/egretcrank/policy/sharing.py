"""Interference of best-effort tasks with the tail latency of serving tasks on a host.

Serving tasks are latency-critical; best-effort tasks fill the capacity left over. A
serving task is modelled as a queue whose tail latency is its unloaded latency over
``1 - u``. The utilization ``u`` is the task's own load plus a pressure for each core
that best-effort tasks use; the pressure depends on the pair of images. Effects are
additive in ``u``, but not in the tail latency.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.regression import Estimate, LinearFilter
from egretcrank.wire.hosting import Pressure, find_job

# From this utilization on, the tail latency shows only that the queue is saturated.
SATURATED_UTILIZATION = 0.97
# Ratio of tail latency to target of an unloaded serving task: the initial estimate,
# and the lower limit of estimates.
PRIOR_UNLOADED_RATIO = 0.17
MIN_UNLOADED_RATIO = 0.05
# Weight of a new ratio in the moving average from which the unloaded ratio is taken.
RATIO_EWMA_WEIGHT = 0.15
# Initial estimates of the load of a job's serving tasks, and of its change per second.
PRIOR_LOAD = Estimate(0.5, 0.25)
PRIOR_TREND = Estimate(0.0, 0.1)
# Variance that the load and its trend gain in a second.
LEVEL_CHANGE_VARIANCE = 0.01**2
TREND_CHANGE_VARIANCE = 0.12**2
# A trend is not followed for longer without measurements.
MAX_TREND = timedelta(seconds=1)
# Standard deviation of a utilization, besides the resolution of the tail latency.
MEASUREMENT_DEVIATION = 0.03
# Pressure of a pair of images that was not observed yet, in utilization per core.
PRIOR_PRESSURE = Estimate(0.04, 0.05)
# Time constant of the average over cores in use, like that of the tail latencies.
CORES_AVERAGING_TIME = timedelta(milliseconds=450)
MIN_CORES = 0.01
# A pair is reported once its deviation is below this ratio of the prior's deviation.
KNOWN_DEVIATION_RATIO = 0.95
MILLICORES_PER_CORE = 1000
SECOND = timedelta(seconds=1)

NO_BASELINE = Estimate(0.0, 1e-6)
# Prefixes of the coefficients of a filter: load of a job, its change per second, and
# pressure of a best-effort image.
LEVEL_PREFIX = "level:"
TREND_PREFIX = "trend:"
PRESSURE_PREFIX = "pressure:"


class _Group(NamedTuple):
    """The serving tasks of one image and job on a host, whose loads are alike."""

    image: str
    job: str


class SharingTask(NamedTuple):
    """A run on a host with its latest measurements.

    ``ratio`` is the tail latency over the target of a serving task, 0 for others;
    ``resolution`` is the ratio that one unit of its measurement makes. ``cores`` is the
    number of cores in use by a best-effort task, 0 for others.
    """

    name: str
    image: str
    ratio: float = 0.0
    cores: float = 0.0
    resolution: float = 0.0


def sum_best_effort_cores(tasks: Iterable[SharingTask]) -> dict[str, float]:
    """Return the number of cores that best-effort tasks use, by image."""
    best_effort_cores: defaultdict[str, float] = defaultdict(float)
    for task in tasks:
        if not task.ratio and task.cores > 0:
            best_effort_cores[task.image] += task.cores
    return dict(best_effort_cores)


class SharingModel:
    """Estimates the load of a host's serving tasks and the pressures on them.

    The tasks of one job serve the same users, so their loads rise and fall together.
    The load of each job follows its own trend, which tells a change of the load from
    the effect of a best-effort task that starts or is paced.
    """

    def __init__(self) -> None:
        self._filters: dict[str, LinearFilter] = {}
        self._unloaded_ratios: dict[str, float] = {}
        self._averages: dict[str, float] = {}
        # Cores by best-effort image, averaged like the tail latencies.
        self._cores: dict[str, float] = {}
        self._groups: set[_Group] = set()
        self._observed_at: timedelta | None = None

    def observe(self, tasks: Iterable[SharingTask], at: timedelta) -> None:
        """Update the estimates with the measurements of all tasks at one time."""
        known = list(tasks)
        serving = [task for task in known if task.ratio > 0]
        elapsed = at - (self._observed_at or at)
        self._observed_at = at
        self._average_cores(sum_best_effort_cores(known), elapsed)
        self._update_unloaded_ratios(serving)
        by_group: defaultdict[_Group, list[SharingTask]] = defaultdict(list)
        for task in serving:
            by_group[_Group(task.image, find_job(task.name))].append(task)
        self._remove_groups(by_group)
        for group in self._groups:
            _advance(self._filters[group.image], group.job, elapsed)
        for group, group_tasks in by_group.items():
            self._observe_group(group, group_tasks)

    def _average_cores(self, cores: Mapping[str, float], elapsed: timedelta) -> None:
        weight = 1 - math.exp(-(elapsed / CORES_AVERAGING_TIME))
        for image in self._cores.keys() | cores.keys():
            known = self._cores.get(image, 0.0)
            average = known + weight * (cores.get(image, 0.0) - known)
            self._cores[image] = average
        self._cores = {i: c for i, c in self._cores.items() if c > MIN_CORES}

    def _update_unloaded_ratios(self, serving: list[SharingTask]) -> None:
        """Track the lowest smoothed ratio of each image.

        Ratios are smoothed first because single measurements are too noisy.
        """
        averages: dict[str, float] = {}
        for task in serving:
            known = self._averages.get(task.name, task.ratio)
            average = known + RATIO_EWMA_WEIGHT * (task.ratio - known)
            averages[task.name] = average
            unloaded = self._unloaded_ratios.get(task.image, PRIOR_UNLOADED_RATIO)
            self._unloaded_ratios[task.image] = max(
                MIN_UNLOADED_RATIO, min(unloaded, average)
            )
        self._averages = averages

    def _remove_groups(self, present: Iterable[_Group]) -> None:
        for group in self._groups - set(present):
            self._groups.discard(group)
            model = self._filters[group.image]
            model.remove(LEVEL_PREFIX + group.job)
            model.remove(TREND_PREFIX + group.job)

    def _observe_group(self, group: _Group, tasks: list[SharingTask]) -> None:
        image, job = group
        model = self._prepare_filter(group)
        utilization = sum(self.find_utilization(image, t.ratio) for t in tasks)
        utilization /= len(tasks)
        inputs = {PRESSURE_PREFIX + name: cores for name, cores in self._cores.items()}
        inputs[LEVEL_PREFIX + job] = 1.0
        saturated = utilization >= SATURATED_UTILIZATION
        # A saturated queue shows only that the utilization is at least that high.
        if saturated and model.predict(inputs) >= SATURATED_UTILIZATION:
            return
        unloaded = self._unloaded_ratios.get(image, PRIOR_UNLOADED_RATIO)
        ratio = sum(task.ratio for task in tasks) / len(tasks)
        resolution = tasks[0].resolution * unloaded / max(ratio, unloaded) ** 2
        noise = MEASUREMENT_DEVIATION**2 + resolution**2 / 12
        model.update(inputs, utilization, noise)

    def _prepare_filter(self, group: _Group) -> LinearFilter:
        model = self._filters.get(group.image)
        if model is None:
            model = LinearFilter(NO_BASELINE)
            self._filters[group.image] = model
        for image in self._cores:
            if PRESSURE_PREFIX + image not in model.index:
                model.add(PRESSURE_PREFIX + image, PRIOR_PRESSURE)
        if group not in self._groups:
            self._groups.add(group)
            model.add(LEVEL_PREFIX + group.job, PRIOR_LOAD)
            model.add(TREND_PREFIX + group.job, PRIOR_TREND)
        return model

    def find_utilization(self, serving: str, ratio: float) -> float:
        """Return the utilization implied by a ratio, from 0 to below 1.

        ``ratio`` is the tail latency over the target.
        """
        unloaded = self._unloaded_ratios.get(serving, PRIOR_UNLOADED_RATIO)
        return max(0.0, 1.0 - unloaded / max(ratio, unloaded))

    def estimate_pressure(self, best_effort: str, serving: str) -> Estimate:
        """Return the increase of a serving image's utilization per best-effort core."""
        model = self._filters.get(serving)
        if model is None or PRESSURE_PREFIX + best_effort not in model.index:
            return PRIOR_PRESSURE
        i = model.index[PRESSURE_PREFIX + best_effort]
        return Estimate(
            max(0.0, model.means[i]), max(0.0, model.covariance[i][i]) ** 0.5
        )

    def list_pressures(self) -> tuple[Pressure, ...]:
        """Return the pairs whose estimate is better than the prior."""
        return tuple(
            Pressure(best_effort, serving, round(estimate.mean, 4), estimate.deviation)
            for serving, model in self._filters.items()
            for name in model.index
            if name.startswith(PRESSURE_PREFIX)
            and (best_effort := name.removeprefix(PRESSURE_PREFIX))
            and (estimate := self.estimate_pressure(best_effort, serving)).deviation
            < PRIOR_PRESSURE.deviation * KNOWN_DEVIATION_RATIO
        )

    def find_headrooms(
        self, tasks: Iterable[SharingTask], ratio: float
    ) -> dict[str, float]:
        """Return the utilization that best-effort tasks may add to each serving image.

        ``ratio`` is the highest acceptable ratio of tail latency to target. A result
        below 0 means that the limit is already exceeded.
        """
        headrooms: dict[str, float] = {}
        for task in tasks:
            if task.ratio > 0:
                limit = self.find_utilization(task.image, ratio)
                left = limit - self.estimate_load(task.image, task.name)
                headrooms[task.image] = min(headrooms.get(task.image, left), left)
        return headrooms

    def estimate_load(
        self, image: str, name: str, ahead: timedelta = timedelta()
    ) -> float:
        """Return the utilization by a serving task's own load, ``ahead`` from now."""
        group = _Group(image, find_job(name))
        if group not in self._groups:
            return PRIOR_LOAD.mean
        model = self._filters[image]
        level = model.means[model.index[LEVEL_PREFIX + group.job]]
        trend = model.means[model.index[TREND_PREFIX + group.job]]
        return max(0.0, level + trend * (ahead / SECOND))


def _advance(model: LinearFilter, job: str, elapsed: timedelta) -> None:
    """Let a job's load follow its trend, and widen the uncertainty of both."""
    if elapsed <= timedelta():
        return
    model.shift(
        LEVEL_PREFIX + job, TREND_PREFIX + job, min(elapsed, MAX_TREND) / SECOND
    )
    model.widen(LEVEL_PREFIX + job, LEVEL_CHANGE_VARIANCE * (elapsed / SECOND))
    model.widen(TREND_PREFIX + job, TREND_CHANGE_VARIANCE * (elapsed / SECOND))
