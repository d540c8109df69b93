"""Models latency as a round trip to a failure domain plus the processing time of a route."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import FailureDomainName

PROCESSING_TIME_STEP: Final = 0.03
"""Relative step of the estimate for each sample, up or down. The estimate converges to the median,
which a few slow upstreams hardly affect, and follows a change within some tens of samples."""
INITIAL_PROCESSING_SHARE: Final = 0.1
"""Typical processing time of a route without samples, as a share of its goal."""
MIN_PROCESSING_TIME_S: Final = 0.0001
"""Minimum of the estimate, so that times can be related to it whatever the goal of a route is."""
ROUND_TRIP_RISE_PER_S: Final = 0.02
"""Relative increase per second of the minimum latency observed to a failure domain, while no
shorter one is observed."""
ROUND_TRIP_WEIGHT: Final = 0.1
"""Weight of a round trip, measured without processing time, that is longer than the estimate: it
may include queueing."""
HEDGE_PROCESSING_RATIO: Final = 2.0
"""Multiple of the typical processing time after which a reply is overdue; about the 95th percentile
of processing times that vary by a third."""
HEDGE_MARGIN_S: Final = 0.003
"""Time allowed in addition to processing time and round trip, for scheduling at both ends."""


class LatencyModel:
    """Typical processing time of each route and round trip to each failure domain."""

    def __init__(self, initial_round_trips: dict[FailureDomainName, float]) -> None:
        """Initialise without samples.

        Args:
            initial_round_trips: Round trips to failure domains that are assumed until there are
                samples, in seconds.
        """
        self._assumed = initial_round_trips
        self._round_trips: dict[FailureDomainName, tuple[float, float]] = {}
        self._measured: set[FailureDomainName] = set()
        self._processing_times: dict[str, float] = {}

    def round_trip(self, failure_domain: FailureDomainName) -> float:
        """Returns the round trip to a failure domain in seconds."""
        known = self._round_trips.get(failure_domain)
        if known is not None:
            return known[0]
        return self._assumed.get(failure_domain, max(self._assumed.values(), default=0.0))

    def has_measured_round_trip(self, failure_domain: FailureDomainName) -> bool:
        """Returns whether a round trip without processing time was measured to a failure domain."""
        return failure_domain in self._measured

    def processing_time(self, route: str, goal: float) -> float:
        """Returns the typical processing time of a route at an upstream, in seconds.

        Args:
            route: Name of the route.
            goal: Latency goal of the route in seconds, used while there are no samples.
        """
        typical = self._processing_times.get(route, goal * INITIAL_PROCESSING_SHARE)
        return max(MIN_PROCESSING_TIME_S, typical)

    def record(
        self, route: str, goal: float, failure_domain: FailureDomainName, latency: float, now: float
    ) -> None:
        """Updates the model with the latency of one reply.

        Args:
            route: Name of the route.
            goal: Latency goal of the route in seconds.
            failure_domain: Failure domain of the upstream.
            latency: Time from the send to the reply, in seconds.
            now: Clock reading in seconds.
        """
        known = self._round_trips.get(failure_domain)
        if known is None:
            self._round_trips[failure_domain] = (min(latency, self.round_trip(failure_domain)), now)
        else:
            risen = known[0] * (1 + ROUND_TRIP_RISE_PER_S * (now - known[1]))
            self._round_trips[failure_domain] = (min(latency, risen), now)
        typical = self.processing_time(route, goal)
        slower = latency - self.round_trip(failure_domain) > typical
        self._processing_times[route] = typical * (
            1 + PROCESSING_TIME_STEP if slower else 1 - PROCESSING_TIME_STEP
        )

    def record_round_trip(
        self, failure_domain: FailureDomainName, latency: float, now: float
    ) -> None:
        """Updates the model with a round trip without processing time.

        Args:
            failure_domain: The failure domain.
            latency: Duration of the round trip in seconds.
            now: Clock reading in seconds.
        """
        round_trip = self.round_trip(failure_domain)
        longer = failure_domain in self._measured and latency > round_trip
        weight = ROUND_TRIP_WEIGHT if longer else 1.0
        self._round_trips[failure_domain] = (round_trip + weight * (latency - round_trip), now)
        self._measured.add(failure_domain)

    def overdue_after(self, route: str, goal: float, failure_domain: FailureDomainName) -> float:
        """Returns the time after which a reply from a failure domain is overdue, in seconds."""
        return (
            self.round_trip(failure_domain)
            + HEDGE_PROCESSING_RATIO * self.processing_time(route, goal)
            + HEDGE_MARGIN_S
        )
