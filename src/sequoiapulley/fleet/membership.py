"""Decides who belongs to the fleet: probes, suspicions, incarnations and rumours."""

from __future__ import annotations

from collections import OrderedDict
from math import log10
from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace
from xxhash import xxh32_intdigest

from sequoiapulley.fleet._broadcast_queue import BroadcastQueue
from sequoiapulley.fleet._datagram import (
    MAX_DATAGRAM_BYTES,
    BadDatagramError,
    Datagram,
    DatagramKind,
    Rumour,
    decode_datagram,
    encode_datagram,
    encoded_size,
)
from sequoiapulley.fleet._member_table import (
    Listing,
    MemberRecord,
    MemberTable,
    member_digest,
    supersedes,
)
from sequoiapulley.fleet.log_events import (
    DATAGRAM_REFUSED,
    MEMBER_DEAD,
    MEMBER_FORGOTTEN,
    MEMBER_JOINED,
    MEMBER_LEAVING,
    MEMBER_REFUTED,
    MEMBER_SUSPECTED,
    PAUSE_DETECTED,
    VM_LIST_DISAGREES,
)
from sequoiapulley.fleet.member import Member, MemberState, NodeAddress
from sequoiapulley.fleet.orders import (
    FleetOrder,
    MemberChanged,
    RumourHeard,
    RumourKind,
    SendDatagram,
    VersionHeard,
)
from sequoiapulley.ids import ConfigVersion, CustomerName, Incarnation, NodeId
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.platform.vm_list import VmRecord, VmState

PROBE_PERIOD_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.3
INDIRECT_PROBES: Final = 3
GOSSIP_PERIOD_S: Final = 0.2
GOSSIP_FANOUT: Final = 3
SUSPICION_S: Final = 3.0
UNLISTED_SUSPICION_RATIO: Final = 0.5
RECONNECT_PERIOD_S: Final = 5.0
JOIN_PERIOD_S: Final = 0.5
JOIN_PINGS: Final = 3
SYNC_SPACING_S: Final = 1.0
DIGEST_PATIENCE_S: Final = 10.0
PAUSE_S: Final = 3.0
HOUSEKEEPING_PERIOD_S: Final = 60.0
FORGET_UNLISTED_S: Final = 3 * 3600.0
FORGET_LISTED_S: Final = 24 * 3600.0
MAX_DEAD: Final = 1200
MAX_SEEN_RUMOURS: Final = 4096
MAX_RUMOUR_BYTES: Final = 600
HEADER_BYTES: Final = 120
MAX_RELAYS: Final = 256
RELAY_S: Final = 1.0
UNKNOWN_NODE: Final = NodeId("")


class _Probe(Struct):
    """The one probe under way."""

    node: NodeId
    number: int
    sent_at: float
    indirect: bool = False
    acked: bool = False


class _Relay(Struct, frozen=True):
    """A ping sent on behalf of another node."""

    requester: NodeAddress
    number: int
    """The requester's number."""
    expires: float


