"""Decodes the store's documents into the types of `forward`."""

from __future__ import annotations

from re import compile as compile_pattern
from typing import Annotated, Final

from msgspec import Meta, Struct, field
from msgspec.json import encode

from sequoiapulley.decoding import check_encodable, decode_json, shortened
from sequoiapulley.forward.addresses import check_addresses, check_host, check_port
from sequoiapulley.forward.messages import UpstreamRecord
from sequoiapulley.forward.route_table import (
    MS_PER_S,
    CallerLimits,
    GatherPlan,
    Route,
    RouteTable,
    ServiceConfig,
    WeightedService,
)
from sequoiapulley.forward.state import (
    Change,
    NodeChange,
    NodeRecord,
    NodeRemoval,
    RequestRefusal,
    TableChange,
    UnreadableEntry,
    UpstreamChange,
    UpstreamRemoval,
)
from sequoiapulley.ids import ConfigVersion, FailureDomainName, NodeId, ServiceName, UpstreamName
from sequoiapulley.platform.names import (
    CONFIGURATION_KEY,
    NODES_PREFIX,
    REFUSALS_PREFIX,
    UPSTREAMS_PREFIX,
)

IDEMPOTENT: Final = "idempotent"
READY: Final = "ready"
DRAINING: Final = "draining"
DIGITS: Final = compile_pattern(r"[0-9]{1,5}")
MAX_NAME_CHARS: Final = 200
"""Maximum length of a name, as that of a key: nodes keep and pass on each one that they read."""
MAX_INT32: Final = 2**31 - 1
MAX_INT64: Final = 2**63 - 1


_Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]


class _SplitPart(Struct):
    """One weighted service of a route that splits its requests."""

    service: str
    weight: float


class _Route(Struct):
    """A route in the operator's configuration."""

    name: str
    host: str
    prefix: str
    type: str
    timeout_ms: float
    goal_ms: float = 0.0
    """Latency objective in milliseconds; not a time limit."""
    max_attempts: int = 1
    """Maximum number of upstreams of a service that may run a caller's attempt; not a number of
    sends, despite the name."""
    priority: int = 0
    service: str | None = None
    split: list[_SplitPart] = []
    gather: list[str] = []
    top_k: int = 0
    oldest_version: float = 0.0
    """Minimum share of the shards in a successful answer; not a version, despite the name."""


class _Service(Struct):
    """A service in the operator's configuration."""

    name: str
    health_path: str = "/"
    max_connections: int = 0


class _Limits(Struct):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Configuration(Struct):
    """The operator's configuration document."""

    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)


class _Upstream(Struct):
    """An upstream's entry in the store."""

    service: _Name
    address: _Name
    zone: _Name
    state: _Name
    max_concurrency: Annotated[int, Meta(ge=1, le=MAX_INT32)]
    cold_left_ms: Annotated[float, Meta(le=MAX_INT32)] = 0.0
    born: Annotated[int, Meta(ge=0, le=MAX_INT64)] = 0
    """Start time of the upstream, in Unix milliseconds."""
    sequence: Annotated[int, Meta(ge=0, le=MAX_INT64)] = 0
    """Number of the entry's writes since the upstream's start."""


