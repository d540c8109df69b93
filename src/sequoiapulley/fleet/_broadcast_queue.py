"""Updates and rumours that still have to be passed on."""

from __future__ import annotations

from math import ceil, log10
from typing import Final

from msgspec import Struct

from sequoiapulley.fleet._datagram import Rumour, encoded_size
from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import NodeId

RETRANSMIT_FACTOR: Final = 4
MIN_TRANSMISSIONS: Final = 12
MAX_QUEUED_RUMOURS: Final = 256
SMALLEST_PART_BYTES: Final = 32


class _Item(Struct):
    """One update or rumour and how often it was sent."""

    part: Member | Rumour
    size: int
    sent: int = 0


class BroadcastQueue:
    """Bounded queue; the items sent least come first, and each goes out a few times."""

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self._members: dict[NodeId, _Item] = {}
        self._rumours: dict[tuple[NodeId, int, int], _Item] = {}

    def __len__(self) -> int:
        """Returns how many items wait."""
        return len(self._members) + len(self._rumours)

    def add_member(self, member: Member) -> None:
        """Queues an update; it replaces an older one of the same node."""
        self._members[member.node] = _Item(part=member, size=encoded_size(member))

    def add_rumour(self, rumour: Rumour) -> None:
        """Queues a rumour; the oldest one goes when the queue is full."""
        key = (rumour.origin, rumour.incarnation, rumour.number)
        self._rumours[key] = _Item(part=rumour, size=encoded_size(rumour))
        if len(self._rumours) > MAX_QUEUED_RUMOURS:
            del self._rumours[next(iter(self._rumours))]

    def drop_rumours(self) -> None:
        """Forgets the rumours, which have grown old."""
        self._rumours.clear()

    def take(self, room: int, fleet_size: int) -> tuple[list[Member], list[Rumour]]:
        """Picks items for one datagram.

        Args:
            room: Bytes left in the datagram.
            fleet_size: Number of members, which sets how often an item is sent.

        Returns:
            Members and rumours that fit.
        """
        if not self._members and not self._rumours:
            return [], []
        limit = max(MIN_TRANSMISSIONS, RETRANSMIT_FACTOR * ceil(log10(fleet_size + 1)))
        items = [*self._rumours.values(), *self._members.values()]
        items.sort(key=lambda item: item.sent)
        members: list[Member] = []
        rumours: list[Rumour] = []
        for item in items:
            if item.size > room:
                continue
            room -= item.size
            item.sent += 1
            if isinstance(item.part, Member):
                members.append(item.part)
            else:
                rumours.append(item.part)
            if room < SMALLEST_PART_BYTES:
                break
        self._drop_finished(limit)
        return members, rumours

    def _drop_finished(self, limit: int) -> None:
        self._members = {key: item for key, item in self._members.items() if item.sent < limit}
        self._rumours = {key: item for key, item in self._rumours.items() if item.sent < limit}
