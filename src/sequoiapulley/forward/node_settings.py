"""Settings of a node that forwards callers' requests."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.forward.retry_quota import QuotaSettings
from sequoiapulley.ids import FailureDomainName, NodeId, RegionName


class Address(Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int


class NodeSettings(Struct, frozen=True):
    """Where a node is, where it listens, and the bounds that it keeps."""

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
    """TCP address for other nodes."""
    heartbeat_port: int
    """UDP port for other nodes."""
    seeds: tuple[Address, ...]
    """Peer addresses of a few nodes; they may be stale or down."""
    quota: QuotaSettings
    grace: float = 6.0
    """Seconds between the signal to stop and the end by force."""
    most_entry_ttl: float = 5.0
    """Longest time that callers keep a directory answer, in seconds."""
    capacity: float = 1.0
    """Processor cores that the process may use."""
    metrics: Address | None = None
    """Where metrics are served, if anywhere."""
