"""Builds configurations, requests and replies for the tests of searches and requests."""

from __future__ import annotations

from sequoiapulley.ids import (
    CallerId,
    ConfigVersion,
    ContractName,
    FailureDomainName,
    Fingerprint,
    IdempotencyKey,
    InstanceName,
    NodeId,
    RegionName,
    RequestId,
    ServiceName,
    ShardId,
    UpstreamName,
    WorkspaceName,
)
from sequoiapulley.model import (
    Configuration,
    Contract,
    FailureDomain,
    Instance,
    Service,
    Snapshot,
    Upstream,
)
from sequoiapulley.requests.messages import KeyedRequest
from sequoiapulley.search.messages import Hit, SearchRequest, ShardReply

CTX = ServiceName("ctx")
LEDGER = ServiceName("ledger")
OLD = Snapshot(1, 7)
NEW = Snapshot(1, 8)
HOME_A = NodeId("home-a")
HOME_B = NodeId("home-b")


def make_service(name: ServiceName, prefix: str, size: int, *depends_on: ServiceName) -> Service:
    """Builds a service whose instances are `<prefix>0`, `<prefix>1`, and so on."""
    domain = FailureDomainName("here")
    instances = tuple(
        Instance(
            InstanceName(f"{prefix}{number}"),
            (Upstream(UpstreamName(f"{name}-{prefix}{number}"), domain, "127.0.0.1", 1),),
        )
        for number in range(size)
    )
    return Service(name, ContractName("usual"), instances, depends_on)


def make_configuration(ctx: int = 2, ledger: int = 2) -> Configuration:
    """Builds a ctx service that depends on a ledger service."""
    services = (make_service(CTX, "d", ctx, LEDGER), make_service(LEDGER, "l", ledger))
    domain = FailureDomain(FailureDomainName("here"), RegionName("region"))
    contract = Contract(ContractName("usual"), 2, 60, 6.0)
    return Configuration(
        ConfigVersion(1),
        WorkspaceName("customer"),
        {domain.name: domain},
        {contract.name: contract},
        {service.name: service for service in services},
    )


class FixedHomes:
    """Returns the same homes for every instance, except for those in `of_instance`."""

    def __init__(self, *homes: NodeId) -> None:
        self.homes = homes
        self.of_instance: dict[InstanceName, tuple[NodeId, ...]] = {}

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns the homes of an instance."""
        return self.of_instance.get(instance, self.homes)


def make_search(
    name: str = "search-1",
    deadline: float = 1_000.06,
    min_coverage: float = 0.0,
    early_at: float | None = None,
    limit: int = 10,
) -> SearchRequest:
    """Builds a search of the ctx service."""
    return SearchRequest(
        RequestId(name),
        CallerId("caller"),
        CTX,
        "tile",
        limit,
        deadline,
        min_coverage,
        early_at,
        Fingerprint("print"),
    )


def make_reply(
    shard: str, snapshot: Snapshot | None = OLD, *available: Snapshot, score: float = 1.0
) -> ShardReply:
    """Builds the reply of a covered shard with one hit."""
    hit = Hit(f"{shard}-hit", score, ShardId(shard))
    return ShardReply(ShardId(shard), snapshot, (hit,), None, available)


def make_keyed(
    key: str = "key-1",
    body: str = '{"tile":1}',
    deadline: float = 1_001.0,
    caller: str = "caller",
    name: str = "request-1",
) -> KeyedRequest:
    """Builds a non-idempotent request to the ctx service."""
    return KeyedRequest(
        RequestId(name),
        CallerId(caller),
        CTX,
        IdempotencyKey(key),
        body,
        Fingerprint(f"print of {body}"),
        deadline,
    )
