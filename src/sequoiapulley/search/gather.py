"""Shard replies that one attempt of a search has collected at one snapshot."""

from __future__ import annotations

from collections import Counter

from sequoiapulley.ids import ShardId
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import Hit, MissingReason, MissingShard, ShardReply, ShardTarget


class Gather:
    """Shard outcomes of one attempt of a search: of its first run or of its rerun.

    Every shard is in exactly one state: pending, buffered, covered or missing.
    """

    def __init__(self, targets: tuple[ShardTarget, ...], snapshot: Snapshot | None) -> None:
        """Initialise an attempt with every shard pending.

        Args:
            targets: The shards to query.
            snapshot: The pinned snapshot, or None to choose it after the first replies.
        """
        self.targets = targets
        self.snapshot = snapshot
        self.covered: dict[ShardId, tuple[Hit, ...]] = {}
        self.missing: dict[ShardId, MissingReason] = {}
        self.buffered: dict[ShardId, ShardReply] = {}
        """Replies received before the snapshot was pinned."""

    @property
    def total(self) -> int:
        """Number of shards."""
        return len(self.targets)

    @property
    def pending_count(self) -> int:
        """Number of shards without a reply."""
        return len(self.targets) - len(self.covered) - len(self.missing) - len(self.buffered)

    @property
    def is_finished(self) -> bool:
        """Whether every shard is covered or missing."""
        return len(self.covered) + len(self.missing) == len(self.targets)

    def is_pending(self, shard: ShardId) -> bool:
        """Returns whether a shard has no reply yet."""
        return not (shard in self.covered or shard in self.missing or shard in self.buffered)

    def accepts(self, reply: ShardReply) -> bool:
        """Returns whether a reply covers its shard, or may do so once a snapshot is pinned."""
        if reply.reason is not None or reply.snapshot is None:
            return False
        return self.snapshot is None or reply.snapshot == self.snapshot

    def record(self, reply: ShardReply) -> None:
        """Records the reply of a pending shard.

        A reply from a snapshot other than the pinned one makes the shard missing: an answer never
        mixes snapshots.

        Args:
            reply: The reply of a shard that is still pending.
        """
        if reply.reason is not None:
            self.missing[reply.shard] = reply.reason
            return
        if reply.snapshot is None:
            self.missing[reply.shard] = MissingReason.TRUNCATED
            return
        if self.snapshot is None:
            self.buffered[reply.shard] = reply
            return
        if reply.snapshot != self.snapshot:
            self.missing[reply.shard] = MissingReason.SNAPSHOT
            return
        self.covered[reply.shard] = reply.hits

    def mark_missing(self, shard: ShardId, reason: MissingReason) -> None:
        """Marks a pending shard as missing."""
        self.missing[shard] = reason

    def most_common_snapshot(self) -> Snapshot:
        """Returns the snapshot that most buffered replies come from; on a tie the newest one."""
        buffered = Counter(reply.snapshot for reply in self.buffered.values() if reply.snapshot)
        return max(buffered, key=lambda snapshot: (buffered[snapshot], snapshot))

    def pin(self, snapshot: Snapshot) -> list[ShardId]:
        """Pins the snapshot and records the buffered replies that come from it.

        Args:
            snapshot: The snapshot of the answer.

        Returns:
            The shards that replied from another snapshot; they are pending again.
        """
        self.snapshot = snapshot
        reopened: list[ShardId] = []
        for shard, reply in self.buffered.items():
            if reply.snapshot != snapshot:
                reopened.append(shard)
                continue
            self.covered[shard] = reply.hits
        self.buffered = {}
        return reopened

    def covered_shards(self) -> tuple[ShardId, ...]:
        """Returns the covered shards in plan order."""
        return tuple(target.shard for target in self.targets if target.shard in self.covered)

    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Returns the shards that are not covered, in plan order.

        A shard without a recorded reason has `MissingReason.DEADLINE`.
        """
        covered = self.covered
        reasons = self.missing
        return tuple(
            MissingShard(target.shard, reasons.get(target.shard, MissingReason.DEADLINE))
            for target in self.targets
            if target.shard not in covered
        )
