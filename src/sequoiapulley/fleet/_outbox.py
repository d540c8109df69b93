"""Builds the datagrams of one node and fills them with news."""

from __future__ import annotations

from typing import Final

from sequoiapulley.fleet._broadcast_queue import BroadcastQueue
from sequoiapulley.fleet._datagram import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    DatagramKind,
    Rumour,
    encode_datagram,
    encoded_size,
)
from sequoiapulley.fleet._fleet_view import FleetView
from sequoiapulley.fleet.member import Member, NodeAddress
from sequoiapulley.fleet.orders import SendDatagram
from sequoiapulley.ids import NodeId

HEADER_BYTES: Final = 120
ANY_NODE: Final = NodeId("")


class Outbox:
    """Encodes datagrams; whatever room is left in them carries queued news."""

    def __init__(self, fleet: int, view: FleetView, queue: BroadcastQueue) -> None:
        """Initialise the outbox.

        Args:
            fleet: Hash of the workspace's name.
            view: Whose record and digest go into every datagram.
            queue: News to pass on.
        """
        self._fleet = fleet
        self._view = view
        self._queue = queue

    def send(
        self,
        address: NodeAddress,
        kind: DatagramKind,
        number: int = 0,
        about: NodeId = ANY_NODE,
        members: tuple[Member, ...] = (),
    ) -> SendDatagram:
        """Makes a datagram.

        Args:
            address: Where it goes.
            kind: What it asks or answers.
            number: Number of the ping it belongs to.
            about: The node it speaks of.
            members: Records that it must carry, besides the queued ones that fit.
        """
        room = MAX_DATAGRAM_BYTES - HEADER_BYTES - sum(encoded_size(part) for part in members)
        updates, rumours = self._queue.take(room, len(self._view.table))
        return self._make(address, kind, number, about, (*members, *updates), tuple(rumours))

    def send_view(self, address: NodeAddress) -> list[SendDatagram]:
        """Makes the datagrams that carry the whole view."""
        members = list(self._view.members())
        orders: list[SendDatagram] = []
        while members:
            part = _take_fitting(members)
            orders.append(self._make(address, DatagramKind.SYNC_REPLY, 0, ANY_NODE, part, ()))
        return orders

    def _make(
        self,
        address: NodeAddress,
        kind: DatagramKind,
        number: int,
        about: NodeId,
        members: tuple[Member, ...],
        rumours: tuple[Rumour, ...],
    ) -> SendDatagram:
        me = self._view.me
        datagram = Datagram(
            kind=kind,
            fleet=self._fleet,
            sender=me.node,
            incarnation=me.incarnation,
            config_version=me.config_version,
            number=number,
            digest=self._view.digest,
            about=about,
            members=members,
            rumours=rumours,
        )
        return SendDatagram(address=address, payload=encode_datagram(datagram))


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
