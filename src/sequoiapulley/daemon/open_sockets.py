"""Counts the open sockets of a process, also those of libraries."""

from __future__ import annotations

from os import listdir
from typing import Final

from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.connection_budget import ConnectionBudget
from sequoiapulley.wire.reactor import Reactor

DESCRIPTOR_FOLDER: Final = "/proc/self/fd"
COUNT_INTERVAL_S: Final = 0.25


class OpenSockets:
    """Counts sockets that are not accepted connections at intervals, and the others at any time."""

    def __init__(self, reactor: Reactor, timers: TimerQueue) -> None:
        """Initialise the count.

        Args:
            reactor: Owns the sockets that are counted where the system lists no descriptors.
            timers: Timers of the event loop.
        """
        self._reactor = reactor
        self._timers = timers
        self._budget: ConnectionBudget | None = None
        self._others = 0

    def start(self, budget: ConnectionBudget) -> None:
        """Starts to count beside the accepted connections of a budget."""
        self._budget = budget
        self._count()

    def total(self) -> int:
        """Returns the number of open sockets."""
        accepted = len(self._budget.connections) if self._budget is not None else 0
        return self._others + accepted

    def _count(self) -> None:
        """Counts the descriptors that are not accepted connections, and applies the limits."""
        self._timers.call_later(COUNT_INTERVAL_S, self._count)
        assert self._budget is not None
        try:
            self._others = len(listdir(DESCRIPTOR_FOLDER)) - len(self._budget.connections)
        except OSError:
            # The system has no such folder, or no descriptor is free to read it.
            self._others = max(self._others, self._reactor.sockets)
        self._budget.enforce()
