"""Actions on running tasks, in order of cost: throttle, move, evict.

Throttling follows the load at once and costs little. A move needs a task that has been
held back for long and a host where it runs freely; an eviction needs measurements that
stay bad although everything is throttled. Both are paid from one slowly filled budget,
so that a noisy wave cannot cause a wave of evictions.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.placement import HostView, RunningTask, Weights

SMALLEST_SHARE = 0.05

# Throttling starts above the budget times HIGH and ends below the budget times LOW;
# the distance between them keeps a small change of load from causing actions.
HIGH = 1.2
LOW = 0.8

# A task keeps a lower share at least for this long.
RELAX_DELAY = timedelta(seconds=45)

# A task that was held below HELD_SHARE for this long only takes up room: it is moved,
# or stopped if it can run nowhere.
HELD_SHARE = 0.3
MOVE_DELAY = timedelta(seconds=90)
HELD_DELAY = timedelta(seconds=180)

# Measurements must stay bad for this long, with everything throttled, for an eviction.
EVICT_DELAY = timedelta(minutes=2)

# Moves and evictions allowed at once, and the time in which a host earns one more for
# a plan that gives evictions no weight.
EVICTION_BURST = 4.0
EVICTION_INTERVAL = timedelta(minutes=4)


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit a task to ``share`` of its processors, or lift a limit."""

    task: str
    host: str
    share: float
    reason: str


