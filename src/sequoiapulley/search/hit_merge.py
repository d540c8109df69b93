"""Merges hits by descending score, then by id."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain
from typing import Final

from msgspec.structs import replace

from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import Hit, ShardReply

PRUNE_MIN_LIMITS: Final = 3
"""Hits in a batch, as a multiple of the limit, from which pruning saves more than it costs."""


def hit_rank(hit: Hit) -> tuple[float, str, str]:
    """Returns the sort key of a hit; the best hit has the smallest key."""
    return (-hit.score, hit.id, hit.shard)


def merge_hits(hits_by_shard: Iterable[tuple[Hit, ...]], limit: int) -> tuple[Hit, ...]:
    """Merges the hits of several shards.

    Args:
        hits_by_shard: Hits of each shard, in any order.
        limit: Maximum number of hits returned.

    Returns:
        The best hits in rank order. The result does not depend on the order of the shards.
    """
    hits = list(chain.from_iterable(hits_by_shard))
    if len(hits) > limit > 0:
        # Comparing scores is cheaper than building sort keys, so hits whose score rules them out
        # are removed first.
        lowest = sorted([hit.score for hit in hits], reverse=True)[limit - 1]
        hits = [hit for hit in hits if hit.score >= lowest]
    hits.sort(key=hit_rank)
    return tuple(hits[:limit])


def prune_hits(replies: list[ShardReply], limit: int) -> list[ShardReply]:
    """Drops the hits of a batch that cannot be among the best `limit` hits of any answer.

    A hit is dropped only if `limit` hits of the same batch and snapshot rank before it. The merged
    answer stays the same and the message gets smaller.

    Args:
        replies: The batch: replies of several shards.
        limit: Maximum number of hits in the answer.

    Returns:
        The replies in the same order, without the dropped hits.
    """
    if limit <= 0 or sum([len(reply.hits) for reply in replies]) < PRUNE_MIN_LIMITS * limit:
        return replies
    by_snapshot: dict[Snapshot | None, list[tuple[Hit, ...]]] = {}
    for reply in replies:
        if reply.hits:
            by_snapshot.setdefault(reply.snapshot, []).append(reply.hits)
    worst_by_snapshot = {
        snapshot: merge_hits(shards, limit)[-1] for snapshot, shards in by_snapshot.items()
    }
    pruned: list[ShardReply] = []
    for reply in replies:
        worst = worst_by_snapshot.get(reply.snapshot)
        hits = reply.hits if worst is None else _hits_up_to(worst, reply.hits)
        if len(hits) < len(reply.hits):
            reply = replace(reply, hits=hits)
        pruned.append(reply)
    return pruned


def _hits_up_to(worst: Hit, hits: tuple[Hit, ...]) -> tuple[Hit, ...]:
    score = worst.score
    close = [hit for hit in hits if hit.score >= score]
    if not close:
        return ()
    rank = hit_rank(worst)
    return tuple([hit for hit in close if hit_rank(hit) <= rank])
