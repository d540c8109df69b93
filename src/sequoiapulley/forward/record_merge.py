"""Merges the fixed-size records of several parts."""

from __future__ import annotations

from typing import Final

RECORD_BYTES: Final = 16
"""Size of one record; a shorter remainder at the end of a part is ignored."""
MAX_HELD_PART_BYTES: Final = 16_384
"""Size of a part from which only the records that may be returned are kept until the merge."""


def shorten_part(body: bytes, top_k: int) -> bytes:
    """Returns a part without records that no merge can return, if it is large.

    Args:
        body: Body of the part, with records in any order.
        top_k: Maximum number of records that the merge returns.
    """
    return body if len(body) <= MAX_HELD_PART_BYTES else merge_greatest([body], top_k)


def merge_greatest(bodies: list[bytes], top_k: int) -> bytes:
    """Returns the greatest records of all parts, in descending order.

    Args:
        bodies: Bodies of the parts, with records in any order.
        top_k: Maximum number of records to return; duplicates are kept.
    """
    records: list[bytes] = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        for start in range(0, whole, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    records.sort(reverse=True)
    return b"".join(records[:top_k])
