"""Which snapshots the shards of each service were last seen to serve."""

from __future__ import annotations

from collections import Counter
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import ServiceName, ShardId
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import LackReason, ShardReply

REMEMBER_S: Final = 30.0
SWEEP_S: Final = 1.0


class _Shard(Struct):
    """What is known of one shard."""

    served: frozenset[Snapshot] = frozenset()
    seen_at: float = 0.0
    last: tuple[Snapshot | None, tuple[Snapshot, ...]] | None = None
    """Snapshot and available snapshots of the last covering reply, to skip equal ones."""


class _Service(Struct):
    """What is known of the shards that a search of one service reaches."""

    swept_at: float
    shards: dict[ShardId, _Shard] = {}
    counts: Counter[Snapshot] = Counter()
    """Number of shards that serve each snapshot."""

    def replace(self, shard: _Shard, served: frozenset[Snapshot]) -> None:
        """Sets the snapshots of a shard."""
        counts = self.counts
        for snapshot in shard.served:
            counts[snapshot] -= 1
            if not counts[snapshot]:
                del counts[snapshot]
        counts.update(served)
        shard.served = served

    def forget(self, shard_id: ShardId) -> None:
        """Removes a shard."""
        self.replace(self.shards.pop(shard_id), frozenset())


class SnapshotBook:
    """Learns snapshots from replies and chooses the newest that covers the most shards."""

    def __init__(self) -> None:
        """Initialise an empty book."""
        self._services: dict[ServiceName, _Service] = {}

    def retain(self, shards: dict[ServiceName, frozenset[ShardId]]) -> None:
        """Forgets every service and shard that left the configuration.

        Args:
            shards: The shards that a search of each service reaches.
        """
        for name, service in list(self._services.items()):
            known = shards.get(name)
            if known is None:
                del self._services[name]
                continue
            for shard_id in service.shards.keys() - known:
                service.forget(shard_id)

    def learn(
        self, name: ServiceName, reply: ShardReply, asked: Snapshot | None, now: float
    ) -> None:
        """Takes in what a reply tells about its shard.

        Args:
            name: The service that was searched.
            reply: A reply for a shard of that search.
            asked: The snapshot that was asked for, or None.
            now: Clock reading in seconds.
        """
        service = self._services.get(name)
        if service is None:
            service = _Service(now, {}, Counter())
            self._services[name] = service
        shard = service.shards.get(reply.shard)
        if shard is None:
            shard = _Shard()
            service.shards[reply.shard] = shard
        if reply.reason is not None:
            self._learn_lacking(service, shard, reply, asked, now)
            return
        shard.seen_at = now
        told = (reply.snapshot, reply.available)
        if told == shard.last:
            return
        shard.last = told
        served = frozenset(reply.available) if reply.available else shard.served
        if reply.snapshot is not None:
            served |= {reply.snapshot}
        service.replace(shard, served)

    def choose(self, name: ServiceName, now: float) -> Snapshot | None:
        """Returns the newest snapshot among those that cover the most shards, or None."""
        service = self._services.get(name)
        if service is None:
            return None
        if now >= service.swept_at + SWEEP_S:
            self._sweep(service, now)
        counts = service.counts
        if not counts:
            return None
        return max(counts, key=lambda snapshot: (counts[snapshot], snapshot))

    def coverage_of(self, name: ServiceName, snapshot: Snapshot) -> int:
        """Returns the number of shards last seen to serve a snapshot."""
        service = self._services.get(name)
        return service.counts[snapshot] if service else 0

    def _learn_lacking(
        self,
        service: _Service,
        shard: _Shard,
        reply: ShardReply,
        asked: Snapshot | None,
        now: float,
    ) -> None:
        served = shard.served
        if reply.available:
            served = frozenset(reply.available)
            shard.seen_at = now
        if reply.reason is LackReason.SNAPSHOT and asked is not None:
            served -= {asked}
        if served != shard.served:
            shard.last = None
            service.replace(shard, served)

    def _sweep(self, service: _Service, now: float) -> None:
        service.swept_at = now
        for shard_id, shard in list(service.shards.items()):
            if shard.seen_at < now - REMEMBER_S:
                service.forget(shard_id)
