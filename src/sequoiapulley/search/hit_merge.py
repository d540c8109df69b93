"""Merging of hits by falling score, then by id."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain
from typing import Final

from msgspec.structs import replace

from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import Hit, ShardReply

PRUNE_FROM_LIMITS: Final = 3
"""Size of a batch, in limits, from which pruning saves more than it costs."""


def hit_rank(hit: Hit) -> tuple[float, str, str]:
    """Returns the sort key of a hit; the best hit has the smallest key."""
    return (-hit.score, hit.id, hit.shard)


def merge_hits(batches: Iterable[tuple[Hit, ...]], limit: int) -> tuple[Hit, ...]:
    """Merges the hits of several shards.

    Args:
        batches: Hits of each shard, in any order.
        limit: Largest number of hits returned.

    Returns:
        The best hits in rank order, the same for every order of arrival.
    """
    hits = list(chain.from_iterable(batches))
    if len(hits) > limit > 0:
        # Ranks by the whole key only what the score alone cannot rule out.
        lowest = sorted([hit.score for hit in hits], reverse=True)[limit - 1]
        hits = [hit for hit in hits if hit.score >= lowest]
    hits.sort(key=hit_rank)
    return tuple(hits[:limit])


def prune_hits(replies: list[ShardReply], limit: int) -> list[ShardReply]:
    """Drops the hits of a batch that cannot be among the best `limit` of any answer.

    A hit is dropped only if `limit` hits of the same batch and snapshot rank before it, so that
    the merged answer stays the same while less travels.

    Args:
        replies: Outcomes of shards.
        limit: Largest number of hits in the answer.

    Returns:
        The outcomes in the same order, with fewer hits.
    """
    if limit <= 0 or sum([len(reply.hits) for reply in replies]) < PRUNE_FROM_LIMITS * limit:
        return replies
    by_snapshot: dict[Snapshot | None, list[tuple[Hit, ...]]] = {}
    for reply in replies:
        if reply.hits:
            by_snapshot.setdefault(reply.snapshot, []).append(reply.hits)
    last = {snapshot: merge_hits(batches, limit)[-1] for snapshot, batches in by_snapshot.items()}
    pruned: list[ShardReply] = []
    for reply in replies:
        worst = last.get(reply.snapshot)
        hits = reply.hits if worst is None else _up_to(worst, reply.hits)
        if len(hits) < len(reply.hits):
            reply = replace(reply, hits=hits)
        pruned.append(reply)
    return pruned


def _up_to(worst: Hit, hits: tuple[Hit, ...]) -> tuple[Hit, ...]:
    score = worst.score
    close = [hit for hit in hits if hit.score >= score]
    if not close:
        return ()
    rank = hit_rank(worst)
    return tuple([hit for hit in close if hit_rank(hit) <= rank])
