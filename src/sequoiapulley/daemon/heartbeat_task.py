"""Tells the other nodes again and again that this one lives, and what it knows."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.daemon.heartbeat_port import HeartbeatPort
from sequoiapulley.forward.peer_table import (
    FAR_HEARTBEAT_S,
    NEAR_HEARTBEAT_S,
    Heartbeat,
    PeerTable,
)
from sequoiapulley.runtime import TimerQueue


class HeartbeatTask:
    """Sends heartbeats within the failure domain and, less often, to other failure domains."""

    def __init__(
        self,
        port: HeartbeatPort,
        peers: PeerTable,
        timers: TimerQueue,
        heartbeat: Callable[[], Heartbeat],
    ) -> None:
        """Initialise the task.

        Args:
            port: Sends the datagrams.
            peers: Knows whom to tell.
            timers: Timers of the event loop.
            heartbeat: Returns what this node is and knows.
        """
        self._port = port
        self._peers = peers
        self._timers = timers
        self._heartbeat = heartbeat

    def start(self) -> None:
        """Begins to send."""
        self._send_near()
        self._send_far()

    def send_now(self) -> None:
        """Tells peers of a change of this node at once."""
        peers = [*self._peers.near_targets(), *self._peers.far_targets()]
        self._port.send(self._heartbeat(), peers)

    def _send_near(self) -> None:
        """Sends heartbeats within the failure domain."""
        self._port.send(self._heartbeat(), self._peers.near_targets())
        self._timers.call_later(NEAR_HEARTBEAT_S, self._send_near)

    def _send_far(self) -> None:
        """Sends heartbeats to other failure domains."""
        self._port.send(self._heartbeat(), self._peers.far_targets())
        self._timers.call_later(FAR_HEARTBEAT_S, self._send_far)
