"""Sends this node's heartbeats to its peers at regular intervals."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sequoiapulley.daemon.heartbeat_port import HeartbeatPort
from sequoiapulley.forward.peer_table import (
    LOCAL_HEARTBEAT_INTERVAL_S,
    REMOTE_HEARTBEAT_INTERVAL_S,
    Heartbeat,
    PeerTable,
)
from sequoiapulley.runtime import TimerQueue

NEWS_DELAY_S: Final = 0.002
"""Time for which news is collected before it is sent, as several requests are often lost at once:
a small part of a round trip between regions."""


class HeartbeatTask:
    """Schedules heartbeats within the failure domain and, less often, to other failure domains."""

    def __init__(
        self,
        port: HeartbeatPort,
        peers: PeerTable,
        timers: TimerQueue,
        make_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        """Initialise the task.

        Args:
            port: Sends the datagrams.
            peers: Determines the recipients.
            timers: Timers of the event loop.
            make_heartbeat: Returns a heartbeat with the current state of this node.
        """
        self._port = port
        self._peers = peers
        self._timers = timers
        self._make_heartbeat = make_heartbeat
        self._news_pending = False

    def start(self) -> None:
        """Sends the first heartbeats and schedules the next ones."""
        self._send_local()
        self._send_remote()

    def send_now(self) -> None:
        """Sends a heartbeat to all recipients at once, after a change of this node's state."""
        peers = [*self._peers.local_heartbeat_targets(), *self._peers.remote_heartbeat_targets()]
        self._port.send(self._make_heartbeat(), peers)

    def send_remote_now(self) -> None:
        """Sends a heartbeat to other failure domains at once, for a newer configuration."""
        self._port.send(self._make_heartbeat(), self._peers.remote_heartbeat_targets())

    def send_soon(self) -> None:
        """Sends a heartbeat to all recipients within milliseconds, for news of requests."""
        if self._news_pending:
            return
        self._news_pending = True
        self._timers.call_later(NEWS_DELAY_S, self._send_news)

    def _send_news(self) -> None:
        """Sends the heartbeat with the news that was collected."""
        self._news_pending = False
        self.send_now()

    def _send_local(self) -> None:
        """Sends a heartbeat within the failure domain and schedules the next one."""
        # The next one is scheduled first, so that an unexpected error does not end the series.
        self._timers.call_later(LOCAL_HEARTBEAT_INTERVAL_S, self._send_local)
        self._port.send(self._make_heartbeat(), self._peers.local_heartbeat_targets())

    def _send_remote(self) -> None:
        """Sends a heartbeat to other failure domains and schedules the next one."""
        self._timers.call_later(REMOTE_HEARTBEAT_INTERVAL_S, self._send_remote)
        self.send_remote_now()
