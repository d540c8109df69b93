"""Messages between the dispatcher of a home node and its upstream connections."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.ids import (
    CallerId,
    ExchangeId,
    Fingerprint,
    IdempotencyKey,
    InstanceName,
    ServiceName,
    UpstreamName,
)
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.quarantine import REFUSED_TTL_S
from sequoiapulley.requests.messages import RunReport
from sequoiapulley.search.messages import ShardReply, ShardTarget


class SubSearch(Struct, frozen=True):
    """The part of a search that concerns one shard, submitted to the home node's dispatcher."""

    sub_id: int
    """Unique within the home node's process."""
    target: ShardTarget
    caller: CallerId
    query: str
    limit: int
    fingerprint: Fingerprint
    snapshot: Snapshot | None
    deadline: float
    """Clock reading in seconds."""


class SubRun(Struct, frozen=True):
    """One non-idempotent request, submitted to the home node's dispatcher."""

    sub_id: int
    run_id: int
    service: ServiceName
    instance: InstanceName
    caller: CallerId
    body: str
    key: IdempotencyKey
    fingerprint: Fingerprint
    deadline: float
    """Clock reading in seconds."""


class ReplyKind(Enum):
    """Result that an upstream's reply reports for the request."""

    OK = "ok"
    SHED = "shed"
    """The upstream refused the request for overload, before it ran."""
    DRAINING = "draining"
    """The upstream refused the request because it is draining, before it ran."""
    WRONG_SNAPSHOT = "wrong_snapshot"
    """The upstream does not serve the requested snapshot."""
    EXPIRED = "expired"
    """The upstream dropped the request at its deadline, before it ran."""
    ERROR = "error"
    MALFORMED = "malformed"
    """The reply is truncated, cannot be decoded, or belongs to another request."""


class UpstreamReply(Struct, frozen=True):
    """A decoded reply of an upstream."""

    kind: ReplyKind
    snapshot: Snapshot | None = None
    available: tuple[Snapshot, ...] = ()
    body: bytes = b""
    draining: bool = False
    """Whether the upstream reported that it is draining and accepts no new work."""
    load: float | None = None
    """Load that the upstream reports, 0 to 1; a hint that may be stale or wrong."""
    identified: bool = True
    """Whether the reply contains the id of its request, which a late copy of an earlier reply does
    not."""


class LossKind(Enum):
    """Reason why an exchange ended without a reply."""

    NOT_SENT = "not_sent"
    """No byte of the request was sent."""
    CONNECTION_LOST = "connection_lost"
    """The connection was closed or reset with the request in flight."""
    CONNECT_FAILED = "connect_failed"
    """No connection could be opened, so no byte was sent."""
    DISCARDED = "discarded"
    """The network path failed, or the pool closed the connection as silent. The request may have
    run. The loss counts neither as a failure of the upstream nor as a strike against the
    request."""


class Action(Struct, frozen=True, tag=True):
    """An effect that the dispatcher returns for its caller to carry out."""


class SendExchange(Action, frozen=True):
    """Send one request to an upstream, on an idle or a new connection."""

    exchange_id: ExchangeId
    upstream: UpstreamName
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    fresh_connection: bool = False
    """Use a new connection, or one that has just replied, because the idle ones may be silent."""


class CancelExchange(Action, frozen=True):
    """Cancel an exchange; a reply that still arrives is ignored."""

    exchange_id: ExchangeId
    upstream: UpstreamName


class FinishSearch(Action, frozen=True):
    """Report the outcome of a sub-search."""

    sub_id: int
    reply: ShardReply


class FinishRun(Action, frozen=True):
    """Report the outcome of a non-idempotent request."""

    sub_id: int
    report: RunReport


class CloseUpstream(Action, frozen=True):
    """Close the idle connections of an upstream that was removed from the configuration."""

    upstream: UpstreamName


class NewStrike(Action, frozen=True):
    """Notify all nodes that a request was in flight when an upstream closed its connection."""

    fingerprint: Fingerprint
    upstream: UpstreamName
    strikes: int
    refused_for: float = REFUSED_TTL_S
    """Remaining time for which the request is refused, in seconds, if its strikes refuse it."""
