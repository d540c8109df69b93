"""Membership protocol of the fleet: failure detection, gossip and broadcasts."""

from __future__ import annotations

from collections import OrderedDict
from random import Random
from typing import Final

from msgspec.structs import replace
from xxhash import xxh32_intdigest

from sequoiapulley.fleet._broadcast_queue import BroadcastQueue
from sequoiapulley.fleet._datagram import (
    BadDatagramError,
    Broadcast,
    Datagram,
    DatagramKind,
    decode_datagram,
)
from sequoiapulley.fleet._datagram_builder import DatagramBuilder
from sequoiapulley.fleet._fleet_view import FleetView
from sequoiapulley.fleet._member_table import MemberTable
from sequoiapulley.fleet._prober import Prober
from sequoiapulley.fleet._view_sync import ViewSync
from sequoiapulley.fleet.actions import (
    BroadcastKind,
    BroadcastReceived,
    MemberChanged,
    MembershipAction,
    PeerVersionReceived,
)
from sequoiapulley.fleet.log_events import DATAGRAM_REFUSED, PAUSE_DETECTED
from sequoiapulley.fleet.member import Member, MemberState, NodeAddress
from sequoiapulley.ids import ConfigVersion, NodeId, WorkspaceName
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.platform.vm_list import VmRecord

PROBE_PERIOD_S: Final = 1.0
GOSSIP_PERIOD_S: Final = 0.2
GOSSIP_FANOUT: Final = 3
LEAVE_FANOUT: Final = 6
"""Number of members that a node notifies at once when it shuts down."""
RECONNECT_PERIOD_S: Final = 5.0
JOIN_RETRY_PERIOD_S: Final = 0.5
JOIN_PINGS: Final = 3
JOIN_GRACE_S: Final = 10.0
"""Time after the start in which members learnt from complete views are not gossiped further.

They are new to this node only; the node that sent the view already knows them.
"""
MIN_PAUSE_S: Final = 1.5
"""Time between two ticks above which the process counts as paused."""
HOUSEKEEPING_PERIOD_S: Final = 60.0
MAX_SEEN_BROADCASTS: Final = 4096
MAX_BROADCAST_BYTES: Final = 600


