"""Messages of the search path between callers, entry nodes and home nodes.

The entry node accepts the search of a caller. A home node of an instance queries its upstreams;
each of them hosts a replica of the shard that the instance serves.
"""

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


class MissingReason(Enum):
    """Why a shard is missing from an answer."""

    DEADLINE = "deadline"
    """No valid reply arrived before the deadline."""
    NO_REPLICA = "no_replica"
    """Every replica is lost, ejected, draining or unreachable."""
    SNAPSHOT = "snapshot"
    """No reachable replica serves the snapshot of the search."""
    TRUNCATED = "truncated"
    """The reply ended early or could not be decoded."""
    OVERLOAD = "overload"
    """The request was refused before it ran, by the entry node, a home or an upstream."""
    QUARANTINED = "quarantined"
    """The request is known to crash upstreams."""
    HOME_UNREACHABLE = "home_unreachable"
    """No home of the shard is left to query: none is known, or each was lost or timed out."""
    UPSTREAM_ERROR = "upstream_error"
    """The upstream answered with an error."""


class Hit(Struct, frozen=True, array_like=True):
    """One result of a search; hits are merged by descending score, then by id."""

    id: str
    score: float
    shard: ShardId
    fields: dict[str, str] = {}


class SearchRequest(Struct, frozen=True):
    """One search as the entry node accepted it."""

    request_id: RequestId
    caller: CallerId
    service: ServiceName
    query: str
    """The query text that every upstream receives."""
    limit: int
    """Maximum number of hits in the answer."""
    deadline: float
    """Latest useful time of the answer: reading of this process's clock, in seconds."""
    min_coverage: float
    """Share of shards, 0 to 1, below which the answer is marked as incomplete."""
    early_at: float | None
    """Clock reading from which an answer that meets `min_coverage` is sent.

    None means to wait for all shards until the deadline.
    """
    fingerprint: Fingerprint
    """Hash of service and query; equal on every node for the same request."""


class ShardTarget(Struct, frozen=True, array_like=True):
    """One shard that a search must query."""

    shard: ShardId
    service: ServiceName
    instance: InstanceName


class GroupSearch(Struct, frozen=True, tag="group_search"):
    """Asks a home node to search some of its shards."""

    search_id: int
    """Id of this group search, unique within the sending node's incarnation.

    A search sends several group searches, each with its own id: one for each home, and more when
    shards are hedged, queried again or rerun at another snapshot.
    """
    caller: CallerId
    query: str
    limit: int
    fingerprint: Fingerprint
    snapshot: Snapshot | None
    """Snapshot to read, or None if the entry node has no snapshot for the service yet."""
    time_left: float
    """Seconds until the deadline when the message was sent."""
    targets: tuple[ShardTarget, ...]


class ShardReply(Struct, frozen=True, array_like=True):
    """The reply of one shard of a group search."""

    shard: ShardId
    snapshot: Snapshot | None = None
    """Snapshot the hits were read from; None when `reason` is set."""
    hits: tuple[Hit, ...] = ()
    reason: MissingReason | None = None
    """Why the shard is missing; None when the shard is covered."""
    available: tuple[Snapshot, ...] = ()
    """Snapshots that the replicas of the shard last reported to serve."""


class GroupReply(Struct, frozen=True, tag="group_reply"):
    """Batch of shard replies of one group search; a group search may have several batches."""

    search_id: int
    replies: tuple[ShardReply, ...]
    elapsed: float | None = None
    """Seconds between the arrival of the group search at the home and this batch."""


class CancelSearch(Struct, frozen=True, tag="cancel_search"):
    """Cancels a group search at a home node."""

    search_id: int


class MissingShard(Struct, frozen=True):
    """A shard that is missing from an answer."""

    shard: ShardId
    reason: MissingReason


class SearchAnswer(Struct, frozen=True):
    """The answer to a search; each search has exactly one."""

    request_id: RequestId
    snapshot: Snapshot | None
    hits: tuple[Hit, ...]
    covered: tuple[ShardId, ...]
    lacking: tuple[MissingShard, ...]
    elapsed_ms: float
    complete: bool
    """Whether the answer has the coverage that the caller requested.

    If the search has shards and the answer covers none of them, it is incomplete in any case.
    """

    @property
    def coverage(self) -> float:
        """Share of shards that are covered, 0 to 1; 1 for a search without shards."""
        total = len(self.covered) + len(self.lacking)
        return len(self.covered) / total if total else 1.0
