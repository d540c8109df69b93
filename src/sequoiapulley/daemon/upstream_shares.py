"""One node's share of each upstream's connections and slots."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import InstanceName, NodeId, ServiceName, UpstreamName
from sequoiapulley.model import Configuration, Contract
from sequoiapulley.search.home_resolver import HomeResolver

SPARE_CONNECTIONS: Final = 2
"""Connections beyond two per slot, for hedged requests and to replace unresponsive connections."""
HEALTH_CONNECTIONS: Final = 1
"""Connections that are reserved for the health poller."""


class LocalHomeResolver:
    """Resolves every instance to this node as its only home, for direct fan-out."""

    def __init__(self, local_node: NodeId) -> None:
        """Initialise the resolver.

        Args:
            local_node: This node.
        """
        self._homes = (local_node,)

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns this node as the only home."""
        return self._homes


class HomeRank(Enum):
    """Rank of this node among the homes of an instance, according to its own view."""

    PREFERRED = "preferred"
    STANDBY = "standby"
    """Second in the ranking; takes over when the preferred home is lost."""
    NONE = "none"


class UpstreamShare(Struct, frozen=True):
    """Limits for this node's use of one upstream."""

    connections: int
    slots: int
    rank: HomeRank


class UpstreamShares:
    """Computes this node's share of all upstreams from the configuration and the homes' ranking.

    A preferred home needs two connections per slot and a few spare ones. A node that is not a home
    in its own view may still receive work from a node whose view differs, so it has a share of one
    connection, which is opened on demand. The sum of all shares may therefore exceed the contract;
    the number of open connections is far below it while all nodes have the same view, as work then
    goes to the homes only.
    """

    def __init__(
        self,
        local_node: NodeId,
        configuration: Configuration,
        homes: HomeResolver,
        preferred_homes: int = 1,
    ) -> None:
        """Computes every share.

        Args:
            local_node: This node.
            configuration: The active configuration.
            homes: Ranks the homes of an instance.
            preferred_homes: Number of nodes that are each a preferred home of an instance: 1, or
                with direct fan-out the number of live nodes.
        """
        self._shares: dict[UpstreamName, UpstreamShare] = {}
        for service in configuration.services.values():
            contract = configuration.contract_of(service)
            for instance in service.instances:
                ranked = homes.homes_of(service.name, instance.name)
                share = _share(contract, _rank_of(local_node, ranked), preferred_homes)
                for upstream in instance.upstreams:
                    self._shares[upstream.name] = share

    def connections(self, upstream: UpstreamName) -> int:
        """Returns the number of connections that this node may hold to an upstream."""
        return self._shares[upstream].connections

    def slots(self, upstream: UpstreamName) -> int:
        """Returns the number of requests that this node may run on an upstream at once."""
        return self._shares[upstream].slots

    def home_upstreams(self) -> frozenset[UpstreamName]:
        """Returns the upstreams whose preferred home is this node."""
        return frozenset(
            name for name, share in self._shares.items() if share.rank is HomeRank.PREFERRED
        )


def _rank_of(local_node: NodeId, ranked: tuple[NodeId, ...]) -> HomeRank:
    """Returns this node's rank in a list of homes, the preferred one first."""
    if ranked[:1] == (local_node,):
        return HomeRank.PREFERRED
    return HomeRank.STANDBY if ranked[1:2] == (local_node,) else HomeRank.NONE


def _share(contract: Contract, rank: HomeRank, preferred_homes: int) -> UpstreamShare:
    """Computes the share of an upstream for a node of one rank.

    Args:
        contract: Limits of the upstream.
        rank: Rank of the node.
        preferred_homes: Number of nodes that divide the limits among them.
    """
    if rank is HomeRank.PREFERRED and preferred_homes > 1:
        connections = max(1, contract.connections // preferred_homes - HEALTH_CONNECTIONS)
        return UpstreamShare(connections, max(1, contract.slots // preferred_homes), rank)
    if rank is HomeRank.PREFERRED:
        wanted = 2 * contract.slots + SPARE_CONNECTIONS
        allowed = max(1, contract.connections - HEALTH_CONNECTIONS)
        return UpstreamShare(min(wanted, allowed), contract.slots, rank)
    if rank is HomeRank.STANDBY:
        wanted = contract.slots + 1
        return UpstreamShare(min(wanted, contract.connections), contract.slots, rank)
    return UpstreamShare(1, 1, rank)
