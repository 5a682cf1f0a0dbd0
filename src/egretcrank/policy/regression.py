"""Linear model of a measured value, followed by a Kalman filter.

Coefficients are random walks, and their joint covariance keeps a harmless kind from
being blamed for what its neighbour did.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

# Deviation of the prior of an unknown coefficient, relative to the baseline.
PRIOR_DEVIATION = 0.6

# A known coefficient drifts by this deviation in one hour.
DRIFT_PER_HOUR = 0.03

BASELINE = ""


class Estimate(NamedTuple):
    """Slowdown by one task as a share of the baseline, with its uncertainty."""

    mean: float
    deviation: float


class LinearFilter:
    """Kalman filter of a baseline and of one coefficient for each kind."""

    def __init__(self, baseline: Estimate) -> None:
        self.index = {BASELINE: 0}
        self.means = [baseline.mean]
        self.covariance = [[baseline.deviation**2]]
        self.updated = timedelta()

    def add(self, kind: str, prior: Estimate) -> None:
        """Add a coefficient with its prior."""
        size = len(self.means)
        self.index[kind] = size
        self.means.append(prior.mean)
        for row in self.covariance:
            row.append(0.0)
        self.covariance.append([0.0] * size + [prior.deviation**2])

    def forget(self, time: timedelta) -> None:
        """Widen the uncertainty by the drift since the last measurement."""
        hours = max(0.0, (time - self.updated).total_seconds() / 3600)
        self.updated = max(time, self.updated)
        for i, row in enumerate(self.covariance):
            if row[i] < PRIOR_DEVIATION**2:
                row[i] += DRIFT_PER_HOUR**2 * hours

    def predict(self, doses: Mapping[str, float]) -> float:
        """Return the value to expect beside ``doses``, all of known kinds."""
        return self.means[0] + sum(
            self.means[self.index[kind]] * dose for kind, dose in doses.items()
        )

    def update(self, doses: Mapping[str, float], value: float, noise: float) -> None:
        """Fold one measured value, whose error has the variance ``noise``."""
        active = [(0, 1.0), *((self.index[kind], dose) for kind, dose in doses.items())]
        cross = [sum(row[i] * dose for i, dose in active) for row in self.covariance]
        total = sum(cross[i] * dose for i, dose in active) + noise
        error = value - self.predict(doses)
        gains = [value / total for value in cross]
        for i, gain in enumerate(gains):
            self.means[i] += gain * error
            row = self.covariance[i]
            for j, value in enumerate(cross):
                row[j] -= gain * value
