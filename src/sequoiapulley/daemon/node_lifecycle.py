"""The lifecycle of a forwarding node, and the conditions under which its shutdown proceeds."""

from __future__ import annotations

from math import inf
from typing import Final

from sequoiapulley.forward.peer_table import NodeState

MAX_DRAIN_FRACTION: Final = 0.85
"""Fraction of the grace period after which a node that shuts down stops accepting callers even if
connections are open."""
ANSWER_FRACTION: Final = 0.9
"""Fraction of the grace period after which a node answers all open requests itself."""
STOP_FRACTION: Final = 0.97
"""Fraction of the grace period after which a node stops, whatever is open."""
MIN_DRAIN_S: Final = 3.0
"""Minimum time for which a node that shuts down accepts callers that have cached its address."""


class NodeLifecycle:
    """State machine of one process: starting, ready, leaving."""

    def __init__(self) -> None:
        self.state = NodeState.STARTING
        self._shutdown_started_at = 0.0
        self._shortest_grace = inf

    def mark_ready(self) -> bool:
        """Changes the state from starting to ready; returns whether the state has changed."""
        if self.state is not NodeState.STARTING:
            return False
        self.state = NodeState.READY
        return True

    def begin_shutdown(self, now: float) -> bool:
        """Starts the shutdown; returns whether the state has changed.

        Args:
            now: Clock reading in seconds.
        """
        if self.state is NodeState.LEAVING:
            return False
        self.state = NodeState.LEAVING
        self._shutdown_started_at = now
        return True

    def shortest_grace(self, grace: float) -> float:
        """Returns the shortest grace period in force since the signal to stop.

        The users' pages do not say whether a change during the shutdown counts; a node that keeps
        to the shortest one has answered its callers in either case.

        Args:
            grace: Seconds between the signal to stop and the forced termination, as set now.
        """
        if self.state is not NodeState.LEAVING:
            return grace
        self._shortest_grace = min(self._shortest_grace, grace)
        return self._shortest_grace

    def answer_end(self, grace: float) -> float:
        """Returns the clock reading at which a node that shuts down answers all open requests.

        Args:
            grace: Seconds between the signal to stop and the forced termination.
        """
        return self._shutdown_started_at + ANSWER_FRACTION * grace

    def stop_end(self, grace: float) -> float:
        """Returns the clock reading at which a node that shuts down stops, whatever is open.

        Args:
            grace: Seconds between the signal to stop and the forced termination.
        """
        return self._shutdown_started_at + STOP_FRACTION * grace

    def may_stop_accepting(self, now: float, grace: float, connections: int) -> bool:
        """Returns whether the node is shutting down and may stop accepting callers.

        Args:
            now: Clock reading in seconds.
            grace: Seconds between the signal to stop and the forced termination.
            connections: Number of callers' open connections.
        """
        if self.state is not NodeState.LEAVING:
            return False
        age = now - self._shutdown_started_at
        max_drain_s = MAX_DRAIN_FRACTION * grace
        if age >= max_drain_s:
            return True
        return age >= min(MIN_DRAIN_S, max_drain_s) and not connections
