"""Counters of a home node's dispatcher, for metrics and status."""

from __future__ import annotations

from msgspec import Struct


class DispatchCounts(Struct):
    """Totals since the process started."""

    first_tries: int = 0
    retries: int = 0
    hedges: int = 0
    replacements: int = 0
    """Exchanges sent again on a new connection."""
    cancelled: int = 0
    """Exchanges cancelled before their reply."""
    refused: int = 0
    """Work refused for overload before it was sent."""
    quarantined: int = 0
    """Work refused because its fingerprint is quarantined."""
    budget_denied: int = 0
    """Retries, hedged requests and replacements for which the budget had no token."""

    @property
    def extra_load(self) -> float:
        """Ratio of further tries to first tries."""
        extra = self.retries + self.hedges + self.replacements
        return extra / self.first_tries if self.first_tries else 0.0
