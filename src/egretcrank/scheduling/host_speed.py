"""Speed of hosts, judged by how long runs take in proportion to their siblings.

Siblings are the other tasks of a step. Best-effort tasks are no evidence, as agents
pace them by the load of the serving tasks beside them.
"""

import logging
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median
from typing import NamedTuple

from egretcrank.observability.metrics import Metrics
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.tasks import Placement, RunPhase, StepState

# A host is slow if its runs take so many times as long as their siblings, in the median
# of at least so many runs within the window. Runs that are overdue count as well: with
# a fault of 6.5 s that makes tasks take 7.5 times as long, most have not ended by then.
SLOW_RATIO = 2.5
MIN_RUNS = 4
WINDOW = timedelta(seconds=5)
# Siblings on other hosts that a run is compared with, the latest ones.
MIN_SIBLINGS = 3
MAX_SIBLINGS = 15
# Shorter tasks are not compared: the way of orders and reports takes as long.
MIN_MEDIAN = timedelta(milliseconds=250)
MAX_KEPT_RATIOS = 16
# Interval between evaluations, which scan all runs.
INTERVAL = timedelta(milliseconds=250)

logger = logging.getLogger(__name__)


class _Ratio(NamedTuple):
    ratio: float
    at: timedelta


@dataclass(slots=True)
class _Siblings:
    """Time that the latest tasks of a step took, with their hosts."""

    durations: deque[tuple[str, timedelta]] = field(
        default_factory=lambda: deque(maxlen=MAX_SIBLINGS)
    )
    shortest: timedelta = timedelta.max

    def add(self, host: str, duration: timedelta) -> None:
        self.durations.append((host, duration))
        self.shortest = min(self.shortest, duration)

    def compare(self, host: str, duration: timedelta) -> float | None:
        """Return a duration in proportion to the median on other hosts, if known."""
        others = [time for name, time in self.durations if name != host]
        if len(others) < MIN_SIBLINGS:
            return None
        usual = sorted(others)[len(others) // 2]
        return duration / usual if usual >= MIN_MEDIAN else None


class HostSpeeds:
    """Compares the runs of each host with their siblings on other hosts."""

    def __init__(self, runs: Runs, metrics: Metrics) -> None:
        self._runs = runs
        self._metrics = metrics
        self._siblings: dict[StepState, _Siblings] = {}
        self._ratios: dict[str, deque[_Ratio]] = {}
        self._slow: frozenset[str] = frozenset()
        self._evaluated_at = timedelta()

    def record_done(self, placement: Placement, now: timedelta) -> None:
        """Record a run that has ended well."""
        if not _is_comparable(placement):
            return
        duration = now - placement.placed_at
        siblings = self._siblings.setdefault(placement.step, _Siblings())
        ratio = siblings.compare(placement.host, duration)
        siblings.add(placement.host, duration)
        if ratio is not None:
            ratios = self._ratios.setdefault(
                placement.host, deque(maxlen=MAX_KEPT_RATIOS)
            )
            ratios.append(_Ratio(ratio, now))

    def forget(self, host: str) -> None:
        """Forget the runs of a host."""
        self._ratios.pop(host, None)
        self._slow -= {host}

    def list_slow(self, now: timedelta) -> frozenset[str]:
        """Return the hosts that are much slower than others."""
        if now - self._evaluated_at >= INTERVAL:
            self._evaluated_at = now
            self._evaluate(now)
        return self._slow

    def _evaluate(self, now: timedelta) -> None:
        for step in list(self._siblings):
            if step.complete or step.job.phase.final:
                del self._siblings[step]
        overdue = self._list_overdue(now)
        slow = set()
        for host in self._ratios.keys() | overdue.keys():
            kept = self._ratios.get(host, deque())
            while kept and now - kept[0].at > WINDOW:
                kept.popleft()
            ratios = [entry.ratio for entry in kept] + overdue.get(host, [])
            if len(ratios) < MIN_RUNS or max(ratios) < SLOW_RATIO:
                continue
            usual = median(ratios)
            if usual >= SLOW_RATIO:
                slow.add(host)
                if host not in self._slow:
                    self._report(host, "slow", usual, len(ratios))
        for host in self._slow - slow:
            self._report(host, "slow_over", None, 0)
        self._slow = frozenset(slow)

    def _list_overdue(self, now: timedelta) -> dict[str, list[float]]:
        """Return the ratios of the runs that have lasted too long already, by host."""
        overdue: dict[str, list[float]] = {}
        for placement in self._runs:
            siblings = self._siblings.get(placement.step)
            if siblings is None or placement.phase is not RunPhase.RUNNING:
                continue
            elapsed = now - placement.placed_at
            if elapsed < SLOW_RATIO * siblings.shortest or not _is_comparable(
                placement
            ):
                continue
            ratio = siblings.compare(placement.host, elapsed)
            if ratio is not None and ratio >= SLOW_RATIO:
                overdue.setdefault(placement.host, []).append(ratio)
        return overdue

    def _report(self, host: str, reason: str, ratio: float | None, runs: int) -> None:
        self._metrics.host_verdicts.inc({"reason": reason})
        logger.info(
            "speed of host judged",
            extra={"host": host, "reason": reason, "ratio": ratio, "runs": runs},
        )


def _is_comparable(placement: Placement) -> bool:
    """Return whether a run does all the work of its task, and its begin is known.

    ``order_number`` is 0 for a run that this leader has only heard of.
    """
    step = placement.step.definition
    return (
        not step.best_effort
        and not step.long_running
        and placement.order_number > 0
        and placement.phase is not RunPhase.STOPPING
        and (placement.run == 1 or not step.checkpointing)
    )
