"""Fair shares of a home node's unfinished work between services, by weight."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import ServiceName
from sequoiapulley.model.configuration import Configuration

MAX_UNFINISHED: Final = 16_384
"""Maximum number of unfinished sub-requests of a home node."""
CONTENTION_THRESHOLD: Final = MAX_UNFINISHED // 2
"""Number of unfinished sub-requests above which shares are enforced."""


class ServiceShares:
    """Counts unfinished work by service and limits each service to its share under contention."""

    def __init__(self) -> None:
        self._weights: dict[ServiceName, int] = {}
        self._counts: dict[ServiceName, int] = {}
        self._total = 0

    def configure(self, configuration: Configuration) -> None:
        """Applies the weights of a configuration."""
        self._weights = {name: service.weight for name, service in configuration.services.items()}

    def add(self, service: ServiceName) -> None:
        """Adds one request to the count of a service."""
        self._counts[service] = self._counts.get(service, 0) + 1
        self._total += 1

    def remove(self, service: ServiceName) -> None:
        """Removes one finished request from the count of a service."""
        left = self._counts[service] - 1
        self._total -= 1
        if left:
            self._counts[service] = left
        else:
            del self._counts[service]

    def exceeds_share(self, service: ServiceName) -> bool:
        """Returns whether a service exceeds its share while shares are enforced.

        `MAX_UNFINISHED` is divided among the services with unfinished work in proportion to their
        weights.

        Args:
            service: A service whose newest work is already counted.

        Returns:
            Whether its newest work must be refused.
        """
        if self._total <= CONTENTION_THRESHOLD:
            return False
        weights = sum(self._weights.get(name, 1) for name in self._counts)
        share = MAX_UNFINISHED * self._weights.get(service, 1) / weights
        return self._counts[service] > share
