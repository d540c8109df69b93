"""Exchanges on their way, and the queue of those without a connection."""

from __future__ import annotations

from collections import deque

from sequoiapulley.upstream.messages import SendExchange
from sequoiapulley.wire.http_connection import HttpConnection


class Flight:
    """One exchange on its way."""

    __slots__ = ("conn", "order", "ordered_at", "suspect")

    def __init__(self, order: SendExchange) -> None:
        """Initialise an exchange that waits for a connection."""
        self.order = order
        self.ordered_at = 0.0
        """Clock reading of the order, when the exchange wants a fresh connection."""
        self.conn: HttpConnection | None = None
        self.suspect: HttpConnection | None = None
        """The connection that may be silent, when the exchange wants a fresh one."""


class FlightQueue:
    """Exchanges that wait for a connection, in order of arrival."""

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self.usual: deque[Flight] = deque()
        """Exchanges that any connection serves."""
        self.fresh: deque[Flight] = deque()
        """Exchanges that want a connection known to work."""

    def __len__(self) -> int:
        """Returns the number of exchanges that wait."""
        return len(self.usual) + len(self.fresh)

    def take(self) -> Flight | None:
        """Takes the next exchange for a connection known to work, or None."""
        if self.fresh:
            return self.fresh.popleft()
        return self.usual.popleft() if self.usual else None

    def remove(self, flight: Flight) -> None:
        """Drops an exchange, if it waits."""
        for queue in (self.usual, self.fresh):
            if flight in queue:
                queue.remove(flight)

    def take_expired(self, now: float) -> list[Flight]:
        """Takes the exchanges whose deadline has passed."""
        expired = [
            flight
            for queue in (self.usual, self.fresh)
            for flight in queue
            if flight.order.deadline <= now
        ]
        for flight in expired:
            self.remove(flight)
        return expired
