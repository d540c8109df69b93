"""Counters of a home's dispatch decisions, for metrics and status."""

from __future__ import annotations

from msgspec import Struct


class DispatchCounts(Struct):
    """Totals since the start of the process."""

    first_tries: int = 0
    retries: int = 0
    hedges: int = 0
    replacements: int = 0
    """Exchanges sent again on a fresh connection."""
    cancelled: int = 0
    """Exchanges given up before their reply."""
    refused: int = 0
    """Work refused before it was sent, for overload."""
    quarantined: int = 0
    """Work refused because it crashes upstreams."""
    budget_denied: int = 0
    """Retries and hedges that the budget did not pay for."""

    @property
    def extra_load(self) -> float:
        """Extra tries as a share of first tries."""
        extra = self.retries + self.hedges + self.replacements
        return extra / self.first_tries if self.first_tries else 0.0
