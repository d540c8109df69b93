"""State that a home node keeps of one of its upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sequoiapulley.ids import FailureDomainName, InstanceName, RegionName, ServiceName, UpstreamName
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.upstream.concurrency_limit import SLOW_RATIO, ConcurrencyLimit
from sequoiapulley.upstream.drain_state import DrainState
from sequoiapulley.upstream.latency_estimate import LatencyEstimate
from sequoiapulley.upstream.upstream_health import HealthState, UpstreamHealth

if TYPE_CHECKING:
    from sequoiapulley.upstream._work import Work

SLOW_START_S: Final = 3.0
"""Duration of the slow start of an upstream; see `UpstreamState.begin_slow_start`."""
SLOW_START_LATENCY_FACTOR: Final = 3.0
"""Factor on the expected latency of an upstream at the beginning of its slow start."""
AVAILABLE_TTL_S: Final = 0.25
"""Time for which the list of snapshots in a replica's reply is treated as complete."""
MAX_UNANSWERED_RATIO: Final = 2.0
"""Cap on the latency recorded for an abandoned exchange, as a multiple of the median latency, so
that a silent connection does not make the upstream appear slow."""
UNANSWERED_BEFORE_FRESH: Final = 2
"""Value of `UpstreamState.unanswered` from which exchanges request a new connection."""


class UpstreamState:
    """Mutable state of one upstream, owned by the dispatcher."""

    def __init__(
        self,
        name: UpstreamName,
        service: ServiceName,
        instance: InstanceName,
        failure_domain: FailureDomainName,
        region: RegionName,
    ) -> None:
        """Creates the state of an upstream without work.

        Args:
            name: Name of the upstream.
            service: Service that the upstream belongs to.
            instance: Instance whose shard the upstream serves.
            failure_domain: Failure domain of the upstream.
            region: Region of the failure domain.
        """
        self.name = name
        self.service = service
        self.instance = instance
        self.failure_domain = failure_domain
        self.region = region
        self.in_flight = 0
        self.limit = ConcurrencyLimit(1)
        self.latency = LatencyEstimate()
        self.health = UpstreamHealth()
        self.drain = DrainState()
        self.slow_start_at = float("-inf")
        """Clock reading at which the slow start began."""
        self.unanswered = 0
        """Exchanges without a reply since the last good reply or refusal."""
        self.reserved_for: Work | None = None
        """Suspected work for which the upstream is reserved."""
        self.reported_load: float | None = None
        self.available: tuple[Snapshot, ...] = ()
        """Snapshots listed in its last reply."""
        self.available_at = float("-inf")
        self.reported_available: tuple[Snapshot, ...] = ()
        """Snapshots listed in its last load report; a hint that does not exclude the replica."""

    @property
    def accepts_work(self) -> bool:
        """Whether the upstream is eligible for new work."""
        return (
            not self.drain.draining
            and self.limit.ceiling > 0
            and self.health.state is HealthState.IN_SERVICE
        )

    @property
    def needs_fresh_connection(self) -> bool:
        """Whether its idle connections may be silent."""
        return self.unanswered >= UNANSWERED_BEFORE_FRESH

    def is_healthy(self, now: float) -> bool:
        """Returns whether nothing but the concurrency limit restricts new requests."""
        return (
            self.accepts_work
            and not self.health.failure_weight
            and not self.unanswered
            and self.reserved_for is None
            and now >= self.limit.paused_until
            and now - self.slow_start_at >= SLOW_START_S
        )

    def max_in_flight(self, now: float) -> int:
        """Returns the number of requests that this home node may have in flight."""
        if self.health.state is HealthState.EJECTED:
            return 1
        current = self.limit.current
        age = now - self.slow_start_at
        if age >= SLOW_START_S:
            return current
        return max(1, int(current * age / SLOW_START_S))

    def has_room(self, now: float) -> bool:
        """Returns whether one more request may be sent now."""
        return (
            self.in_flight < self.max_in_flight(now)
            and self.reserved_for is None
            and now >= self.limit.paused_until
            and not self.drain.draining
            and self.limit.ceiling > 0
        )

    def probe_due(self, now: float) -> bool:
        """Returns whether an ejected upstream may receive one request as a probe."""
        health = self.health
        return (
            health.state is HealthState.EJECTED
            and now >= health.ejected_until
            and not self.in_flight
        )

    def expected(self, median_latency: float, now: float) -> float:
        """Returns the expected latency, in seconds.

        Args:
            median_latency: Median latency of the instance, in seconds.
            now: Clock reading in seconds.
        """
        expected = self.latency.expected(median_latency, now)
        age = now - self.slow_start_at
        if age >= SLOW_START_S:
            return expected
        return expected * (
            SLOW_START_LATENCY_FACTOR
            - (SLOW_START_LATENCY_FACTOR - 1) * max(0.0, age) / SLOW_START_S
        )

    def on_good_reply(self, latency: float, median_latency: float, now: float) -> None:
        """Records a good reply after `latency` seconds and adjusts the concurrency limit."""
        if self.latency.record(latency, now) > SLOW_RATIO * median_latency:
            self.limit.on_slow_reply(self.reported_load, now)
        else:
            self.limit.on_good_reply()

    def on_alive(self, now: float) -> bool:
        """Records a good reply or a refusal; returns whether that ended an ejection."""
        self.unanswered = 0
        if not self.health.failure_weight:
            return False
        if self.health.state is HealthState.IN_SERVICE:
            self.health.reset_failures()
            return False
        if self.health.has_hard_failure:
            self.begin_slow_start(now)
        self.health.restore(now)
        return True

    def on_unanswered(self, elapsed: float, median_latency: float, fresh: bool, now: float) -> bool:
        """Records an abandoned exchange.

        A late one is a failure only if it was sent on a new connection or the upstream is ejected,
        as an older connection may have been silent.

        Args:
            elapsed: Seconds since it was sent.
            median_latency: Median latency of the instance, in seconds.
            fresh: Whether it was sent on a new connection.
            now: Clock reading in seconds.

        Returns:
            Whether the exchange was late; one that was abandoned earlier is not recorded.
        """
        if elapsed <= self.expected(median_latency, now):
            return False
        self.latency.record(min(elapsed, MAX_UNANSWERED_RATIO * median_latency), now)
        self.unanswered += 1
        if fresh or self.health.state is HealthState.EJECTED:
            self.on_failure(1, False, now)
        return True

    def on_failure(self, weight: int, hard: bool, now: float) -> None:
        """Records a failure; a failed probe extends the ejection."""
        self.health.on_failure(weight, hard)
        if self.health.state is HealthState.EJECTED:
            self.health.eject(now)

    def begin_slow_start(self, now: float) -> None:
        """Begins the slow start of an upstream and discards its latencies.

        Called for an upstream that was added, was down, has restarted or is no longer draining.
        """
        self.slow_start_at = now
        self.latency.reset()

    def on_available(self, available: tuple[Snapshot, ...], now: float) -> None:
        """Stores the list of snapshots that the upstream reports, unless it is empty."""
        if available:
            self.available = available
            self.available_at = now

    def knows(self, snapshot: Snapshot) -> bool:
        """Returns whether a snapshot is in the last list of the upstream."""
        return snapshot in self.available

    def may_serve(self, snapshot: Snapshot | None, now: float) -> bool:
        """Returns whether the upstream may serve a snapshot.

        It may if no snapshot is requested, if its last list contains the snapshot, or if that
        list is missing or older than `AVAILABLE_TTL_S`.
        """
        if snapshot is None or not self.available or snapshot in self.available:
            return True
        return now - self.available_at > AVAILABLE_TTL_S
