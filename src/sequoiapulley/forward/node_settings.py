"""Settings of a node that forwards callers' requests."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.forward.retry_quota import QuotaSettings
from sequoiapulley.ids import FailureDomainName, NodeId, RegionName
from sequoiapulley.wire.connection_budget import ResourceLimits


class Address(Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int


class NodeSettings(Struct, frozen=True):
    """Location, addresses and limits of a node."""

    name: NodeId
    failure_domain: FailureDomainName
    region: RegionName
    host: str
    """IP address of the VM."""
    regions: dict[FailureDomainName, RegionName]
    """Region of each failure domain."""
    store: Address
    callers: Address
    readiness: Address | None
    directory: Address | None
    peers: Address
    """TCP address that serves other nodes."""
    heartbeat_port: int
    """UDP port that receives heartbeats of other nodes."""
    seeds: tuple[Address, ...]
    """Addresses of a few nodes from which state can be read at start; they may be stale or down."""
    quota: QuotaSettings
    first_start: bool = False
    """Whether the whole fleet starts for the first time, so that nothing is stored of this node."""
    grace: float = 6.0
    """Time from the stop signal to the forced exit of the process, in seconds."""
    drain: float = 3.0
    """Minimum time for which an upstream serves after it announced its shutdown, in seconds."""
    most_entry_ttl: float = 5.0
    """Maximum time for which callers cache a directory answer, in seconds."""
    capacity: float = 1.0
    """Number of processor cores that the process may use."""
    resources: ResourceLimits = ResourceLimits()
    """Memory and descriptors of the VM."""
    metrics: Address | None = None
    """Address that serves metrics; None to disable them."""
