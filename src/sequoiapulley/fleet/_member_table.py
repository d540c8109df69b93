"""Table of the other members that a node knows."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace
from xxhash import xxh64_intdigest

from sequoiapulley.fleet.member import Member, MemberState, NodeAddress
from sequoiapulley.ids import ConfigVersion, NodeId

STATE_RANK: Final = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}
"""Precedence of states with the same incarnation: the higher one overrides the lower."""


class Listing(Enum):
    """Status of a node in the platform's latest VM list."""

    UNKNOWN = "unknown"
    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"


class MemberRecord(Struct):
    """Local state of one other member."""

    member: Member
    changed_at: float
    """Clock reading of the latest change of state, in seconds."""
    suspect_until: float = 0.0
    """Clock reading, in seconds, at which a suspected member is declared dead."""
    listing: Listing = Listing.UNKNOWN


class MemberTable:
    """Stores the records of the other members and the order in which they are probed."""

    def __init__(self, random: Random) -> None:
        """Initialise an empty table.

        Args:
            random: Random source of the probe order and of samples.
        """
        self._random = random
        self._records: dict[NodeId, MemberRecord] = {}
        self._probe_order: list[NodeId] = []
        self._present: list[NodeId] = []
        self._dead: list[NodeId] = []
        self._digest = 0

    def __len__(self) -> int:
        """Returns the number of known members, including the dead."""
        return len(self._records)

    @property
    def digest(self) -> int:
        """Hash of the members that are not dead, equal in tables with equal contents."""
        return self._digest

    def get(self, node: NodeId) -> MemberRecord | None:
        """Returns the record of a node, or None if the node is unknown."""
        return self._records.get(node)

    def records(self) -> list[MemberRecord]:
        """Returns all records."""
        return list(self._records.values())

    def present(self) -> list[NodeId]:
        """Returns the nodes that are not dead. The caller must not modify the list."""
        return self._present

    def dead(self) -> list[NodeId]:
        """Returns the dead nodes. The caller must not modify the list."""
        return self._dead

    def present_addresses(self) -> frozenset[NodeAddress]:
        """Returns the addresses of the nodes that are not dead."""
        return frozenset(self._records[node].member.address for node in self._present)

    def put(self, member: Member, now: float) -> MemberRecord:
        """Adds or replaces the record of a node."""
        record = self._records.get(member.node)
        if record is None:
            record = MemberRecord(member=member, changed_at=now)
            self._records[member.node] = record
            position = self._random.randint(0, len(self._probe_order))
            self._probe_order.insert(position, member.node)
            self._digest ^= member_digest(member)
            self._move_between_lists(member.node, None, member.state)
            return record
        old = record.member
        self._digest ^= member_digest(old) ^ member_digest(member)
        record.member = member
        if old.state is not member.state:
            record.changed_at = now
            self._move_between_lists(member.node, old.state, member.state)
        return record

    def set_version(self, record: MemberRecord, version: ConfigVersion) -> None:
        """Sets the configuration version of a member."""
        record.member = replace(record.member, config_version=version)

    def evict(self, node: NodeId) -> None:
        """Removes the record of a node."""
        record = self._records.pop(node)
        self._digest ^= member_digest(record.member)
        self._move_between_lists(node, record.member.state, None)

    def next_probe(self) -> MemberRecord | None:
        """Returns the next member to probe, in shuffled rounds over all that are not dead."""
        while self._present:
            if not self._probe_order:
                self._probe_order = list(self._present)
                self._random.shuffle(self._probe_order)
            record = self._records.get(self._probe_order.pop())
            if record is not None and record.member.state is not MemberState.DEAD:
                return record
        return None

    def sample(self, count: int, exclude: NodeId | None = None) -> list[Member]:
        """Returns up to `count` random members that are not dead."""
        nodes = self._random.sample(self._present, min(count + 1, len(self._present)))
        chosen = [node for node in nodes if node != exclude][:count]
        return [self._records[node].member for node in chosen]

    def _move_between_lists(
        self, node: NodeId, old: MemberState | None, new: MemberState | None
    ) -> None:
        old_list = self._list_for(old)
        new_list = self._list_for(new)
        if old_list is new_list:
            return
        if old_list is not None:
            old_list.remove(node)
        if new_list is not None:
            new_list.append(node)

    def _list_for(self, state: MemberState | None) -> list[NodeId] | None:
        if state is None:
            return None
        return self._dead if state is MemberState.DEAD else self._present


def member_digest(member: Member) -> int:
    """Hashes the node, incarnation and state of a member; 0 leaves a dead one out of the XOR."""
    if member.state is MemberState.DEAD:
        return 0
    text = f"{member.node}/{member.incarnation}/{member.state.value}"
    return xxh64_intdigest(text.encode())


def supersedes(update: Member, known: Member) -> bool:
    """Returns whether an update overrides the known record of the same node."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return STATE_RANK[update.state] > STATE_RANK[known.state]