class Membership:
    """One node's part in the membership protocol.

    A SWIM-like protocol: each period one node is probed, directly and then through others; a node
    that answers to nobody is suspected, and dies unless it refutes with a higher incarnation.
    Dead nodes stay known and are tried again, so that parted sides find each other.
    """

    def __init__(
        self, me: Member, log: LogSink, seed: int, customer: CustomerName = CustomerName("")
    ) -> None:
        """Initialise a membership that knows only this node.

        Args:
            me: This node.
            log: Where events go.
            seed: Seed of the random choices.
            customer: Whose fleet this is; datagrams of another fleet are ignored.
        """
        self._me = me
        self._log = log
        self._random = Random(seed)
        self._fleet = xxh32_intdigest(customer.encode())
        self._table = MemberTable(self._random)
        self._queue = BroadcastQueue()
        self._seen: OrderedDict[tuple[NodeId, int, int], None] = OrderedDict()
        self._seeds: tuple[NodeAddress, ...] = ()
        self._relays: OrderedDict[int, _Relay] = OrderedDict()
        self._probe: _Probe | None = None
        self._number = 0
        self._rumours = 0
        self._last_tick: float | None = None
        self._probe_due = 0.0
        self._gossip_due = 0.0
        self._reconnect_due = 0.0
        self._housekeeping_due = 0.0
        self._sync_sent_at = float("-inf")
        self._sync_answered_at = float("-inf")
        self._digest_differs_since: float | None = None
        self._queue.add_member(me)

    @property
    def me(self) -> Member:
        """The record of the node itself."""
        return self._me

    def members(self) -> tuple[Member, ...]:
        """Returns this node and all others that are known, the dead included."""
        return (self._me, *(record.member for record in self._table.records()))

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` should run next, or None before the first."""
        if self._last_tick is None:
            return None
        due = min(self._probe_due, self._reconnect_due)
        if self._probe is not None and not self._probe.indirect and not self._probe.acked:
            due = min(due, self._probe.sent_at + PROBE_TIMEOUT_S)
        if self._queue and self._table.present():
            due = min(due, self._gossip_due)
        return due

    def set_config_version(self, version: ConfigVersion, now: float) -> None:
        """Notes the configuration version in force here; it travels in every datagram."""
        self._me = replace(self._me, config_version=version)

    def broadcast(self, kind: RumourKind, body: bytes, now: float) -> None:
        """Passes a short message to all nodes, usually within a second.

        Args:
            kind: Subject.
            body: Up to 600 bytes.
            now: Clock reading in seconds.

        Raises:
            ValueError: If the body is too large.
        """
        if len(body) > MAX_RUMOUR_BYTES:
            raise ValueError(f"rumour takes {len(body)} bytes, limit {MAX_RUMOUR_BYTES}")
        self._rumours += 1
        rumour = Rumour(self._me.node, self._rumours, self._me.incarnation, kind, body)
        self._note_rumour(rumour)
        self._gossip_due = min(self._gossip_due, now)

    def leave(self, now: float) -> list[FleetOrder]:
        """Announces the graceful shutdown of this node."""
        self._renew(MemberState.LEAVING, self._me.incarnation)
        return self._gossip(now, fanout=2 * GOSSIP_FANOUT)

    def on_vm_list(self, records: tuple[VmRecord, ...], now: float) -> list[FleetOrder]:
        """Takes the platform's list as seeds and as second opinion.

        The list never removes a node that answers probes; it shortens the suspicion of one that
        does not, and tells when a dead node may be forgotten.

        Args:
            records: The list, which may lag, be wrong or be empty.
            now: Clock reading in seconds.
        """
        listed = {NodeAddress((record.host, record.port)): record.state for record in records}
        if listed:
            self._seeds = tuple(address for address in listed if address != self._me.address)
        unlisted = 0
        for record in self._table.records():
            record.listing = _listing(listed, record.member.address)
            if record.listing is Listing.ABSENT and record.member.state is MemberState.ALIVE:
                unlisted += 1
        if unlisted:
            self._log.log(VM_LIST_DISAGREES, unlisted=unlisted, listed=len(listed))
        if self._table.present():
            return []
        self._reconnect_due = now
        count = min(JOIN_PINGS, len(self._seeds))
        seeds = self._random.sample(self._seeds, count)
        return [self._ping_stranger(address) for address in seeds]

    def tick(self, now: float) -> list[FleetOrder]:
        """Does what is due: probes, suspicions, gossip, attempts to reconnect.

        Args:
            now: Clock reading in seconds.

        Returns:
            Orders for the surroundings.
        """
        orders: list[FleetOrder] = []
        self._check_pause(now)
        self._last_tick = now
        self._probe_indirectly(now, orders)
        if now >= self._probe_due:
            self._end_probe(now, orders)
            self._bury_suspects(now, orders)
            self._start_probe(now, orders)
        if now >= self._reconnect_due:
            self._reconnect(now, orders)
        if now >= self._gossip_due and self._queue:
            orders.extend(self._gossip(now))
        if now >= self._housekeeping_due:
            self._housekeep(now)
        return orders

    def on_message(
        self, sender_address: NodeAddress, payload: bytes, now: float
    ) -> list[FleetOrder]:
        """Takes one authenticated datagram.

        Args:
            sender_address: Where it came from.
            payload: Its bytes.
            now: Clock reading in seconds.

        Returns:
            Orders for the surroundings.
        """
        try:
            datagram = decode_datagram(payload)
        except BadDatagramError as exc:
            self._log.log(DATAGRAM_REFUSED, sender=sender_address[0], error=str(exc))
            return []
        if datagram.fleet != self._fleet or datagram.sender == self._me.node:
            return []
        orders: list[FleetOrder] = []
        for member in datagram.members:
            self._apply(member, now, orders)
        for rumour in datagram.rumours:
            self._hear(rumour, orders)
        self._note_sender(sender_address, datagram, now, orders)
        self._answer(sender_address, datagram, now, orders)
        return orders

    # Probes.

    def _probe_indirectly(self, now: float, orders: list[FleetOrder]) -> None:
        probe = self._probe
        if probe is None or probe.acked or probe.indirect:
            return
        if now < probe.sent_at + PROBE_TIMEOUT_S:
            return
        probe.indirect = True
        for helper in self._table.sample(INDIRECT_PROBES, without=probe.node):
            request = self._datagram(
                DatagramKind.PING_REQUEST, number=probe.number, about=probe.node
            )
            orders.append(self._send(helper.address, request))
        record = self._table.get(probe.node)
        if record is not None:
            orders.append(self._ping(record, probe.number))

    def _end_probe(self, now: float, orders: list[FleetOrder]) -> None:
        probe = self._probe
        self._probe = None
        if probe is None or probe.acked:
            return
        record = self._table.get(probe.node)
        if record is None:
            return
        if record.member.state is MemberState.LEAVING:
            self._change(record, MemberState.DEAD, now, orders)
        elif record.member.state is MemberState.ALIVE:
            self._change(record, MemberState.SUSPECT, now, orders)

    def _bury_suspects(self, now: float, orders: list[FleetOrder]) -> None:
        for node in list(self._table.present()):
            record = self._table.get(node)
            if record is None or record.member.state is not MemberState.SUSPECT:
                continue
            if now >= record.suspect_until:
                self._change(record, MemberState.DEAD, now, orders)

    def _start_probe(self, now: float, orders: list[FleetOrder]) -> None:
        self._probe_due = now + PROBE_PERIOD_S
        record = self._table.next_probe()
        if record is None:
            return
        self._number += 1
        self._probe = _Probe(node=record.member.node, number=self._number, sent_at=now)
        orders.append(self._ping(record, self._number))

    def _ping(self, record: MemberRecord, number: int) -> SendDatagram:
        """Pings a node and shows it what is said of it, if it has to refute that."""
        claims: tuple[Member, ...] = ()
        if record.member.state not in (MemberState.ALIVE, MemberState.LEAVING):
            claims = (record.member,)
        ping = self._datagram(
            DatagramKind.PING, number=number, about=record.member.node, claims=claims
        )
        return self._send(record.member.address, ping)

    def _ping_stranger(self, address: NodeAddress) -> SendDatagram:
        """Pings whatever node is at an address, and introduces this one."""
        ping = self._datagram(DatagramKind.PING, about=UNKNOWN_NODE, claims=(self._me,))
        return self._send(address, ping)

    def _reconnect(self, now: float, orders: list[FleetOrder]) -> None:
        """Tries one dead node or listed address that is not known to be alive."""
        alone = not self._table.present()
        self._reconnect_due = now + (JOIN_PERIOD_S if alone else RECONNECT_PERIOD_S)
        known = {
            record.member.address
            for record in self._table.records()
            if record.member.state is not MemberState.DEAD
        }
        strangers = [address for address in self._seeds if address not in known]
        dead = self._table.dead()
        choice = self._random.randrange(len(strangers) + len(dead)) if strangers or dead else None
        if choice is None:
            return
        if choice < len(strangers):
            orders.append(self._ping_stranger(strangers[choice]))
            return
        record = self._table.get(dead[choice - len(strangers)])
        if record is not None:
            orders.append(self._ping(record, 0))

    # Answers.

    def _answer(
        self, address: NodeAddress, datagram: Datagram, now: float, orders: list[FleetOrder]
    ) -> None:
        if datagram.kind is DatagramKind.PING:
            self._answer_ping(address, datagram, orders)
        elif datagram.kind is DatagramKind.ACK:
            self._take_ack(datagram, now, orders)
        elif datagram.kind is DatagramKind.PING_REQUEST:
            self._relay_ping(address, datagram, now, orders)
        elif datagram.kind is DatagramKind.NOT_ME:
            self._take_not_me(datagram, now, orders)
        elif datagram.kind is DatagramKind.SYNC:
            self._answer_sync(address, datagram, now, orders)

    def _answer_ping(
        self, address: NodeAddress, datagram: Datagram, orders: list[FleetOrder]
    ) -> None:
        kind = DatagramKind.ACK
        about = self._me.node
        if datagram.about not in (UNKNOWN_NODE, self._me.node):
            kind = DatagramKind.NOT_ME
            about = datagram.about
        claims = self._claims_about(datagram)
        if kind is DatagramKind.NOT_ME or datagram.about == UNKNOWN_NODE:
            claims = (*claims, self._me)
        answer = self._datagram(kind, number=datagram.number, about=about, claims=claims)
        orders.append(self._send(address, answer))

    def _claims_about(self, datagram: Datagram) -> tuple[Member, ...]:
        """Returns this node's record of a sender that has to refute it."""
        record = self._table.get(datagram.sender)
        if record is None:
            return ()
        member = record.member
        doubted = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        if doubted or member.incarnation > datagram.incarnation:
            return (member,)
        return ()

    def _take_ack(self, datagram: Datagram, now: float, orders: list[FleetOrder]) -> None:
        relay = self._relays.pop(datagram.number, None)
        if relay is not None and now < relay.expires:
            ack = self._datagram(DatagramKind.ACK, number=relay.number, about=datagram.about)
            orders.append(self._send(relay.requester, ack))
        probe = self._probe
        if probe is not None and (datagram.about, datagram.number) == (probe.node, probe.number):
            probe.acked = True
        self._compare_digest(datagram, now, orders)

    def _relay_ping(
        self, address: NodeAddress, datagram: Datagram, now: float, orders: list[FleetOrder]
    ) -> None:
        record = self._table.get(datagram.about)
        if record is None:
            return
        self._number += 1
        self._relays[self._number] = _Relay(address, datagram.number, now + RELAY_S)
        if len(self._relays) > MAX_RELAYS:
            self._relays.popitem(last=False)
        orders.append(self._ping(record, self._number))

    def _take_not_me(self, datagram: Datagram, now: float, orders: list[FleetOrder]) -> None:
        """Buries a node whose address another node has taken over."""
        record = self._table.get(datagram.about)
        if record is None or record.member.state is MemberState.DEAD:
            return
        sender = self._table.get(datagram.sender)
        if sender is None or sender.member.address != record.member.address:
            return
        self._change(record, MemberState.DEAD, now, orders)

    # Synchronisation of whole views.

    def _compare_digest(self, datagram: Datagram, now: float, orders: list[FleetOrder]) -> None:
        if datagram.digest == self._digest() or not datagram.digest:
            self._digest_differs_since = None
            return
        if self._digest_differs_since is None:
            self._digest_differs_since = now
        if now - self._digest_differs_since < DIGEST_PATIENCE_S:
            return
        self._digest_differs_since = now
        record = self._table.get(datagram.sender)
        if record is not None:
            self._request_sync(record.member.address, now, orders)

    def _request_sync(self, address: NodeAddress, now: float, orders: list[FleetOrder]) -> None:
        if now - self._sync_sent_at < SYNC_SPACING_S:
            return
        self._sync_sent_at = now
        request = self._datagram(DatagramKind.SYNC, claims=(self._me,))
        orders.append(self._send(address, request))

    def _answer_sync(
        self, address: NodeAddress, datagram: Datagram, now: float, orders: list[FleetOrder]
    ) -> None:
        if datagram.digest == self._digest():
            return
        if now - self._sync_answered_at < SYNC_SPACING_S / 4:
            return
        self._sync_answered_at = now
        members = [self._me, *(record.member for record in self._table.records())]
        while members:
            part = _take_fitting(members)
            reply = self._datagram(DatagramKind.SYNC_REPLY, claims=part, with_queue=False)
            orders.append(self._send(address, reply))
        self._request_sync(address, now, orders)

    def _digest(self) -> int:
        return self._table.digest ^ member_digest(self._me)

    # Updates.

    def _apply(self, update: Member, now: float, orders: list[FleetOrder]) -> None:
        if update.node == self._me.node:
            self._refute(update)
            return
        record = self._table.get(update.node)
        if record is None:
            if update.state is not MemberState.DEAD:
                self._admit(update, now, orders)
            return
        if not supersedes(update, record.member):
            return
        if update.state is MemberState.DEAD and record.member.state is MemberState.ALIVE:
            # A death that this node had no sign of is doubted, so that the member can refute it.
            update = replace(update, state=MemberState.SUSPECT)
        self._store(record, update, now, orders)

    def _admit(self, member: Member, now: float, orders: list[FleetOrder]) -> None:
        record = self._table.put(member, now)
        if member.state is MemberState.SUSPECT:
            record.suspect_until = now + self._suspicion_time(record)
        self._queue.add_member(member)
        self._log.log(MEMBER_JOINED, node=member.node, place=member.place)
        orders.append(MemberChanged(member, None))
        self._request_sync(member.address, now, orders)

    def _change(
        self, record: MemberRecord, state: MemberState, now: float, orders: list[FleetOrder]
    ) -> None:
        self._store(record, replace(record.member, state=state), now, orders)

    def _store(
        self, record: MemberRecord, member: Member, now: float, orders: list[FleetOrder]
    ) -> None:
        previous = record.member
        newest = max(member.config_version, previous.config_version)
        member = replace(member, config_version=newest)
        self._table.put(member, now)
        if member.state is MemberState.SUSPECT:
            record.suspect_until = now + self._suspicion_time(record)
        self._queue.add_member(member)
        self._log_change(member, previous)
        orders.append(MemberChanged(member, previous.state))
        if previous.state is MemberState.DEAD and member.state is not MemberState.DEAD:
            self._request_sync(member.address, now, orders)

    def _log_change(self, member: Member, previous: Member) -> None:
        if member.state is previous.state:
            return
        event = {
            MemberState.ALIVE: MEMBER_REFUTED,
            MemberState.SUSPECT: MEMBER_SUSPECTED,
            MemberState.LEAVING: MEMBER_LEAVING,
            MemberState.DEAD: MEMBER_DEAD,
        }[member.state]
        self._log.log(event, node=member.node, place=member.place, was=previous.state.value)

    def _suspicion_time(self, record: MemberRecord) -> float:
        scale = max(1.0, log10(len(self._table.present()) + 1))
        if record.listing in (Listing.ABSENT, Listing.LEAVING):
            scale *= UNLISTED_SUSPICION_RATIO
        return SUSPICION_S * scale

    def _refute(self, claim: Member) -> None:
        """Answers a claim about this node with a higher incarnation."""
        if claim.incarnation < self._me.incarnation:
            return
        if claim.incarnation == self._me.incarnation:
            doubted = claim.state in (MemberState.SUSPECT, MemberState.DEAD)
            if not doubted and claim.state is self._me.state:
                return
            if not doubted and claim.state is MemberState.ALIVE:
                return
        self._renew(self._me.state, claim.incarnation)

    def _renew(self, state: MemberState, above: int) -> None:
        incarnation = Incarnation(max(above, self._me.incarnation) + 1)
        self._me = replace(self._me, state=state, incarnation=incarnation)
        self._queue.add_member(self._me)

    def _note_sender(
        self, address: NodeAddress, datagram: Datagram, now: float, orders: list[FleetOrder]
    ) -> None:
        record = self._table.get(datagram.sender)
        version = datagram.config_version
        if record is None:
            self._request_sync(address, now, orders)
            return
        known = record.member.config_version
        if version != known:
            self._table.set_version(record, version)
        if version != known or version > self._me.config_version:
            orders.append(VersionHeard(datagram.sender, version))

    # Rumours.

    def _hear(self, rumour: Rumour, orders: list[FleetOrder]) -> None:
        if (rumour.origin, rumour.incarnation, rumour.number) in self._seen:
            return
        self._note_rumour(rumour)
        orders.append(RumourHeard(rumour.kind, rumour.body, rumour.origin))

    def _note_rumour(self, rumour: Rumour) -> None:
        self._seen[(rumour.origin, rumour.incarnation, rumour.number)] = None
        if len(self._seen) > MAX_SEEN_RUMOURS:
            self._seen.popitem(last=False)
        self._queue.add_rumour(rumour)

    def _gossip(self, now: float, fanout: int = GOSSIP_FANOUT) -> list[FleetOrder]:
        self._gossip_due = now + GOSSIP_PERIOD_S
        orders: list[FleetOrder] = []
        for member in self._table.sample(fanout):
            if not self._queue:
                break
            orders.append(self._send(member.address, self._datagram(DatagramKind.GOSSIP)))
        return orders

    # Time.

    def _check_pause(self, now: float) -> None:
        """Blames nobody for the time in which this process did not run."""
        if self._last_tick is None:
            self._probe_due = now + self._random.uniform(0.0, PROBE_PERIOD_S)
            return
        gap = now - self._last_tick
        if 0.0 <= gap <= PAUSE_S:
            return
        self._log.log(PAUSE_DETECTED, seconds=round(gap, 3))
        self._probe = None
        self._relays.clear()
        self._queue.drop_rumours()
        self._probe_due = now
        self._reconnect_due = now
        self._gossip_due = now
        self._housekeeping_due = now
        self._sync_sent_at = float("-inf")
        self._sync_answered_at = float("-inf")
        self._digest_differs_since = None
        for record in self._table.records():
            record.changed_at = min(record.changed_at + max(gap, 0.0), now)
            record.suspect_until = now + self._suspicion_time(record)
        self._renew(self._me.state, self._me.incarnation)

    def _housekeep(self, now: float) -> None:
        """Forgets nodes that are long dead and that the platform no longer lists."""
        self._housekeeping_due = now + HOUSEKEEPING_PERIOD_S
        dead = [record for record in self._table.records() if _is_dead(record)]
        dead.sort(key=lambda record: record.changed_at)
        surplus = len(dead) - MAX_DEAD
        for position, record in enumerate(dead):
            age = now - record.changed_at
            limit = FORGET_UNLISTED_S if record.listing is Listing.ABSENT else FORGET_LISTED_S
            if age < limit and position >= surplus:
                continue
            self._table.forget(record.member.node)
            self._log.log(MEMBER_FORGOTTEN, node=record.member.node, dead_seconds=round(age))

    # Datagrams.

    def _datagram(
        self,
        kind: DatagramKind,
        number: int = 0,
        about: NodeId = UNKNOWN_NODE,
        claims: tuple[Member, ...] = (),
        with_queue: bool = True,
    ) -> Datagram:
        members = list(claims)
        rumours: list[Rumour] = []
        if with_queue:
            room = MAX_DATAGRAM_BYTES - HEADER_BYTES - sum(encoded_size(part) for part in claims)
            updates, rumours = self._queue.take(room, len(self._table))
            members.extend(updates)
        return Datagram(
            kind=kind,
            fleet=self._fleet,
            sender=self._me.node,
            incarnation=self._me.incarnation,
            config_version=self._me.config_version,
            number=number,
            digest=self._digest(),
            about=about,
            members=tuple(members),
            rumours=tuple(rumours),
        )

    def _send(self, address: NodeAddress, datagram: Datagram) -> SendDatagram:
        return SendDatagram(address=address, payload=encode_datagram(datagram))


def _listing(listed: dict[NodeAddress, VmState], address: NodeAddress) -> Listing:
    if not listed:
        return Listing.UNKNOWN
    state = listed.get(address)
    if state is None:
        return Listing.ABSENT
    return Listing.LIVE if state is VmState.LIVE else Listing.LEAVING


def _is_dead(record: MemberRecord) -> bool:
    return record.member.state is MemberState.DEAD


def _take_fitting(members: list[Member]) -> tuple[Member, ...]:
    """Removes as many members from the end of a list as fit into one datagram."""
    room = MAX_DATAGRAM_BYTES - HEADER_BYTES
    part: list[Member] = []
    while members:
        size = encoded_size(members[-1])
        if part and size > room:
            break
        room -= size
        part.append(members.pop())
    return tuple(part)
