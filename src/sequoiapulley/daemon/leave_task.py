"""Graceful shutdown: announce the departure, continue to serve, drain, stop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from circuits import BaseComponent

from sequoiapulley.daemon.log_events import LEAVE_STARTED, LEAVE_TIMED_OUT, NODE_STOPPED
from sequoiapulley.observe import LogSink
from sequoiapulley.runtime import TimerQueue

POLL_PERIOD_S: Final = 0.1
DRAIN_TIMEOUT_S: Final = 60.0
"""Longest time from the end of the entry lifetime until the process stops."""


class LeaveTask(BaseComponent):
    """Shuts down one node without interrupting requests in flight."""

    channel = "node"

    def __init__(
        self,
        timers: TimerQueue,
        log: LogSink,
        entry_lifetime: float,
        announce: Callable[[], None],
        stop_accepting: Callable[[], None],
        in_flight: Callable[[], int],
        finish: Callable[[], None],
    ) -> None:
        """Initialise the task.

        Args:
            timers: Timers of the process.
            log: Receives log events.
            entry_lifetime: Seconds for which callers cache an entry address.
            announce: Announces to the fleet that this node is leaving.
            stop_accepting: Stops accepting callers' connections.
            in_flight: Returns the number of unfinished requests and open connections.
            finish: Stops the process.
        """
        super().__init__()
        self._timers = timers
        self._log = log
        self._entry_lifetime = entry_lifetime
        self._announce = announce
        self._stop_accepting = stop_accepting
        self._in_flight = in_flight
        self._finish = finish
        self._deadline = 0.0
        self.shutting_down = False

    def start(self) -> None:
        """Starts the shutdown; a second call has no effect."""
        if self.shutting_down:
            return
        self.shutting_down = True
        self._log.log(LEAVE_STARTED, lifetime_s=self._entry_lifetime)
        self._announce()
        self._timers.call_later(self._entry_lifetime, self._drain)

    def _drain(self) -> None:
        """Closes the callers' port, as no caller has the address cached any more."""
        self._stop_accepting()
        self._deadline = self._timers.clock.now() + DRAIN_TIMEOUT_S
        self._poll()

    def _poll(self) -> None:
        """Stops the process once nothing is in flight, or when the drain timeout expires."""
        # The next poll is scheduled first, so that an unexpected error does not end the series.
        next_poll = self._timers.call_later(POLL_PERIOD_S, self._poll)
        left = self._in_flight()
        if left and self._timers.clock.now() < self._deadline:
            return
        next_poll.cancel()
        if left:
            self._log.log(LEAVE_TIMED_OUT, in_flight=left)
        self._log.log(NODE_STOPPED)
        self._finish()
