"""Estimate of the latency of the next exchange with one upstream."""

from __future__ import annotations

from typing import Final

SAMPLE_WEIGHT: Final = 0.125
"""Weight of a new sample in the mean and the deviation."""
HALF_LIFE_S: Final = 2.0
"""Half-life of the excess of an estimate over `DECAYED_RATIO` of the median latency, and of the
weight of earlier samples."""
DECAY_DELAY_S: Final = 0.1
"""Age up to which an estimate does not decay."""
DECAYED_RATIO: Final = 0.8
"""Fraction of the median latency towards which an old estimate decays, so that the upstream is
tried again."""


class LatencyEstimate:
    """Exponentially weighted mean and mean deviation, which decay without samples."""

    __slots__ = ("_deviation", "_mean", "_updated_at")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0
        self._updated_at = 0.0

    def record(self, latency: float, now: float) -> float:
        """Adds one sample in seconds; returns the new expected latency."""
        mean = self._mean
        age = now - self._updated_at
        self._updated_at = now
        if mean is None:
            self._mean = latency
            self._deviation = latency / 2
            return latency * 1.5
        # The older the previous sample, the greater the weight of the new one.
        weight = SAMPLE_WEIGHT
        if age > DECAY_DELAY_S:
            weight = 1 - (1 - SAMPLE_WEIGHT) * 0.5 ** (age / HALF_LIFE_S)
        error = latency - mean
        mean += weight * error
        deviation = self._deviation
        deviation += weight * (abs(error) * (1 - weight) - deviation)
        self._mean = mean
        self._deviation = deviation
        return mean + deviation

    def reset(self) -> None:
        """Discards all samples, as those from before a restart are not representative."""
        self._mean = None

    def expected(self, median_latency: float, now: float) -> float:
        """Returns the expected latency: mean plus mean deviation.

        Args:
            median_latency: Median latency over all replicas, in seconds.
            now: Clock reading in seconds.

        Returns:
            Seconds; `median_latency` if there are no samples.
        """
        if self._mean is None:
            return median_latency
        estimate = self._mean + self._deviation
        age = now - self._updated_at
        if age < DECAY_DELAY_S:
            return estimate
        floor = DECAYED_RATIO * median_latency
        if estimate <= floor:
            return estimate
        return float(floor + (estimate - floor) * 0.5 ** (age / HALF_LIFE_S))
