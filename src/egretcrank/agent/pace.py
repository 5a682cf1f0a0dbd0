"""Speed limits of best-effort tasks that keep serving tasks within latency targets.

Serving tasks have a target for their tail latency. Best-effort tasks run on the
capacity that serving tasks leave. The pace of a best-effort task is its speed in
percent of its full speed.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.pressures import ChangedPressures
from egretcrank.policy.regression import Estimate
from egretcrank.policy.sharing import (
    MILLICORES_PER_CORE,
    SharingModel,
    SharingTask,
)
from egretcrank.wire.hosting import (
    Pressure,
    Run,
    RunningTask,
    ServingHeadroom,
    TaskProfile,
)

FULL_PACE_PERCENT = 100.0
# Ratio of tail latency to target that the controller aims for. The rest absorbs changes
# of the load until the next measurements.
TARGET_RATIO = 0.75
# Ratio of tail latency to target above which no pace is raised.
MAX_RAISE_RATIO = 0.9
# Largest increase of a pace in one adjustment.
MAX_RAISE_PERCENT = 30.0
# Utilization reserved for interference that the model does not explain. The margin
# grows with each measurement above the target and shrinks with each one well below it.
MARGIN_STEP_UP = 0.1
MARGIN_STEP_DOWN = 0.08
MAX_MARGIN = 1.0
# Ratio of tail latency to target up to which a host offers headroom for more tasks.
HEADROOM_RATIO = 0.75
# Time over target after which all best-effort tasks are paused until the tail latency
# is back below. Platforms tolerate about four seconds, and the tail latency falls
# within one second.
MAX_TIME_OVER_TARGET = timedelta(milliseconds=1600)
# Interval at which measurements are polled. An interval twice as long detects changes
# later.
MEASUREMENT_INTERVAL = timedelta(milliseconds=250)
# A pace set now takes effect, and shows in the tail latency, after about this time.
LOAD_LOOKAHEAD = timedelta(milliseconds=400)


class PaceChange(NamedTuple):
    """A pace to set on a run, in percent of its full speed."""

    task: str
    run: int
    percent: int


class _ServingTask(NamedTuple):
    name: str
    image: str
    ratio: float
    # Ratio of tail latency to target as averaged by the runner. In ``ratio`` the
    # averaging is undone.
    tail: float
    # Ratio that one millisecond makes.
    resolution: float


class _BestEffortTask(NamedTuple):
    running: RunningTask
    profile: TaskProfile


class PaceController:
    """Controls the paces of the best-effort tasks of one host.

    The load changes within seconds, and the interference differs by pair of images. The
    headroom that serving tasks have below their targets is allocated to the best-effort
    tasks, those that interfere least first.
    """

    def __init__(self) -> None:
        self._model = SharingModel()
        self._changed_pressures = ChangedPressures()
        self._percents: dict[tuple[str, int], float] = {}
        self._margins: dict[str, float] = {}
        self._over_since: dict[str, timedelta] = {}
        self._shared_estimates: dict[tuple[str, str], Estimate] = {}
        self.headrooms: tuple[ServingHeadroom, ...] = ()

    def take_changed_pressures(
        self, at: timedelta, include_all: bool
    ) -> tuple[Pressure, ...]:
        """Return the estimates of this host that changed since the last call.

        With ``include_all``, as for a new leader, all estimates are returned.
        """
        if include_all:
            self._changed_pressures.reset(at)
        return self._changed_pressures.select(self._model.list_pressures(), at)

    def update_shared_estimates(self, pressures: Iterable[Pressure]) -> None:
        """Apply the estimates that the leader merged from all hosts."""
        for known in pressures:
            estimate = Estimate(known.mean, known.deviation)
            self._shared_estimates[known.best_effort, known.serving] = estimate

    def adjust(
        self,
        running: Iterable[RunningTask],
        profiles: Mapping[str, TaskProfile],
        tails: Mapping[Run, float],
        at: timedelta,
    ) -> list[PaceChange]:
        """Return the paces to change after new measurements.

        ``tails`` are the measurements by run as averaged by the runner; in ``running``
        the averaging is undone.
        """
        serving, best_effort = _classify_tasks(running, profiles, tails)
        self._update_model(serving, best_effort, at)
        self._margins = {s.name: self._compute_margin(s) for s in serving}
        headroom = self._compute_headroom(serving)
        if self._is_over_target_too_long(serving, at):
            headroom = dict.fromkeys(headroom, 0.0)
        before = self._percents
        self._percents = {}
        changes = []
        high = any(s.tail > MAX_RAISE_RATIO for s in serving)
        for task in sorted(
            best_effort, key=lambda b: self._find_max_pressure(b, headroom)
        ):
            key = (task.running.task, task.running.run)
            old = before.get(key, FULL_PACE_PERCENT)
            new = min(
                self._allocate_headroom(task, headroom),
                old + (0.0 if high else MAX_RAISE_PERCENT),
            )
            self._percents[key] = new
            if int(new) != int(old):
                changes.append(PaceChange(*key, int(new)))
        return changes

    def _update_model(
        self,
        serving: list[_ServingTask],
        best_effort: list[_BestEffortTask],
        at: timedelta,
    ) -> None:
        tasks = [
            SharingTask(s.name, s.image, ratio=s.tail, resolution=s.resolution)
            for s in serving
        ]
        tasks += [
            SharingTask(
                b.running.task,
                b.profile.image,
                cores=b.running.measurement / MILLICORES_PER_CORE,
            )
            for b in best_effort
        ]
        self._model.observe(tasks, at)
        headrooms = self._model.find_headrooms(tasks, HEADROOM_RATIO)
        self.headrooms = tuple(ServingHeadroom(*item) for item in headrooms.items())

    def _is_over_target_too_long(
        self, serving: list[_ServingTask], at: timedelta
    ) -> bool:
        """Return whether a serving task has been over its target for too long."""
        self._over_since = {
            s.name: self._over_since.get(s.name, at) for s in serving if s.tail > 1
        }
        return any(
            at - since >= MAX_TIME_OVER_TARGET for since in self._over_since.values()
        )

    def _compute_margin(self, task: _ServingTask) -> float:
        margin = self._margins.get(task.name, 0.0)
        if task.ratio > 1:
            return min(MAX_MARGIN, margin + MARGIN_STEP_UP)
        if task.ratio < TARGET_RATIO:
            return max(0.0, margin - MARGIN_STEP_DOWN)
        return margin

    def _compute_headroom(self, serving: list[_ServingTask]) -> dict[str, float]:
        """Return the utilization that may be added to each serving image."""
        headroom: dict[str, float] = {}
        for task in serving:
            limit = self._model.find_utilization(task.image, TARGET_RATIO)
            load = self._model.estimate_load(task.image, task.name, LOAD_LOOKAHEAD)
            left = max(0.0, limit - load - self._margins[task.name])
            headroom[task.image] = min(headroom.get(task.image, left), left)
        return headroom

    def _find_pressure(self, task: _BestEffortTask, serving: str) -> float:
        own = self._model.estimate_pressure(task.profile.image, serving)
        shared = self._shared_estimates.get((task.profile.image, serving), own)
        return min(own, shared, key=lambda estimate: estimate.deviation).mean

    def _find_max_pressure(
        self, task: _BestEffortTask, headroom: Mapping[str, float]
    ) -> float:
        return max(
            (self._find_pressure(task, image) for image in headroom), default=0.0
        )

    def _allocate_headroom(
        self, task: _BestEffortTask, headroom: dict[str, float]
    ) -> float:
        """Deduct the share of a task from ``headroom`` and return its pace."""
        cores = max(task.profile.cpu, 1) / MILLICORES_PER_CORE
        costs = {image: self._find_pressure(task, image) * cores for image in headroom}
        percent = FULL_PACE_PERCENT
        for image, cost in costs.items():
            if cost > 0:
                percent = min(percent, headroom[image] / cost * FULL_PACE_PERCENT)
        for image, cost in costs.items():
            headroom[image] = max(
                0.0, headroom[image] - percent / FULL_PACE_PERCENT * cost
            )
        return percent


def _classify_tasks(
    running: Iterable[RunningTask],
    profiles: Mapping[str, TaskProfile],
    tails: Mapping[Run, float],
) -> tuple[list[_ServingTask], list[_BestEffortTask]]:
    serving: list[_ServingTask] = []
    best_effort: list[_BestEffortTask] = []
    for task in running:
        profile = profiles.get(task.task)
        if profile is None:
            continue
        if profile.target_milliseconds > 0:
            target = profile.target_milliseconds
            tail = tails.get(Run(task.task, task.run), task.measurement) / target
            ratio = task.measurement / target
            serving.append(
                _ServingTask(task.task, profile.image, ratio, tail, 1 / target)
            )
        elif profile.best_effort:
            best_effort.append(_BestEffortTask(task, profile))
    return serving, best_effort
