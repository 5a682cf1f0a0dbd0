"""Estimates of how much each kind of task slows each service.

A late report is attributed to what ran in the period that it covers. For each service
and load band the latency is modelled as a baseline plus a sum over the kinds that ran,
and followed by a Kalman filter whose coefficients are random walks. The joint
covariance keeps a harmless kind from being blamed for what a ruinous neighbour did.
"""

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.regression import PRIOR_DEVIATION, Estimate, LinearFilter
from egretcrank.wire.messages import Resources

# Upper ends of the load bands, as a share of the service's slots.
BAND_EDGES = (0.3, 0.45, 0.6, 0.75)

HISTORY = timedelta(minutes=10)

# Prior of the slowdown by one task of an unknown kind, relative to the baseline.
PRIOR_MEAN = 0.1
BASELINE_DEVIATION = 0.5
MEASUREMENT_DEVIATION = 0.12

# Added deviation when the estimate of a neighbouring band serves as the prior.
NEIGHBOUR_DEVIATION = 0.1


class TaskUsage(NamedTuple):
    """Largest amounts that a task used in the period of a report."""

    task: str
    used: Resources


class UsageReport(NamedTuple):
    """Measurement of one host over a past period.

    ``load`` is the share of busy slots; ``latency`` is in any unit that is the same
    for all hosts of the service. Times are on the clock of the scheduler's process.
    """

    host: str
    service: str
    start: timedelta
    end: timedelta
    load: float
    latency: float
    tasks: tuple[TaskUsage, ...] = ()


class Span(NamedTuple):
    """A time during which a task ran on a host at one processor share."""

    task: str
    kind: str
    share: float
    start: timedelta
    end: timedelta | None


def find_band(load: float) -> int:
    """Return the index of the load band that holds ``load``."""
    return bisect_right(BAND_EDGES, load)


class Occupancy:
    """Remembers what ran on each host, long enough for late reports."""

    def __init__(self) -> None:
        self._open: dict[str, tuple[str, Span]] = {}
        self._closed: defaultdict[str, deque[Span]] = defaultdict(deque)

    def record(
        self, host: str, task: str, kind: str, share: float, time: timedelta
    ) -> None:
        """Record that ``task`` runs on ``host`` with ``share`` from ``time`` on."""
        self.close(task, time)
        self._open[task] = (host, Span(task, kind, share, time, None))

    def close(self, task: str, time: timedelta) -> None:
        """Record that ``task`` no longer runs as it did."""
        if task not in self._open:
            return
        host, span = self._open.pop(task)
        closed = self._closed[host]
        closed.append(span._replace(end=time))
        while closed and (closed[0].end or time) < time - HISTORY:
            closed.popleft()

    def find_share(
        self, host: str, task: str, start: timedelta, end: timedelta
    ) -> float | None:
        """Return the share of a task that ran unchanged through the whole period."""
        at, span = self._open.get(task, ("", None))
        current = [span] if span is not None and at == host else []
        for span in [*current, *self._closed[host]]:
            until = end if span.end is None else span.end
            if span.task == task and span.start <= start and until >= end:
                return span.share
        return None

    def measure_doses(
        self, host: str, start: timedelta, end: timedelta
    ) -> dict[str, float]:
        """Return, for each kind, the mean of tasks times share in the period."""
        doses: defaultdict[str, float] = defaultdict(float)
        spans = [span for at, span in self._open.values() if at == host]
        length = max((end - start).total_seconds(), 1e-9)
        for span in [*spans, *self._closed[host]]:
            until = end if span.end is None else min(end, span.end)
            overlap = (until - max(start, span.start)).total_seconds()
            if overlap > 0:
                doses[span.kind] += span.share * overlap / length
        return dict(doses)


class PairEstimates:
    """Estimates for each task kind, service and load band."""

    def __init__(self) -> None:
        self._models: dict[tuple[str, int], LinearFilter] = {}
        self._scales: dict[str, float] = {}
        self._cache: dict[tuple[str, int, str], Estimate] = {}

    def observe(
        self,
        report: UsageReport,
        doses: Mapping[str, float],
    ) -> None:
        """Fold a report, given the doses that ran in its period."""
        if report.latency <= 0:
            return
        scale = self._scales.setdefault(report.service, report.latency)
        band = find_band(report.load)
        model = self._models.setdefault(
            (report.service, band), LinearFilter(Estimate(1.0, BASELINE_DEVIATION))
        )
        for kind in doses:
            if kind not in model.index:
                model.add(kind, self._build_prior(report.service, band, kind))
        model.forget(report.end)
        latency = report.latency / scale
        # A measured tail latency varies in proportion to the latency itself.
        deviation = MEASUREMENT_DEVIATION * max(model.predict(doses), latency, 0.1)
        model.update(doses, latency, deviation**2)
        self._cache.clear()

    def estimate(self, service: str, band: int, kind: str) -> Estimate:
        """Return the slowdown of ``service`` by one task of ``kind``."""
        key = (service, band, kind)
        if key not in self._cache:
            found = self._find(service, band, kind)
            self._cache[key] = found or self._build_prior(service, band, kind)
        return self._cache[key]

    def sum_slowdowns(
        self, service: str, band: int, doses: Sequence[tuple[str, float]]
    ) -> Estimate:
        """Return the slowdown by several tasks, given as kind and dose.

        Errors of different kinds count as independent.
        """
        totals: defaultdict[str, float] = defaultdict(float)
        for kind, dose in doses:
            totals[kind] += dose
        mean = variance = 0.0
        for kind, total in totals.items():
            estimate = self.estimate(service, band, kind)
            mean += total * max(0.0, estimate.mean)
            variance += (total * estimate.deviation) ** 2
        return Estimate(mean, variance**0.5)

    def measure_slowdown(self, report: UsageReport) -> float:
        """Return how far a measured latency is above the estimated baseline."""
        model = self._models.get((report.service, find_band(report.load)))
        scale = self._scales.get(report.service)
        if model is None or scale is None:
            return 0.0
        return report.latency / scale / max(model.means[0], 0.1) - 1.0

    def _find(self, service: str, band: int, kind: str) -> Estimate | None:
        model = self._models.get((service, band))
        if model is None or kind not in model.index:
            return None
        i = model.index[kind]
        baseline = max(model.means[0], 0.1)
        deviation = max(model.covariance[i][i], 0.0) ** 0.5
        return Estimate(model.means[i] / baseline, deviation / baseline)

    def _build_prior(self, service: str, band: int, kind: str) -> Estimate:
        """Take the nearest known band as the prior; interference grows with load."""
        above = (
            self._find(service, near, kind)
            for near in range(band + 1, len(BAND_EDGES) + 1)
        )
        upper = next((found for found in above if found), None)
        below = (self._find(service, near, kind) for near in range(band - 1, -1, -1))
        lower = next((found for found in below if found), None)
        known = [found for found in (upper, lower) if found]
        if not known:
            return Estimate(PRIOR_MEAN, PRIOR_DEVIATION)
        best = min(known, key=lambda found: found.deviation)
        # A kind that does harm in one band is not assumed to be safe in the other; a
        # kind that is safe at a higher load is safe at a lower one.
        spread = NEIGHBOUR_DEVIATION + 0.5 * abs(best.mean)
        return Estimate(best.mean, min(PRIOR_DEVIATION, best.deviation + spread))
