"""Deployment sizes for which the capacity page is computed."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

DAY_S: Final = 86_400


class Sizes(Struct, frozen=True, kw_only=True):
    """Size of one deployment and the load on it."""

    name: str
    """Name of the deployment size."""
    nodes: int
    """Number of nodes."""
    upstreams: int
    """Number of upstreams over all services."""
    instances: int
    """Number of instances; each is one shard with its replicas."""
    queries_per_s: float
    """Searches per second over all entry nodes."""
    fan_out: int
    """Number of shards in one search."""
    slots: int
    """Number of requests that an upstream serves concurrently under its contract."""
    connections: int
    """Number of connections that an upstream accepts under its contract."""
    p99_s: float
    """Limit of the 99th percentile of answer times, in seconds."""
    changes_per_day: float
    """Configuration changes per day."""
    lost_per_day: float
    """VM failures per day."""
    restarts_per_day: float
    """VM restarts and replacements per day."""
    failure_domains: int
    """Number of failure domains."""
    regions: int
    """Number of regions."""

    @property
    def queries_per_node(self) -> float:
        """Searches per second at one entry node."""
        return self.queries_per_s / self.nodes

    @property
    def subs_per_node(self) -> float:
        """Sub-requests per second at one home."""
        return self.queries_per_node * self.fan_out

    @property
    def subs_per_upstream(self) -> float:
        """Sub-requests per second at one upstream."""
        return self.queries_per_s * self.fan_out / self.upstreams

    @property
    def homes_per_query(self) -> float:
        """Expected homes of one search whose shards are drawn at random from all instances."""
        instances_per_node = self.instances / self.nodes
        share_without_shard = (1 - self.fan_out / self.instances) ** instances_per_node
        return self.nodes * (1 - share_without_shard)


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
