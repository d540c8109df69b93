"""Graceful shutdown: announce, serve on, drain, stop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from circuits import BaseComponent

from sequoiapulley.daemon.log_events import LEAVE_STARTED, LEAVE_TIMED_OUT, NODE_STOPPED
from sequoiapulley.observe import LogSink
from sequoiapulley.runtime import TimerQueue

POLL_PERIOD_S: Final = 0.1
DRAIN_TIMEOUT_S: Final = 60.0
"""Longest time between the end of the entry lifetime and the stop."""


class LeaveTask(BaseComponent):
    """Takes one node out of service without cutting off a request."""

    channel = "node"

    def __init__(
        self,
        timers: TimerQueue,
        log: LogSink,
        entry_lifetime: float,
        announce: Callable[[], None],
        close_entry: Callable[[], None],
        in_flight: Callable[[], int],
        finish: Callable[[], None],
    ) -> None:
        """Initialise the task.

        Args:
            timers: Timers of the process.
            log: Where events go.
            entry_lifetime: Seconds for which callers keep an entry address.
            announce: Tells the fleet that this node leaves.
            close_entry: Stops accepting callers' connections.
            in_flight: Counts requests and connections that are not finished.
            finish: Stops the process.
        """
        super().__init__()
        self._timers = timers
        self._log = log
        self._entry_lifetime = entry_lifetime
        self._announce = announce
        self._close_entry = close_entry
        self._in_flight = in_flight
        self._finish = finish
        self._deadline = 0.0
        self.leaving = False

    def start(self) -> None:
        """Begins to leave; a second call has no effect."""
        if self.leaving:
            return
        self.leaving = True
        self._log.log(LEAVE_STARTED, lifetime_s=self._entry_lifetime)
        self._announce()
        self._timers.call_later(self._entry_lifetime, self._drain)

    def _drain(self) -> None:
        """Closes the callers' port once no caller holds the address any more."""
        self._close_entry()
        self._deadline = self._timers.clock.now() + DRAIN_TIMEOUT_S
        self._poll()

    def _poll(self) -> None:
        """Stops once nothing is in flight, or when the time is over."""
        left = self._in_flight()
        if left and self._timers.clock.now() < self._deadline:
            self._timers.call_later(POLL_PERIOD_S, self._poll)
            return
        if left:
            self._log.log(LEAVE_TIMED_OUT, in_flight=left)
        self._log.log(NODE_STOPPED)
        self._finish()
