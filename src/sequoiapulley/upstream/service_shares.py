"""Fair shares of a home's unfinished work between services, by weight."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import ServiceName
from sequoiapulley.model.configuration import Configuration

MAX_UNFINISHED: Final = 16_384
"""Sub-requests that a home works on at the same time."""
CONTENDED: Final = MAX_UNFINISHED // 2
"""Amount of unfinished work from which shares are enforced."""


class ServiceShares:
    """Counts unfinished work by service and bounds each to its share when there is much."""

    def __init__(self) -> None:
        """Initialise without work."""
        self._weights: dict[ServiceName, int] = {}
        self._counts: dict[ServiceName, int] = {}
        self._total = 0

    def configure(self, configuration: Configuration) -> None:
        """Takes the weights of a configuration."""
        self._weights = {name: service.weight for name, service in configuration.services.items()}

    def add(self, service: ServiceName) -> None:
        """Counts new work."""
        self._counts[service] = self._counts.get(service, 0) + 1
        self._total += 1

    def remove(self, service: ServiceName) -> None:
        """Counts finished work off."""
        left = self._counts[service] - 1
        self._total -= 1
        if left:
            self._counts[service] = left
        else:
            del self._counts[service]

    def exceeds(self, service: ServiceName) -> bool:
        """Returns whether a service holds more than its share while work is contended.

        The share is the part of `MAX_UNFINISHED` that the weight of the service is of the
        weights of all services with unfinished work.

        Args:
            service: A service whose newest work is already counted.

        Returns:
            Whether its newest work has to be refused.
        """
        if self._total <= CONTENDED:
            return False
        weights = sum(self._weights.get(name, 1) for name in self._counts)
        share = MAX_UNFINISHED * self._weights.get(service, 1) / weights
        return self._counts[service] > share
