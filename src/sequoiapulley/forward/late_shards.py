"""Selects the shards of a request whose calls are limited to the time left."""

from __future__ import annotations

from math import log2
from typing import Final

MAX_LATENESS_RATIO: Final = 16.0
"""Ratio of expected time to time left above which all shards count as equally late."""


def expected_late(expected: list[float], time_left: float, spare: int) -> frozenset[int]:
    """Returns the positions of the late shards that may be missing from an answer in time.

    Shards are ranked by lateness, rounded to powers of two, and then by position. All nodes
    therefore select the same shards, and the late shards that every answer still requires are not
    overloaded.

    Args:
        expected: Time until each shard's reply is expected, in seconds.
        time_left: Time until the answer is due, in seconds; above 0.
        spare: Number of shards that may be missing from an answer.
    """
    ranked: list[tuple[int, int]] = []
    for position, time in enumerate(expected):
        lateness = min(MAX_LATENESS_RATIO, time / time_left)
        if lateness > 1.0:
            ranked.append((-round(log2(lateness)), position))
    ranked.sort()
    return frozenset(position for _, position in ranked[:spare])
