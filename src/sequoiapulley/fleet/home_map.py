"""Assigns every instance to a short ranked list of home nodes."""

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
CHOICES_PER_INSTANCE: Final = 8
MAX_LOAD_RATIO: Final = 1.25
HOME_STATES: Final = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

InstanceKey = tuple[ServiceName, InstanceName]


class _Candidate(Struct, frozen=True, order=True):
    """A node's claim on a group; the smallest comes first."""

    distance: int
    """0 in a failure domain of the upstreams, 1 in a region of theirs, 2 elsewhere."""
    score: int
    node: NodeId


class _Ranking(Struct):
    """One instance and the nodes that rank highest for it."""

    seed: int
    failure_domains: frozenset[FailureDomainName]
    regions: frozenset[RegionName]
    candidates: list[_Candidate]
    """The nodes that rank highest, in order."""
    complete: bool = True
    """Whether `candidates` holds every member."""
    homes: tuple[NodeId, ...] = ()


class HomeMap:
    """Ranked homes by rendezvous hashing with bounded load.

    Two nodes with the same configuration and the same view of the fleet compute the same homes.
    """

    def __init__(self) -> None:
        """Initialise a map without instances and members."""
        self._rankings: dict[InstanceKey, _Ranking] = {}
        self._rankings_by_seed: list[_Ranking] = []
        self._members: dict[NodeId, Member] = {}

    def configure(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
        rankings: dict[InstanceKey, _Ranking] = {}
        for service in configuration.services.values():
            for instance in service.instances:
                key = (service.name, instance.name)
                rankings[key] = self._make_ranking(key, instance, configuration)
        self._rankings = rankings
        self._rankings_by_seed = sorted(rankings.values(), key=lambda ranking: ranking.seed)
        self._assign_homes()

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Takes the present view of the fleet."""
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
            service: A service of the configuration.
            instance: One of its instances.

        Returns:
            Up to three nodes; empty for an unknown instance or without live members.
        """
        ranking = self._rankings.get((service, instance))
        return ranking.homes if ranking is not None else ()

    def instances_at(self, node: NodeId) -> tuple[InstanceKey, ...]:
        """Lists the instances whose preferred home is a node."""
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
        local = [
            member
            for member in self._members.values()
            if member.failure_domain in ranking.failure_domains
        ]
        eligible = local if len(local) >= CANDIDATES_PER_INSTANCE else list(self._members.values())
        ranking.candidates = _ranked(ranking, eligible)[:CANDIDATES_PER_INSTANCE]
        ranking.complete = len(ranking.candidates) == len(self._members)

    def _update_ranking(self, ranking: _Ranking, removed: set[NodeId], added: list[Member]) -> None:
        """Updates the ranking of one group without hashing the nodes that stayed."""
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
        """Gives each group its best choice below the load bound, else the least loaded one."""
        if not self._members:
            for ranking in self._rankings.values():
                ranking.homes = ()
            return
        max_load = ceil(MAX_LOAD_RATIO * len(self._rankings) / len(self._members))
        loads: dict[NodeId, int] = dict.fromkeys(self._members, 0)
        for ranking in self._rankings_by_seed:
            # The same choices on every node, however many candidates it happens to keep.
            choices = [candidate.node for candidate in ranking.candidates[:CHOICES_PER_INSTANCE]]
            first = next((node for node in choices if loads[node] < max_load), None)
            if first is None:
                first = min(choices, key=loads.__getitem__)
            loads[first] += 1
            others = [node for node in choices if node != first]
            ranking.homes = (first, *others[: HOMES_PER_INSTANCE - 1])


def _is_absent_or_moved(member: Member, other: Member | None) -> bool:
    """Whether a member is absent from the other view or stands in another failure domain there."""
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
