"""Merging of hits by falling score, then by id."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from itertools import chain

from sequoiapulley.search.messages import Hit


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
    return tuple(nsmallest(limit, chain.from_iterable(batches), key=hit_rank))
