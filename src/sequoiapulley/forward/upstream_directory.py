"""Directory of the registered upstreams by service, and the selection among them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sequoiapulley.forward.exchange import Pool
from sequoiapulley.forward.latency_model import LatencyModel
from sequoiapulley.forward.messages import UpstreamRecord
from sequoiapulley.forward.route_table import Route, ServiceConfig
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import ServiceName, UpstreamName
from sequoiapulley.runtime import Clock

CONNECTION_SHARE: Final = 0.9
"""Share of an upstream's connection limit that all nodes together use."""
MIN_CONNECTIONS: Final = 2
"""Minimum connection limit of a node for one upstream: an overdue reply may occupy one."""
MAX_CONNECTIONS: Final = 16
"""Maximum connection limit of a node for one upstream, as an upstream runs a few requests at a
time."""

PoolFactory = Callable[[UpstreamRecord], Pool]


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

    def remove(self, name: UpstreamName) -> bool:
        """Removes an upstream; returns whether it was registered."""
        upstream = self._upstreams.pop(name, None)
        if upstream is None:
            return False
        upstream.retired = True
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
        """Returns the upstreams of a service that accept new requests."""
        return [
            upstream for upstream in self._by_service.get(service, []) if upstream.accepts_requests
        ]

    def choose(
        self, service: ServiceName, route: Route, excluded: list[Upstream], now: float
    ) -> Upstream | None:
        """Returns the upstream with the lowest expected time, or None.

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
        least = float("inf")
        processing_time = self._model.processing_time(route.name, route.goal)
        for upstream in self._by_service.get(service, ()):
            if not upstream.accepts_requests or upstream in excluded:
                continue
            time = upstream.expected_time(
                self._model.round_trip(upstream.record.failure_domain), processing_time, now
            )
            if time < least:
                best = upstream
                least = time
        return best, least

    def expected_time(self, upstream: Upstream, route: Route, now: float) -> float:
        """Returns the expected time of a request at an upstream, in seconds."""
        round_trip = self._model.round_trip(upstream.record.failure_domain)
        return upstream.expected_time(
            round_trip, self._model.processing_time(route.name, route.goal), now
        )

    def sweep(self, now: float) -> None:
        """Closes connections that were idle, or still connecting, for too long."""
        for upstream in self._upstreams.values():
            upstream.pool.sweep(now)

    def _add(self, record: UpstreamRecord) -> None:
        """Registers a new upstream."""
        pool = self._make_pool(record)
        pool.connection_limit = self._connection_limit(record.service)
        upstream = Upstream(record, pool, self._clock.now())
        self._upstreams[record.name] = upstream
        self._by_service.setdefault(record.service, []).append(upstream)

    def _connection_limit(self, service: ServiceName) -> int:
        """Returns the connection limit of this node for one upstream of a service."""
        config = self._configs.get(service)
        if config is None or config.max_connections <= 0:
            return MIN_CONNECTIONS
        share = int(CONNECTION_SHARE * config.max_connections / self._nodes)
        return min(MAX_CONNECTIONS, max(MIN_CONNECTIONS, share))
