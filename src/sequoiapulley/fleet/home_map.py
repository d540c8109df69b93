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

HOMES_PER_GROUP: Final = 3
CANDIDATES_PER_GROUP: Final = 16
CHOICES_PER_GROUP: Final = 8
MAX_LOAD_RATIO: Final = 1.25
HOME_STATES: Final = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

GroupKey = tuple[ServiceName, InstanceName]


class _Candidate(Struct, frozen=True, order=True):
    """A node's claim on a group; the smallest comes first."""

    distance: int
    """0 in a failure domain of the upstreams, 1 in a region of theirs, 2 elsewhere."""
    score: int
    node: NodeId


class _Group(Struct):
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
        self._groups: dict[GroupKey, _Group] = {}
        self._ordered: list[_Group] = []
        self._members: dict[NodeId, Member] = {}

    def configure(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
        groups: dict[GroupKey, _Group] = {}
        for service in configuration.services.values():
            for instance in service.instances:
                key = (service.name, instance.name)
                groups[key] = self._make_group(key, instance, configuration)
        self._groups = groups
        self._ordered = sorted(groups.values(), key=lambda group: group.seed)
        self._assign()

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Takes the present view of the fleet."""
        usable = {member.node: member for member in members if member.state in HOME_STATES}
        old = self._members
        gone = {node for node in old if _moved(old[node], usable.get(node))}
        added = [member for node, member in usable.items() if _moved(member, old.get(node))]
        if not gone and not added:
            return
        self._members = usable
        for group in self._groups.values():
            self._adjust(group, gone, added)
        self._assign()

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns the homes of an instance, the preferred one first.

        Args:
            service: A service of the configuration.
            instance: One of its instances.

        Returns:
            Up to three nodes; empty for an unknown instance or without live members.
        """
        group = self._groups.get((service, instance))
        return group.homes if group is not None else ()

    def instances_at(self, node: NodeId) -> tuple[GroupKey, ...]:
        """Lists the instances whose preferred home is a node."""
        return tuple(key for key, group in self._groups.items() if group.homes[:1] == (node,))

    def _make_group(
        self, key: GroupKey, instance: Instance, configuration: Configuration
    ) -> _Group:
        domains = frozenset(upstream.failure_domain for upstream in instance.upstreams)
        known = [
            configuration.failure_domains[domain]
            for domain in domains
            if domain in configuration.failure_domains
        ]
        group = _Group(
            seed=xxh64_intdigest("/".join(key).encode()),
            failure_domains=domains,
            regions=frozenset(domain.region for domain in known),
            candidates=[],
        )
        old = self._groups.get(key)
        if old is not None and (old.failure_domains, old.regions) == (
            group.failure_domains,
            group.regions,
        ):
            return old
        self._rank_all(group)
        return group

    def _rank_all(self, group: _Group) -> None:
        near = [
            member
            for member in self._members.values()
            if member.failure_domain in group.failure_domains
        ]
        enough = near if len(near) >= CANDIDATES_PER_GROUP else list(self._members.values())
        group.candidates = _ranked(group, enough)[:CANDIDATES_PER_GROUP]
        group.complete = len(group.candidates) == len(self._members)

    def _adjust(self, group: _Group, gone: set[NodeId], added: list[Member]) -> None:
        """Updates the ranking of one group without hashing the nodes that stayed."""
        kept = [candidate for candidate in group.candidates if candidate.node not in gone]
        too_few = not group.complete and len(kept) < CHOICES_PER_GROUP
        if too_few or len(added) > CANDIDATES_PER_GROUP:
            self._rank_all(group)
            return
        worst = kept[-1] if kept else None
        for member in added:
            candidate = _candidate(group, member)
            if not group.complete and worst is not None and candidate > worst:
                continue
            kept.append(candidate)
        kept.sort()
        group.candidates = kept[:CANDIDATES_PER_GROUP]
        group.complete = len(group.candidates) == len(self._members)

    def _assign(self) -> None:
        """Gives each group its best choice below the load bound, else the least loaded one."""
        if not self._members:
            for group in self._groups.values():
                group.homes = ()
            return
        bound = ceil(MAX_LOAD_RATIO * len(self._groups) / len(self._members))
        loads: dict[NodeId, int] = dict.fromkeys(self._members, 0)
        for group in self._ordered:
            # The same choices on every node, however many candidates it happens to keep.
            choices = [candidate.node for candidate in group.candidates[:CHOICES_PER_GROUP]]
            first = next((node for node in choices if loads[node] < bound), None)
            if first is None:
                first = min(choices, key=loads.__getitem__)
            loads[first] += 1
            others = [node for node in choices if node != first]
            group.homes = (first, *others[: HOMES_PER_GROUP - 1])


def _moved(member: Member, other: Member | None) -> bool:
    """Whether a member is absent from the other view or stands in another failure domain there."""
    return (
        other is None
        or other.failure_domain != member.failure_domain
        or other.region != member.region
    )


def _ranked(group: _Group, members: Iterable[Member]) -> list[_Candidate]:
    return sorted(_candidate(group, member) for member in members)


def _candidate(group: _Group, member: Member) -> _Candidate:
    distance = 2
    if member.region in group.regions:
        distance = 1
    if member.failure_domain in group.failure_domains:
        distance = 0
    return _Candidate(
        distance=distance, score=xxh64_intdigest(member.node.encode(), group.seed), node=member.node
    )
