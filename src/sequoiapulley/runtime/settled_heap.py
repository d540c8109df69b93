"""Keeps the cyclic garbage collector away from objects that live long."""

from __future__ import annotations

from gc import collect, freeze, set_threshold, unfreeze
from typing import Final

YOUNG_THRESHOLD: Final = 5_000
"""Allocations between two collections of young objects."""
MIDDLE_THRESHOLD: Final = 20
OLD_THRESHOLD: Final = 50


def settle_heap() -> None:
    """Collects garbage once and exempts everything that is left from later collections.

    Call it after the start and after each change of the configuration, whose objects stay.
    """
    unfreeze()
    collect()
    freeze()
    set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
