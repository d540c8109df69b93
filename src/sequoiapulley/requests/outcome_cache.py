"""Cache of this node's recent outcomes; answers retries while the store is unavailable."""

from __future__ import annotations

from typing import Final

from cachetools import LRUCache

from sequoiapulley.requests.claim_record import ClaimRecord

MAX_CACHE_BYTES: Final = 8_388_608
RECORD_OVERHEAD_BYTES: Final = 512


class OutcomeCache:
    """LRU cache of finished claims by store key, bounded in size.

    The size of a claim is a fixed overhead plus the length of its answer in characters.
    """

    def __init__(self) -> None:
        self._records: LRUCache[str, ClaimRecord] = LRUCache(MAX_CACHE_BYTES, _size_of)

    def get(self, key: str) -> ClaimRecord | None:
        """Returns the finished claim of a store key, or None."""
        return self._records.get(key)

    def put(self, key: str, record: ClaimRecord) -> None:
        """Stores a finished claim; the least recently used ones may be evicted."""
        self._records[key] = record


def _size_of(record: ClaimRecord) -> int:
    return RECORD_OVERHEAD_BYTES + len(record.body)
