"""What to expect of the next exchange with one upstream."""

from __future__ import annotations

from typing import Final

WEIGHT: Final = 0.125
"""Weight of a new sample in the mean and the deviation."""
HALF_LIFE_S: Final = 2.0
"""An estimate above the typical latency loses half of the excess in this time without samples."""


class LatencyEstimate:
    """Smoothed mean and mean deviation; what was slow long ago is forgotten."""

    __slots__ = ("_deviation", "_mean", "_updated_at")

    def __init__(self) -> None:
        """Initialise an estimate without samples."""
        self._mean: float | None = None
        self._deviation = 0.0
        self._updated_at = 0.0

    def record(self, latency: float, now: float) -> None:
        """Adds one sample in seconds."""
        mean = self._mean
        self._updated_at = now
        if mean is None:
            self._mean = latency
            self._deviation = latency / 2
            return
        error = latency - mean
        self._mean = mean + WEIGHT * error
        self._deviation += WEIGHT * (abs(error) - self._deviation)

    def reset(self) -> None:
        """Forgets all samples, as those of a restarted upstream mean nothing."""
        self._mean = None

    def expected(self, typical: float, now: float) -> float:
        """Returns the expected latency, its spread included.

        Args:
            typical: Median latency over all replicas, in seconds.
            now: Clock reading in seconds.

        Returns:
            Seconds; `typical` without samples.
        """
        if self._mean is None:
            return typical
        estimate = self._mean + self._deviation
        age = now - self._updated_at
        if estimate <= typical or age <= 0:
            return estimate
        return float(typical + (estimate - typical) * 0.5 ** (age / HALF_LIFE_S))
