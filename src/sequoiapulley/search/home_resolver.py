"""Interface that ranks the home nodes of an instance: the nodes that query its upstreams."""

from __future__ import annotations

from typing import Protocol

from sequoiapulley.ids import InstanceName, NodeId, ServiceName


class HomeResolver(Protocol):
    """Ranks the home nodes of an instance by this node's view, which other nodes may not share."""

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns the home nodes of an instance, the preferred one first."""
