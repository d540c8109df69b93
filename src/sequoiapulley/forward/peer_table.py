"""The other nodes: which are registered, which are alive, and what each has read."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import Struct

from sequoiapulley.forward.log_events import PEER_LOST, PEER_SEEN
from sequoiapulley.forward.roles import ranked
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import ConfigVersion, FailureDomainName, NodeId, Revision
from sequoiapulley.observe.log_event import LogSink

NEAR_HEARTBEAT_S: Final = 0.4
"""Time between two heartbeats to the nodes of the same failure domain."""
FAR_HEARTBEAT_S: Final = 1.2
"""Time between two heartbeats to nodes of other failure domains, whose links are dear."""
MISSED_HEARTBEATS: Final = 3.5
"""Heartbeats without which a peer counts as lost: three and a delay."""
DUTY_NODES: Final = 5
"""Nodes of a failure domain that may serve callers or read the store, now or after a few losses.
They tell every node of the failure domain that they live, and the others tell only them."""
FAR_NODES: Final = 3
"""Nodes of each failure domain that exchange heartbeats with other failure domains: those that have
duties."""


class NodeState(Enum):
    """Life of a node, as it says itself."""

    STARTING = "starting"
    """It has no configuration yet."""
    READY = "ready"
    LEAVING = "leaving"


class Heartbeat(Struct, frozen=True, array_like=True):
    """What a node tells its peers again and again."""

    record: NodeRecord
    state: NodeState
    version: ConfigVersion
    """Configuration version in force; 0 for none."""
    revision: Revision
    """Revision of the store up to which it knows everything."""


class _Peer:
    """One other node."""

    __slots__ = ("last_heartbeat", "last_heartbeat_at", "lost", "record")

    def __init__(self, record: NodeRecord) -> None:
        """Initialise a peer that was not heard yet."""
        self.record = record
        self.last_heartbeat_at = float("-inf")
        self.last_heartbeat: Heartbeat | None = None
        self.lost = False


class PeerTable:
    """Every other node that is registered or heard."""

    def __init__(self, me: NodeRecord, log: LogSink) -> None:
        """Initialise without peers.

        Args:
            me: This node.
            log: Receives peers lost and seen.
        """
        self.me = me
        self._log = log
        self._peers: dict[NodeId, _Peer] = {}
        self._now = 0.0

    def register(self, record: NodeRecord) -> bool:
        """Takes a node's record, unless it is known or of an earlier process.

        Returns:
            Whether it is new.
        """
        if record.name == self.me.name:
            return False
        peer = self._peers.get(record.name)
        if peer is not None and record.incarnation <= peer.record.incarnation:
            return False
        if peer is None:
            self._peers[record.name] = _Peer(record)
        else:
            peer.record = record
        return True

    def unregister(self, name: NodeId) -> None:
        """Forgets a node whose registration is gone, unless it still sends heartbeats."""
        peer = self._peers.get(name)
        if peer is not None and not self._is_alive(peer):
            del self._peers[name]

    def hear(self, heartbeat: Heartbeat, now: float) -> None:
        """Takes a heartbeat.

        Args:
            heartbeat: What the peer says.
            now: Clock reading in seconds.
        """
        self._now = now
        record = heartbeat.record
        if record.name == self.me.name:
            return
        self.register(record)
        peer = self._peers[record.name]
        if record.incarnation < peer.record.incarnation:
            return
        if peer.last_heartbeat is None or peer.lost:
            self._log.log(PEER_SEEN, peer=record.name, state=heartbeat.state.value)
        peer.last_heartbeat = heartbeat
        peer.last_heartbeat_at = now
        peer.lost = False

    def tick(self, now: float) -> None:
        """Notes which peers have fallen silent."""
        self._now = now
        for name, peer in self._peers.items():
            if peer.last_heartbeat is not None and not peer.lost and not self._is_alive(peer):
                peer.lost = True
                age = round(now - peer.last_heartbeat_at, 2)
                self._log.log(PEER_LOST, peer=name, silent_s=age)

    def near_targets(self) -> list[NodeRecord]:
        """Returns the peers of this node's failure domain to tell of this one."""
        near = [
            peer.record
            for peer in self._peers.values()
            if peer.record.failure_domain == self.me.failure_domain
        ]
        lost = {peer.record.name for peer in self._peers.values() if peer.lost}
        living = [node for node in near if node.name not in lost]
        duty = ranked([self.me, *living])[:DUTY_NODES]
        return near if self.me in duty else duty

    def far_targets(self) -> list[NodeRecord]:
        """Returns peers of other failure domains to tell of this node, if that is its duty."""
        if self.me not in ranked(self.live_near())[:FAR_NODES]:
            return []
        by_failure_domain: dict[FailureDomainName, list[NodeRecord]] = {}
        for peer in self._peers.values():
            if peer.record.failure_domain != self.me.failure_domain and not peer.lost:
                by_failure_domain.setdefault(peer.record.failure_domain, []).append(peer.record)
        return [
            record for nodes in by_failure_domain.values() for record in ranked(nodes)[:FAR_NODES]
        ]

    def live_near(self) -> list[NodeRecord]:
        """Returns the nodes of this failure domain that are alive and stay, this one included."""
        near = [self.me]
        for peer, last_heartbeat in self._live_peers():
            if (
                peer.record.failure_domain == self.me.failure_domain
                and last_heartbeat.state is not NodeState.LEAVING
            ):
                near.append(peer.record)
        return near

    def registered(self) -> list[NodeRecord]:
        """Returns the records of all peers."""
        return [peer.record for peer in self._peers.values()]

    def ready(self) -> list[NodeRecord]:
        """Returns the peers that serve callers."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.state is NodeState.READY
        ]

    def with_newer_configuration(self, version: ConfigVersion) -> list[NodeRecord]:
        """Returns the live peers with a configuration above a version."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.version > version
        ]

    def with_later_revision(self, revision: Revision) -> list[NodeRecord]:
        """Returns the live peers that know the store beyond a revision."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.revision > revision
        ]

    def _live_peers(self) -> list[tuple[_Peer, Heartbeat]]:
        """Returns the peers whose heartbeats come, with the last one of each."""
        return [
            (peer, peer.last_heartbeat)
            for peer in self._peers.values()
            if peer.last_heartbeat is not None and self._is_alive(peer)
        ]

    def _is_alive(self, peer: _Peer) -> bool:
        """Returns whether a peer's heartbeats come."""
        near = peer.record.failure_domain == self.me.failure_domain
        period = NEAR_HEARTBEAT_S if near else FAR_HEARTBEAT_S
        return self._now - peer.last_heartbeat_at <= MISSED_HEARTBEATS * period
