"""Assigns home nodes to every instance, in order of preference."""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil
from typing import Final

from msgspec import Struct
from xxhash import xxh64_intdigest

from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.ids import FailureDomainName, InstanceName, NodeId, RegionName, ServiceName
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.service import Instance

HOMES_PER_INSTANCE: Final = 3
CANDIDATES_PER_INSTANCE: Final = 16
"""Ranked nodes kept per instance.

More than the choices, so that a few removed nodes do not require ranking all members again.
"""
CHOICES_PER_INSTANCE: Final = 8
"""First candidates, from which the homes are chosen."""
MAX_LOAD_RATIO: Final = 1.25
"""Number of instances, relative to the mean, at which a preferred home gets no further ones.

It is exceeded if all choices of an instance have reached it.
"""
HOME_STATES: Final = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

InstanceKey = tuple[ServiceName, InstanceName]


class _Candidate(Struct, frozen=True, order=True):
    """Rank of a node as a home of an instance; the smallest is preferred."""

    distance: int
    """0 in a failure domain of the instance's upstreams, 1 in one of their regions, 2 elsewhere."""
    score: int
    """Rendezvous hash of the node and the instance."""
    node: NodeId


class _Ranking(Struct):
    """The nodes that rank highest for one instance, and the homes chosen among them."""

    seed: int
    """Hash of the instance's key."""
    failure_domains: frozenset[FailureDomainName]
    regions: frozenset[RegionName]
    candidates: list[_Candidate]
    """The highest-ranked nodes, in order of preference."""
    complete: bool = True
    """Whether `candidates` contains every usable member."""
    homes: tuple[NodeId, ...] = ()


class HomeMap:
    """Assigns homes by rendezvous hashing with bounded loads.

    Nodes with the same configuration and the same view of the fleet compute the same homes.
    """

    def __init__(self) -> None:
        """Initialise a map without instances and members."""
        self._rankings: dict[InstanceKey, _Ranking] = {}
        self._rankings_by_seed: list[_Ranking] = []
        self._members: dict[NodeId, Member] = {}

    def configure(self, configuration: Configuration) -> None:
        """Replaces the configuration and reassigns homes."""
        rankings: dict[InstanceKey, _Ranking] = {}
        for service in configuration.services.values():
            for instance in service.instances:
                key = (service.name, instance.name)
                rankings[key] = self._make_ranking(key, instance, configuration)
        self._rankings = rankings
        self._rankings_by_seed = sorted(rankings.values(), key=lambda ranking: ranking.seed)
        self._assign_homes()

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Updates the view of the fleet and reassigns homes if usable nodes changed."""
        usable = {member.node: member for member in members if member.state in HOME_STATES}
        old = self._members
        removed = {node for node in old if _is_absent_or_moved(old[node], usable.get(node))}
        added = [
            member for node, member in usable.items() if _is_absent_or_moved(member, old.get(node))
        ]
        if not removed and not added:
            return
        self._members = usable
        for ranking in self._rankings.values():
            self._update_ranking(ranking, removed, added)
        self._assign_homes()

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns the homes of an instance, the preferred one first.

        Args:
            service: Name of the service.
            instance: Name of an instance of the service.

        Returns:
            Up to three nodes; empty for an unknown instance or without usable members.
        """
        ranking = self._rankings.get((service, instance))
        return ranking.homes if ranking is not None else ()

    def instances_at(self, node: NodeId) -> tuple[InstanceKey, ...]:
        """Lists the instances for which a node is the preferred home."""
        return tuple(key for key, ranking in self._rankings.items() if ranking.homes[:1] == (node,))

    def _make_ranking(
        self, key: InstanceKey, instance: Instance, configuration: Configuration
    ) -> _Ranking:
        domains = frozenset(upstream.failure_domain for upstream in instance.upstreams)
        known = [
            configuration.failure_domains[domain]
            for domain in domains
            if domain in configuration.failure_domains
        ]
        ranking = _Ranking(
            seed=xxh64_intdigest("/".join(key).encode()),
            failure_domains=domains,
            regions=frozenset(domain.region for domain in known),
            candidates=[],
        )
        old = self._rankings.get(key)
        if old is not None and (old.failure_domains, old.regions) == (
            ranking.failure_domains,
            ranking.regions,
        ):
            return old
        self._rank_members(ranking)
        return ranking

    def _rank_members(self, ranking: _Ranking) -> None:
        """Ranks the members in the upstreams' failure domains, or all if these are too few."""
        local = [
            member
            for member in self._members.values()
            if member.failure_domain in ranking.failure_domains
        ]
        eligible = local if len(local) >= CANDIDATES_PER_INSTANCE else list(self._members.values())
        ranking.candidates = _ranked(ranking, eligible)[:CANDIDATES_PER_INSTANCE]
        ranking.complete = len(ranking.candidates) == len(self._members)

    def _update_ranking(self, ranking: _Ranking, removed: set[NodeId], added: list[Member]) -> None:
        """Updates the ranking of one instance; nodes that stayed are not hashed again."""
        remaining = [candidate for candidate in ranking.candidates if candidate.node not in removed]
        too_few = not ranking.complete and len(remaining) < CHOICES_PER_INSTANCE
        if too_few or len(added) > CANDIDATES_PER_INSTANCE:
            self._rank_members(ranking)
            return
        last = remaining[-1] if remaining else None
        for member in added:
            candidate = _candidate(ranking, member)
            if not ranking.complete and last is not None and candidate > last:
                continue
            remaining.append(candidate)
        remaining.sort()
        ranking.candidates = remaining[:CANDIDATES_PER_INSTANCE]
        ranking.complete = len(ranking.candidates) == len(self._members)

    def _assign_homes(self) -> None:
        """Assigns each instance its first choice below the load limit, else the least loaded."""
        if not self._members:
            for ranking in self._rankings.values():
                ranking.homes = ()
            return
        max_load = ceil(MAX_LOAD_RATIO * len(self._rankings) / len(self._members))
        loads: dict[NodeId, int] = dict.fromkeys(self._members, 0)
        for ranking in self._rankings_by_seed:
            # The number of candidates depends on the order of earlier changes, which may differ
            # between nodes. The first ones are the same on every node.
            choices = [candidate.node for candidate in ranking.candidates[:CHOICES_PER_INSTANCE]]
            first = next((node for node in choices if loads[node] < max_load), None)
            if first is None:
                first = min(choices, key=loads.__getitem__)
            loads[first] += 1
            others = [node for node in choices if node != first]
            ranking.homes = (first, *others[: HOMES_PER_INSTANCE - 1])


def _is_absent_or_moved(member: Member, other: Member | None) -> bool:
    """Returns whether a member is absent from another view or has another location there."""
    return (
        other is None
        or other.failure_domain != member.failure_domain
        or other.region != member.region
    )


def _ranked(ranking: _Ranking, members: Iterable[Member]) -> list[_Candidate]:
    return sorted(_candidate(ranking, member) for member in members)


def _candidate(ranking: _Ranking, member: Member) -> _Candidate:
    distance = 2
    if member.region in ranking.regions:
        distance = 1
    if member.failure_domain in ranking.failure_domains:
        distance = 0
    return _Candidate(
        distance=distance,
        score=xxh64_intdigest(member.node.encode(), ranking.seed),
        node=member.node,
    )
