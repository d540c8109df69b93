"""The one clock of the process, and the paused clock that tests advance."""

from __future__ import annotations

from time import monotonic, time
from typing import Protocol


class Clock(Protocol):
    """Source of time for every decision and timer."""

    def now(self) -> float:
        """Returns monotonic seconds; only differences have a meaning."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch, for display and records only."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Returns monotonic seconds."""
        return monotonic()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time()


class PausedClock:
    """Clock that stands still until a test advances it."""

    def __init__(self, start: float = 1_000.0, wall: float = 1_700_000_000.0) -> None:
        """Initialise the clock.

        Args:
            start: First monotonic reading, in seconds.
            wall: First wall reading, in seconds since the Unix epoch.
        """
        self._now = start
        self._wall = wall

    def now(self) -> float:
        """Returns the paused monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the paused wall time in seconds."""
        return self._wall

    def advance(self, seconds: float) -> None:
        """Moves both readings forward.

        Args:
            seconds: Duration, zero or more.

        Raises:
            ValueError: If `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot advance the clock by {seconds} s")
        self._now += seconds
        self._wall += seconds
