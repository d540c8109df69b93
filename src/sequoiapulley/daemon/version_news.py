"""Spreads a newer configuration version among the store readers of all failure domains."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.daemon.heartbeat_task import HeartbeatTask
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.ids import ConfigVersion


class VersionNews:
    """Tells the other failure domains of a version that the store reader of this one has applied.

    Their store readers then read the store at once. Without it, nodes would apply a version up to
    the interval of reads apart, and a node of an earlier build hands requests over to several of
    them in turn.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        peers: PeerTable,
        heartbeats: HeartbeatTask,
        read_soon: Callable[[], None],
    ) -> None:
        """Initialise before the first configuration.

        Args:
            forwarder: Has the active configuration.
            peers: Tells whether this node is a store reader.
            heartbeats: Sends the news.
            read_soon: Reads the store without waiting for the next scheduled read.
        """
        self._forwarder = forwarder
        self._peers = peers
        self._heartbeats = heartbeats
        self._read_soon = read_soon
        self._spread = ConfigVersion(0)
        """Latest version that was applied and, by a store reader, spread."""
        self._heard = ConfigVersion(0)
        """Latest version for which a read was requested."""

    def spread(self) -> None:
        """Sends a heartbeat to the other failure domains if the active version is a newer one."""
        version = self._forwarder.version
        if version <= self._spread:
            return
        self._spread = version
        if self._is_reader:
            self._heartbeats.send_remote_now()

    def hear(self, version: ConfigVersion) -> None:
        """Reads the store, once for each version that a peer states first."""
        if version <= max(self._forwarder.version, self._heard):
            return
        self._heard = version
        if self._is_reader:
            self._read_soon()

    @property
    def _is_reader(self) -> bool:
        """Whether this node reads the store for its failure domain."""
        return self._peers.store_reader() is self._peers.local_node
