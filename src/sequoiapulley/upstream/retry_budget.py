"""Budget that limits the retries and hedged requests of a service."""

from __future__ import annotations

from typing import Final

EARNED_PER_TRY: Final = 0.04
"""Tokens earned by each first try, so that a healthy fleet has at most 4% extra load."""
FAULT_EARNED_PER_TRY: Final = 0.04
"""Tokens of the fault bucket earned by each first try; each fault releases one."""
MIN_CAP: Final = 10.0
CAP_WINDOW_S: Final = 5.0
"""Window of first tries that bounds the tokens, so that unspent ones are kept about this long."""

DENIAL_LOG_INTERVAL_S: Final = 10.0


class RetryBudget:
    """Token bucket filled by first tries, with a second bucket whose tokens faults release.

    Both buckets start with `MIN_CAP` tokens.
    """

    __slots__ = (
        "_cap",
        "_denial_logged_at",
        "_fault_tokens",
        "_tokens",
        "_window_start",
        "_window_tries",
    )

    def __init__(self) -> None:
        self._tokens = MIN_CAP
        self._fault_tokens = MIN_CAP
        self._cap = MIN_CAP
        self._window_start = 0.0
        self._window_tries = 0
        self._denial_logged_at = float("-inf")

    @property
    def tokens(self) -> float:
        """Tokens available for further tries."""
        return self._tokens

    def on_first_try(self, now: float) -> None:
        """Earns a fraction of a token and updates the cap."""
        self._window_tries += 1
        self._cap = max(self._cap, EARNED_PER_TRY * self._window_tries)
        if now - self._window_start >= CAP_WINDOW_S:
            self._cap = max(MIN_CAP, EARNED_PER_TRY * self._window_tries)
            self._window_start = now
            self._window_tries = 0
        self._tokens = min(self._cap, self._tokens + EARNED_PER_TRY)
        self._fault_tokens = min(self._cap, self._fault_tokens + FAULT_EARNED_PER_TRY)

    def on_fault(self) -> None:
        """Releases one token of the fault bucket after a try that failed or was replaced."""
        if self._fault_tokens < 1:
            return
        self._fault_tokens -= 1
        self._tokens += 1

    def should_log_denial(self, now: float) -> bool:
        """Returns whether a denial should be logged; limits the rate of these events."""
        if now - self._denial_logged_at < DENIAL_LOG_INTERVAL_S:
            return False
        self._denial_logged_at = now
        return True

    def take_token(self) -> bool:
        """Takes a token for one further try; returns whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
