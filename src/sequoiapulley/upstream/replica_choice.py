"""Chooses the replica for a try: two random candidates, the cheaper one wins."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Final

from sequoiapulley.ids import FailureDomainName, RegionName
from sequoiapulley.upstream.upstream_state import UpstreamState

OTHER_FAILURE_DOMAIN_FACTOR: Final = 1.1
"""An upstream of another failure domain is taken only if it is this much cheaper."""
OTHER_REGION_FACTOR: Final = 1.25
WAIT_ADVANTAGE: Final = 2.0
"""Waiting for a busy replica must promise to be this much faster than a free one."""


class ReplicaChoice:
    """Compares replicas by what this home saw of them; load reports have no say."""

    def __init__(self, random: Random) -> None:
        """Initialise a choice without a home failure domain.

        Args:
            random: Source of the two candidates.
        """
        self._random = random
        self.failure_domain: FailureDomainName | None = None
        """Failure domain of this home, if known."""
        self.region: RegionName | None = None

    def choose(
        self, usable: Sequence[UpstreamState], queued: int, typical: float, now: float
    ) -> UpstreamState | None:
        """Chooses a replica that has room.

        Args:
            usable: Replicas that may serve the work.
            queued: Work that waits for the same replicas.
            typical: Median latency of the instance, in seconds.
            now: Clock reading in seconds.

        Returns:
            The replica, or None if it is better to wait, or no replica has room.
        """
        free = [upstream for upstream in usable if upstream.has_room(now)]
        if not free:
            return None
        if len(free) > 2:
            free = self._random.sample(free, 2)
        best = free[0]
        if len(usable) == 1:
            return best
        best_cost = self._cost(best, best.allowed(now), typical, now)
        for other in free[1:]:
            cost = self._cost(other, other.allowed(now), typical, now)
            if cost < best_cost or (cost == best_cost and self._random.random() < 0.5):
                best, best_cost = other, cost
        for busy in usable:
            if busy.in_flight and not busy.has_room(now) and busy.in_service:
                wait = busy.expected(typical, now) * (1 + (queued + 1) / busy.in_flight)
                if wait * WAIT_ADVANTAGE < best_cost:
                    return None
        return best

    def choose_plain(
        self, replicas: Sequence[UpstreamState], queued: int, typical: float, now: float
    ) -> UpstreamState | None:
        """Chooses as `choose` does, among replicas that are all in plain service."""
        if len(replicas) != 2:
            return self.choose(replicas, queued, typical, now)
        first, second = replicas
        room = first.in_flight < first.limit.current
        if room != (second.in_flight < second.limit.current):
            return self.choose(replicas, queued, typical, now)
        if not room:
            return None
        first_cost = self._cost(first, first.limit.current, typical, now)
        second_cost = self._cost(second, second.limit.current, typical, now)
        if first_cost == second_cost:
            return first if self._random.random() < 0.5 else second
        return first if first_cost < second_cost else second

    def _cost(self, upstream: UpstreamState, allowed: int, typical: float, now: float) -> float:
        cost = upstream.expected(typical, now) * (1 + upstream.in_flight / allowed)
        if self.failure_domain is None:
            return cost
        if self.region is not None and upstream.region != self.region:
            return cost * OTHER_REGION_FACTOR
        if upstream.failure_domain != self.failure_domain:
            return cost * OTHER_FAILURE_DOMAIN_FACTOR
        return cost