def decode_table(value: bytes) -> RouteTable:
    """Decodes the operator's configuration to a route table.

    Raises:
        ValueError: If the value is not a valid configuration.
    """
    doc = decode_json(value, _Configuration)
    limits = doc.limits
    return RouteTable(
        version=ConfigVersion(doc.version),
        routes=tuple(_route(route) for route in doc.routes),
        services={
            ServiceName(item.name): ServiceConfig(
                ServiceName(item.name), item.health_path, item.max_connections
            )
            for item in doc.services
        },
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout=limits.header_timeout_ms / MS_PER_S,
            idle_timeout=limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_upstream(name: UpstreamName, value: bytes) -> UpstreamRecord:
    """Decodes an upstream's entry.

    Raises:
        ValueError: If the value is not a valid entry, or its name, state or address is invalid.
    """
    if not name or not name.isascii() or not name.isprintable():
        # The name is a header of each request to the upstream.
        raise ValueError(f"the name {name!r} cannot be a header")
    doc = decode_json(value, _Upstream)
    host, _, port = doc.address.rpartition(":")
    if doc.state not in (READY, DRAINING) or not DIGITS.fullmatch(port):
        raise ValueError(f"invalid state {doc.state!r} or address {doc.address!r}")
    check_host(host)
    check_port(int(port))
    return UpstreamRecord(
        name=name,
        service=ServiceName(doc.service),
        host=host,
        port=int(port),
        failure_domain=FailureDomainName(doc.zone),
        slots=doc.max_concurrency,
        draining=doc.state == DRAINING,
        cold_for=max(0.0, doc.cold_left_ms / MS_PER_S),
        started_ms=doc.born,
        report_number=doc.sequence,
    )


def decode_item(key: str, value: bytes) -> Change | None:
    """Decodes one item of the store; returns None for a key that no node uses."""
    try:
        change = _decode_change(key, value)
        check_encodable(change)
    except ValueError as exc:
        return unreadable_entry(key, str(exc))
    return change


def _decode_change(key: str, value: bytes) -> Change | None:
    """Decodes one item of the store; returns None for a key that no node uses.

    Raises:
        ValueError: If the value is not what its key holds.
    """
    if key == CONFIGURATION_KEY:
        return TableChange(decode_table(value))
    if key.startswith(UPSTREAMS_PREFIX):
        return UpstreamChange(decode_upstream(upstream_name(key), value))
    if key.startswith(NODES_PREFIX):
        return NodeChange(_decode_node(key, value))
    if key.startswith(REFUSALS_PREFIX):
        refusal = decode_json(value, RequestRefusal)
        if refusal_key(refusal) != key:
            raise ValueError(f"the entry is about the request {refusal.fingerprint!r}")
        return refusal
    return None


def _decode_node(key: str, value: bytes) -> NodeRecord:
    """Decodes a node's record.

    Raises:
        ValueError: If the value is not the record of the node that the key names.
    """
    record = decode_json(value, NodeRecord)
    check_addresses(record)
    if node_key(record) != key:
        raise ValueError(f"the record is about the node {record.name!r}")
    if max(len(record.failure_domain), len(record.region)) > MAX_NAME_CHARS:
        raise ValueError(f"a name has more than {MAX_NAME_CHARS} characters")
    return record


def unreadable_entry(key: str, detail: str) -> UnreadableEntry:
    """Returns the change for an item that does not decode."""
    upstream = upstream_name(key) if key.startswith(UPSTREAMS_PREFIX) else None
    return UnreadableEntry(key, shortened(detail), upstream, key == CONFIGURATION_KEY)


def decode_removal(key: str) -> Change | None:
    """Returns the change for a removed key, or None if its removal has no effect."""
    if key.startswith(UPSTREAMS_PREFIX):
        return UpstreamRemoval(upstream_name(key))
    if key.startswith(NODES_PREFIX):
        return NodeRemoval(NodeId(key[len(NODES_PREFIX) :]))
    return None


def upstream_name(key: str) -> UpstreamName:
    """Returns the name of the upstream to whose entry a key belongs."""
    return UpstreamName(key[len(UPSTREAMS_PREFIX) :])


def node_key(record: NodeRecord) -> str:
    """Returns the key under which a node's record is stored."""
    return f"{NODES_PREFIX}{record.name}"


def refusal_key(refusal: RequestRefusal) -> str:
    """Returns the key under which a refused request is stored."""
    return f"{REFUSALS_PREFIX}{refusal.fingerprint}"


def encode_refusal(refusal: RequestRefusal) -> bytes:
    """Encodes a refused request."""
    return encode(refusal)


def encode_node(record: NodeRecord) -> bytes:
    """Encodes a node's record."""
    return encode(record)


def _route(doc: _Route) -> Route:
    """Converts a route of the configuration to a `Route`."""
    split = [WeightedService(ServiceName(part.service), part.weight) for part in doc.split]
    if doc.service is not None:
        split = [WeightedService(ServiceName(doc.service), 1.0)]
    plan = None
    if doc.gather:
        shards = tuple(ServiceName(name) for name in doc.gather)
        plan = GatherPlan(shards, doc.top_k, doc.oldest_version)
    timeout = doc.timeout_ms / MS_PER_S
    return Route(
        name=doc.name,
        host=doc.host,
        prefix=doc.prefix,
        idempotent=doc.type == IDEMPOTENT or plan is not None,
        timeout=timeout,
        goal=doc.goal_ms / MS_PER_S or timeout,
        priority=doc.priority,
        max_upstreams=max(1, doc.max_attempts),
        split=tuple(split),
        gather=plan,
    )
