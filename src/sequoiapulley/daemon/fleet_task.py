"""Publishes membership changes to the node's components and polls the platform's VM list."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from circuits import BaseComponent, handler
from msgspec import msgpack
from result import Err
from xxhash import xxh64_intdigest

from sequoiapulley.daemon.log_events import VM_LIST_UNREADABLE, VM_RECORDS_UNREADABLE
from sequoiapulley.daemon.node_events import (
    MembersChanged,
    MemberStarted,
    NodeLost,
    StrikeReceived,
)
from sequoiapulley.decoding import DecodingError, decode_msgpack
from sequoiapulley.fleet.actions import BroadcastKind
from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.fleet.udp_component import CHANNEL as MEMBERSHIP_CHANNEL
from sequoiapulley.fleet.udp_component import MembershipComponent
from sequoiapulley.ids import ConfigVersion, Incarnation, NodeId
from sequoiapulley.observe import LogSink
from sequoiapulley.platform.vm_list import VmList, VmListReply
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.upstream.messages import NewStrike

TELL_DELAY_S: Final = 1.0
"""Time after which a node that has started is told, so that it receives what the fleet gossips."""
VM_LIST_PERIOD_S: Final = 30.0
TELLERS: Final = 2
"""Number of nodes that tell a node that starts what the fleet refuses, in case one is lost."""
VM_LIST_FIRST_PERIOD_S: Final = 1.0
"""Poll period while this node has found no other member."""


class FleetTask(BaseComponent):
    """Polls the VM list, and passes broadcasts and member changes between components."""

    channel = "node"

    def __init__(
        self,
        membership: MembershipComponent,
        vm_list: VmList,
        timers: TimerQueue,
        log: LogSink,
        on_peer_version: Callable[[NodeId, ConfigVersion], None],
        seed: int,
    ) -> None:
        """Initialise the task.

        Args:
            membership: Socket and state machine of the membership.
            vm_list: Client of the platform's VM list.
            timers: Timers of the process.
            log: Receives log events.
            on_peer_version: Receives the configuration version that is active on a peer.
            seed: Seed of the jitter.
        """
        super().__init__()
        self._membership = membership
        self._vm_list = vm_list
        self._timers = timers
        self._log = log
        self._on_peer_version = on_peer_version
        self._random = Random(seed)
        self._vm_list_readable = True
        self._unreadable: tuple[str, ...] = ()
        """What is wrong with records of the latest list."""
        self._change_pending = False
        self._incarnations: dict[NodeId, Incarnation] = {}
        """Incarnation of each member that this node has seen alive."""

    def start(self) -> None:
        """Fetches the VM list and publishes the current members."""
        self._fetch_vm_list()
        self._publish_members()

    def members(self) -> tuple[Member, ...]:
        """Returns the current members, this node first."""
        return self._membership.members()

    def set_config_version(self, version: ConfigVersion) -> None:
        """Announces the configuration version that is active on this node to the fleet."""
        self._membership.set_config_version(version)

    def leave(self) -> None:
        """Announces to the fleet that this node is leaving."""
        self._membership.leave()
        self._publish_members()

    @handler("member_changed", channel=MEMBERSHIP_CHANNEL)
    def _on_member_changed(self, member: Member, previous_state: MemberState | None) -> None:
        """Reports a node that died at once; schedules one event for all pending member changes.

        A node without a previous state was dead when this node first heard of it; it is no loss.
        """
        if member.state is MemberState.DEAD and previous_state is not None:
            self.fire(NodeLost(member.node), "node")
        if member.state is MemberState.ALIVE:
            started = member.incarnation > self._incarnations.get(member.node, Incarnation(-1))
            self._incarnations[member.node] = member.incarnation
            if started and self._is_teller(member.node):
                self._timers.call_later(TELL_DELAY_S, lambda: self.fire(MemberStarted(), "node"))
        if not self._change_pending:
            self._change_pending = True
            self._timers.call_later(0.0, self._publish_members)

    @handler("broadcast_received", channel=MEMBERSHIP_CHANNEL)
    def _on_broadcast_received(self, kind: BroadcastKind, body: bytes, _: NodeId) -> None:
        """Publishes a strike that another node reported; one that does not decode is ignored."""
        if kind is not BroadcastKind.QUARANTINE_STRIKE:
            return
        try:
            strike = decode_msgpack(body, NewStrike)
        except DecodingError:
            return
        self.fire(StrikeReceived(strike), "node")

    @handler("peer_version_received", channel=MEMBERSHIP_CHANNEL)
    def _on_peer_version_received(self, node: NodeId, version: ConfigVersion) -> None:
        """Passes on the configuration version that is active on a peer."""
        self._on_peer_version(node, version)

    @handler("StrikeObserved")
    def _on_strike_observed(self, strike: NewStrike) -> None:
        """Broadcasts a strike that this node observed."""
        self._membership.broadcast(BroadcastKind.QUARANTINE_STRIKE, msgpack.encode(strike))

    def _is_teller(self, started: NodeId) -> bool:
        """Returns whether this node is one of those that tell a node what the fleet refuses."""
        alive = [
            member.node
            for member in self._membership.members()
            if member.state is MemberState.ALIVE and member.node != started
        ]
        nearest = sorted(alive, key=lambda node: xxh64_intdigest(f"{started} {node}".encode()))
        return self._membership.members()[0].node in nearest[:TELLERS]

    def _publish_members(self) -> None:
        """Publishes the current members."""
        self._change_pending = False
        self.fire(MembersChanged(self._membership.members()), "node")

    def _fetch_vm_list(self) -> None:
        """Fetches the VM list and schedules the next fetch."""
        # The next fetch is scheduled first, so that an unexpected error does not end the series.
        has_no_peers = len(self._membership.members()) == 1
        period = VM_LIST_FIRST_PERIOD_S if has_no_peers else VM_LIST_PERIOD_S
        self._timers.call_later(period * self._random.uniform(0.8, 1.2), self._fetch_vm_list)
        self._vm_list.fetch(self._on_vm_list)

    def _on_vm_list(self, reply: VmListReply) -> None:
        """Passes the list to the membership; logs the first of equal failures in a row."""
        if isinstance(reply, Err):
            if self._vm_list_readable:
                self._log.log(VM_LIST_UNREADABLE, error=reply.err_value)
            self._vm_list_readable = False
            return
        self._vm_list_readable = True
        listing = reply.ok_value
        if listing.unreadable and listing.unreadable != self._unreadable:
            self._log.log(
                VM_RECORDS_UNREADABLE,
                unreadable=len(listing.unreadable),
                listed=len(listing.vms),
                error=listing.unreadable[0],
            )
        self._unreadable = listing.unreadable
        self._membership.update_vm_list(listing.vms)
