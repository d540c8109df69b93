"""Chooses the entry nodes that a caller should connect to."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from msgspec import Struct
from xxhash import xxh64_intdigest

from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.ids import CallerId, FailureDomainName, NodeId, RegionName

ENTRY_LIFETIME_S: Final = 30.0
ADDRESSES_PER_ANSWER: Final = 3
MAX_CALLERS: Final = 20_000
MAX_PREFERRED_LOAD_RATIO: Final = 1.1
"""Load, relative to the mean of all nodes, up to which a node near the caller is preferred."""


class EntryAddress(Struct, frozen=True):
    """Address of a node's port for callers."""

    host: str
    port: int
    node: NodeId
    failure_domain: FailureDomainName


class EntryAnswer(Struct, frozen=True):
    """Entry addresses in order of preference, and the time for which callers may cache them."""

    addresses: tuple[EntryAddress, ...]
    lifetime_s: float


class _TieBreakRanks(Struct, frozen=True):
    """Order of a node among nodes of equal load, which differs between directories."""

    in_failure_domain: int
    in_fleet: int


class _Assignment(Struct):
    """The node that a caller was sent to."""

    node: NodeId
    expires_at: float
    """Clock reading in seconds."""


class EntryDirectory:
    """Distributes callers evenly over the nodes near them.

    Each directory balances only the callers that query it. Ties are broken in an order that
    differs between nodes; otherwise all directories would send their surplus callers to the same
    node.
    """

    def __init__(self, local_node: NodeId, answer_lifetime_s: float = ENTRY_LIFETIME_S) -> None:
        """Initialise a directory without members.

        Args:
            local_node: Node that this directory runs on.
            answer_lifetime_s: Seconds for which callers may cache an answer.
        """
        self._local_node = local_node
        self._answer_lifetime_s = answer_lifetime_s
        self._members: dict[NodeId, Member] = {}
        self._tie_break_ranks: dict[NodeId, _TieBreakRanks] = {}
        self._assigned: OrderedDict[CallerId, _Assignment] = OrderedDict()
        self._caller_counts: dict[NodeId, int] = {}

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Updates the view of the fleet; nodes that shut down or are dead are no longer chosen.

        Suspect nodes are used only if no node is alive.
        """
        usable = [member for member in members if member.state is MemberState.ALIVE]
        if not usable:
            usable = [member for member in members if member.state is MemberState.SUSPECT]
        self._members = {member.node: member for member in usable}
        self._tie_break_ranks = _rotated_ranks(self._local_node, usable)

    def answer(
        self, caller: CallerId, failure_domain: FailureDomainName | None, now: float
    ) -> EntryAnswer:
        """Chooses addresses for a caller.

        Args:
            caller: Identifies the caller.
            failure_domain: Failure domain nearest to the caller, or None if unknown.
            now: Clock reading in seconds.

        Returns:
            Up to three addresses: the first one to connect to, the others for failover, in as many
            different failure domains as possible.
        """
        self._expire(now)
        first = self._choose_first(caller, failure_domain)
        if first is None:
            return EntryAnswer(addresses=(), lifetime_s=self._answer_lifetime_s)
        self._assign(caller, first.node, now)
        chosen = [first]
        while len(chosen) < ADDRESSES_PER_ANSWER:
            member = self._choose_failover(chosen)
            if member is None:
                break
            chosen.append(member)
        addresses = tuple(_address_of(member) for member in chosen)
        return EntryAnswer(addresses=addresses, lifetime_s=self._answer_lifetime_s)

    def _choose_first(
        self, caller: CallerId, failure_domain: FailureDomainName | None
    ) -> Member | None:
        known = self._assigned.get(caller)
        if known is not None and known.node in self._members:
            return self._members[known.node]
        if not self._members:
            return None
        limit = MAX_PREFERRED_LOAD_RATIO * len(self._assigned) / len(self._members)
        for group in self._by_distance(failure_domain):
            member = min(group, key=self._load_key_in_failure_domain)
            if self._caller_counts.get(member.node, 0) <= limit:
                return member
        return min(self._members.values(), key=self._load_key)

    def _by_distance(self, failure_domain: FailureDomainName | None) -> list[list[Member]]:
        """Lists the members of a failure domain, then those of its region; no empty groups."""
        local = [
            member for member in self._members.values() if member.failure_domain == failure_domain
        ]
        if not local:
            return []
        region = local[0].region
        same_region = [member for member in self._members.values() if member.region == region]
        return [local, same_region]

    def _choose_failover(self, chosen: list[Member]) -> Member | None:
        domains = {member.failure_domain for member in chosen}
        nodes = {member.node for member in chosen}
        others = [member for member in self._members.values() if member.node not in nodes]
        if not others:
            return None
        region = chosen[0].region

        def preference(member: Member) -> tuple[bool, bool, int, int]:
            in_other_region = _is_in_other_region(member, region)
            return (member.failure_domain in domains, in_other_region, *self._load_key(member))

        return min(others, key=preference)

    def _load_key(self, member: Member) -> tuple[int, int]:
        return self._caller_counts.get(member.node, 0), self._tie_break_ranks[member.node].in_fleet

    def _load_key_in_failure_domain(self, member: Member) -> tuple[int, int]:
        return (
            self._caller_counts.get(member.node, 0),
            self._tie_break_ranks[member.node].in_failure_domain,
        )

    def _assign(self, caller: CallerId, node: NodeId, now: float) -> None:
        self._release(caller)
        self._assigned[caller] = _Assignment(node=node, expires_at=now + self._answer_lifetime_s)
        self._caller_counts[node] = self._caller_counts.get(node, 0) + 1
        if len(self._assigned) > MAX_CALLERS:
            self._release(next(iter(self._assigned)))

    def _expire(self, now: float) -> None:
        while self._assigned:
            caller, assignment = next(iter(self._assigned.items()))
            if assignment.expires_at > now:
                return
            self._release(caller)

    def _release(self, caller: CallerId) -> None:
        assignment = self._assigned.pop(caller, None)
        if assignment is None:
            return
        remaining = self._caller_counts[assignment.node] - 1
        if remaining:
            self._caller_counts[assignment.node] = remaining
            return
        del self._caller_counts[assignment.node]


def _is_in_other_region(member: Member, region: RegionName) -> bool:
    return member.region != region


def _rotated_ranks(local_node: NodeId, members: list[Member]) -> dict[NodeId, _TieBreakRanks]:
    """Numbers the members of each failure domain and of the fleet.

    All nodes use the same ring of members, but each starts to count at its own position.
    """
    ring = sorted(members, key=lambda member: xxh64_intdigest(member.node.encode()))
    start = next((rank for rank, member in enumerate(ring) if member.node == local_node), 0)
    fleet = _ranks_from(start, ring)
    in_failure_domain: dict[NodeId, int] = {}
    for domain in {member.failure_domain for member in members}:
        in_domain = [member for member in ring if member.failure_domain == domain]
        in_failure_domain.update(_ranks_from(start, in_domain))
    return {
        node: _TieBreakRanks(in_failure_domain=in_failure_domain[node], in_fleet=fleet[node])
        for node in fleet
    }


def _ranks_from(start: int, ring: list[Member]) -> dict[NodeId, int]:
    size = len(ring)
    return {member.node: (rank - start) % size for rank, member in enumerate(ring)}


def _address_of(member: Member) -> EntryAddress:
    return EntryAddress(
        host=member.host,
        port=member.callers_port,
        node=member.node,
        failure_domain=member.failure_domain,
    )
