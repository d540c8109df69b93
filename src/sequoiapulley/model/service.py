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
    """A server process that hosts a replica of an instance."""

    name: UpstreamName
    failure_domain: FailureDomainName
    host: str
    """IP address."""
    port: int
    draining: bool = False
    """Whether an operator has excluded the upstream from new work."""


class Instance(Struct, frozen=True):
    """One shard of a service; each of its upstreams hosts a replica."""

    name: InstanceName
    upstreams: tuple[Upstream, ...]

    @property
    def shard(self) -> ShardId:
        """The shard that this instance serves."""
        return ShardId(self.name)


class SearchPolicy(Struct, frozen=True):
    """Trade-off between latency and coverage for the searches of a service.

    A caller may set other values for a search.
    """

    deadline_ms: float = 60.0
    """Default time limit of a search, used if the caller sets none, in milliseconds."""
    min_coverage: float = 0.0
    """Minimum share of covered shards, 0 to 1; an answer below it is marked as incomplete."""
    wait_for_coverage: bool = True
    """Whether to wait for missing shards until the deadline, or to answer at `early_ms`."""
    early_ms: float = 40.0
    """Time in milliseconds after which an answer that reaches `min_coverage` is sent;
    used only if `wait_for_coverage` is off."""


class Objectives(Struct, frozen=True):
    """Service-level objectives, each the target share of good events, from 0 to 1."""

    in_time: float = 0.99
    """Applies to answered searches: those answered before their deadline are good."""
    full_coverage: float = 0.99
    """Applies to answered searches: those without missing shards are good."""
    not_refused: float = 0.999
    """Applies to all searches and non-idempotent requests."""


class Service(Struct, frozen=True):
    """A service that callers address by name, with its dependencies."""

    name: ServiceName
    contract: ContractName
    instances: tuple[Instance, ...]
    depends_on: tuple[ServiceName, ...] = ()
    search: SearchPolicy = SearchPolicy()
    objectives: Objectives = Objectives()
    weight: int = 1
    """Relative share of capacity that the service receives under overload."""