class Membership:
    """Runs the membership protocol of the local node, without I/O.

    The protocol is similar to SWIM. Each node probes one member per period, first directly and
    then through other members. An unresponsive member is suspected, and is declared dead unless it
    refutes the suspicion with a higher incarnation. Dead members are kept and pinged from time to
    time, so that the sides of a network partition find each other after it heals.
    """

    def __init__(
        self,
        local_member: Member,
        log: LogSink,
        seed: int,
        workspace: WorkspaceName = WorkspaceName(""),
    ) -> None:
        """Initialise a membership that contains only the local node.

        Args:
            local_member: Record of the local node.
            log: Receives log events.
            seed: Seed of the random choices.
            workspace: Workspace of the fleet; datagrams of other fleets are ignored.
        """
        self._log = log
        self._random = Random(seed)
        self._workspace_hash = xxh32_intdigest(workspace.encode())
        self._queue = BroadcastQueue()
        self._table = MemberTable(self._random)
        self._view = FleetView(local_member, self._table, self._queue, log)
        builder = DatagramBuilder(self._workspace_hash, self._view, self._queue)
        self._builder = builder
        self._prober = Prober(self._view, builder)
        self._sync = ViewSync(self._view, builder)
        self._seen_broadcasts: OrderedDict[tuple[NodeId, int, int], None] = OrderedDict()
        self._broadcast_count = 0
        self._seeds: tuple[NodeAddress, ...] = ()
        self._last_tick: float | None = None
        self._join_grace_until = 0.0
        self._probe_due = 0.0
        self._gossip_due = 0.0
        self._reconnect_due = 0.0
        self._housekeeping_due = 0.0

    @property
    def local_member(self) -> Member:
        """Record of the local node."""
        return self._view.local_member

    def members(self) -> tuple[Member, ...]:
        """Returns the local node, then all other known members, including the dead."""
        return self._view.members()

    def next_due(self) -> float | None:
        """Returns the time at which `tick` should run next, or None before its first run."""
        if self._last_tick is None:
            return None
        due = min(self._probe_due, self._reconnect_due)
        indirect = self._prober.indirect_due()
        if indirect is not None:
            due = min(due, indirect)
        if self._queue and self._table.present():
            due = min(due, self._gossip_due)
        return due

    def set_config_version(self, version: ConfigVersion, now: float) -> None:
        """Sets the active configuration version, which is sent in every datagram."""
        self._view.local_member = replace(self._view.local_member, config_version=version)

    def broadcast(self, kind: BroadcastKind, body: bytes, now: float) -> None:
        """Broadcasts a short message to all nodes, usually within a second.

        Args:
            kind: Kind of the message.
            body: Content of the message, up to 600 bytes.
            now: Clock reading in seconds.

        Raises:
            ValueError: If the body is too large.
        """
        if len(body) > MAX_BROADCAST_BYTES:
            raise ValueError(f"broadcast body has {len(body)} bytes, limit {MAX_BROADCAST_BYTES}")
        self._broadcast_count += 1
        local_member = self._view.local_member
        self._queue_broadcast(
            Broadcast(
                local_member.node, self._broadcast_count, local_member.incarnation, kind, body
            )
        )
        self._gossip_due = min(self._gossip_due, now)

    def leave(self, now: float) -> list[MembershipAction]:
        """Announces the graceful shutdown of this node."""
        self._view.raise_incarnation(MemberState.LEAVING)
        return self._gossip(now, LEAVE_FANOUT)

    def on_vm_list(self, records: tuple[VmRecord, ...], now: float) -> list[MembershipAction]:
        """Updates the platform's VM list.

        Its addresses are the seeds, which are pinged to find the fleet. The list never removes a
        node that replies to probes. A node that is not listed, or is listed as leaving, has a
        shorter suspicion timeout. One that is not listed is removed earlier once it is dead.

        Args:
            records: The list, which may be outdated, wrong or empty.
            now: Clock reading in seconds.
        """
        self._view.update_vm_list(records)
        if records:
            addresses = (NodeAddress((vm.host, vm.port)) for vm in records)
            self._seeds = tuple(addr for addr in addresses if addr != self.local_member.address)
        if self._table.present():
            return []
        self._reconnect_due = now
        seeds = self._random.sample(self._seeds, min(JOIN_PINGS, len(self._seeds)))
        return [self._prober.ping_address(address) for address in seeds]

    def tick(self, now: float) -> list[MembershipAction]:
        """Runs the tasks that are due: probes, suspicion timeouts, gossip and reconnection.

        Args:
            now: Clock reading in seconds.

        Returns:
            Actions for the caller to perform.
        """
        actions: list[MembershipAction] = []
        self._check_pause(now)
        self._last_tick = now
        self._prober.probe_indirectly(now, actions)
        if now >= self._probe_due:
            self._probe_due = now + PROBE_PERIOD_S
            self._prober.finish(now, actions)
            self._view.expire_suspects(now, actions)
            self._prober.start(now, actions)
        if now >= self._reconnect_due:
            self._reconnect(now, actions)
        if now >= self._gossip_due and self._queue:
            actions.extend(self._gossip(now, GOSSIP_FANOUT))
        if now >= self._housekeeping_due:
            self._housekeeping_due = now + HOUSEKEEPING_PERIOD_S
            self._view.evict_expired(now)
        return actions

    def on_message(
        self, sender_address: NodeAddress, payload: bytes, now: float
    ) -> list[MembershipAction]:
        """Handles an authenticated datagram.

        Args:
            sender_address: Address of the sender.
            payload: Payload of the datagram.
            now: Clock reading in seconds.

        Returns:
            Actions for the caller to perform.
        """
        try:
            datagram = decode_datagram(payload)
        except BadDatagramError as exc:
            self._log.log(DATAGRAM_REFUSED, sender=sender_address[0], error=str(exc))
            return []
        if (
            datagram.workspace_hash != self._workspace_hash
            or datagram.sender == self.local_member.node
        ):
            return []
        actions: list[MembershipAction] = []
        propagate = datagram.kind is not DatagramKind.SYNC_REPLY or now > self._join_grace_until
        for member in datagram.members:
            self._view.apply(member, now, actions, propagate)
        self._sync_with_joined(now, actions)
        for message in datagram.broadcasts:
            self._receive_broadcast(message, actions)
        self._update_sender(sender_address, datagram, now, actions)
        self._dispatch(sender_address, datagram, now, actions)
        return actions

    def _dispatch(
        self, address: NodeAddress, datagram: Datagram, now: float, actions: list[MembershipAction]
    ) -> None:
        kind = datagram.kind
        if kind is DatagramKind.PING:
            self._prober.answer_ping(address, datagram, actions)
        elif kind is DatagramKind.ACK:
            self._prober.on_ack(datagram, now, actions)
            self._sync.compare(address, datagram, now, actions)
        elif kind is DatagramKind.PING_REQUEST:
            self._prober.relay_ping(address, datagram, now, actions)
        elif kind is DatagramKind.ADDRESS_REASSIGNED:
            self._prober.on_address_reassigned(datagram, now, actions)
        elif kind is DatagramKind.SYNC:
            self._sync.answer(address, datagram, now, actions)

    def _update_sender(
        self, address: NodeAddress, datagram: Datagram, now: float, actions: list[MembershipAction]
    ) -> None:
        record = self._table.get(datagram.sender)
        if record is None:
            self._sync.request(address, now, actions)
            return
        version = datagram.config_version
        changed = self._view.update_version(record, version)
        if changed or version > self.local_member.config_version:
            actions.append(PeerVersionReceived(datagram.sender, version))

    def _sync_with_joined(self, now: float, actions: list[MembershipAction]) -> None:
        """Requests the view of a node that joined or rejoined, as it may know further new nodes."""
        for action in list(actions):
            if not isinstance(action, MemberChanged):
                continue
            if action.previous_state in (None, MemberState.DEAD):
                self._sync.request(action.member.address, now, actions)

    def _reconnect(self, now: float, actions: list[MembershipAction]) -> None:
        """Pings one random dead member, or listed address at which no present member is known."""
        alone = not self._table.present()
        self._reconnect_due = now + (JOIN_RETRY_PERIOD_S if alone else RECONNECT_PERIOD_S)
        known = self._table.present_addresses()
        unknown_seeds = [address for address in self._seeds if address not in known]
        dead = self._table.dead()
        if not unknown_seeds and not dead:
            return
        choice = self._random.randrange(len(unknown_seeds) + len(dead))
        if choice < len(unknown_seeds):
            actions.append(self._prober.ping_address(unknown_seeds[choice]))
            return
        record = self._table.get(dead[choice - len(unknown_seeds)])
        if record is not None:
            actions.append(self._prober.ping(record.member))

    def _receive_broadcast(self, message: Broadcast, actions: list[MembershipAction]) -> None:
        if (message.origin, message.incarnation, message.number) in self._seen_broadcasts:
            return
        self._queue_broadcast(message)
        actions.append(BroadcastReceived(message.kind, message.body, message.origin))

    def _queue_broadcast(self, message: Broadcast) -> None:
        self._seen_broadcasts[(message.origin, message.incarnation, message.number)] = None
        if len(self._seen_broadcasts) > MAX_SEEN_BROADCASTS:
            self._seen_broadcasts.popitem(last=False)
        self._queue.add_broadcast(message)

    def _gossip(self, now: float, fanout: int) -> list[MembershipAction]:
        self._gossip_due = now + GOSSIP_PERIOD_S
        actions: list[MembershipAction] = []
        for member in self._table.sample(fanout):
            if not self._queue:
                break
            actions.append(self._builder.build(member.address, DatagramKind.GOSSIP))
        return actions

    def _check_pause(self, now: float) -> None:
        """Discards pending timeouts after a pause of this process or a step of its clock.

        Replies to probes may have been missed during the pause, so the probe in flight makes no
        member suspect. Other nodes may suspect this node by now, so it raises its incarnation.
        """
        if self._last_tick is None:
            self._probe_due = now + self._random.uniform(0.0, PROBE_PERIOD_S)
            self._join_grace_until = now + JOIN_GRACE_S
            return
        gap = now - self._last_tick
        if 0.0 <= gap <= MIN_PAUSE_S:
            return
        self._log.log(PAUSE_DETECTED, seconds=round(gap, 3))
        self._prober.cancel()
        self._sync.reset()
        self._queue.drop_broadcasts()
        self._probe_due = now + self._random.uniform(0.0, PROBE_PERIOD_S)
        self._reconnect_due = now
        self._gossip_due = now
        self._housekeeping_due = now
        self._view.restart_suspicions(gap, now)
        self._view.raise_incarnation(self.local_member.state)
