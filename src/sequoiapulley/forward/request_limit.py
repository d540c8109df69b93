"""A node's part of the request rate that an upstream accepts from all nodes together."""

from __future__ import annotations

from typing import Final

MIN_LIMIT_PER_S: Final = 1.0
"""Minimum rate of all nodes together, so that they notice the recovery of an upstream that accepts
next to nothing; the users' contract permits five requests in four seconds beyond any limit."""
BURST_S: Final = 0.5
"""Time for which unused requests are saved up, so that requests need not arrive evenly."""
MAX_WAIT_S: Final = 1.0
"""Longest wait that callers are told: meanwhile other nodes may have room, and limits and roles
change. By its share, a node that is no entry node would have to wait for many minutes."""
ROUNDING_TOLERANCE: Final = 1e-9
"""Subtracted from one request, as shares of a rate are inexact."""


class RequestLimit:
    """Token bucket that is empty when the upstream states its limit."""

    __slots__ = ("_refilled_at", "_share", "_tokens", "per_second")

    def __init__(self, per_second: float, share: float, now: float) -> None:
        """Initialise an empty bucket.

        Args:
            per_second: Requests per second that the upstream accepts from all nodes together.
            share: This node's share of them, above 0 and up to 1.
            now: Clock reading in seconds.
        """
        self.per_second = per_second
        self._share = share
        self._tokens = 0.0
        self._refilled_at = now

    def configure(self, per_second: float, share: float, now: float) -> None:
        """Changes the limit or this node's share; what was saved up is kept."""
        self._refill(now)
        self.per_second = per_second
        self._share = share

    def allows(self, now: float) -> bool:
        """Returns whether a request may be sent now."""
        self._refill(now)
        return self._tokens >= 1.0 - ROUNDING_TOLERANCE

    def record_send(self, now: float) -> None:
        """Counts a request that is sent."""
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1.0)

    def wait(self, now: float) -> float:
        """Returns the time after which a caller may try again, in seconds; 0 if it may now."""
        self._refill(now)
        return min(MAX_WAIT_S, max(0.0, 1.0 - self._tokens) / self._rate)

    @property
    def _rate(self) -> float:
        """Requests per second that this node may send."""
        return self._share * max(MIN_LIMIT_PER_S, self.per_second)

    def _refill(self, now: float) -> None:
        """Adds the requests that have become available since the last call."""
        rate = self._rate
        capacity = max(1.0, BURST_S * rate)
        self._tokens = min(capacity, self._tokens + rate * (now - self._refilled_at))
        self._refilled_at = now
