"""What one attempt of a search has collected at one snapshot."""

from __future__ import annotations

from collections import Counter

from sequoiapulley.ids import ShardId
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import Hit, Lacking, LackReason, ShardReply, ShardTarget


class Gather:
    """Outcomes of the shards of one attempt; every shard is open, held, covered or lacking."""

    def __init__(self, targets: tuple[ShardTarget, ...], snapshot: Snapshot | None) -> None:
        """Initialise an attempt with every shard open.

        Args:
            targets: The shards to reach.
            snapshot: The pinned snapshot, or None when it is chosen after the first replies.
        """
        self.targets = targets
        self.snapshot = snapshot
        self.covered: dict[ShardId, tuple[Hit, ...]] = {}
        self.lacking: dict[ShardId, LackReason] = {}
        self.held: dict[ShardId, ShardReply] = {}
        """Replies that came before the snapshot was pinned."""

    @property
    def total(self) -> int:
        """Number of shards."""
        return len(self.targets)

    @property
    def open_count(self) -> int:
        """Number of shards without an outcome."""
        return len(self.targets) - len(self.covered) - len(self.lacking) - len(self.held)

    @property
    def is_settled(self) -> bool:
        """Whether every shard is covered or lacking."""
        return len(self.covered) + len(self.lacking) == len(self.targets)

    def is_open(self, shard: ShardId) -> bool:
        """Returns whether a shard has no outcome yet."""
        return not (shard in self.covered or shard in self.lacking or shard in self.held)

    def accepts(self, reply: ShardReply) -> bool:
        """Returns whether a reply covers its shard, or may do so once a snapshot is pinned."""
        if reply.reason is not None or reply.snapshot is None:
            return False
        return self.snapshot is None or reply.snapshot == self.snapshot

    def take(self, reply: ShardReply) -> None:
        """Files the reply of an open shard.

        A reply from another snapshot than the pinned one is never merged.

        Args:
            reply: The outcome of a shard that is still open.
        """
        if reply.reason is not None:
            self.lacking[reply.shard] = reply.reason
            return
        if reply.snapshot is None:
            self.lacking[reply.shard] = LackReason.TRUNCATED
            return
        if self.snapshot is None:
            self.held[reply.shard] = reply
            return
        if reply.snapshot != self.snapshot:
            self.lacking[reply.shard] = LackReason.SNAPSHOT
            return
        self.covered[reply.shard] = reply.hits

    def lack(self, shard: ShardId, reason: LackReason) -> None:
        """Lists an open shard as lacking."""
        self.lacking[shard] = reason

    def most_held(self) -> Snapshot:
        """Returns the newest snapshot among those that most held replies come from."""
        held = Counter(reply.snapshot for reply in self.held.values() if reply.snapshot)
        return max(held, key=lambda snapshot: (held[snapshot], snapshot))

    def pin(self, snapshot: Snapshot) -> list[ShardId]:
        """Pins the snapshot and files the held replies.

        Args:
            snapshot: The snapshot of the answer.

        Returns:
            The shards that answered at another snapshot; they are open again.
        """
        self.snapshot = snapshot
        again: list[ShardId] = []
        for shard, reply in self.held.items():
            if reply.snapshot != snapshot:
                again.append(shard)
                continue
            self.covered[shard] = reply.hits
        self.held = {}
        return again

    def covered_shards(self) -> tuple[ShardId, ...]:
        """Lists the covered shards in plan order."""
        return tuple(target.shard for target in self.targets if target.shard in self.covered)

    def lacking_shards(self) -> tuple[Lacking, ...]:
        """Lists every other shard in plan order; one without an outcome missed the deadline."""
        covered = self.covered
        reasons = self.lacking
        return tuple(
            Lacking(target.shard, reasons.get(target.shard, LackReason.DEADLINE))
            for target in self.targets
            if target.shard not in covered
        )
