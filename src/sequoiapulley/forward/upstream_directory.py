"""Directory of the registered upstreams by service, and the selection among them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sequoiapulley.forward.departures import Departures
from sequoiapulley.forward.exchange import Pool
from sequoiapulley.forward.latency_model import LatencyModel
from sequoiapulley.forward.messages import UpstreamRecord
from sequoiapulley.forward.request_limit import RequestLimit
from sequoiapulley.forward.route_table import Route, ServiceConfig
from sequoiapulley.forward.store_position import NO_ERA
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import Era, FailureDomainName, ServiceName, UpstreamName
from sequoiapulley.runtime import Clock

CONNECTION_SHARE: Final = 0.9
"""Share of an upstream's connection limit that all nodes together use."""
MIN_CONNECTIONS: Final = 2
"""Minimum connection limit of a node for one upstream: an overdue reply may occupy one."""
MAX_CONNECTIONS: Final = 16
"""Maximum connection limit of a node for one upstream, as an upstream runs a few requests at a
time."""
DISTANCE_ROUND_TRIPS: Final = 4.0
"""Round trips by which a distant upstream must be expected to reply earlier than a near one: a near
one with a short queue is preferred, as links between regions are expensive."""
MAX_DISTANCE_RATIO: Final = 2.0
"""Upper limit of that time as a multiple of the route's typical processing time: a near upstream
that is slower than that is not preferred."""
NEWS_S: Final = 3.0
"""Time for which heartbeats carry an announced shutdown: two intervals between failure domains, in
case one datagram is lost."""
MAX_NEWS: Final = 16
"""Maximum number of announced shutdowns in a heartbeat, which is one datagram."""

PoolFactory = Callable[[UpstreamRecord], Pool]
LimitShare = Callable[[FailureDomainName], float]
"""Returns a node's share of the limits of the upstreams of a failure domain, 0 to 1."""


