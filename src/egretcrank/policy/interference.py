"""Estimates of the slowdown of each service by each kind of task.

Usage reports arrive late, so each is attributed to the tasks that ran in the period it
covers. For each service and load band, a Kalman filter models the latency as a baseline
plus a sum over the kinds of task that ran; its coefficients are random walks. The joint
covariance keeps the slowdown by one kind from being attributed to a harmless kind that
ran beside it.
"""

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.regression import PRIOR_DEVIATION, Estimate, LinearFilter
from egretcrank.wire.messages import Resources

# Upper ends of the load bands, as fractions of the service's slots that are busy.
BAND_EDGES = (0.3, 0.45, 0.6, 0.75)

# Ended spans are kept for this long, to match late reports.
MAX_HISTORY_AGE = timedelta(minutes=10)

# Prior mean of the slowdown by one task of an unknown kind, prior deviation of the
# baseline and deviation of a measured latency, all relative to the baseline.
PRIOR_MEAN = 0.1
BASELINE_DEVIATION = 0.5
MEASUREMENT_DEVIATION = 0.12

# Added to the deviation when the estimate of another load band is used as the prior.
OTHER_BAND_DEVIATION = 0.1


class TaskUsage(NamedTuple):
    """Peak resource use of a task in the period of a report."""

    task: str
    used: Resources


class UsageReport(NamedTuple):
    """Measurement of one host over a past period.

    ``load`` is the fraction of busy slots. ``latency`` may have any unit that is the
    same for all hosts of the service. Times are on the monotonic clock of the
    scheduler's process.
    """

    host: str
    service: str
    start: timedelta
    end: timedelta
    load: float
    latency: float
    tasks: tuple[TaskUsage, ...] = ()


class Span(NamedTuple):
    """A period in which a task ran on a host at one processor share.

    ``end`` is ``None`` while the period lasts.
    """

    task: str
    kind: str
    share: float
    start: timedelta
    end: timedelta | None


def find_band(load: float) -> int:
    """Return the index of the load band that holds ``load``."""
    return bisect_right(BAND_EDGES, load)


class Occupancy:
    """History of the tasks that ran on each host, kept long enough for late reports."""

    def __init__(self) -> None:
        self._current: dict[str, tuple[str, Span]] = {}
        self._past: defaultdict[str, deque[Span]] = defaultdict(deque)

    def record(
        self, host: str, task: str, kind: str, share: float, time: timedelta
    ) -> None:
        """Record that ``task`` runs on ``host`` at ``share`` from ``time`` on."""
        self.close(task, time)
        self._current[task] = (host, Span(task, kind, share, time, None))

    def close(self, task: str, time: timedelta) -> None:
        """End the current span of ``task``, if any, and drop old spans of its host."""
        if task not in self._current:
            return
        host, span = self._current.pop(task)
        past = self._past[host]
        past.append(span._replace(end=time))
        while past and (past[0].end or time) < time - MAX_HISTORY_AGE:
            past.popleft()

    def find_share(
        self, host: str, task: str, start: timedelta, end: timedelta
    ) -> float | None:
        """Return the share of a task if it was constant over the whole period."""
        span_host, span = self._current.get(task, ("", None))
        current = [span] if span is not None and span_host == host else []
        for span in [*current, *self._past[host]]:
            until = end if span.end is None else span.end
            if span.task == task and span.start <= start and until >= end:
                return span.share
        return None

    def average_shares(
        self, host: str, start: timedelta, end: timedelta
    ) -> dict[str, float]:
        """Return, by kind, the sum of the tasks' shares, averaged over the period."""
        shares: defaultdict[str, float] = defaultdict(float)
        spans = [
            span for span_host, span in self._current.values() if span_host == host
        ]
        length = max((end - start).total_seconds(), 1e-9)
        for span in [*spans, *self._past[host]]:
            until = end if span.end is None else min(end, span.end)
            overlap = (until - max(start, span.start)).total_seconds()
            if overlap > 0:
                shares[span.kind] += span.share * overlap / length
        return dict(shares)


