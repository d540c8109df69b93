"""Selects the shards of a request whose calls end when the answer is due."""

from __future__ import annotations

from math import log2
from typing import Final

MAX_LATENESS_RATIO: Final = 16.0
"""Ratio of expected time to time until due above which all shards count as equally late."""


def expected_late(expected: list[float], time_until_due: float, spare: int) -> frozenset[int]:
    """Returns the positions of the late shards whose parts an answer may go without.

    Shards are ranked by lateness, rounded to powers of two, and then by position, so that all nodes
    select the same shards although their estimates differ a little. This keeps the late shards that
    every answer still requires from being overloaded.

    Args:
        expected: Time until each shard's reply is expected, in seconds.
        time_until_due: Time until the answer is due, in seconds; above 0.
        spare: Number of shards that may be missing from an answer.
    """
    ranked: list[tuple[int, int]] = []
    for position, time in enumerate(expected):
        lateness = min(MAX_LATENESS_RATIO, time / time_until_due)
        if lateness > 1.0:
            ranked.append((-round(log2(lateness)), position))
    ranked.sort()
    return frozenset(position for _, position in ranked[:spare])
