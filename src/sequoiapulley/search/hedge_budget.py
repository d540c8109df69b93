"""Token bucket that limits hedged requests to a small share of the regular ones."""

from __future__ import annotations

from typing import Final

HEDGE_SHARE: Final = 0.03
MAX_TOKENS: Final = 20.0


class HedgeBudget:
    """Token bucket for hedged requests, counted in shards.

    Regular requests earn a fraction of a token for each shard; a hedged one costs a whole token.
    """

    def __init__(self, share: float = HEDGE_SHARE, max_tokens: float = MAX_TOKENS) -> None:
        """Initialise with a full budget.

        Args:
            share: Tokens earned for each shard of a regular request.
            max_tokens: Maximum number of tokens in the bucket.
        """
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def earn(self, shards: int) -> None:
        """Adds the tokens for the shards of a regular request."""
        self._tokens = min(self._max_tokens, self._tokens + self._share * shards)

    def try_spend(self, shards: int) -> bool:
        """Spends the tokens of a hedged request, or returns False if less than one token is left.

        The balance may become negative, as a request for several shards is not split.
        """
        if self._tokens < 1:
            return False
        self._tokens -= shards
        return True
