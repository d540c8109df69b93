"""Builds this node's datagrams and piggybacks queued updates on them."""

from __future__ import annotations

from typing import Final

from sequoiapulley.fleet._broadcast_queue import BroadcastQueue
from sequoiapulley.fleet._datagram import (
    MAX_DATAGRAM_BYTES,
    Broadcast,
    Datagram,
    DatagramKind,
    encode_datagram,
    encoded_size,
)
from sequoiapulley.fleet._fleet_view import FleetView
from sequoiapulley.fleet.actions import SendDatagram
from sequoiapulley.fleet.member import Member, NodeAddress
from sequoiapulley.ids import NodeId

HEADER_BYTES: Final = 120
"""Space reserved for the fields other than members and broadcast messages."""
ANY_NODE: Final = NodeId("")


class DatagramBuilder:
    """Encodes datagrams and fills their free space with queued updates and broadcast messages."""

    def __init__(self, workspace_hash: int, view: FleetView, queue: BroadcastQueue) -> None:
        """Initialise the builder.

        Args:
            workspace_hash: Hash of the workspace's name.
            view: Provides the local member and the digest for every datagram.
            queue: Updates and broadcast messages to piggyback.
        """
        self._workspace_hash = workspace_hash
        self._view = view
        self._queue = queue

    def build(
        self,
        address: NodeAddress,
        kind: DatagramKind,
        number: int = 0,
        target: NodeId = ANY_NODE,
        members: tuple[Member, ...] = (),
    ) -> SendDatagram:
        """Builds a datagram.

        Args:
            address: Destination.
            kind: Type of the datagram.
            number: Number of the ping it belongs to.
            target: Node that it refers to.
            members: Members that it must carry, in addition to the queued updates that fit.
        """
        free_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES - sum(encoded_size(part) for part in members)
        updates, broadcasts = self._queue.take(free_bytes, len(self._view.table))
        return self._encode(address, kind, number, target, (*members, *updates), tuple(broadcasts))

    def build_view(self, address: NodeAddress) -> list[SendDatagram]:
        """Builds the datagrams that carry the complete view."""
        members = list(self._view.members())
        actions: list[SendDatagram] = []
        while members:
            part = _pop_fitting(members)
            actions.append(self._encode(address, DatagramKind.SYNC_REPLY, 0, ANY_NODE, part, ()))
        return actions

    def _encode(
        self,
        address: NodeAddress,
        kind: DatagramKind,
        number: int,
        target: NodeId,
        members: tuple[Member, ...],
        broadcasts: tuple[Broadcast, ...],
    ) -> SendDatagram:
        local_member = self._view.local_member
        datagram = Datagram(
            kind=kind,
            workspace_hash=self._workspace_hash,
            sender=local_member.node,
            incarnation=local_member.incarnation,
            config_version=local_member.config_version,
            number=number,
            digest=self._view.digest,
            target=target,
            members=members,
            broadcasts=broadcasts,
        )
        return SendDatagram(address=address, payload=encode_datagram(datagram))


def _pop_fitting(members: list[Member]) -> tuple[Member, ...]:
    """Removes from the end of a list as many members as fit into one datagram, at least one."""
    free_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES
    part: list[Member] = []
    while members:
        size = encoded_size(members[-1])
        if part and size > free_bytes:
            break
        free_bytes -= size
        part.append(members.pop())
    return tuple(part)
