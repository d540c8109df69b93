"""Which shards of a request are asked only for a reply in time."""

from __future__ import annotations

from math import log2
from typing import Final

MAX_LATENESS_RATIO: Final = 16.0
"""Multiple of the time left beyond which all shards count as equally late."""


def expected_late(expected: list[float], time_left: float, spare: int) -> frozenset[int]:
    """Returns the positions of the shards that an answer in time can do without.

    Shards are ranked by lateness in powers of two and then by position. All nodes so leave out the
    same ones, and those that every request needs carry no more than they can.

    Args:
        expected: Time until each shard's reply is expected, in seconds.
        time_left: Time until the answer is due, in seconds; above 0.
        spare: Shards that an answer may lack.
    """
    ranked: list[tuple[int, int]] = []
    for position, time in enumerate(expected):
        lateness = min(MAX_LATENESS_RATIO, time / time_left)
        if lateness > 1.0:
            ranked.append((-round(log2(lateness)), position))
    ranked.sort()
    return frozenset(position for _, position in ranked[:spare])
