"""Which snapshots the shards of each service were last seen to serve."""

from __future__ import annotations

from collections import Counter
from typing import Final

from sequoiapulley.ids import ServiceName, ShardId
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import LackReason, ShardReply

REMEMBER_S: Final = 30.0
SWEEP_S: Final = 1.0


class SnapshotBook:
    """Learns snapshots from replies and chooses the newest that covers the most shards."""

    def __init__(self) -> None:
        """Initialise an empty book."""
        self._served: dict[ServiceName, dict[ShardId, frozenset[Snapshot]]] = {}
        self._counts: dict[ServiceName, Counter[Snapshot]] = {}
        self._seen_at: dict[ServiceName, dict[ShardId, float]] = {}
        self._swept_at: dict[ServiceName, float] = {}

    def retain(self, shards: dict[ServiceName, frozenset[ShardId]]) -> None:
        """Forgets every service and shard that left the configuration.

        Args:
            shards: The shards that a search of each service reaches.
        """
        for service in list(self._served):
            known = shards.get(service, frozenset())
            for shard in list(self._served[service]):
                if shard not in known:
                    self._replace(service, shard, frozenset())
            if not known:
                for table in (self._served, self._counts, self._seen_at, self._swept_at):
                    table.pop(service, None)

    def learn(
        self, service: ServiceName, reply: ShardReply, asked: Snapshot | None, now: float
    ) -> None:
        """Takes in what a reply tells about its shard.

        Args:
            service: The service that was searched.
            reply: A reply for a shard of that search.
            asked: The snapshot that was asked for, or None.
            now: Clock reading in seconds.
        """
        before = self._served.get(service, {}).get(reply.shard, frozenset())
        served = frozenset(reply.available) if reply.available else before
        if reply.snapshot is not None and reply.reason is None:
            served |= {reply.snapshot}
        if reply.reason is LackReason.SNAPSHOT and asked is not None:
            served -= {asked}
        if reply.available or reply.reason is None:
            self._seen_at.setdefault(service, {})[reply.shard] = now
        if served != before:
            self._replace(service, reply.shard, served)

    def choose(self, service: ServiceName, now: float) -> Snapshot | None:
        """Returns the newest snapshot among those that cover the most shards, or None."""
        if now >= self._swept_at.get(service, now) + SWEEP_S:
            self._sweep(service, now)
        self._swept_at.setdefault(service, now)
        counts = self._counts.get(service)
        if not counts:
            return None
        return max(counts, key=lambda snapshot: (counts[snapshot], snapshot))

    def coverage_of(self, service: ServiceName, snapshot: Snapshot) -> int:
        """Returns the number of shards last seen to serve a snapshot."""
        counts = self._counts.get(service)
        return counts[snapshot] if counts else 0

    def _sweep(self, service: ServiceName, now: float) -> None:
        self._swept_at[service] = now
        seen_at = self._seen_at.get(service, {})
        for shard in [shard for shard, at in seen_at.items() if at < now - REMEMBER_S]:
            del seen_at[shard]
            self._replace(service, shard, frozenset())

    def _replace(self, service: ServiceName, shard: ShardId, served: frozenset[Snapshot]) -> None:
        shards = self._served.setdefault(service, {})
        counts = self._counts.setdefault(service, Counter())
        for snapshot in shards.pop(shard, frozenset()):
            counts[snapshot] -= 1
            if not counts[snapshot]:
                del counts[snapshot]
        if not served:
            return
        shards[shard] = served
        counts.update(served)