class UpstreamDirectory:
    """Every registered upstream, indexed by name and by service."""

    def __init__(self, clock: Clock, model: LatencyModel, make_pool: PoolFactory) -> None:
        """Initialise without upstreams.

        Args:
            clock: Source of time.
            model: Typical processing times and round trips.
            make_pool: Creates the connection pool of an upstream.
        """
        self._clock = clock
        self._model = model
        self._make_pool = make_pool
        self._upstreams: dict[UpstreamName, Upstream] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._configs: dict[ServiceName, ServiceConfig] = {}
        self._nodes = 1
        self._departures = Departures()
        self._removed_in_pause: dict[UpstreamName, Upstream] = {}
        """Upstreams that were removed while they paused; the same process may register again."""
        self._announced: list[Upstream] = []
        """Upstreams that announced their shutdown in a reply to this node, oldest first."""
        self.era: Era = NO_ERA
        """Era of the store whose entries are being applied."""
        self.limit_share: LimitShare = _whole_limit
        """Returns this node's share of the limits of the upstreams of a failure domain."""
        self.drain = 0.0
        """Time for which an upstream serves after it announced its shutdown, in seconds."""

    def __len__(self) -> int:
        """Returns the number of registered upstreams."""
        return len(self._upstreams)

    def names(self) -> set[UpstreamName]:
        """Returns the names of all registered upstreams."""
        return set(self._upstreams)

    def records(self) -> list[UpstreamRecord]:
        """Returns the records of all registered upstreams."""
        return [upstream.record for upstream in self._upstreams.values()]

    def connections_opened(self) -> int:
        """Returns the number of connections opened to the registered upstreams."""
        return sum(upstream.pool.opened for upstream in self._upstreams.values())

    def put(self, record: UpstreamRecord) -> bool:
        """Registers an upstream or updates its record.

        A record with a later start or another address or service replaces all state of the
        upstream; one with an earlier start is ignored.

        Args:
            record: The upstream's record.

        Returns:
            Whether the upstream is new, was replaced, or started or stopped draining.
        """
        if self.is_outdated(record):
            return False
        if record.draining:
            self._departures.record(record, self.era, False, self._clock.now())
        else:
            self._departures.forget(record.name)
        existing = self._upstreams.get(record.name)
        if existing is None:
            self._add(record)
            return True
        old = existing.record
        if record.started_ms < old.started_ms:
            return False
        same = (record.host, record.port, record.service) == (old.host, old.port, old.service)
        if record.started_ms != old.started_ms or not same:
            self.remove(record.name)
            self._add(record)
            return True
        existing.record = record
        existing.pool.record = record
        changed = existing.retired is not record.draining
        existing.retired = record.draining
        if existing.retired:
            existing.pool.close_idle()
        return changed

    def is_outdated(self, record: UpstreamRecord) -> bool:
        """Returns whether a record precedes the departure of its upstream."""
        return not record.draining and self._departures.is_outdated(record, self.era)

    def record_removal(self, name: UpstreamName) -> None:
        """Records that the entry of an upstream was removed, so that the upstream has left."""
        upstream = self._upstreams.get(name)
        if upstream is not None:
            self._departures.record(upstream.record, self.era, False, self._clock.now())

    def mark_leaving(self, upstream: Upstream) -> bool:
        """Marks an upstream that announced its shutdown; returns whether that was unknown."""
        if upstream.leaving_since is not None:
            return False
        now = self._clock.now()
        upstream.leaving_since = now
        self._departures.record(upstream.record, self.era, True, now)
        return True

    def announce_leaving(self, upstream: Upstream) -> None:
        """Adds an upstream to the announced shutdowns that heartbeats carry."""
        self._announced.append(upstream)

    def announced_leaving(self) -> list[UpstreamRecord]:
        """Returns the upstreams that recently announced their shutdown to this node."""
        oldest = self._clock.now() - NEWS_S
        self._announced = [
            upstream
            for upstream in self._announced
            if upstream.leaving_since is not None and upstream.leaving_since >= oldest
        ]
        return [upstream.record for upstream in self._announced[-MAX_NEWS:]]

    def set_limit(self, upstream: Upstream, per_second: float | None) -> None:
        """Sets the request rate that an upstream accepts from all nodes together.

        Args:
            upstream: The upstream.
            per_second: Requests per second; None for no limit.
        """
        if per_second is None:
            upstream.limit = None
            return
        now = self._clock.now()
        share = self.limit_share(upstream.record.failure_domain)
        if upstream.limit is None:
            upstream.limit = RequestLimit(per_second, share, now)
            return
        upstream.limit.configure(per_second, share, now)

    def update_limit_shares(self, now: float) -> None:
        """Updates this node's shares of the limits that upstreams state, as roles may change."""
        shares: dict[FailureDomainName, float] = {}
        for upstream in self._upstreams.values():
            if upstream.limit is None:
                continue
            domain = upstream.record.failure_domain
            if domain not in shares:
                shares[domain] = self.limit_share(domain)
            upstream.limit.configure(upstream.limit.per_second, shares[domain], now)

    def find(self, name: UpstreamName) -> Upstream | None:
        """Returns the registered upstream with a name, or None."""
        return self._upstreams.get(name)

    def accepting(self) -> list[Upstream]:
        """Returns the upstreams that accept requests, of all services."""
        now = self._clock.now()
        return [upstream for upstream in self._upstreams.values() if upstream.accepts_requests(now)]

    def service_of(self, name: UpstreamName) -> ServiceName | None:
        """Returns the service of a registered upstream, or None."""
        upstream = self._upstreams.get(name)
        return upstream.record.service if upstream is not None else None

    def remove(self, name: UpstreamName) -> bool:
        """Removes an upstream; returns whether it was registered."""
        upstream = self._upstreams.pop(name, None)
        if upstream is None:
            return False
        upstream.retired = True
        if upstream.paused_until > self._clock.now():
            self._removed_in_pause[name] = upstream
        upstream.pool.close_idle()
        peers = self._by_service.get(upstream.record.service, [])
        if upstream in peers:
            peers.remove(upstream)
        return True

    def configure(self, configs: dict[ServiceName, ServiceConfig], nodes: int) -> None:
        """Sets the connection limits of all pools.

        Args:
            configs: Services of the configuration.
            nodes: Number of nodes that may open connections.
        """
        self._configs = configs
        self._nodes = max(1, nodes)
        for upstream in self._upstreams.values():
            upstream.pool.connection_limit = self._connection_limit(upstream.record.service)

    def candidates(self, service: ServiceName) -> list[Upstream]:
        """Returns the upstreams of a service that accept new requests.

        If none does, they are those that announced their shutdown but still serve.
        """
        now = self._clock.now()
        registered = self._by_service.get(service, [])
        accepting = [upstream for upstream in registered if upstream.accepts_requests(now)]
        if accepting:
            return accepting
        return [upstream for upstream in registered if upstream.is_last_resort(self.drain, now)]

    def pause_left(self, service: ServiceName) -> float:
        """Returns the time until an upstream of a service accepts requests, in seconds.

        Returns:
            0 if one does now; infinite if none is paused either.
        """
        if self.candidates(service):
            return 0.0
        now = self._clock.now()
        pauses = [upstream.pause_left(now) for upstream in self._by_service.get(service, [])]
        return min(pauses, default=float("inf"))

    def choose(
        self, service: ServiceName, route: Route, excluded: list[Upstream], now: float
    ) -> Upstream | None:
        """Returns the best upstream, or None.

        It is the one with the lowest expected time, after an allowance for its distance. A failed
        request to a near upstream is retried at a distant one, so the share of failures adds to it.

        Args:
            service: Service to call.
            route: Route of the request.
            excluded: Upstreams that must not be used.
            now: Clock reading in seconds.
        """
        return self.choose_timed(service, route, excluded, now)[0]

    def choose_timed(
        self, service: ServiceName, route: Route, excluded: list[Upstream], now: float
    ) -> tuple[Upstream | None, float]:
        """Returns the same upstream as `choose`, and its expected time in seconds."""
        best: Upstream | None = None
        time_of_best = least_cost = float("inf")
        candidates = [upstream for upstream in self.candidates(service) if upstream not in excluded]
        distances = [self._distance_cost(upstream, route) for upstream in candidates]
        farthest = max(distances, default=0.0)
        for upstream, distance in zip(candidates, distances, strict=True):
            time = self.expected_time(upstream, route, now)
            cost = time + distance + upstream.failure_share(now) * farthest
            if cost < least_cost:
                best = upstream
                time_of_best, least_cost = time, cost
        return best, time_of_best

    def _distance_cost(self, upstream: Upstream, route: Route) -> float:
        """Returns the time by which an upstream must reply earlier for its distance, in seconds."""
        round_trip = self._model.round_trip(upstream.record.failure_domain)
        processing_time = self._model.processing_time(route.name, route.goal)
        return min(DISTANCE_ROUND_TRIPS * round_trip, MAX_DISTANCE_RATIO * processing_time)

    def expected_time(self, upstream: Upstream, route: Route, now: float) -> float:
        """Returns the expected time of a request at an upstream, in seconds."""
        round_trip = self._model.round_trip(upstream.record.failure_domain)
        return upstream.expected_time(
            round_trip, self._model.processing_time(route.name, route.goal), now
        )

    def sweep(self, now: float) -> None:
        """Closes connections that were idle, or still connecting, for too long."""
        for name, removed in tuple(self._removed_in_pause.items()):
            if removed.paused_until <= now:
                del self._removed_in_pause[name]
        for upstream in self._upstreams.values():
            upstream.pool.sweep(now)

    def _add(self, record: UpstreamRecord) -> None:
        """Registers a new upstream."""
        pool = self._make_pool(record)
        pool.connection_limit = self._connection_limit(record.service)
        upstream = Upstream(record, pool, self._clock.now())
        earlier = self._removed_in_pause.pop(record.name, None)
        if earlier is not None and earlier.record.started_ms == record.started_ms:
            upstream.paused_until = earlier.paused_until
        self._upstreams[record.name] = upstream
        self._by_service.setdefault(record.service, []).append(upstream)

    def _connection_limit(self, service: ServiceName) -> int:
        """Returns the connection limit of this node for one upstream of a service."""
        config = self._configs.get(service)
        if config is None or config.max_connections <= 0:
            return MIN_CONNECTIONS
        share = int(CONNECTION_SHARE * config.max_connections / self._nodes)
        return min(MAX_CONNECTIONS, max(MIN_CONNECTIONS, share))


def _whole_limit(_failure_domain: FailureDomainName) -> float:
    """Returns the share of a node that knows no other."""
    return 1.0
