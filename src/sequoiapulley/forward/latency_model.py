"""What a reply's time is made of: way to a failure domain, work of a route, and upstream."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import FailureDomainName

WORK_STEP: Final = 0.03
"""Relative step of the estimate for each sample, up or down: it settles at the median, which a few
slow upstreams hardly move, and follows a change within some tens of samples."""
INITIAL_WORK_PER_GOAL: Final = 0.1
"""Typical work of a route without samples, as a share of its goal."""
WAY_RISE_PER_S: Final = 0.02
"""Rise of the shortest time seen to a failure domain, relative, for each second without a
shorter one."""
WAY_WEIGHT: Final = 0.1
"""Weight of a longer round trip without work, which may have queued on its way."""
HEDGE_WORK_RATIO: Final = 2.0
"""Multiple of the typical work after which a reply counts as overdue; about the 95th percentile
of work that is spread by a third."""
HEDGE_MARGIN_S: Final = 0.003
"""Time allowed beside work and way, for the scheduling of both ends."""


class LatencyModel:
    """Typical work of each route and shortest way to each failure domain."""

    def __init__(self, initial_ways: dict[FailureDomainName, float]) -> None:
        """Initialise without samples.

        Args:
            initial_ways: Assumed round trips to failure domains, in seconds, until samples come.
        """
        self._assumed = initial_ways
        self._ways: dict[FailureDomainName, tuple[float, float]] = {}
        self._measured: set[FailureDomainName] = set()
        self._work: dict[str, float] = {}

    def way(self, failure_domain: FailureDomainName) -> float:
        """Returns the round trip to a failure domain in seconds."""
        known = self._ways.get(failure_domain)
        if known is not None:
            return known[0]
        return self._assumed.get(failure_domain, max(self._assumed.values(), default=0.0))

    def knows_way(self, failure_domain: FailureDomainName) -> bool:
        """Returns whether the round trip to a failure domain was measured without work there."""
        return failure_domain in self._measured

    def work(self, route: str, goal: float) -> float:
        """Returns the typical time of a route's work at an upstream, in seconds.

        Args:
            route: Name of the route.
            goal: The route's goal in seconds, used while there are no samples.
        """
        return self._work.get(route, goal * INITIAL_WORK_PER_GOAL)

    def record(
        self, route: str, goal: float, failure_domain: FailureDomainName, latency: float, now: float
    ) -> None:
        """Learns from one reply.

        Args:
            route: Name of the route.
            goal: The route's goal in seconds.
            failure_domain: Failure domain of the upstream.
            latency: Time from the send to the reply, in seconds.
            now: Clock reading in seconds.
        """
        known = self._ways.get(failure_domain)
        if known is None:
            self._ways[failure_domain] = (min(latency, self.way(failure_domain)), now)
        else:
            risen = known[0] * (1 + WAY_RISE_PER_S * (now - known[1]))
            self._ways[failure_domain] = (min(latency, risen), now)
        typical = self.work(route, goal)
        slower = latency - self.way(failure_domain) > typical
        self._work[route] = typical * (1 + WORK_STEP if slower else 1 - WORK_STEP)

    def record_way(self, failure_domain: FailureDomainName, latency: float, now: float) -> None:
        """Learns from a round trip without the work at its end.

        Args:
            failure_domain: The failure domain.
            latency: Time of the round trip in seconds.
            now: Clock reading in seconds.
        """
        way = self.way(failure_domain)
        longer = failure_domain in self._measured and latency > way
        weight = WAY_WEIGHT if longer else 1.0
        self._ways[failure_domain] = (way + weight * (latency - way), now)
        self._measured.add(failure_domain)

    def overdue_after(self, route: str, goal: float, failure_domain: FailureDomainName) -> float:
        """Returns the time after which a reply from a failure domain is overdue, in seconds."""
        return self.way(failure_domain) + HEDGE_WORK_RATIO * self.work(route, goal) + HEDGE_MARGIN_S
