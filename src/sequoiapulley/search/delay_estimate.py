"""A smoothed delay with its deviation, as TCP keeps one for its retransmission timeout."""

from __future__ import annotations

from typing import Final

GAIN: Final = 0.125
DEVIATION_GAIN: Final = 0.25
DEVIATIONS: Final = 4.0


class DelayEstimate:
    """Mean and mean deviation of a delay, in seconds."""

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        """Initialise without samples."""
        self._mean: float | None = None
        self._deviation = 0.0

    def add(self, sample: float) -> None:
        """Takes in one delay in seconds; a negative one counts as zero."""
        sample = max(0.0, sample)
        if self._mean is None:
            self._mean = sample
            self._deviation = sample / 2
            return
        error = sample - self._mean
        self._mean += GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def upper(self, default: float) -> float:
        """Returns a delay that few samples exceed, or `default` without samples."""
        if self._mean is None:
            return default
        return self._mean + DEVIATIONS * self._deviation
