"""Rate limit for recurring log events."""

from __future__ import annotations

from sequoiapulley.observe import LogEvent


class EventLimiter:
    """Allows each kind of event once per interval."""

    def __init__(self, interval_s: float) -> None:
        """Creates a limiter.

        Args:
            interval_s: Minimum time between two events of the same kind.
        """
        self._interval_s = interval_s
        self._next_at: dict[int, float] = {}

    def allows(self, event: LogEvent, now: float) -> bool:
        """Returns whether an event may be logged now; if so, its interval starts again."""
        if now < self._next_at.get(event.number, now):
            return False
        self._next_at[event.number] = now + self._interval_s
        return True
