"""Logs and counts the connections that a process ends for their memory or descriptors."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Final

from sequoiapulley.daemon.log_events import ACCEPT_FAILED, CONNECTION_ENDED
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import Clock
from sequoiapulley.wire.connection_budget import BudgetedConnection, EndReason

MAX_LINES_PER_SECOND: Final = 5
"""Maximum number of lines of one reason per second; the next one states how many were left out."""


class ConnectionLog:
    """Implements `BudgetObserver`."""

    def __init__(
        self, log: LogSink, clock: Clock, on_end: Callable[[str], None] = lambda _reason: None
    ) -> None:
        """Initialise the log.

        Args:
            log: Receives an event for each connection, up to a rate.
            clock: Clock of the process.
            on_end: Receives the reason of each connection that is ended.
        """
        self.ended: Counter[str] = Counter()
        """Number of connections that were ended, by reason."""
        self._log = log
        self._clock = clock
        self._on_end = on_end
        self._second = 0
        self._lines: Counter[str] = Counter()
        """Lines in the current second, by reason."""
        self._left_out: Counter[str] = Counter()
        """Lines left out since the last one, by reason."""

    def connection_ended(self, conn: BudgetedConnection, reason: EndReason, total: int) -> None:
        """Logs and counts a connection that is about to be ended."""
        name = reason.value
        self.ended[name] += 1
        self._on_end(name)
        second = int(self._clock.now())
        if second != self._second:
            self._second = second
            self._lines.clear()
        if self._lines[name] >= MAX_LINES_PER_SECOND:
            self._left_out[name] += 1
            return
        self._lines[name] += 1
        self._log.log(
            CONNECTION_ENDED,
            reason=name,
            port=conn.port,
            caller=conn.caller,
            bytes=conn.memory,
            total=total,
            left_out=self._left_out.pop(name, 0),
        )

    def accept_failed(self, port: int, exc: OSError) -> None:
        """Logs a failure to accept a connection."""
        self._log.log(ACCEPT_FAILED, port=port, error=str(exc))
