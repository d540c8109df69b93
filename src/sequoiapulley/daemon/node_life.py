"""The states of a forwarding node, and when a leaving one may end."""

from __future__ import annotations

from typing import Final

from sequoiapulley.forward.peer_table import NodeState

LEAVE_SHARE: Final = 0.85
"""Part of the grace period after which a leaving node closes what is left."""
LEAST_LEAVE_S: Final = 3.0
"""Time for which a leaving node accepts callers that still have its address."""


class NodeLife:
    """From the start to the end of one process."""

    def __init__(self) -> None:
        """Initialise a node that has no configuration yet."""
        self.state = NodeState.STARTING
        self._left_at = 0.0

    def become_ready(self) -> bool:
        """Notes that there is a configuration; returns whether that changed the state."""
        if self.state is not NodeState.STARTING:
            return False
        self.state = NodeState.READY
        return True

    def leave(self, now: float) -> bool:
        """Begins to leave; returns whether that changed the state.

        Args:
            now: Clock reading in seconds.
        """
        if self.state is NodeState.LEAVING:
            return False
        self.state = NodeState.LEAVING
        self._left_at = now
        return True

    def may_close(self, now: float, grace: float, connections: int) -> bool:
        """Returns whether a leaving node may stop accepting callers.

        Args:
            now: Clock reading in seconds.
            grace: Seconds between the signal to stop and the end by force.
            connections: Callers' connections that are open.
        """
        if self.state is not NodeState.LEAVING:
            return False
        age = now - self._left_at
        last = LEAVE_SHARE * grace
        if age >= last:
            return True
        return age >= min(LEAST_LEAVE_S, last) and not connections
