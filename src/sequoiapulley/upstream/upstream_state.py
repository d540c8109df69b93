"""What a home knows about one of its upstreams."""

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

RAMP_S: Final = 3.0
"""Time in which a new or restarted upstream comes to its full share."""
COLD_COST: Final = 3.0
"""Factor on the expected latency of an upstream at the start of its ramp."""
AVAILABLE_TTL_S: Final = 0.25
"""Time for which the snapshots that a replica listed are taken as all it serves."""
UNANSWERED_RATIO: Final = 2.0
"""Most that an exchange given up adds to the estimate, over the typical latency; a silent
connection must not make the upstream look slow."""
UNANSWERED_BEFORE_FRESH: Final = 2
"""Exchanges in a row without a reply after which the next one opens a new connection."""


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
        """Initialise the state of an upstream without work.

        Args:
            name: Name of the upstream.
            service: Service that the upstream belongs to.
            instance: Instance whose shard the upstream holds.
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
        self.cold_since = float("-inf")
        """Clock reading at which the upstream was first used after its start."""
        self.unanswered = 0
        """Exchanges given up since the last reply."""
        self.exclusive: Work | None = None
        """Suspected work that has the upstream for itself."""
        self.reported_load: float | None = None
        self.available: tuple[Snapshot, ...] = ()
        """Snapshots that its last reply listed."""
        self.available_at = float("-inf")
        self.reported_available: tuple[Snapshot, ...] = ()
        """Snapshots that its load report listed; a hint that keeps no search away."""

    @property
    def in_service(self) -> bool:
        """Whether the upstream takes new work without a special reason."""
        return (
            not self.drain.draining
            and self.limit.ceiling > 0
            and self.health.state is HealthState.IN_SERVICE
        )

    @property
    def wants_fresh_connection(self) -> bool:
        """Whether its idle connections may have gone silent."""
        return self.unanswered >= UNANSWERED_BEFORE_FRESH

    def is_plain(self, now: float) -> bool:
        """Returns whether room is only a matter of the limit."""
        return (
            self.in_service
            and not self.health.failures
            and not self.unanswered
            and self.exclusive is None
            and now >= self.limit.paused_until
            and now - self.cold_since >= RAMP_S
        )

    def allowed(self, now: float) -> int:
        """Returns the requests that this home may have in flight at the upstream."""
        if self.health.state is HealthState.EJECTED:
            return 1
        current = self.limit.current
        age = now - self.cold_since
        if age >= RAMP_S:
            return current
        return max(1, int(current * age / RAMP_S))

    def has_room(self, now: float) -> bool:
        """Returns whether one more request may be sent now."""
        return (
            self.in_flight < self.allowed(now)
            and self.exclusive is None
            and now >= self.limit.paused_until
            and not self.drain.draining
            and self.limit.ceiling > 0
        )

    def probe_due(self, now: float) -> bool:
        """Returns whether an ejected upstream may get one probe of real work."""
        health = self.health
        return health.state is HealthState.EJECTED and now >= health.until and not self.in_flight

    def expected(self, typical: float, now: float) -> float:
        """Returns the latency to expect, in seconds.

        Args:
            typical: Median latency of the instance, in seconds.
            now: Clock reading in seconds.
        """
        expected = self.latency.expected(typical, now)
        age = now - self.cold_since
        if age >= RAMP_S:
            return expected
        return expected * (COLD_COST - (COLD_COST - 1) * max(0.0, age) / RAMP_S)

    def on_good_reply(self, latency: float, typical: float, now: float) -> None:
        """Takes a good reply after `latency` seconds."""
        if self.latency.record(latency, now) > SLOW_RATIO * typical:
            self.limit.on_slow_reply(self.reported_load, now)
        else:
            self.limit.on_good_reply()

    def on_alive(self, now: float) -> bool:
        """Takes a proof that the upstream works; returns whether that ended an ejection."""
        self.unanswered = 0
        if not self.health.failures:
            return False
        if self.health.state is HealthState.IN_SERVICE:
            self.health.on_success()
            return False
        if self.health.hard:
            self.on_restart(now)
        self.health.restore(now)
        return True

    def on_unanswered(self, elapsed: float, typical: float, fresh: bool, now: float) -> bool:
        """Takes an exchange given up; without a reply on a new connection it is a failure.

        Args:
            elapsed: Seconds since it was sent.
            typical: Median latency of the instance, in seconds.
            fresh: Whether it was sent on a new connection.
            now: Clock reading in seconds.

        Returns:
            Whether the exchange was late; one given up early says nothing of the upstream.
        """
        if elapsed <= self.expected(typical, now):
            return False
        self.latency.record(min(elapsed, UNANSWERED_RATIO * typical), now)
        self.unanswered += 1
        if fresh or self.health.state is HealthState.EJECTED:
            self.on_failure(1, False, now)
        return True

    def on_failure(self, weight: int, hard: bool, now: float) -> None:
        """Takes a failure; an upstream that fails its probe stays ejected for longer."""
        self.health.on_failure(weight, hard)
        if self.health.state is HealthState.EJECTED:
            self.health.eject(now)

    def on_restart(self, now: float) -> None:
        """Starts the ramp of a new or restarted upstream and forgets its latencies."""
        self.cold_since = now
        self.latency.reset()

    def on_available(self, available: tuple[Snapshot, ...], now: float) -> None:
        """Takes the list of snapshots that the upstream says it serves."""
        if available:
            self.available = available
            self.available_at = now

    def knows(self, snapshot: Snapshot) -> bool:
        """Returns whether the upstream listed a snapshot."""
        return snapshot in self.available

    def may_serve(self, snapshot: Snapshot | None, now: float) -> bool:
        """Returns whether an upstream may serve a snapshot, as its last list has aged."""
        if snapshot is None or not self.available or snapshot in self.available:
            return True
        return now - self.available_at > AVAILABLE_TTL_S
