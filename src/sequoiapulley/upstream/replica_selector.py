"""Selection of the replica for a try: the cheaper of two random candidates."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Final

from sequoiapulley.ids import FailureDomainName, RegionName
from sequoiapulley.upstream.upstream_state import UpstreamState

OTHER_FAILURE_DOMAIN_FACTOR: Final = 1.1
"""Cost factor of an upstream in another failure domain of the same region."""
OTHER_REGION_FACTOR: Final = 1.25
WAIT_ADVANTAGE: Final = 2.0
"""Work waits for a busy replica only if that is expected to be faster by more than this factor."""


class ReplicaSelector:
    """Compares replicas by the latencies that this home node observed; load reports are ignored."""

    def __init__(self, random: Random) -> None:
        """Creates a selector without a preferred failure domain.

        Args:
            random: Random source for the candidates.
        """
        self._random = random
        self.failure_domain: FailureDomainName | None = None
        """Failure domain of this home node, if known."""
        self.region: RegionName | None = None

    def choose(
        self, usable: Sequence[UpstreamState], queued: int, median_latency: float, now: float
    ) -> UpstreamState | None:
        """Chooses a replica that has capacity.

        Args:
            usable: Replicas that may serve the work.
            queued: Number of requests queued for the same replicas.
            median_latency: Median latency of the instance, in seconds.
            now: Clock reading in seconds.

        Returns:
            The replica, or None if no replica has capacity or waiting is expected to be faster.
        """
        free = [upstream for upstream in usable if upstream.has_room(now)]
        if not free:
            return None
        if len(free) > 2:
            free = self._random.sample(free, 2)
        best = free[0]
        if len(usable) == 1:
            return best
        best_cost = self._cost(best, best.max_in_flight(now), median_latency, now)
        for other in free[1:]:
            cost = self._cost(other, other.max_in_flight(now), median_latency, now)
            if cost < best_cost or (cost == best_cost and self._random.random() < 0.5):
                best, best_cost = other, cost
        for busy in usable:
            if busy.in_flight and not busy.has_room(now) and busy.accepts_work:
                wait = busy.expected(median_latency, now) * (1 + (queued + 1) / busy.in_flight)
                if wait * WAIT_ADVANTAGE < best_cost:
                    return None
        return best

    def choose_healthy(
        self, replicas: Sequence[UpstreamState], queued: int, median_latency: float, now: float
    ) -> UpstreamState | None:
        """Chooses like `choose`, with a fast path for two replicas; all must be healthy."""
        if len(replicas) != 2:
            return self.choose(replicas, queued, median_latency, now)
        first, second = replicas
        room = first.in_flight < first.limit.current
        if room != (second.in_flight < second.limit.current):
            return self.choose(replicas, queued, median_latency, now)
        if not room:
            return None
        first_cost = self._cost(first, first.limit.current, median_latency, now)
        second_cost = self._cost(second, second.limit.current, median_latency, now)
        if first_cost == second_cost:
            return first if self._random.random() < 0.5 else second
        return first if first_cost < second_cost else second

    def _cost(
        self, upstream: UpstreamState, max_in_flight: int, median_latency: float, now: float
    ) -> float:
        cost = upstream.expected(median_latency, now) * (1 + upstream.in_flight / max_in_flight)
        if self.failure_domain is None:
            return cost
        if self.region is not None and upstream.region != self.region:
            return cost * OTHER_REGION_FACTOR
        if upstream.failure_domain != self.failure_domain:
            return cost * OTHER_FAILURE_DOMAIN_FACTOR
        return cost
