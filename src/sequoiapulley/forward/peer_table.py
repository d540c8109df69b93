"""Tracks the other nodes: which are registered, which are alive, and what each has read."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import Struct

from sequoiapulley.forward.crash_guard import StrikeNews
from sequoiapulley.forward.log_events import PEER_LOST, PEER_SEEN, PEERS_TOO_MANY
from sequoiapulley.forward.roles import choose_store_reader, ranked
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.forward.store_position import NO_ERA, StorePosition
from sequoiapulley.ids import ConfigVersion, Era, FailureDomainName, NodeId, Revision, UpstreamName
from sequoiapulley.observe.log_event import LogSink

LOCAL_HEARTBEAT_INTERVAL_S: Final = 0.4
"""Interval of heartbeats to nodes of the same failure domain."""
REMOTE_HEARTBEAT_INTERVAL_S: Final = 1.2
"""Interval of heartbeats to nodes of other failure domains, over more expensive links."""
MAX_MISSED_HEARTBEATS: Final = 3.5
"""Number of heartbeat intervals after which a peer counts as lost: three, and half of one for
delays."""
MAX_CONTACT_AGE_S: Final = 3.0
"""Age of a peer's last contact with an upstream up to which it counts as in contact: that of its
heartbeat from another failure domain, and the interval of its checks."""
ROLE_CANDIDATES: Final = 5
"""Number of nodes of a failure domain that hold a role (entry node, store reader) or take one over
after a few losses. They send heartbeats to every node of the failure domain; the other nodes send
heartbeats only to them."""
REMOTE_HEARTBEAT_NODES: Final = 3
"""Number of nodes of each failure domain that exchange heartbeats with other failure domains: those
that hold a role."""

MAX_UNREGISTERED_PEERS: Final = 1_024
"""Maximum number of nodes that only heartbeats name, as datagrams of any sender may do: more than
the nodes that start at the same time, before any registration is read."""


class NodeState(Enum):
    """State of a node, as stated in its own heartbeats."""

    STARTING = "starting"
    """The node has no configuration yet."""
    READY = "ready"
    LEAVING = "leaving"


class LeavingUpstream(Struct, frozen=True, array_like=True):
    """An upstream that announced its shutdown."""

    name: UpstreamName
    started_ms: int
    """Start time in Unix milliseconds, which identifies its process; 0 if unknown."""


class Heartbeat(Struct, frozen=True, array_like=True):
    """Message that a node sends to its peers periodically."""

    record: NodeRecord
    state: NodeState
    version: ConfigVersion
    """Active configuration version; 0 for none."""
    revision: Revision
    """Store revision up to which the node has read everything."""
    era: Era = NO_ERA
    """Era of the store to which the revision belongs."""
    leaving: tuple[LeavingUpstream, ...] = ()
    """Upstreams that recently announced their shutdown in a reply to the node."""
    state_age: float = float("inf")
    """Seconds since the store served the node's state; infinite if the node states none."""
    strikes: tuple[StrikeNews, ...] = ()
    """Requests that crash upstreams, or are suspected to."""
    cut_off: bool = False
    """Whether the node is cut off from the upstreams."""
    contact_age: float = float("inf")
    """Seconds since the node's last contact with an upstream; infinite if it states none."""
    compares_versions: bool = False
    """Whether the node serves a request of another node's caller only with the configuration
    version that the request states; nodes of earlier builds serve it with any version."""

    @property
    def position(self) -> StorePosition:
        """Position in the store's history up to which the node has read everything."""
        return StorePosition(self.era, self.revision)


class _Peer:
    """State of one other node."""

    __slots__ = ("last_heartbeat", "last_heartbeat_at", "lost", "record", "registered")

    def __init__(self, record: NodeRecord) -> None:
        """Initialise a peer that has not sent a heartbeat yet."""
        self.record = record
        self.last_heartbeat_at = float("-inf")
        self.last_heartbeat: Heartbeat | None = None
        self.lost = False
        self.registered = False
        """Whether the state of the fleet lists the node, and not only a heartbeat names it."""


