"""The made-up index of the stand-in upstreams."""

from __future__ import annotations

from typing import Any, Final

from xxhash import xxh32_intdigest

SCORE_SCALE: Final = float(2**32)


def hits_of(instance: str, query: str, snapshot: str, limit: int) -> list[dict[str, Any]]:
    """Returns the hits of one shard, the same for the same arguments.

    Args:
        instance: Name of the instance that holds the shard.
        query: Query text.
        snapshot: Snapshot read; each hit names it, so that a mixed answer shows.
        limit: Number of hits.

    Returns:
        Hits by falling score.
    """
    hits: list[dict[str, Any]] = []
    for rank in range(limit):
        score = xxh32_intdigest(f"{instance} {query} {rank}".encode()) / SCORE_SCALE
        fields = {"title": f"{query} {rank} of {instance}", "snapshot": snapshot}
        hits.append({"id": f"{instance}-{rank}", "score": round(score, 6), "fields": fields})
    hits.sort(key=lambda hit: (-hit["score"], hit["id"]))
    return hits
