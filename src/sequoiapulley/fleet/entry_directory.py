"""Chooses the addresses that a caller should connect to."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from msgspec import Struct
from xxhash import xxh64_intdigest

from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.ids import CallerId, FailureDomainName, NodeId, RegionName

ENTRY_LIFETIME_S: Final = 30.0
ENTRY_ADDRESSES: Final = 3
MAX_CALLERS: Final = 20_000
NEAR_OVERLOAD_RATIO: Final = 1.1


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


class _Turns(Struct, frozen=True):
    """A node's turn among nodes of equal load; it differs from directory to directory."""

    in_failure_domain: int
    in_fleet: int


class _Assignment(Struct):
    """The first address given to a caller."""

    node: NodeId
    expires: float
    """Clock reading in seconds."""


class EntryDirectory:
    """Spreads callers evenly over the nodes near them.

    Each directory balances the callers that asked it; ties are broken in an order that differs
    from node to node, so that the remainders of many directories do not add up on one node.
    """

    def __init__(self, me: NodeId, lifetime: float = ENTRY_LIFETIME_S) -> None:
        """Initialise a directory without members.

        Args:
            me: The node that answers.
            lifetime: Seconds for which callers keep an answer.
        """
        self._me = me
        self._lifetime = lifetime
        self._members: dict[NodeId, Member] = {}
        self._turns: dict[NodeId, _Turns] = {}
        self._assigned: OrderedDict[CallerId, _Assignment] = OrderedDict()
        self._counts: dict[NodeId, int] = {}

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Takes the present view of the fleet; nodes that leave or died are not given out."""
        usable = [member for member in members if member.state is MemberState.ALIVE]
        if not usable:
            usable = [member for member in members if member.state is MemberState.SUSPECT]
        self._members = {member.node: member for member in usable}
        self._turns = _rotated_turns(self._me, usable)

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
        first = self._first(caller, failure_domain)
        if first is None:
            return EntryAnswer(addresses=(), lifetime_s=self._lifetime)
        self._assign(caller, first.node, now)
        chosen = [first]
        while len(chosen) < ENTRY_ADDRESSES:
            member = self._failover(chosen)
            if member is None:
                break
            chosen.append(member)
        addresses = tuple(_address_of(member) for member in chosen)
        return EntryAnswer(addresses=addresses, lifetime_s=self._lifetime)

    def _first(self, caller: CallerId, failure_domain: FailureDomainName | None) -> Member | None:
        known = self._assigned.get(caller)
        if known is not None and known.node in self._members:
            return self._members[known.node]
        if not self._members:
            return None
        limit = NEAR_OVERLOAD_RATIO * len(self._assigned) / len(self._members)
        for group in self._by_distance(failure_domain):
            member = min(group, key=self._burden_in_failure_domain)
            if self._counts.get(member.node, 0) <= limit:
                return member
        return min(self._members.values(), key=self._burden)

    def _by_distance(self, failure_domain: FailureDomainName | None) -> list[list[Member]]:
        """Lists the members in a failure domain, then those in its region, without empty groups."""
        near = [
            member for member in self._members.values() if member.failure_domain == failure_domain
        ]
        if not near:
            return []
        region = near[0].region
        same_region = [member for member in self._members.values() if member.region == region]
        return [near, same_region]

    def _failover(self, chosen: list[Member]) -> Member | None:
        domains = {member.failure_domain for member in chosen}
        nodes = {member.node for member in chosen}
        others = [member for member in self._members.values() if member.node not in nodes]
        if not others:
            return None
        region = chosen[0].region

        def preference(member: Member) -> tuple[bool, bool, int, int]:
            far = _is_far(member, region)
            return (member.failure_domain in domains, far, *self._burden(member))

        return min(others, key=preference)

    def _burden(self, member: Member) -> tuple[int, int]:
        return self._counts.get(member.node, 0), self._turns[member.node].in_fleet

    def _burden_in_failure_domain(self, member: Member) -> tuple[int, int]:
        return self._counts.get(member.node, 0), self._turns[member.node].in_failure_domain

    def _assign(self, caller: CallerId, node: NodeId, now: float) -> None:
        self._release(caller)
        self._assigned[caller] = _Assignment(node=node, expires=now + self._lifetime)
        self._counts[node] = self._counts.get(node, 0) + 1
        if len(self._assigned) > MAX_CALLERS:
            self._release(next(iter(self._assigned)))

    def _expire(self, now: float) -> None:
        while self._assigned:
            caller, assignment = next(iter(self._assigned.items()))
            if assignment.expires > now:
                return
            self._release(caller)

    def _release(self, caller: CallerId) -> None:
        assignment = self._assigned.pop(caller, None)
        if assignment is None:
            return
        left = self._counts[assignment.node] - 1
        if left:
            self._counts[assignment.node] = left
            return
        del self._counts[assignment.node]


def _is_far(member: Member, region: RegionName) -> bool:
    return member.region != region


def _rotated_turns(me: NodeId, members: list[Member]) -> dict[NodeId, _Turns]:
    """Numbers the members of each failure domain and of the fleet.

    The numbering starts at another member in each node.
    """
    ring = sorted(members, key=lambda member: xxh64_intdigest(member.node.encode()))
    start = next((rank for rank, member in enumerate(ring) if member.node == me), 0)
    fleet = _turns_from(start, ring)
    in_failure_domain: dict[NodeId, int] = {}
    for domain in {member.failure_domain for member in members}:
        here = [member for member in ring if member.failure_domain == domain]
        in_failure_domain.update(_turns_from(start, here))
    return {
        node: _Turns(in_failure_domain=in_failure_domain[node], in_fleet=fleet[node])
        for node in fleet
    }


def _turns_from(start: int, ring: list[Member]) -> dict[NodeId, int]:
    size = len(ring)
    return {member.node: (rank - start) % size for rank, member in enumerate(ring)}


def _address_of(member: Member) -> EntryAddress:
    return EntryAddress(
        host=member.host,
        port=member.callers_port,
        node=member.node,
        failure_domain=member.failure_domain,
    )
