"""Keeps a log event that repeats from flooding the log."""

from __future__ import annotations

from sequoiapulley.observe import LogEvent


class EventLimiter:
    """Lets each kind of event through once an interval."""

    def __init__(self, interval: float) -> None:
        """Initialise the limiter.

        Args:
            interval: Least time between two equal events, in seconds.
        """
        self._interval = interval
        self._next_at: dict[int, float] = {}

    def allows(self, event: LogEvent, now: float) -> bool:
        """Returns whether an event is to be logged now, and counts it if so."""
        if now < self._next_at.get(event.number, now):
            return False
        self._next_at[event.number] = now + self._interval
        return True
