"""Sizes that the capacity page is computed for."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

DAY_S: Final = 86_400


class Sizes(Struct, frozen=True, kw_only=True):
    """One fleet and what it has to carry."""

    name: str
    """Name of the column on the page."""
    nodes: int
    """Nodes of the system."""
    upstreams: int
    """Upstreams of all services."""
    instances: int
    """Instances, each a shard with its replicas."""
    queries_per_s: float
    """Searches a second over all entries."""
    fan_out: int
    """Shards of one search."""
    slots: int
    """Slots of an upstream under its contract."""
    connections: int
    """Connections that an upstream accepts under its contract."""
    p99_s: float
    """Time within which 99 of 100 answers are due, in seconds."""
    changes_per_day: float
    """Changes of the configuration."""
    lost_per_day: float
    """VMs that fail."""
    restarts_per_day: float
    """VMs restarted or replaced."""
    failure_domains: int
    """Failure domains."""
    regions: int
    """Regions."""

    @property
    def queries_per_node(self) -> float:
        """Searches a second at one entry."""
        return self.queries_per_s / self.nodes

    @property
    def subs_per_node(self) -> float:
        """Sub-requests a second at one home."""
        return self.queries_per_node * self.fan_out

    @property
    def subs_per_upstream(self) -> float:
        """Sub-requests a second at one upstream."""
        return self.queries_per_s * self.fan_out / self.upstreams

    @property
    def homes_per_query(self) -> float:
        """Homes that the shards of one search fall to, drawn at random from all instances."""
        groups_each = self.instances / self.nodes
        untouched = (1 - self.fan_out / self.instances) ** groups_each
        return self.nodes * (1 - untouched)


TARGET: Final = Sizes(
    name="target",
    nodes=590,
    upstreams=4_300,
    instances=2_150,
    queries_per_s=80_000,
    fan_out=560,
    slots=2,
    connections=55,
    p99_s=0.063,
    changes_per_day=590,
    lost_per_day=17,
    restarts_per_day=350,
    failure_domains=7,
    regions=2,
)
_TODAY_NODES: Final = 18
_TODAY_SHARE: Final = _TODAY_NODES / TARGET.nodes
TODAY: Final = Sizes(
    name="today",
    nodes=_TODAY_NODES,
    upstreams=106,
    instances=52,
    queries_per_s=TARGET.queries_per_s * _TODAY_SHARE,
    fan_out=52,
    slots=2,
    connections=55,
    p99_s=TARGET.p99_s,
    changes_per_day=TARGET.changes_per_day * _TODAY_SHARE,
    lost_per_day=TARGET.lost_per_day * _TODAY_SHARE,
    restarts_per_day=TARGET.restarts_per_day * _TODAY_SHARE,
    failure_domains=3,
    regions=3,
)
