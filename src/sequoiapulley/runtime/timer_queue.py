"""Priority queue of timers, run by the event loop."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import isnan

from sequoiapulley.runtime.clock import Clock


class TimerHandle:
    """A scheduled call that can be cancelled."""

    __slots__ = ("callback", "cancelled", "due")

    def __init__(self, due: float, callback: Callable[[], None]) -> None:
        """Initialise the handle.

        Args:
            due: Clock reading at which the call is due, in seconds.
            callback: Function without arguments.
        """
        self.due = due
        self.callback: Callable[[], None] | None = callback
        """The function, until it is called or the call is cancelled: callbacks refer to objects
        that keep the handle, and such cycles would be left to the garbage collector."""
        self.cancelled = False

    def cancel(self) -> None:
        """Cancels the call; calling this more than once has no further effect."""
        self.cancelled = True
        self.callback = None


class TimerQueue:
    """The timers of a process, ordered by due time."""

    def __init__(self, clock: Clock, on_error: Callable[[Exception], None] | None = None) -> None:
        """Initialise an empty queue.

        Args:
            clock: Source of time.
            on_error: Receives the unexpected errors of callbacks; with None, `run_due` raises them.
        """
        self.clock = clock
        self._on_error = on_error
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._sequence = count()

    def call_at(self, due: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedules a call at a monotonic time.

        Args:
            due: Clock reading in seconds.
            callback: Function without arguments.

        Returns:
            A handle that cancels the call.

        Raises:
            ValueError: If the time is NaN, which would break the order of the queue.
        """
        if isnan(due):
            raise ValueError("the due time of a timer is not a number")
        handle = TimerHandle(due, callback)
        heappush(self._heap, (due, next(self._sequence), handle))
        return handle

    def call_later(self, delay: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedules a call after a delay in seconds."""
        return self.call_at(self.clock.now() + delay, callback)

    def next_due(self) -> float | None:
        """Returns the due time of the next pending timer, or None if there is none."""
        while self._heap and self._heap[0][2].cancelled:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self) -> int:
        """Runs all timers that are due.

        A timer that a callback schedules for the current time runs in the next call of `run_due`.

        Returns:
            The number of callbacks that were run.
        """
        now = self.clock.now()
        ready: list[TimerHandle] = []
        while self._heap and self._heap[0][0] <= now:
            ready.append(heappop(self._heap)[2])
        ran = 0
        for handle in ready:
            callback, handle.callback = handle.callback, None
            if callback is None:
                continue
            ran += 1
            if self._on_error is None:
                callback()
                continue
            try:
                callback()
            except Exception as exc:
                # The other timers are due as well.
                self._on_error(exc)
        return ran
