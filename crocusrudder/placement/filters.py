"""Bayesian linear regression with drifting coefficients: a Kalman filter with a sparse row."""

import math
from collections.abc import Mapping

INTERCEPT = ""
"""Name of the coefficient that every observation contains with weight 1."""

OUTLIER_DEVIATIONS = 4.0
"""Innovations beyond this many standard deviations get less weight, as in Huber's estimator."""


class ShrinkageFilter:
    """Estimate the coefficients of a linear model from noisy observations.

    Each coefficient has a Gaussian prior, which shrinks it towards the prior mean while there are
    few observations. Coefficients drift as random walks, so that old observations lose weight
    (Kalman, 1960).
    """

    def __init__(self, noise_deviation: float) -> None:
        self._noise_variance = noise_deviation**2
        self._index: dict[str, int] = {}
        self._means: list[float] = []
        self._covariance: list[list[float]] = []
        self._prior_variances: list[float] = []
        self._drifts: list[float] = []

    def __contains__(self, name: str) -> bool:
        return name in self._index

    def __len__(self) -> int:
        return len(self._index)

    @property
    def names(self) -> list[str]:
        return list(self._index)

    def add(
        self,
        name: str,
        mean: float,
        deviation: float,
        drift: float,
        known_deviation: float | None = None,
    ) -> None:
        """Add a coefficient with its prior; ``drift`` is variance per second.

        ``known_deviation`` is given for an estimate that another filter made: the variance starts
        from it and may drift up to that of the prior, ``deviation``.
        """
        size = len(self._means)
        for row in self._covariance:
            row.append(0.0)
        initial = deviation if known_deviation is None else min(known_deviation, deviation)
        self._covariance.append([0.0] * size + [initial**2])
        self._index[name] = size
        self._means.append(mean)
        self._prior_variances.append(deviation**2)
        self._drifts.append(drift)

    def get(self, name: str) -> tuple[float, float]:
        """Return mean and standard deviation of a coefficient; raises ``KeyError`` if unknown."""
        index = self._index[name]
        return self._means[index], math.sqrt(max(self._covariance[index][index], 0.0))

    def predict(self, row: Mapping[str, float]) -> float:
        """Return the expected value of an observation with this design row."""
        return sum(self._means[self._index[name]] * weight for name, weight in row.items())

    def advance(self, seconds: float) -> None:
        """Increase the variances by the drift over a time, each at most up to its prior."""
        for index, drift in enumerate(self._drifts):
            diagonal = self._covariance[index]
            headroom = max(self._prior_variances[index] - diagonal[index], 0.0)
            diagonal[index] += min(drift * seconds, headroom)

    def observe(self, row: Mapping[str, float], value: float) -> float:
        """Update the coefficients with one observation and return the innovation."""
        entries = [(self._index[name], weight) for name, weight in row.items() if weight]
        gains = [0.0] * len(self._means)
        for index, weight in entries:
            covariances = self._covariance[index]
            gains = [gain + weight * entry for gain, entry in zip(gains, covariances, strict=True)]
        explained = sum(gains[index] * weight for index, weight in entries)
        innovation = value - sum(self._means[index] * weight for index, weight in entries)
        noise = self._noise_variance
        limit = OUTLIER_DEVIATIONS * math.sqrt(explained + noise)
        if abs(innovation) > limit:
            noise *= abs(innovation) / limit
        scale = 1.0 / (explained + noise)
        for index, gain in enumerate(gains):
            if gain == 0.0:
                continue
            self._means[index] += gain * scale * innovation
            factor = gain * scale
            covariances = self._covariance[index]
            self._covariance[index] = [
                entry - factor * other for entry, other in zip(covariances, gains, strict=True)
            ]
        return innovation
