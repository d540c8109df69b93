"""The share of one node in each upstream's connections and slots."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import InstanceName, NodeId, ServiceName, UpstreamName
from sequoiapulley.model import Configuration, Contract
from sequoiapulley.search.home_resolver import HomeResolver

SPARE_CONNECTIONS: Final = 2
"""Connections beyond two per slot, for hedges and replacements of silent ones."""
HEALTH_CONNECTIONS: Final = 1
"""Connection of the health poller, beside those for work."""


class SelfAsHome:
    """Names one node as the home of everything, for direct fan-out."""

    def __init__(self, me: NodeId) -> None:
        """Initialise the resolver.

        Args:
            me: This node.
        """
        self._homes = (me,)

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns this node."""
        return self._homes


class HomeRank(Enum):
    """What a node is to an instance in its own view."""

    PREFERRED = "preferred"
    STANDBY = "standby"
    """Second in the ranking; takes over when the preferred home is lost."""
    NONE = "none"


class UpstreamShare(Struct, frozen=True):
    """What this node may use of one upstream."""

    connections: int
    slots: int
    rank: HomeRank


class UpstreamShares:
    """Shares of all upstreams, from the configuration and the view of the fleet.

    A home needs two connections per slot and a few to spare. Nodes that are not home in their own
    view may still be asked by a node whose view differs, so they keep a share of one that opens
    on demand. Summed over a fleet with one view the shares stay far below the contract.
    """

    def __init__(
        self, me: NodeId, configuration: Configuration, homes: HomeResolver, owners: int = 1
    ) -> None:
        """Computes every share.

        Args:
            me: This node.
            configuration: The configuration in force.
            homes: Ranks the homes of an instance.
            owners: Nodes that are preferred home of every instance at once; 1 unless each entry
                fans out by itself.
        """
        self._shares: dict[UpstreamName, UpstreamShare] = {}
        for service in configuration.services.values():
            contract = configuration.contract_of(service)
            for instance in service.instances:
                ranked = homes.homes_of(service.name, instance.name)
                share = _share(contract, _rank_of(me, ranked), owners)
                for upstream in instance.upstreams:
                    self._shares[upstream.name] = share

    def connections(self, upstream: UpstreamName) -> int:
        """Returns the connections that this node may hold to an upstream."""
        return self._shares[upstream].connections

    def slots(self, upstream: UpstreamName) -> int:
        """Returns the requests that this node may run on an upstream at the same time."""
        return self._shares[upstream].slots

    def home_upstreams(self) -> frozenset[UpstreamName]:
        """Returns the upstreams whose preferred home is this node."""
        return frozenset(
            name for name, share in self._shares.items() if share.rank is HomeRank.PREFERRED
        )


def _rank_of(me: NodeId, ranked: tuple[NodeId, ...]) -> HomeRank:
    """Finds this node in a ranking."""
    if ranked[:1] == (me,):
        return HomeRank.PREFERRED
    return HomeRank.STANDBY if ranked[1:2] == (me,) else HomeRank.NONE


def _share(contract: Contract, rank: HomeRank, owners: int) -> UpstreamShare:
    """Computes the share of one rank."""
    if rank is HomeRank.PREFERRED and owners > 1:
        connections = max(1, contract.connections // owners - HEALTH_CONNECTIONS)
        return UpstreamShare(connections, max(1, contract.slots // owners), rank)
    if rank is HomeRank.PREFERRED:
        wanted = 2 * contract.slots + SPARE_CONNECTIONS
        allowed = max(1, contract.connections - HEALTH_CONNECTIONS)
        return UpstreamShare(min(wanted, allowed), contract.slots, rank)
    if rank is HomeRank.STANDBY:
        wanted = contract.slots + 1
        return UpstreamShare(min(wanted, contract.connections), contract.slots, rank)
    return UpstreamShare(1, 1, rank)