class PeerTable:
    """Every other node that is registered or has sent a heartbeat."""

    def __init__(self, local_node: NodeRecord, log: LogSink) -> None:
        """Initialise without peers.

        Args:
            local_node: Record of the local node.
            log: Receives an event for each peer that is lost or seen again.
        """
        self.local_node = local_node
        self._log = log
        self._peers: dict[NodeId, _Peer] = {}
        self._now = 0.0

    def register(self, record: NodeRecord) -> bool:
        """Stores a registered node's record, unless it is known or of an earlier process.

        Returns:
            Whether the record is new.
        """
        if record.name == self.local_node.name:
            return False
        is_new = self._store(record)
        self._peers[record.name].registered = True
        return is_new

    def _store(self, record: NodeRecord) -> bool:
        """Stores a record; returns whether it is new."""
        peer = self._peers.get(record.name)
        if peer is not None and record.incarnation <= peer.record.incarnation:
            return False
        if peer is None:
            self._peers[record.name] = _Peer(record)
        else:
            peer.record = record
        return True

    def unregister(self, name: NodeId) -> None:
        """Removes a node whose registration was removed, unless it still sends heartbeats."""
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.registered = False
        if not self._is_alive(peer):
            del self._peers[name]

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Records a heartbeat.

        Args:
            heartbeat: The heartbeat of a peer.
            now: Clock reading in seconds.
        """
        self._now = now
        record = heartbeat.record
        if record.name == self.local_node.name:
            return
        if record.name not in self._peers and not self._has_room():
            self._log.log(PEERS_TOO_MANY, peer=record.name, peers=len(self._peers))
            return
        self._store(record)
        peer = self._peers[record.name]
        if record.incarnation < peer.record.incarnation:
            return
        if peer.last_heartbeat is None or peer.lost:
            self._log.log(PEER_SEEN, peer=record.name, state=heartbeat.state.value)
        peer.last_heartbeat = heartbeat
        peer.last_heartbeat_at = now
        peer.lost = False

    def _has_room(self) -> bool:
        """Returns whether another unregistered node can be stored; removes those that are lost."""
        unregistered = [name for name, peer in self._peers.items() if not peer.registered]
        if len(unregistered) < MAX_UNREGISTERED_PEERS:
            return True
        for name in unregistered:
            if self._peers[name].lost:
                del self._peers[name]
        return sum(not peer.registered for peer in self._peers.values()) < MAX_UNREGISTERED_PEERS

    def mark_lost_peers(self, now: float) -> None:
        """Marks the peers as lost whose heartbeats have stopped."""
        self._now = now
        for name, peer in self._peers.items():
            if peer.last_heartbeat is not None and not peer.lost and not self._is_alive(peer):
                peer.lost = True
                age = round(now - peer.last_heartbeat_at, 2)
                self._log.log(PEER_LOST, peer=name, silent_s=age)

    def local_heartbeat_targets(self) -> list[NodeRecord]:
        """Returns the peers of the local failure domain that receive heartbeats of this node."""
        local = [
            peer.record
            for peer in self._peers.values()
            if peer.record.failure_domain == self.local_node.failure_domain
        ]
        lost = {peer.record.name for peer in self._peers.values() if peer.lost}
        live = [node for node in local if node.name not in lost]
        candidates = ranked([self.local_node, *live])[:ROLE_CANDIDATES]
        return local if self.local_node in candidates else candidates

    def remote_heartbeat_targets(self) -> list[NodeRecord]:
        """Returns the remote peers that receive heartbeats of this node; none without a role."""
        if self.local_node not in ranked(self.live_local_nodes())[:REMOTE_HEARTBEAT_NODES]:
            return []
        by_failure_domain: dict[FailureDomainName, list[NodeRecord]] = {}
        for peer in self._peers.values():
            if peer.record.failure_domain != self.local_node.failure_domain and not peer.lost:
                by_failure_domain.setdefault(peer.record.failure_domain, []).append(peer.record)
        return [
            record
            for nodes in by_failure_domain.values()
            for record in ranked(nodes)[:REMOTE_HEARTBEAT_NODES]
        ]

    def live_local_nodes(self) -> list[NodeRecord]:
        """Returns the live nodes of the local failure domain that are not shutting down.

        The local node is included.
        """
        members = [self.local_node]
        for peer, last_heartbeat in self._live_peers():
            if (
                peer.record.failure_domain == self.local_node.failure_domain
                and last_heartbeat.state is not NodeState.LEAVING
            ):
                members.append(peer.record)
        return members

    def store_reader(self) -> NodeRecord | None:
        """Returns the node that reads the store for the local failure domain."""
        return choose_store_reader(self.live_local_nodes(), self.local_node.failure_domain)

    def registered(self) -> list[NodeRecord]:
        """Returns the records of all peers."""
        return [peer.record for peer in self._peers.values()]

    def ready(self) -> list[NodeRecord]:
        """Returns the peers that serve callers and are not cut off from the upstreams."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.state is NodeState.READY and not last_heartbeat.cut_off
        ]

    def cut_off(self) -> list[NodeRecord]:
        """Returns the peers that serve callers by way of other nodes, cut off from upstreams."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.state is NodeState.READY and last_heartbeat.cut_off
        ]

    def in_contact(self, now: float) -> list[NodeRecord]:
        """Returns the peers that serve callers and had contact with an upstream recently."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.state is NodeState.READY
            and not last_heartbeat.cut_off
            and last_heartbeat.contact_age + now - peer.last_heartbeat_at <= MAX_CONTACT_AGE_S
        ]

    def with_newer_configuration(self, version: ConfigVersion) -> list[NodeRecord]:
        """Returns the live peers with a configuration newer than a version."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.version > version
        ]

    def latest_version(self) -> ConfigVersion:
        """Returns the latest configuration version that a live peer states; 0 if there is none."""
        versions = [last_heartbeat.version for _, last_heartbeat in self._live_peers()]
        return max(versions, default=ConfigVersion(0))

    def comparing_versions(self) -> list[NodeRecord]:
        """Returns the live peers that compare the versions of requests handed over to them."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.compares_versions
        ]

    def with_later_position(self, position: StorePosition) -> list[NodeRecord]:
        """Returns the live peers that have read the store beyond a position."""
        return [
            peer.record
            for peer, last_heartbeat in self._live_peers()
            if last_heartbeat.position > position
        ]

    def _live_peers(self) -> list[tuple[_Peer, Heartbeat]]:
        """Returns the live peers, each with its last heartbeat."""
        return [
            (peer, peer.last_heartbeat)
            for peer in self._peers.values()
            if peer.last_heartbeat is not None and self._is_alive(peer)
        ]

    def _is_alive(self, peer: _Peer) -> bool:
        """Returns whether the last heartbeat of a peer is recent enough."""
        local = peer.record.failure_domain == self.local_node.failure_domain
        period = LOCAL_HEARTBEAT_INTERVAL_S if local else REMOTE_HEARTBEAT_INTERVAL_S
        return self._now - peer.last_heartbeat_at <= MAX_MISSED_HEARTBEATS * period
