"""Keeps one timer at the next due time of a decision object."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.runtime.timer_queue import TimerHandle, TimerQueue


class WakeUp:
    """Runs a decision object's tick whenever it is due."""

    def __init__(
        self,
        timers: TimerQueue,
        next_due: Callable[[], float | None],
        tick: Callable[[], None],
    ) -> None:
        """Initialise without a timer.

        Args:
            timers: Timers of the process.
            next_due: Tells the clock reading of the next work, or None.
            tick: Does the work that is due; the timer is set again after it.
        """
        self._timers = timers
        self._next_due = next_due
        self._tick = tick
        self._handle: TimerHandle | None = None

    def rearm(self) -> None:
        """Sets the timer after the decision object has changed.

        An earlier timer stays: when it fires too early it only sets the next one.
        """
        due = self._next_due()
        if due is None:
            return
        if self._handle is not None and self._handle.due <= due:
            return
        self.cancel()
        self._handle = self._timers.call_at(due, self._fire)

    def cancel(self) -> None:
        """Removes the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        """Ticks when something is due and sets the next timer."""
        self._handle = None
        due = self._next_due()
        if due is not None and due <= self._timers.clock.now():
            self._tick()
        self.rearm()
