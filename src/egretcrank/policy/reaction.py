"""Actions on running tasks, in order of cost: throttle, move, evict.

Throttling is cheap and follows the load immediately. A task that was throttled heavily
for a long time is moved if another host can run it at full speed, and evicted after a
longer time if not. A task is also evicted if the measured slowdown stays high although
all tasks of the host are throttled. Moves and evictions share one token bucket, so that
noisy measurements on many hosts do not cause a wave of evictions.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.placement import HostView, RunningTask, Weights

# Lowest share of its processors to which a task is throttled.
MIN_SHARE = 0.05

# Shares are lowered above the budget times HIGH_WATERMARK and raised below the budget
# times LOW_WATERMARK. The gap keeps small changes of load from causing actions.
HIGH_WATERMARK = 1.2
LOW_WATERMARK = 0.8

# Shortest time between lowering the share of a task and raising it again.
MIN_THROTTLE_TIME = timedelta(seconds=45)

# A task is starved below STARVED_SHARE: it occupies memory for little progress. After
# the first delay it is moved; after the second it is evicted if no host can run it.
STARVED_SHARE = 0.3
STARVED_MOVE_DELAY = timedelta(seconds=90)
STARVED_EVICT_DELAY = timedelta(seconds=180)

# A task is evicted after the measured slowdown stayed high for this long with all tasks
# of the host throttled.
SLOW_EVICT_DELAY = timedelta(minutes=2)

# Size of the token bucket for moves and evictions, and the time in which each host adds
# one token under a plan that gives evictions no weight.
MAX_EVICTION_TOKENS = 4.0
TOKEN_INTERVAL = timedelta(minutes=4)


@dataclass(frozen=True, slots=True)
class Throttle:
    """Set the share of its processors that a task may use; 1 lifts the limit."""

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
    """Checkpoint a task, stop it and queue it for another start."""

    task: str
    host: str
    reason: str


Action = Throttle | Move | Evict


class HostInterference(NamedTuple):
    """Current interference of a host's tasks with its service.

    ``slowdowns`` has the expected slowdown by each task at full speed, and
    ``upper_bounds`` its upper confidence bound. ``measured`` is the last slowdown
    reported, which lags behind, or ``None`` if none is recent.
    """

    host: HostView
    slowdowns: Mapping[str, float]
    upper_bounds: Mapping[str, float]
    measured: float | None = None


FindTarget = Callable[[RunningTask, HostView], str | None]


class Reaction:
    """Decides on actions; keeps the state for hysteresis and rate limiting."""

    def __init__(self) -> None:
        self._throttled_at: dict[str, timedelta] = {}
        self._starved_since: dict[str, timedelta] = {}
        self._slow_since: dict[str, timedelta] = {}
        self._tokens = MAX_EVICTION_TOKENS
        self._refilled_at = timedelta()

    def forget(self, task: str) -> None:
        """Drop the state of a task that ended or is being stopped."""
        self._throttled_at.pop(task, None)
        self._starved_since.pop(task, None)

    def decide(
        self,
        interferences: Sequence[HostInterference],
        weights: Weights,
        budget: float,
        find_target: FindTarget,
        time: timedelta,
    ) -> tuple[Action, ...]:
        """Return the actions for all hosts, throttling first.

        ``budget`` is the slowdown of a service that the plan tolerates, as a fraction.
        """
        self._refill_tokens(weights, len(interferences), time)
        throttles: list[Throttle] = []
        disruptions: list[Action] = []
        for interference in interferences:
            throttles += self._throttle(interference, budget, time)
            # Allow one move per call: the host views do not reflect the resources that
            # the first move takes.
            moved = any(isinstance(action, Move) for action in disruptions)
            disruptions += self._move_or_evict(
                interference, budget, _find_no_target if moved else find_target, time
            )
        return (*throttles, *disruptions)

    def _refill_tokens(self, weights: Weights, hosts: int, time: timedelta) -> None:
        # With the cube, a plan that puts half of its weight on evictions waits 8 times
        # as long as one that puts none on them.
        interval = TOKEN_INTERVAL / max(1.0 - weights.eviction_share, 0.05) ** 3
        passed = max(timedelta(), time - self._refilled_at)
        self._tokens = min(
            MAX_EVICTION_TOKENS, self._tokens + hosts * (passed / interval)
        )
        self._refilled_at = time

    def _throttle(
        self, interference: HostInterference, budget: float, time: timedelta
    ) -> list[Throttle]:
        shares = {task.task: task.share for task in interference.host.tasks}
        slowdowns = interference.slowdowns
        expected = sum(slowdowns[name] * share for name, share in shares.items())
        if expected > budget * HIGH_WATERMARK:
            return self._lower_shares(interference, shares, expected - budget, time)
        # Raise shares by the upper bounds; by the expected slowdowns, a task of unknown
        # interference would run at full speed before its first report.
        upper = sum(
            interference.upper_bounds[name] * share for name, share in shares.items()
        )
        if upper < budget * LOW_WATERMARK:
            return self._raise_share(interference, shares, budget - upper, time)
        return []

    def _lower_shares(
        self,
        interference: HostInterference,
        shares: Mapping[str, float],
        excess: float,
        time: timedelta,
    ) -> list[Throttle]:
        """Throttle the tasks that slow the service most until the excess is gone."""
        actions: list[Throttle] = []
        worst = sorted(
            shares, key=lambda n: (-interference.slowdowns[n] * shares[n], n)
        )
        for name in worst:
            slowdown = interference.slowdowns[name]
            if excess <= 1e-9 or slowdown <= 0:
                break
            share = max(MIN_SHARE, shares[name] - excess / slowdown)
            if share > shares[name] * 0.95:
                continue
            excess -= slowdown * (shares[name] - share)
            self._throttled_at[name] = time
            reason = f"slows {interference.host.service} by {slowdown:.2f}"
            actions.append(Throttle(name, interference.host.host, share, reason))
        return actions

    def _raise_share(
        self,
        interference: HostInterference,
        shares: Mapping[str, float],
        spare: float,
        time: timedelta,
    ) -> list[Throttle]:
        """Raise the share of the throttled task that slows the service least."""
        eligible = [
            name
            for name, share in shares.items()
            if share < 1
            and time - self._throttled_at.get(name, timedelta()) >= MIN_THROTTLE_TIME
        ]
        if not eligible:
            return []
        name = min(eligible, key=lambda n: (interference.upper_bounds[n], n))
        share = min(
            1.0, shares[name] + spare / max(interference.upper_bounds[name], 1e-9)
        )
        if share < min(1.0, shares[name] * 1.2):
            return []
        return [Throttle(name, interference.host.host, share, "service has room")]

    def _move_or_evict(
        self,
        interference: HostInterference,
        budget: float,
        find_target: FindTarget,
        time: timedelta,
    ) -> list[Action]:
        host = interference.host
        for task in host.tasks:
            if task.share >= STARVED_SHARE:
                self._starved_since.pop(task.task, None)
            else:
                self._starved_since.setdefault(task.task, time)
        throttled = all(task.share <= STARVED_SHARE for task in host.tasks)
        measured = interference.measured or 0.0
        if host.tasks and throttled and measured > 4 * budget:
            self._slow_since.setdefault(host.host, time)
        else:
            self._slow_since.pop(host.host, None)
        if self._tokens < 1:
            return []
        return self._move(interference, find_target, time) or self._evict(
            interference, time
        )

    def _move(
        self, interference: HostInterference, find_target: FindTarget, time: timedelta
    ) -> list[Action]:
        host = interference.host
        for task in host.tasks:
            since = self._starved_since.get(task.task, time)
            if task.urgent or time - since < STARVED_MOVE_DELAY:
                continue
            target = find_target(task, host)
            if target is None:
                continue
            self._consume_token(task.task)
            return [Move(task.task, host.host, target, "held back for long")]
        return []

    def _evict(self, interference: HostInterference, time: timedelta) -> list[Action]:
        host = interference.host
        evictable = [task for task in host.tasks if not task.urgent]
        for task in evictable:
            if time - self._starved_since.get(task.task, time) >= STARVED_EVICT_DELAY:
                self._consume_token(task.task)
                return [Evict(task.task, host.host, "held back, no other host")]
        if (
            time - self._slow_since.get(host.host, time) < SLOW_EVICT_DELAY
            or not evictable
        ):
            return []
        worst = max(evictable, key=lambda t: (interference.slowdowns[t.task], t.task))
        self._slow_since.pop(host.host)
        self._consume_token(worst.task)
        return [Evict(worst.task, host.host, "measured latency stays high")]

    def _consume_token(self, task: str) -> None:
        self._tokens -= 1
        self.forget(task)


def _find_no_target(task: RunningTask, host: HostView) -> None:
    """Return no target, so that no task is moved."""
