"""What to expect of the next exchange with one upstream."""

from __future__ import annotations

from typing import Final

WEIGHT: Final = 0.125
"""Weight of a new sample in the mean and the deviation."""
HALF_LIFE_S: Final = 2.0
"""An estimate loses half of its excess in this time without samples."""
FRESH_S: Final = 0.1
"""History younger than this has not decayed."""
FORGOTTEN_RATIO: Final = 0.8
"""Share of the typical latency that an old estimate falls to, so that the upstream is tried."""


class LatencyEstimate:
    """Smoothed mean and mean deviation; what was slow long ago is forgotten."""

    __slots__ = ("_deviation", "_mean", "_updated_at")

    def __init__(self) -> None:
        """Initialise an estimate without samples."""
        self._mean: float | None = None
        self._deviation = 0.0
        self._updated_at = 0.0

    def record(self, latency: float, now: float) -> float:
        """Adds one sample in seconds; returns the latency now expected."""
        mean = self._mean
        age = now - self._updated_at
        self._updated_at = now
        if mean is None:
            self._mean = latency
            self._deviation = latency / 2
            return latency * 1.5
        # The older the history, the more a new sample weighs.
        weight = WEIGHT
        if age > FRESH_S:
            weight = 1 - (1 - WEIGHT) * 0.5 ** (age / HALF_LIFE_S)
        error = latency - mean
        mean += weight * error
        deviation = self._deviation
        deviation += weight * (abs(error) * (1 - weight) - deviation)
        self._mean = mean
        self._deviation = deviation
        return mean + deviation

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
        if age < FRESH_S:
            return estimate
        floor = FORGOTTEN_RATIO * typical
        if estimate <= floor:
            return estimate
        return float(floor + (estimate - floor) * 0.5 ** (age / HALF_LIFE_S))
