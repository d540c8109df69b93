"""Tuning of the cyclic garbage collector for long-lived objects."""

from __future__ import annotations

from gc import collect, enable, freeze, set_threshold, unfreeze
from typing import Final

GEN0_THRESHOLD: Final = 5_000
"""Net allocations of container objects that trigger a collection of generation 0."""
GEN1_THRESHOLD: Final = 5
"""Collections of generation 0 per collection of generation 1, which stops the process for some
milliseconds for each of them."""
GEN2_THRESHOLD: Final = 50
"""Collections of generation 1 per collection of generation 2."""


def freeze_initial_heap() -> None:
    """Exempts all objects from collections, and starts these if they were disabled at the start.

    Nothing is collected first: a start leaves little garbage, and callers wait for its end.
    """
    freeze()
    set_threshold(GEN0_THRESHOLD, GEN1_THRESHOLD, GEN2_THRESHOLD)
    enable()


def freeze_heap() -> None:
    """Collects garbage once and exempts all surviving objects from collections until the next call.

    Call it after each configuration change, because the objects that these create are long-lived.
    """
    unfreeze()
    collect()
    freeze()
    set_threshold(GEN0_THRESHOLD, GEN1_THRESHOLD, GEN2_THRESHOLD)
