"""Pace of the tasks that fill, so that the tasks that serve keep their targets."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from egretcrank.wire.hosting import RunningTask, TaskProfile

FULL_PACE = 100
# Tail over target at which the pace falls, and below which it rises again. The figures
# are rough, so the band between both avoids swinging.
FALL_ABOVE = 0.9
RISE_BELOW = 0.7
FALL_FACTOR = 0.6
RISE_STEP = 12
# Interval of the figures.
FIGURE_INTERVAL = timedelta(milliseconds=500)


class PaceChange(NamedTuple):
    """A pace to set, in percent."""

    task: str
    run: int
    percent: int


class PaceController:
    """One pace for everything that fills on a host.

    Answers load that swings within seconds: the pace falls by a factor while a tail is
    near its target, and rises by steps while all are far from it.
    """

    def __init__(self) -> None:
        self.percent = FULL_PACE

    def adjust(
        self, running: Iterable[RunningTask], profiles: dict[str, TaskProfile]
    ) -> list[PaceChange]:
        """Return the paces to change after new figures."""
        worst = 0.0
        filling: list[RunningTask] = []
        for task in running:
            profile = profiles.get(task.task)
            if profile is None:
                continue
            if profile.target_milliseconds > 0:
                worst = max(worst, task.figure / profile.target_milliseconds)
            if profile.fills:
                filling.append(task)
        self.percent = _choose_percent(self.percent, worst)
        return [
            PaceChange(task.task, task.run, self.percent)
            for task in filling
            if task.percent != self.percent
        ]


def _choose_percent(percent: int, worst: float) -> int:
    if worst > FALL_ABOVE:
        return int(percent * FALL_FACTOR)
    if worst < RISE_BELOW:
        return min(FULL_PACE, percent + RISE_STEP)
    return percent