@dataclass(frozen=True, slots=True)
class Move:
    """Checkpoint a task and resume it on ``target``."""

    task: str
    host: str
    target: str
    reason: str


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint a task, stop it and let it wait for another start."""

    task: str
    host: str
    reason: str


Action = Throttle | Move | Evict


class Pressure(NamedTuple):
    """What a host's tasks do to its service now.

    ``slowdowns`` is the expected slowdown of each task at full speed, and ``uppers``
    the one to reckon with given its uncertainty; ``measured`` is the newest measured
    slowdown, which is late, or ``None``.
    """

    host: HostView
    slowdowns: Mapping[str, float]
    uppers: Mapping[str, float]
    measured: float | None = None


FindTarget = Callable[[RunningTask, HostView], str | None]


class Reaction:
    """Decides on actions; keeps what hysteresis needs."""

    def __init__(self) -> None:
        self._lowered: dict[str, timedelta] = {}
        self._held_since: dict[str, timedelta] = {}
        self._bad_since: dict[str, timedelta] = {}
        self._credit = EVICTION_BURST
        self._credited = timedelta()

    def forget(self, task: str) -> None:
        """Drop what is kept about a task that ended."""
        self._lowered.pop(task, None)
        self._held_since.pop(task, None)

    def decide(
        self,
        pressures: Sequence[Pressure],
        weights: Weights,
        budget: float,
        find_target: FindTarget,
        time: timedelta,
    ) -> tuple[Action, ...]:
        """Return the actions for all hosts, least costly first."""
        self._earn_credit(weights, len(pressures), time)
        throttles: list[Throttle] = []
        stops: list[Action] = []
        for pressure in pressures:
            throttles += self._throttle(pressure, budget, time)
            # The view does not show the room that another move has taken meanwhile.
            moved = any(isinstance(action, Move) for action in stops)
            stops += self._stop(
                pressure, budget, _find_none if moved else find_target, time
            )
        return (*throttles, *stops)

    def _earn_credit(self, weights: Weights, hosts: int, time: timedelta) -> None:
        # The cube makes a plan that puts half of its weight on evictions wait eight
        # times as long as one that puts none on them.
        interval = EVICTION_INTERVAL / max(1.0 - weights.eviction_share, 0.05) ** 3
        passed = max(timedelta(), time - self._credited)
        self._credit = min(EVICTION_BURST, self._credit + hosts * (passed / interval))
        self._credited = time

    def _throttle(
        self, pressure: Pressure, budget: float, time: timedelta
    ) -> list[Throttle]:
        shares = {task.task: task.share for task in pressure.host.tasks}
        slowdowns = pressure.slowdowns
        expected = sum(slowdowns[name] * share for name, share in shares.items())
        if expected > budget * HIGH:
            return self._lower(pressure, shares, expected - budget, time)
        # A limit is lifted only as far as the uncertainty allows; otherwise a task of
        # unknown effect would run at full speed before its first report.
        upper = sum(pressure.uppers[name] * share for name, share in shares.items())
        if upper < budget * LOW:
            return self._raise(pressure, shares, budget - upper, time)
        return []

    def _lower(
        self,
        pressure: Pressure,
        shares: Mapping[str, float],
        excess: float,
        time: timedelta,
    ) -> list[Throttle]:
        """Throttle the most harmful tasks until the excess is gone."""
        actions: list[Throttle] = []
        worst = sorted(shares, key=lambda n: (-pressure.slowdowns[n] * shares[n], n))
        for name in worst:
            slowdown = pressure.slowdowns[name]
            if excess <= 1e-9 or slowdown <= 0:
                break
            share = max(SMALLEST_SHARE, shares[name] - excess / slowdown)
            if share > shares[name] * 0.95:
                continue
            excess -= slowdown * (shares[name] - share)
            self._lowered[name] = time
            reason = f"slows {pressure.host.service} by {slowdown:.2f}"
            actions.append(Throttle(name, pressure.host.host, share, reason))
        return actions

    def _raise(
        self,
        pressure: Pressure,
        shares: Mapping[str, float],
        spare: float,
        time: timedelta,
    ) -> list[Throttle]:
        """Raise the throttled task that does least harm, one at a time."""
        rested = [
            name
            for name, share in shares.items()
            if share < 1 and time - self._lowered.get(name, timedelta()) >= RELAX_DELAY
        ]
        if not rested:
            return []
        name = min(rested, key=lambda n: (pressure.uppers[n], n))
        share = min(1.0, shares[name] + spare / max(pressure.uppers[name], 1e-9))
        if share < min(1.0, shares[name] * 1.2):
            return []
        return [Throttle(name, pressure.host.host, share, "service has room")]

    def _stop(
        self,
        pressure: Pressure,
        budget: float,
        find_target: FindTarget,
        time: timedelta,
    ) -> list[Action]:
        host = pressure.host
        for task in host.tasks:
            if task.share >= HELD_SHARE:
                self._held_since.pop(task.task, None)
            else:
                self._held_since.setdefault(task.task, time)
        throttled = all(task.share <= HELD_SHARE for task in host.tasks)
        measured = pressure.measured or 0.0
        if host.tasks and throttled and measured > 4 * budget:
            self._bad_since.setdefault(host.host, time)
        else:
            self._bad_since.pop(host.host, None)
        if self._credit < 1:
            return []
        return self._move(pressure, find_target, time) or self._evict(pressure, time)

    def _move(
        self, pressure: Pressure, find_target: FindTarget, time: timedelta
    ) -> list[Action]:
        host = pressure.host
        for task in host.tasks:
            since = self._held_since.get(task.task, time)
            if task.urgent or time - since < MOVE_DELAY:
                continue
            target = find_target(task, host)
            if target is None:
                continue
            self._spend(task.task)
            return [Move(task.task, host.host, target, "held back for long")]
        return []

    def _evict(self, pressure: Pressure, time: timedelta) -> list[Action]:
        host = pressure.host
        evictable = [task for task in host.tasks if not task.urgent]
        for task in evictable:
            if time - self._held_since.get(task.task, time) >= HELD_DELAY:
                self._spend(task.task)
                return [Evict(task.task, host.host, "held back, no other host")]
        if time - self._bad_since.get(host.host, time) < EVICT_DELAY or not evictable:
            return []
        worst = max(evictable, key=lambda t: (pressure.slowdowns[t.task], t.task))
        self._bad_since.pop(host.host)
        self._spend(worst.task)
        return [Evict(worst.task, host.host, "measured latency stays high")]

    def _spend(self, task: str) -> None:
        self._credit -= 1
        self.forget(task)


def _find_none(task: RunningTask, host: HostView) -> None:
    """Find no target for any task."""
