"""Failure detection: probes one member per period, directly and then through other members."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from sequoiapulley.fleet._datagram import Datagram, DatagramKind
from sequoiapulley.fleet._datagram_builder import ANY_NODE, DatagramBuilder
from sequoiapulley.fleet._fleet_view import REFUTABLE_STATES, FleetView
from sequoiapulley.fleet._member_table import MemberRecord
from sequoiapulley.fleet.actions import MembershipAction, SendDatagram
from sequoiapulley.fleet.member import Member, MemberState, NodeAddress

PROBE_TIMEOUT_S: Final = 0.3
INDIRECT_PROBES: Final = 3
MAX_RELAYS: Final = 256
RELAY_TIMEOUT_S: Final = 1.0
"""Time after which the reply to a relayed ping is no longer forwarded."""


class _Probe(Struct):
    """The probe in flight."""

    record: MemberRecord
    number: int
    sent_at: float
    """Clock reading of the direct ping, in seconds."""
    indirect: bool = False
    acked: bool = False


class _Relay(Struct, frozen=True):
    """A ping sent on behalf of another node."""

    requester: NodeAddress
    number: int
    """Number of the requester's own ping."""
    expires_at: float
    """Clock reading in seconds."""


class Prober:
    """Pings members, replies to pings and relays pings for other members."""

    def __init__(self, view: FleetView, builder: DatagramBuilder) -> None:
        """Initialise without a probe in flight.

        Args:
            view: Provides the members to probe and records which are suspected.
            builder: Builds the datagrams.
        """
        self._view = view
        self._builder = builder
        self._probe: _Probe | None = None
        self._relays: OrderedDict[int, _Relay] = OrderedDict()
        self._last_ping_number = 0

    def indirect_due(self) -> float | None:
        """Returns the clock reading at which indirect pings are due, or None if none are."""
        probe = self._probe
        if probe is None or probe.indirect or probe.acked:
            return None
        return probe.sent_at + PROBE_TIMEOUT_S

    def start(self, now: float, actions: list[MembershipAction]) -> None:
        """Starts a probe of the next member with a direct ping."""
        record = self._view.table.next_probe()
        if record is None:
            return
        self._last_ping_number += 1
        self._probe = _Probe(record=record, number=self._last_ping_number, sent_at=now)
        actions.append(self.ping(record.member, self._last_ping_number))

    def probe_indirectly(self, now: float, actions: list[MembershipAction]) -> None:
        """Repeats a direct ping that timed out, and asks other members to ping the member too."""
        due = self.indirect_due()
        probe = self._probe
        if probe is None or due is None or now < due:
            return
        probe.indirect = True
        probed = probe.record.member
        for helper in self._view.table.sample(INDIRECT_PROBES, exclude=probed.node):
            kind = DatagramKind.PING_REQUEST
            actions.append(
                self._builder.build(helper.address, kind, number=probe.number, target=probed.node)
            )
        actions.append(self.ping(probed, probe.number))

    def finish(self, now: float, actions: list[MembershipAction]) -> None:
        """Ends the probe: an unresponsive member becomes suspect, or dead if it was leaving."""
        probe = self._probe
        self._probe = None
        if probe is None or probe.acked:
            return
        state = probe.record.member.state
        if state is MemberState.LEAVING:
            self._view.set_state(probe.record, MemberState.DEAD, now, actions)
        elif state is MemberState.ALIVE:
            self._view.set_state(probe.record, MemberState.SUSPECT, now, actions)

    def cancel(self) -> None:
        """Discards the probe in flight and the relayed pings without changing any state."""
        self._probe = None
        self._relays.clear()

    def ping(self, member: Member, number: int = 0) -> SendDatagram:
        """Pings a member; a suspect or dead one gets its own record with the ping, to refute it."""
        to_refute = (member,) if member.state in REFUTABLE_STATES else ()
        kind = DatagramKind.PING
        return self._builder.build(member.address, kind, number, member.node, to_refute)

    def ping_address(self, address: NodeAddress) -> SendDatagram:
        """Pings whichever node uses an address, with the record of the local node."""
        return self._builder.build(
            address, DatagramKind.PING, 0, ANY_NODE, (self._view.local_member,)
        )

    def answer_ping(
        self, address: NodeAddress, ping: Datagram, actions: list[MembershipAction]
    ) -> None:
        """Replies to a ping, also to one for another node that had this address before."""
        local_member = self._view.local_member
        is_for_local_node = ping.target in (ANY_NODE, local_member.node)
        kind = DatagramKind.ACK if is_for_local_node else DatagramKind.ADDRESS_REASSIGNED
        target = local_member.node if is_for_local_node else ping.target
        members = self._records_to_refute(ping)
        if ping.target != local_member.node:
            # The sender of the ping may not know which node uses this address.
            members = (*members, local_member)
        actions.append(self._builder.build(address, kind, ping.number, target, members))

    def on_ack(self, ack: Datagram, now: float, actions: list[MembershipAction]) -> None:
        """Handles the acknowledgement of a ping, either of the probe or of a relayed ping."""
        relay = self._relays.pop(ack.number, None)
        if relay is not None and now < relay.expires_at:
            kind = DatagramKind.ACK
            actions.append(self._builder.build(relay.requester, kind, relay.number, ack.target))
        probe = self._probe
        if probe is None or ack.number != probe.number:
            return
        if ack.target == probe.record.member.node:
            probe.acked = True

    def relay_ping(
        self, address: NodeAddress, request: Datagram, now: float, actions: list[MembershipAction]
    ) -> None:
        """Relays a ping for another node."""
        record = self._view.table.get(request.target)
        if record is None:
            return
        self._last_ping_number += 1
        self._relays[self._last_ping_number] = _Relay(
            address, request.number, now + RELAY_TIMEOUT_S
        )
        if len(self._relays) > MAX_RELAYS:
            self._relays.popitem(last=False)
        actions.append(self.ping(record.member, self._last_ping_number))

    def on_address_reassigned(
        self, answer: Datagram, now: float, actions: list[MembershipAction]
    ) -> None:
        """Declares a member dead if the replying node has its address."""
        record = self._view.table.get(answer.target)
        sender = self._view.table.get(answer.sender)
        if record is None or sender is None or record.member.state is MemberState.DEAD:
            return
        if sender.member.address == record.member.address:
            self._view.set_state(record, MemberState.DEAD, now, actions)

    def _records_to_refute(self, ping: Datagram) -> tuple[Member, ...]:
        """Returns the record of the sender if the sender has to refute it.

        That is the case if it is suspect or dead here, or was known with a higher incarnation,
        for instance before a restart.
        """
        record = self._view.table.get(ping.sender)
        if record is None:
            return ()
        member = record.member
        if member.state in REFUTABLE_STATES or member.incarnation > ping.incarnation:
            return (member,)
        return ()
