"""Recent outcomes of this node, for repeats while the store is down."""

from __future__ import annotations

from typing import Final

from cachetools import LRUCache

from sequoiapulley.requests.claim_record import ClaimRecord

MAX_MEMORY_BYTES: Final = 8_388_608
RECORD_OVERHEAD_BYTES: Final = 512


class OutcomeMemory:
    """Finished claims by store key, in bounded space."""

    def __init__(self) -> None:
        """Initialise an empty memory."""
        self._records: LRUCache[str, ClaimRecord] = LRUCache(MAX_MEMORY_BYTES, _size_of)

    def get(self, key: str) -> ClaimRecord | None:
        """Returns the finished claim of a store key, or None."""
        return self._records.get(key)

    def put(self, key: str, record: ClaimRecord) -> None:
        """Keeps a finished claim."""
        self._records[key] = record


def _size_of(record: ClaimRecord) -> int:
    return RECORD_OVERHEAD_BYTES + len(record.body)
