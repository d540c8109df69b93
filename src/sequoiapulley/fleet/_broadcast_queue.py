"""Updates and rumours that still have to be passed on."""

from __future__ import annotations

from math import ceil, log10
from typing import Final

from msgspec import Struct

from sequoiapulley.fleet._datagram import Broadcast, encoded_size
from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import NodeId

RETRANSMIT_FACTOR: Final = 4
MIN_TRANSMISSIONS: Final = 12
MAX_QUEUED_BROADCASTS: Final = 256
MIN_ITEM_BYTES: Final = 32


class _Item(Struct):
    """One update or rumour and how often it was sent."""

    content: Member | Broadcast
    size: int
    times_sent: int = 0


class BroadcastQueue:
    """Bounded queue; the items sent least come first, and each goes out a few times."""

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self._members: dict[NodeId, _Item] = {}
        self._broadcasts: dict[tuple[NodeId, int, int], _Item] = {}

    def __len__(self) -> int:
        """Returns how many items wait."""
        return len(self._members) + len(self._broadcasts)

    def add_member(self, member: Member) -> None:
        """Queues an update; it replaces an older one of the same node."""
        self._members[member.node] = _Item(content=member, size=encoded_size(member))

    def add_broadcast(self, broadcast: Broadcast) -> None:
        """Queues a rumour; the oldest one goes when the queue is full."""
        key = (broadcast.origin, broadcast.incarnation, broadcast.number)
        self._broadcasts[key] = _Item(content=broadcast, size=encoded_size(broadcast))
        if len(self._broadcasts) > MAX_QUEUED_BROADCASTS:
            del self._broadcasts[next(iter(self._broadcasts))]

    def drop_broadcasts(self) -> None:
        """Forgets the rumours, which have grown old."""
        self._broadcasts.clear()

    def take(self, free_bytes: int, fleet_size: int) -> tuple[list[Member], list[Broadcast]]:
        """Picks items for one datagram.

        Args:
            room: Bytes left in the datagram.
            fleet_size: Number of members, which sets how often an item is sent.

        Returns:
            Members and rumours that fit.
        """
        if not self._members and not self._broadcasts:
            return [], []
        limit = max(MIN_TRANSMISSIONS, RETRANSMIT_FACTOR * ceil(log10(fleet_size + 1)))
        items = [*self._broadcasts.values(), *self._members.values()]
        items.sort(key=lambda item: item.times_sent)
        members: list[Member] = []
        broadcasts: list[Broadcast] = []
        for item in items:
            if item.size > free_bytes:
                continue
            free_bytes -= item.size
            item.times_sent += 1
            if isinstance(item.content, Member):
                members.append(item.content)
            else:
                broadcasts.append(item.content)
            if free_bytes < MIN_ITEM_BYTES:
                break
        self._drop_finished(limit)
        return members, broadcasts

    def _drop_finished(self, limit: int) -> None:
        self._members = {
            key: item for key, item in self._members.items() if item.times_sent < limit
        }
        self._broadcasts = {
            key: item for key, item in self._broadcasts.items() if item.times_sent < limit
        }
