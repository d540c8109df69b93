"""A budget that keeps second asks to a small share of first ones."""

from __future__ import annotations

from typing import Final

HEDGE_SHARE: Final = 0.03
MAX_TOKENS: Final = 20.0


class HedgeBudget:
    """Tokens earned by first asks and spent by second ones, counted in shards."""

    def __init__(self, share: float = HEDGE_SHARE, most: float = MAX_TOKENS) -> None:
        """Initialise with a full budget.

        Args:
            share: Second asks allowed for each first one.
            most: Largest number of tokens saved up.
        """
        self._share = share
        self._most = most
        self._tokens = most

    def earn(self, shards: int) -> None:
        """Counts first asks."""
        self._tokens = min(self._most, self._tokens + self._share * shards)

    def spend(self, shards: int) -> bool:
        """Spends tokens for a second ask of some shards, or refuses when nothing is left."""
        if self._tokens < 1:
            return False
        self._tokens -= shards
        return True
