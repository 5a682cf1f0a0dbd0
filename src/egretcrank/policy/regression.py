"""Linear model of a measured value, estimated by a Kalman filter.

Coefficients are random walks. Their joint covariance keeps the effect of one kind from
being attributed to a harmless kind that ran beside it.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

# Standard deviation of the prior of a coefficient, relative to the baseline.
PRIOR_DEVIATION = 0.6

# Standard deviation of the random walk of a coefficient over one hour.
DRIFT_PER_HOUR = 0.03

# Name of the constant term.
BASELINE = ""


class Estimate(NamedTuple):
    """Mean and standard deviation of an estimated quantity."""

    mean: float
    deviation: float


class LinearFilter:
    """Kalman filter for a baseline and one coefficient per kind."""

    def __init__(self, baseline: Estimate) -> None:
        self.index = {BASELINE: 0}
        self.means = [baseline.mean]
        self.covariance = [[baseline.deviation**2]]
        self.updated_at = timedelta()

    def add(self, kind: str, prior: Estimate) -> None:
        """Add the coefficient of ``kind``, uncorrelated with the others."""
        size = len(self.means)
        self.index[kind] = size
        self.means.append(prior.mean)
        for row in self.covariance:
            row.append(0.0)
        self.covariance.append([0.0] * size + [prior.deviation**2])

    def remove(self, kind: str) -> None:
        """Remove the coefficient of ``kind``; what was learned of others stays."""
        i = self.index.pop(kind)
        del self.means[i]
        del self.covariance[i]
        for row in self.covariance:
            del row[i]
        self.index = {k: n - (n > i) for k, n in self.index.items()}

    def widen(self, kind: str, variance: float) -> None:
        """Add the variance of an independent change of the coefficient of ``kind``."""
        i = self.index[kind]
        self.covariance[i][i] += variance

    def shift(self, kind: str, source: str, factor: float) -> None:
        """Add ``factor`` times the coefficient of ``source`` to that of ``kind``."""
        i, j = self.index[kind], self.index[source]
        self.means[i] += factor * self.means[j]
        added = [factor * value for value in self.covariance[j]]
        self.covariance[i] = [
            a + b for a, b in zip(self.covariance[i], added, strict=True)
        ]
        for row in self.covariance:
            row[i] += factor * row[j]

    def add_drift(self, time: timedelta) -> None:
        """Widen the uncertainty by the drift since the last call.

        Variances at or above that of ``PRIOR_DEVIATION`` stay as they are.
        """
        hours = max(0.0, (time - self.updated_at).total_seconds() / 3600)
        self.updated_at = max(time, self.updated_at)
        for i, row in enumerate(self.covariance):
            if row[i] < PRIOR_DEVIATION**2:
                row[i] += DRIFT_PER_HOUR**2 * hours

    def predict(self, inputs: Mapping[str, float]) -> float:
        """Return the expected value; all kinds in ``inputs`` must have been added."""
        return self.means[0] + sum(
            self.means[self.index[kind]] * amount for kind, amount in inputs.items()
        )

    def update(self, inputs: Mapping[str, float], value: float, noise: float) -> None:
        """Update the coefficients with a measured value.

        ``noise`` is the variance of its measurement error.
        """
        active = [
            (0, 1.0),
            *((self.index[kind], amount) for kind, amount in inputs.items()),
        ]
        cross = [
            sum(row[i] * amount for i, amount in active) for row in self.covariance
        ]
        innovation_variance = sum(cross[i] * amount for i, amount in active) + noise
        error = value - self.predict(inputs)
        gains = [value / innovation_variance for value in cross]
        for i, gain in enumerate(gains):
            self.means[i] += gain * error
            row = self.covariance[i]
            for j, value in enumerate(cross):
                row[j] -= gain * value
