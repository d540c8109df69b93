"""Queue of member updates and broadcast messages that are piggybacked on datagrams."""

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
"""Free space in a datagram below which no further item is tried."""


class _Item(Struct):
    """A queued member update or broadcast message, with the number of times it was sent."""

    content: Member | Broadcast
    size: int
    times_sent: int = 0


class BroadcastQueue:
    """Queues member updates and broadcast messages, each for a limited number of transmissions.

    Items that were sent least often go out first. The number of transmissions grows with the
    logarithm of the fleet's size.
    """

    def __init__(self) -> None:
        self._members: dict[NodeId, _Item] = {}
        self._broadcasts: dict[tuple[NodeId, int, int], _Item] = {}

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return len(self._members) + len(self._broadcasts)

    def add_member(self, member: Member) -> None:
        """Queues a member update, which replaces a queued update of the same node."""
        self._members[member.node] = _Item(content=member, size=encoded_size(member))

    def add_broadcast(self, broadcast: Broadcast) -> None:
        """Queues a broadcast message, and drops the oldest one if the queue is full."""
        key = (broadcast.origin, broadcast.incarnation, broadcast.number)
        self._broadcasts[key] = _Item(content=broadcast, size=encoded_size(broadcast))
        if len(self._broadcasts) > MAX_QUEUED_BROADCASTS:
            del self._broadcasts[next(iter(self._broadcasts))]

    def drop_broadcasts(self) -> None:
        """Drops all broadcast messages, which are stale after a pause of this process."""
        self._broadcasts.clear()

    def take(self, free_bytes: int, fleet_size: int) -> tuple[list[Member], list[Broadcast]]:
        """Takes the items for one datagram and counts the transmission.

        Args:
            free_bytes: Bytes left in the datagram.
            fleet_size: Number of members, which determines how often an item is sent.

        Returns:
            Member updates and broadcast messages that fit.
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
