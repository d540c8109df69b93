"""Timer for state machines that have a next due time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sequoiapulley.runtime.timer_queue import TimerHandle, TimerQueue

ERROR_PAUSE_S: Final = 0.05
"""Minimum time from a tick that raised an unexpected error to the next one."""


class WakeUpTimer:
    """Calls the tick function of a state machine when it is due.

    The state machine performs no I/O and sets no timers of its own; it only reports when its next
    work is due.
    """

    def __init__(
        self,
        timers: TimerQueue,
        next_due: Callable[[], float | None],
        tick: Callable[[], None],
    ) -> None:
        """Initialise the timer, not armed.

        Args:
            timers: Timers of the process.
            next_due: Returns the monotonic time at which the next work is due, or None.
            tick: Does the work that is due; the timer is rearmed afterwards.
        """
        self._timers = timers
        self._next_due = next_due
        self._tick = tick
        self._handle: TimerHandle | None = None

    def rearm(self) -> None:
        """Sets the timer after a change of the state machine.

        A pending timer with an earlier due time is kept: if no work is due when it fires, it only
        sets the next timer.
        """
        self._rearm(float("-inf"))

    def _rearm(self, earliest: float) -> None:
        """Sets the timer to the time of the next work, or to a later one."""
        due = self._next_due()
        if due is None:
            return
        due = max(due, earliest)
        if self._handle is not None and self._handle.due <= due:
            return
        self.cancel()
        self._handle = self._timers.call_at(due, self._fire)

    def cancel(self) -> None:
        """Cancels the pending timer, if any."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        """Calls the tick function if work is due, and sets the next timer."""
        self._handle = None
        now = self._timers.clock.now()
        due = self._next_due()
        if due is not None and due <= now:
            try:
                self._tick()
            except Exception:
                # The state machine goes on; the event loop logs the error.
                self._rearm(now + ERROR_PAUSE_S)
                raise
        self.rearm()
