"""The clock of the process, and a manually advanced clock for tests."""

from __future__ import annotations

from time import monotonic, time
from typing import Protocol


class Clock(Protocol):
    """Source of time for all timers and time-dependent logic."""

    def now(self) -> float:
        """Returns monotonic time in seconds; only differences are meaningful."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch, used only for display and stored timestamps."""


class SystemClock:
    """Clock that reads the time of the operating system."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return monotonic()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time()


class PausedClock:
    """Clock whose time changes only when a test advances it."""

    def __init__(self, start: float = 1_000.0, wall: float = 1_700_000_000.0) -> None:
        """Initialise the clock.

        Args:
            start: Initial monotonic time, in seconds.
            wall: Initial wall-clock time, in seconds since the Unix epoch.
        """
        self._now = start
        self._wall = wall

    def now(self) -> float:
        """Returns the current monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the current wall-clock time in seconds since the Unix epoch."""
        return self._wall

    def advance(self, seconds: float) -> None:
        """Advances the monotonic and the wall-clock time.

        Args:
            seconds: Duration in seconds, not negative.

        Raises:
            ValueError: If `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot advance the clock by {seconds} s")
        self._now += seconds
        self._wall += seconds
