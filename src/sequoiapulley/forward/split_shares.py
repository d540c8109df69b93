"""Distributes the requests of a split over its services by weight."""

from __future__ import annotations

from sequoiapulley.forward.route_table import Route
from sequoiapulley.ids import ServiceName


class SplitShares:
    """Smooth weighted round-robin, with separate state for each split."""

    def __init__(self) -> None:
        """Initialise without state."""
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def next_service(self, route: Route) -> ServiceName:
        """Returns the service for the next request of a route.

        Counted from the first request, the number of requests of each service differs from the
        share of its weight by about one request at most.

        Args:
            route: A route with at least one service in its split.
        """
        if len(route.split) == 1:
            return route.split[0].service
        credits = self._credits.setdefault(route.name, {})
        total = 0.0
        chosen = route.split[0].service
        highest = float("-inf")
        for part in route.split:
            total += part.weight
            credit = credits.get(part.service, 0.0) + part.weight
            credits[part.service] = credit
            if credit > highest:
                highest = credit
                chosen = part.service
        credits[chosen] -= total
        return chosen

    def retain(self, routes: tuple[Route, ...]) -> None:
        """Removes the state of routes that were removed or whose split has changed."""
        services = {
            route.name: {part.service for part in route.split}
            for route in routes
            if len(route.split) > 1
        }
        for name in tuple(self._credits):
            if services.get(name) != set(self._credits[name]):
                del self._credits[name]
