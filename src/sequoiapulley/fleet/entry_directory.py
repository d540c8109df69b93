"""Chooses the addresses that a caller should connect to."""

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


class EntryAddress(Struct, frozen=True):
    """The callers' port of one node."""

    host: str
    port: int
    node: NodeId
    failure_domain: FailureDomainName


class EntryAnswer(Struct, frozen=True):
    """Addresses in order of preference, and how long they may be used."""

    addresses: tuple[EntryAddress, ...]
    lifetime_s: float


class _TieBreakRanks(Struct, frozen=True):
    """A node's turn among nodes of equal load; it differs from directory to directory."""

    in_failure_domain: int
    in_fleet: int


class _Assignment(Struct):
    """The first address given to a caller."""

    node: NodeId
    expires_at: float
    """Clock reading in seconds."""


class EntryDirectory:
    """Spreads callers evenly over the nodes near them.

    Each directory balances the callers that asked it; ties are broken in an order that differs
    from node to node, so that the remainders of many directories do not add up on one node.
    """

    def __init__(self, local_node: NodeId, answer_lifetime_s: float = ENTRY_LIFETIME_S) -> None:
        """Initialise a directory without members.

        Args:
            me: The node that answers.
            lifetime: Seconds for which callers keep an answer.
        """
        self._local_node = local_node
        self._answer_lifetime_s = answer_lifetime_s
        self._members: dict[NodeId, Member] = {}
        self._tie_break_ranks: dict[NodeId, _TieBreakRanks] = {}
        self._assigned: OrderedDict[CallerId, _Assignment] = OrderedDict()
        self._caller_counts: dict[NodeId, int] = {}

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Takes the present view of the fleet; nodes that leave or died are not given out."""
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
            caller: Who asks.
            failure_domain: The caller's nearest failure domain, if it is known.
            now: Clock reading in seconds.

        Returns:
            Up to three addresses, the first one for use, the others for failover, in as many
            different failure domains as there are.
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
        """Lists the members in a failure domain, then those in its region, without empty groups."""
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

    The numbering starts at another member in each node.
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
