"""Which nodes serve an instance, as the entry asks it."""

from __future__ import annotations

from typing import Protocol

from sequoiapulley.ids import InstanceName, NodeId, ServiceName


class HomeResolver(Protocol):
    """Ranks the homes of an instance by this node's own view, which may differ from others'."""

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Lists the homes of an instance, the preferred one first."""
