"""Pressures between images, merged from all hosts, kept and exchanged."""

from collections import defaultdict
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.regression import Estimate
from egretcrank.policy.sharing import PRIOR_PRESSURE
from egretcrank.wire.hosting import Pressure

# Lower limit of the deviation taken from one host, as its samples are not independent.
MIN_DEVIATION = 0.01
# A pressure is sent again when its mean changed by more than half of the smallest
# deviation or its deviation fell below this ratio of the one sent. All are resent after
# the interval, which covers several reports.
MIN_SENT_MEAN_CHANGE = MIN_DEVIATION / 2
SENT_DEVIATION_RATIO = 0.8
REFRESH_INTERVAL = timedelta(seconds=10)
# Lower limit of the deviation of a restored estimate: images may have changed since.
MIN_RESTORED_DEVIATION = 0.015
# Name under which restored estimates are kept beside those of the hosts.
RESTORED = ""
MAX_PRESSURE = 10.0


class _PrecisionSum(NamedTuple):
    """Sums of precisions, and of means weighted by precision."""

    precision: float
    weighted_means: float


PRIOR_SUM = _PrecisionSum(
    PRIOR_PRESSURE.deviation**-2, PRIOR_PRESSURE.mean * PRIOR_PRESSURE.deviation**-2
)


def is_plausible(pressure: Pressure) -> bool:
    """Return whether an estimate read from outside this process can be used."""
    return 0 <= pressure.mean <= MAX_PRESSURE and 0 < pressure.deviation <= MAX_PRESSURE


class PressureTable:
    """Pressure estimates of all hosts, combined by pair of images.

    Hosts report only changed estimates, so the sums are kept between reports and
    updated incrementally.
    """

    def __init__(self) -> None:
        self._by_host: dict[str, dict[tuple[str, str], Pressure]] = {}
        self._sums: dict[tuple[str, str], _PrecisionSum] = {}
        self._best_effort_by_serving: defaultdict[str, set[str]] = defaultdict(set)

    def update(self, host: str, pressures: Iterable[Pressure]) -> None:
        """Replace the estimates of one host that changed since its last report.

        Implausible estimates are ignored.
        """
        known = self._by_host.setdefault(host, {})
        for pressure in filter(is_plausible, pressures):
            pair = (pressure.best_effort, pressure.serving)
            self._add_estimate(pair, known.get(pair), -1)
            self._add_estimate(pair, pressure, 1)
            known[pair] = pressure
            self._best_effort_by_serving[pressure.serving].add(pressure.best_effort)

    def restore(self, pressures: Iterable[Pressure]) -> None:
        """Start from estimates that a former leader stored."""
        self.update(
            RESTORED,
            (
                p._replace(deviation=max(p.deviation, MIN_RESTORED_DEVIATION))
                for p in pressures
            ),
        )

    def remove_host(self, host: str) -> None:
        """Remove the estimates of a host."""
        for pair, pressure in self._by_host.pop(host, {}).items():
            self._add_estimate(pair, pressure, -1)

    def _add_estimate(
        self, pair: tuple[str, str], found: Pressure | None, sign: int
    ) -> None:
        """Add or, with a sign of -1, subtract the estimate of one host.

        The prior is part of every host's estimate and is therefore left out here. An
        estimate that is no better than the prior says nothing.
        """
        if found is None or found.deviation >= PRIOR_PRESSURE.deviation:
            return
        total = self._sums.get(pair, PRIOR_SUM)
        own = max(found.deviation, MIN_DEVIATION) ** -2
        self._sums[pair] = _PrecisionSum(
            total.precision + sign * (own - PRIOR_SUM.precision),
            total.weighted_means + sign * (own * found.mean - PRIOR_SUM.weighted_means),
        )

    def estimate(self, best_effort: str, serving: str) -> Estimate:
        """Return the combined pressure of a pair, counting the shared prior once."""
        total = self._sums.get((best_effort, serving), PRIOR_SUM)
        mean = max(0.0, total.weighted_means / total.precision)
        return Estimate(mean, total.precision**-0.5)

    def list_known(self, limit: int) -> tuple[Pressure, ...]:
        """Return the pressures of the reported pairs, the best known ones first."""
        known = self.list_for(sorted(self._best_effort_by_serving))
        return tuple(sorted(known, key=lambda pressure: pressure.deviation)[:limit])

    def list_for(self, serving: Iterable[str]) -> tuple[Pressure, ...]:
        """Return the pressures of all reported pairs of the given serving images."""
        return tuple(
            Pressure(best_effort, image, *self.estimate(best_effort, image))
            for image in serving
            for best_effort in sorted(self._best_effort_by_serving.get(image, ()))
        )


class ChangedPressures:
    """Selects the pressures to send to a peer.

    With many hosts and images, sending all pressures in each report made up most of the
    traffic between agents and their leader.
    """

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], Pressure] = {}
        self._refreshed_at = timedelta()

    def select(
        self, pressures: Iterable[Pressure], at: timedelta
    ) -> tuple[Pressure, ...]:
        """Return the changed pressures, or all after ``REFRESH_INTERVAL``.

        The periodic refresh makes up for lost messages.
        """
        if at - self._refreshed_at >= REFRESH_INTERVAL:
            self.reset(at)
        changed = tuple(p for p in pressures if self._differs(p))
        self._sent.update(((p.best_effort, p.serving), p) for p in changed)
        return changed

    def reset(self, at: timedelta) -> None:
        """Select all pressures next time, as for a new peer."""
        self._sent.clear()
        self._refreshed_at = at

    def is_any_changed(self, pressures: Iterable[Pressure]) -> bool:
        """Return whether a pressure differs from the one last selected."""
        return any(self._differs(pressure) for pressure in pressures)

    def _differs(self, pressure: Pressure) -> bool:
        sent = self._sent.get((pressure.best_effort, pressure.serving))
        return (
            sent is None
            or abs(pressure.mean - sent.mean) > MIN_SENT_MEAN_CHANGE
            or pressure.deviation < SENT_DEVIATION_RATIO * sent.deviation
        )
