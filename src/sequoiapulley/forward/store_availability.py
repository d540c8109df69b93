"""Tells an outage of the store from a time in which one node did not reach it."""

from __future__ import annotations

from typing import Final

OUTAGE_S: Final = 2.5
"""Time without a reply of the store to any node after which the store itself was unavailable, so
that entries may have expired: leases of upstreams last three of their heartbeats."""


class StoreAvailability:
    """Records when the store is known to have served, by this node's reads and by peers."""

    def __init__(self) -> None:
        """Initialise without a time at which the store served."""
        self._served_at = float("-inf")
        self._outage_ended_at = float("-inf")

    def record(self, at: float) -> None:
        """Records that the store served at a clock reading in seconds, possibly in the past."""
        if not at > self._served_at:
            return
        if OUTAGE_S <= at - self._served_at < float("inf"):
            self._outage_ended_at = at
        self._served_at = at

    def had_outage_since(self, start: float) -> bool:
        """Returns whether an outage has ended after a clock reading.

        A peer may have noticed the end before this node did.
        """
        return self._outage_ended_at > start
