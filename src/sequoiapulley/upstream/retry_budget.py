"""The one budget from which the retries and hedges of a service are paid."""

from __future__ import annotations

from typing import Final

EARNED_PER_TRY: Final = 0.04
"""Tokens earned by each first try, so that a healthy fleet sees at most 4% extra load."""
FAULT_EARNED_PER_TRY: Final = 0.04
"""Further tokens for each first try that faults may release, one for each fault."""
SMALLEST_CAP: Final = 10.0
CAP_WINDOW_S: Final = 5.0
"""Unspent tokens are kept for about this time."""

DENIAL_LOG_INTERVAL_S: Final = 10.0


class RetryBudget:
    """Token bucket filled by first tries; a second bucket is opened only by faults."""

    __slots__ = (
        "_cap",
        "_denial_told_at",
        "_fault_room",
        "_tokens",
        "_window_start",
        "_window_tries",
    )

    def __init__(self) -> None:
        """Initialise a budget with the smallest cap filled."""
        self._tokens = SMALLEST_CAP
        self._fault_room = SMALLEST_CAP
        self._cap = SMALLEST_CAP
        self._window_start = 0.0
        self._window_tries = 0
        self._denial_told_at = float("-inf")

    @property
    def tokens(self) -> float:
        """Extra tries that may be sent now."""
        return self._tokens

    def on_first_try(self, now: float) -> None:
        """Earns a part of a token."""
        self._window_tries += 1
        self._cap = max(self._cap, EARNED_PER_TRY * self._window_tries)
        if now - self._window_start >= CAP_WINDOW_S:
            self._cap = max(SMALLEST_CAP, EARNED_PER_TRY * self._window_tries)
            self._window_start = now
            self._window_tries = 0
        self._tokens = min(self._cap, self._tokens + EARNED_PER_TRY)
        self._fault_room = min(self._cap, self._fault_room + FAULT_EARNED_PER_TRY)

    def on_fault(self) -> None:
        """Moves one token from the second bucket, as a try was lost or refused."""
        if self._fault_room < 1:
            return
        self._fault_room -= 1
        self._tokens += 1

    def tell_denial(self, now: float) -> bool:
        """Returns whether a denial is worth a log event, as the last one is some time ago."""
        if now - self._denial_told_at < DENIAL_LOG_INTERVAL_S:
            return False
        self._denial_told_at = now
        return True

    def take(self) -> bool:
        """Takes a token for one extra try; returns whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
