"""Synthetic search index of the stand-in upstreams."""

from __future__ import annotations

from typing import Any, Final

from xxhash import xxh32_intdigest

SCORE_SCALE: Final = float(2**32)


def make_hits(instance: str, query: str, snapshot: str, limit: int) -> list[dict[str, Any]]:
    """Returns the hits of one shard; the result depends only on the arguments.

    Args:
        instance: Name of the instance that holds the shard.
        query: Query text.
        snapshot: Index snapshot. Each hit contains it, so that answers that mix snapshots can be
            detected.
        limit: Number of hits.

    Returns:
        Hits in descending order of score.
    """
    hits: list[dict[str, Any]] = []
    for rank in range(limit):
        score = xxh32_intdigest(f"{instance} {query} {rank}".encode()) / SCORE_SCALE
        fields = {"title": f"{query} {rank} of {instance}", "snapshot": snapshot}
        hits.append({"id": f"{instance}-{rank}", "score": round(score, 6), "fields": fields})
    hits.sort(key=lambda hit: (-hit["score"], hit["id"]))
    return hits
