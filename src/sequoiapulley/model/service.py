"""Services, their instances and the upstreams that serve each instance."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import (
    ContractName,
    FailureDomainName,
    InstanceName,
    ServiceName,
    ShardId,
    UpstreamName,
)


class Upstream(Struct, frozen=True):
    """One server process that holds a replica of an instance."""

    name: UpstreamName
    failure_domain: FailureDomainName
    host: str
    """IP address."""
    port: int
    draining: bool = False
    """Set by an operator to take the upstream out of new work."""


class Instance(Struct, frozen=True):
    """One shard of a service, held by every one of its upstreams."""

    name: InstanceName
    upstreams: tuple[Upstream, ...]

    @property
    def shard(self) -> ShardId:
        """The shard that this instance holds."""
        return ShardId(self.name)


class SearchPolicy(Struct, frozen=True):
    """How searches of a service trade time against coverage."""

    deadline_ms: float = 60.0
    """Time limit of a search whose caller names none."""
    min_coverage: float = 0.0
    """Share of shards, 0 to 1, below which an answer is refused as incomplete."""
    wait_for_coverage: bool = True
    """Wait until the deadline for missing shards; otherwise answer at `early_ms`."""
    early_ms: float = 40.0
    """When `wait_for_coverage` is off, time after which an answer that meets
    `min_coverage` is sent."""


class Objectives(Struct, frozen=True):
    """Service-level objectives, each a share from 0 to 1."""

    in_time: float = 0.99
    full_coverage: float = 0.99
    not_refused: float = 0.999


class Service(Struct, frozen=True):
    """A service that callers name, and the services it depends on."""

    name: ServiceName
    contract: ContractName
    instances: tuple[Instance, ...]
    depends_on: tuple[ServiceName, ...] = ()
    search: SearchPolicy = SearchPolicy()
    objectives: Objectives = Objectives()
    weight: int = 1
    """Share of the system under overload, relative to other services."""
