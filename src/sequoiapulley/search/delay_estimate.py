"""Smoothed delay with its deviation, computed as in TCP's retransmission timeout (RFC 6298)."""

from __future__ import annotations

from typing import Final

MEAN_GAIN: Final = 0.125
DEVIATION_GAIN: Final = 0.25
DEVIATION_FACTOR: Final = 4.0


class DelayEstimate:
    """Exponentially weighted mean and mean deviation of a delay, in seconds."""

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def add(self, sample: float) -> None:
        """Adds a delay in seconds; a negative one counts as zero."""
        sample = max(0.0, sample)
        if self._mean is None:
            self._mean = sample
            self._deviation = sample / 2
            return
        error = sample - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def upper_bound(self, default: float) -> float:
        """Returns the mean plus `DEVIATION_FACTOR` deviations, or `default` without samples."""
        if self._mean is None:
            return default
        return self._mean + DEVIATION_FACTOR * self._deviation
