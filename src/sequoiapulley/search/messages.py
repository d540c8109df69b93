"""Messages of the search path between callers, entries and homes."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.ids import (
    CallerId,
    Fingerprint,
    InstanceName,
    RequestId,
    ServiceName,
    ShardId,
)
from sequoiapulley.model.snapshot import Snapshot


class LackReason(Enum):
    """Why an answer lacks a shard."""

    DEADLINE = "deadline"
    """No valid reply came in time."""
    NO_REPLICA = "no_replica"
    """Every replica is lost, ejected, draining or unreachable."""
    SNAPSHOT = "snapshot"
    """No reachable replica serves the snapshot of the search."""
    TRUNCATED = "truncated"
    """The reply ended early or could not be decoded."""
    OVERLOAD = "overload"
    """The request was refused before it ran, by a home or an upstream."""
    QUARANTINED = "quarantined"
    """The request is known to crash upstreams."""
    HOME_UNREACHABLE = "home_unreachable"
    """The node that serves the shard could not be reached."""
    UPSTREAM_ERROR = "upstream_error"
    """The upstream answered with an error."""


class Hit(Struct, frozen=True, array_like=True):
    """One result of a search; hits are merged by falling score, then by id."""

    id: str
    score: float
    shard: ShardId
    fields: dict[str, str] = {}


class SearchRequest(Struct, frozen=True):
    """One search as the entry accepted it."""

    request_id: RequestId
    caller: CallerId
    service: ServiceName
    query: str
    """The query text that every upstream receives."""
    limit: int
    """Largest number of hits in the answer."""
    deadline: float
    """Reading of this process's clock after which no answer is of use, in seconds."""
    min_coverage: float
    """Share of shards, 0 to 1, below which the answer is marked incomplete."""
    early_at: float | None
    """Clock reading from which an answer that meets `min_coverage` is sent, or None to wait."""
    fingerprint: Fingerprint
    """Hash of service and query, the same on every node for the same request."""


class ShardTarget(Struct, frozen=True, array_like=True):
    """One shard that a search must reach."""

    shard: ShardId
    service: ServiceName
    instance: InstanceName


class GroupSearch(Struct, frozen=True, tag="group_search"):
    """Asks a home to search some of its shards."""

    search_id: int
    """Unique within the sending node's incarnation; a rerun at another snapshot has a new one."""
    caller: CallerId
    query: str
    limit: int
    fingerprint: Fingerprint
    snapshot: Snapshot | None
    """Snapshot to read, or None when the entry knows none yet."""
    time_left: float
    """Seconds until the deadline, measured when the message was sent."""
    targets: tuple[ShardTarget, ...]


class ShardReply(Struct, frozen=True, array_like=True):
    """The outcome of one shard of a group search."""

    shard: ShardId
    snapshot: Snapshot | None = None
    """Snapshot the hits were read from; None when `reason` is set."""
    hits: tuple[Hit, ...] = ()
    reason: LackReason | None = None
    """Why the shard is lacking; None when the shard is covered."""
    available: tuple[Snapshot, ...] = ()
    """Snapshots that replicas of the shard were last seen to serve."""


class GroupReply(Struct, frozen=True, tag="group_reply"):
    """Outcomes of some shards of one group search; several may follow one another."""

    search_id: int
    replies: tuple[ShardReply, ...]
    elapsed: float | None = None
    """Seconds that the home spent between the group search and this batch."""


class CancelSearch(Struct, frozen=True, tag="cancel_search"):
    """Tells a home that nobody waits for a group search any more."""

    search_id: int


class Lacking(Struct, frozen=True):
    """One shard missing from an answer."""

    shard: ShardId
    reason: LackReason


class SearchAnswer(Struct, frozen=True):
    """The one answer to one search."""

    request_id: RequestId
    snapshot: Snapshot | None
    hits: tuple[Hit, ...]
    covered: tuple[ShardId, ...]
    lacking: tuple[Lacking, ...]
    elapsed_ms: float
    complete: bool
    """Whether coverage reached what the caller asked for."""

    @property
    def coverage(self) -> float:
        """Share of shards covered, 0 to 1; 1 for a search without shards."""
        total = len(self.covered) + len(self.lacking)
        return len(self.covered) / total if total else 1.0
