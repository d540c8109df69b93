"""Messages between the dispatch decisions of a home and its upstream connections."""

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
from sequoiapulley.requests.messages import RunReport
from sequoiapulley.search.messages import ShardReply, ShardTarget


class SubSearch(Struct, frozen=True):
    """One shard's part of a search, submitted to the dispatcher of its home."""

    sub_id: int
    """Unique within the home's process."""
    target: ShardTarget
    caller: CallerId
    query: str
    limit: int
    fingerprint: Fingerprint
    snapshot: Snapshot | None
    deadline: float
    """Clock reading in seconds."""


class SubRun(Struct, frozen=True):
    """One non-idempotent request, submitted to the dispatcher of its home."""

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
    """What an upstream's reply says of the request."""

    OK = "ok"
    SHED = "shed"
    """Refused for load before it ran."""
    DRAINING = "draining"
    """Refused because the upstream leaves, before it ran."""
    WRONG_SNAPSHOT = "wrong_snapshot"
    """The upstream does not serve the snapshot asked for."""
    EXPIRED = "expired"
    """The upstream dropped the request at its deadline, before it ran."""
    ERROR = "error"
    MALFORMED = "malformed"
    """Truncated, undecodable, or for another request."""


class UpstreamReply(Struct, frozen=True):
    """A decoded reply."""

    kind: ReplyKind
    snapshot: Snapshot | None = None
    available: tuple[Snapshot, ...] = ()
    body: bytes = b""
    draining: bool = False
    """The upstream asked for no new work."""
    load: float | None = None
    """Load the upstream reports, 0 to 1; a hint that may lag or lie."""


class LossKind(Enum):
    """How an exchange ended without a reply."""

    NOT_SENT = "not_sent"
    """No byte of the request left this process."""
    CONNECTION_LOST = "connection_lost"
    """The connection closed or was reset with the request in flight."""
    CONNECT_FAILED = "connect_failed"
    """No connection could be opened; no byte left."""
    DISCARDED = "discarded"
    """The network lost the connection, or the client gave it up as silent; the request may have
    run, and neither it nor the upstream is to blame."""


class Action(Struct, frozen=True, tag=True):
    """An order of the dispatcher to its surroundings."""


class SendExchange(Action, frozen=True):
    """Send one request to an upstream, on an idle or new connection."""

    exchange_id: ExchangeId
    upstream: UpstreamName
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    fresh_connection: bool = False
    """Open a new connection, because the idle ones may have gone silent."""


class CancelExchange(Action, frozen=True):
    """Give an exchange up; its reply, if any, is not wanted."""

    exchange_id: ExchangeId
    upstream: UpstreamName


class FinishSearch(Action, frozen=True):
    """The outcome of a sub-search."""

    sub_id: int
    reply: ShardReply


class FinishRun(Action, frozen=True):
    """The outcome of a non-idempotent request."""

    sub_id: int
    report: RunReport


class CloseUpstream(Action, frozen=True):
    """Close the idle connections of an upstream that left the configuration."""

    upstream: UpstreamName


class NewStrike(Action, frozen=True):
    """Tell all nodes that a request was in flight when an upstream went down."""

    fingerprint: Fingerprint
    upstream: UpstreamName
    strikes: int
