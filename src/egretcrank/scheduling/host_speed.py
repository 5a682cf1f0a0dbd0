"""Speed of hosts, judged by how long runs take in proportion to their siblings.

Siblings are the other tasks of a step. Best-effort tasks are no evidence, as agents
pace them by the load of the serving tasks beside them.
"""

import logging
from collections import deque
from collections.abc import Container, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from math import ceil
from statistics import median
from typing import NamedTuple

from egretcrank.observability.metrics import Metrics
from egretcrank.scheduling.hosts import HostState
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
# Time in which each host is evaluated once.
INTERVAL = timedelta(milliseconds=500)

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
        # Number of the host that is evaluated next.
        self._position = 0

    def record_done(self, placement: Placement, now: timedelta) -> None:
        """Record a run that has ended well."""
        if not _is_comparable(placement):
            return
        duration = now - placement.placed_at
        siblings = self._siblings.get(placement.step)
        if siblings is None:
            siblings = self._siblings[placement.step] = _Siblings()
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

    def list_slow(self, hosts: Sequence[HostState], now: timedelta) -> frozenset[str]:
        """Return the hosts that are much slower than others.

        Each call evaluates the share of the hosts that is due. With 300 hosts and 9,000
        runs, an evaluation of all in one round took 9 ms of the 10 ms between rounds.
        """
        elapsed = min(now - self._evaluated_at, INTERVAL)
        self._evaluated_at = now
        begin = self._position
        count = ceil(len(hosts) * (elapsed / INTERVAL))
        for number in range(begin, begin + count):
            self._evaluate(hosts[number % len(hosts)], now)
        self._position = (begin + count) % max(1, len(hosts))
        return self._slow

    def prune(self, hosts: Container[str]) -> None:
        """Forget the steps that have ended and the hosts that are gone."""
        self._slow = frozenset(host for host in self._slow if host in hosts)
        for step in list(self._siblings):
            if step.complete or step.job.phase.final:
                del self._siblings[step]

    def _evaluate(self, host: HostState, now: timedelta) -> None:
        name = host.name
        kept = self._ratios.get(name, ())
        ratios = [entry.ratio for entry in kept if now - entry.at <= WINDOW]
        ratios += self._list_overdue(host, now)
        usual = median(ratios) if len(ratios) >= MIN_RUNS else 0.0
        if (usual >= SLOW_RATIO) == (name in self._slow):
            return
        self._slow ^= {name}
        self._report(name, "slow" if name in self._slow else "slow_over", ratios)

    def _list_overdue(self, host: HostState, now: timedelta) -> list[float]:
        """Return the ratios of the runs that have lasted too long already."""
        overdue = []
        for key in host.tasks:
            placement = self._runs[key]
            siblings = self._siblings.get(placement.step)
            if siblings is None or placement.phase is not RunPhase.RUNNING:
                continue
            elapsed = now - placement.placed_at
            if elapsed < SLOW_RATIO * siblings.shortest or not _is_comparable(
                placement
            ):
                continue
            ratio = siblings.compare(host.name, elapsed)
            if ratio is not None and ratio >= SLOW_RATIO:
                overdue.append(ratio)
        return overdue

    def _report(self, host: str, reason: str, ratios: Sequence[float]) -> None:
        self._metrics.host_verdicts.inc({"reason": reason})
        logger.info(
            "speed of host judged",
            extra={
                "host": host,
                "reason": reason,
                "ratio": median(ratios) if ratios else None,
                "runs": len(ratios),
            },
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
