"""Tracks which snapshots the shards of each service serve."""

from __future__ import annotations

from collections import Counter
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import ServiceName, ShardId
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import MissingReason, ShardReply

SNAPSHOT_TTL_S: Final = 30.0
"""Time after the last reply that reported snapshots of a shard at which these are removed."""
SWEEP_INTERVAL_S: Final = 1.0


class _ShardState(Struct):
    """Snapshots of one shard."""

    served: frozenset[Snapshot] = frozenset()
    updated_at: float = 0.0
    last_reported: tuple[Snapshot | None, tuple[Snapshot, ...]] | None = None
    """Snapshot and `available` of the last reply that covered the shard.

    An equal reply changes nothing but `updated_at`.
    """


class _ServiceState(Struct):
    """Snapshots of the shards that a search of one service queries."""

    swept_at: float
    shards: dict[ShardId, _ShardState] = {}
    counts: Counter[Snapshot] = Counter()
    """Number of shards that serve each snapshot."""

    def set_served(self, shard: _ShardState, served: frozenset[Snapshot]) -> None:
        """Sets the snapshots of a shard."""
        counts = self.counts
        for snapshot in shard.served:
            counts[snapshot] -= 1
            if not counts[snapshot]:
                del counts[snapshot]
        counts.update(served)
        shard.served = served

    def remove(self, shard_id: ShardId) -> None:
        """Removes a shard."""
        self.set_served(self.shards.pop(shard_id), frozenset())


class SnapshotTracker:
    """Records snapshots from replies and chooses the one that covers the most shards."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _ServiceState] = {}

    def retain(self, shards: dict[ServiceName, frozenset[ShardId]]) -> None:
        """Removes every service and shard that is no longer in the configuration.

        Args:
            shards: The shards that a search of each service queries.
        """
        for name, service in list(self._services.items()):
            current = shards.get(name)
            if current is None:
                del self._services[name]
                continue
            for shard_id in service.shards.keys() - current:
                service.remove(shard_id)

    def record_reply(
        self, name: ServiceName, reply: ShardReply, requested: Snapshot | None, now: float
    ) -> None:
        """Records the snapshots that a reply reports for its shard.

        Args:
            name: The service that was searched.
            reply: A reply for a shard of that search.
            requested: The requested snapshot, or None.
            now: Clock reading in seconds.
        """
        service = self._services.get(name)
        if service is None:
            service = _ServiceState(now, {}, Counter())
            self._services[name] = service
        shard = service.shards.get(reply.shard)
        if shard is None:
            shard = _ShardState()
            service.shards[reply.shard] = shard
        if reply.reason is not None:
            self._record_missing(service, shard, reply, requested, now)
            return
        shard.updated_at = now
        reported = (reply.snapshot, reply.available)
        if reported == shard.last_reported:
            return
        shard.last_reported = reported
        served = frozenset(reply.available) if reply.available else shard.served
        if reply.snapshot is not None:
            served |= {reply.snapshot}
        service.set_served(shard, served)

    def choose(self, name: ServiceName, now: float) -> Snapshot | None:
        """Returns the newest snapshot among those that cover the most shards, or None."""
        service = self._services.get(name)
        if service is None:
            return None
        if now >= service.swept_at + SWEEP_INTERVAL_S:
            self._sweep(service, now)
        counts = service.counts
        if not counts:
            return None
        return max(counts, key=lambda snapshot: (counts[snapshot], snapshot))

    def count_serving(self, name: ServiceName, snapshot: Snapshot) -> int:
        """Returns the number of shards that last reported to serve a snapshot."""
        service = self._services.get(name)
        return service.counts[snapshot] if service else 0

    def _record_missing(
        self,
        service: _ServiceState,
        shard: _ShardState,
        reply: ShardReply,
        requested: Snapshot | None,
        now: float,
    ) -> None:
        served = shard.served
        if reply.available:
            served = frozenset(reply.available)
            shard.updated_at = now
        if reply.reason is MissingReason.SNAPSHOT and requested is not None:
            served -= {requested}
        if served != shard.served:
            shard.last_reported = None
            service.set_served(shard, served)

    def _sweep(self, service: _ServiceState, now: float) -> None:
        service.swept_at = now
        for shard_id, shard in list(service.shards.items()):
            if shard.updated_at < now - SNAPSHOT_TTL_S:
                service.remove(shard_id)
