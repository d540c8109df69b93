"""Exchanges without an outcome, and the queue of those without a connection."""

from __future__ import annotations

from collections import deque

from sequoiapulley.upstream.messages import SendExchange
from sequoiapulley.wire.http_connection import HttpConnection


class PendingExchange:
    """One exchange without an outcome, waiting for a connection or in flight."""

    __slots__ = ("conn", "request", "submitted_at", "suspect")

    def __init__(self, request: SendExchange) -> None:
        self.request = request
        self.submitted_at = 0.0
        """Clock reading of the submission; only set if the request has `fresh_connection`."""
        self.conn: HttpConnection | None = None
        self.suspect: HttpConnection | None = None
        """The connection that may be silent; only set if the request has `fresh_connection`."""


class WaitingQueue:
    """Exchanges that wait for a connection, first in, first out."""

    def __init__(self) -> None:
        self.normal: deque[PendingExchange] = deque()
        """Exchanges that may use any connection."""
        self.fresh: deque[PendingExchange] = deque()
        """Exchanges that require a connection known to work, such as a new one."""

    def __len__(self) -> int:
        """Returns the number of queued exchanges."""
        return len(self.normal) + len(self.fresh)

    def pop_next(self) -> PendingExchange | None:
        """Removes and returns the next exchange for a connection known to work, or None."""
        if self.fresh:
            return self.fresh.popleft()
        return self.normal.popleft() if self.normal else None

    def remove(self, flight: PendingExchange) -> None:
        """Removes an exchange if it is queued."""
        for queue in (self.normal, self.fresh):
            if flight in queue:
                queue.remove(flight)

    def pop_expired(self, now: float) -> list[PendingExchange]:
        """Removes and returns the exchanges whose deadline has passed."""
        expired = [
            flight
            for queue in (self.normal, self.fresh)
            for flight in queue
            if flight.request.deadline <= now
        ]
        for flight in expired:
            self.remove(flight)
        return expired