class PairEstimates:
    """Slowdown estimates by service, load band and task kind."""

    def __init__(self) -> None:
        self._models: dict[tuple[str, int], LinearFilter] = {}
        # First latency reported for each service, the unit of its models.
        self._scales: dict[str, float] = {}
        self._cache: dict[tuple[str, int, str], Estimate] = {}

    def observe(
        self,
        report: UsageReport,
        shares: Mapping[str, float],
    ) -> None:
        """Update the estimates with a report and the average shares in its period."""
        if report.latency <= 0:
            return
        scale = self._scales.setdefault(report.service, report.latency)
        band = find_band(report.load)
        model = self._models.setdefault(
            (report.service, band), LinearFilter(Estimate(1.0, BASELINE_DEVIATION))
        )
        for kind in shares:
            if kind not in model.index:
                model.add(kind, self._build_prior(report.service, band, kind))
        model.add_drift(report.end)
        latency = report.latency / scale
        # The error of a measured tail latency is proportional to the latency itself.
        deviation = MEASUREMENT_DEVIATION * max(model.predict(shares), latency, 0.1)
        model.update(shares, latency, deviation**2)
        self._cache.clear()

    def estimate(self, service: str, band: int, kind: str) -> Estimate:
        """Return the slowdown of ``service`` by one task of ``kind`` at full speed."""
        key = (service, band, kind)
        if key not in self._cache:
            found = self._find_estimate(service, band, kind)
            self._cache[key] = found or self._build_prior(service, band, kind)
        return self._cache[key]

    def sum_slowdowns(
        self, service: str, band: int, shares: Sequence[tuple[str, float]]
    ) -> Estimate:
        """Return the slowdown by several tasks, given as pairs of kind and share.

        Errors of different kinds are treated as independent.
        """
        totals: defaultdict[str, float] = defaultdict(float)
        for kind, share in shares:
            totals[kind] += share
        mean = variance = 0.0
        for kind, total in totals.items():
            estimate = self.estimate(service, band, kind)
            mean += total * max(0.0, estimate.mean)
            variance += (total * estimate.deviation) ** 2
        return Estimate(mean, variance**0.5)

    def measure_slowdown(self, report: UsageReport) -> float:
        """Return the excess of a reported latency over the baseline, as a fraction."""
        model = self._models.get((report.service, find_band(report.load)))
        scale = self._scales.get(report.service)
        if model is None or scale is None:
            return 0.0
        return report.latency / scale / max(model.means[0], 0.1) - 1.0

    def _find_estimate(self, service: str, band: int, kind: str) -> Estimate | None:
        model = self._models.get((service, band))
        if model is None or kind not in model.index:
            return None
        i = model.index[kind]
        baseline = max(model.means[0], 0.1)
        deviation = max(model.covariance[i][i], 0.0) ** 0.5
        return Estimate(model.means[i] / baseline, deviation / baseline)

    def _build_prior(self, service: str, band: int, kind: str) -> Estimate:
        """Derive the prior from the nearest bands above and below with an estimate.

        The estimate with the smaller deviation is used.
        """
        above = (
            self._find_estimate(service, other_band, kind)
            for other_band in range(band + 1, len(BAND_EDGES) + 1)
        )
        upper = next((found for found in above if found), None)
        below = (
            self._find_estimate(service, other_band, kind)
            for other_band in range(band - 1, -1, -1)
        )
        lower = next((found for found in below if found), None)
        known = [found for found in (upper, lower) if found]
        if not known:
            return Estimate(PRIOR_MEAN, PRIOR_DEVIATION)
        best = min(known, key=lambda found: found.deviation)
        # Interference grows with load: a kind that is harmless at a higher load is
        # harmless at a lower one. The effect of a harmful kind in another band is less
        # certain, so its mean widens the deviation.
        spread = OTHER_BAND_DEVIATION + 0.5 * abs(best.mean)
        return Estimate(best.mean, min(PRIOR_DEVIATION, best.deviation + spread))
