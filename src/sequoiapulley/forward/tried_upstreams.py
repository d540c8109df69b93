"""Tracks the upstreams that received a request and selects the next one."""

from __future__ import annotations

from sequoiapulley.forward.messages import NEVER_RAN, ExchangeEnd
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.forward.upstream_directory import UpstreamDirectory
from sequoiapulley.ids import ServiceName, UpstreamName

UNREACHABLE = frozenset({ExchangeEnd.NOT_SENT, ExchangeEnd.WRONG_UPSTREAM})
"""Exchange ends after which the same upstream is not retried: it could not be reached, or its
address belongs to another upstream."""


class TriedUpstreams:
    """Tracks the upstreams of one service that received one request."""

    __slots__ = (
        "_did_not_run",
        "_directory",
        "_may_have_run",
        "_route",
        "_service",
        "_unreachable",
        "allowed",
    )

    def __init__(self, directory: UpstreamDirectory, route: Route, service: ServiceName) -> None:
        """Initialise without tries.

        Args:
            directory: Registered upstreams.
            route: The request's route.
            service: The service to call.
        """
        self._directory = directory
        self._route = route
        self._service = service
        self._may_have_run: list[Upstream] = []
        self._did_not_run: list[Upstream] = []
        """Upstreams that refused the request or that it did not reach."""
        self._unreachable: list[Upstream] = []
        self.allowed: frozenset[UpstreamName] | None = None
        """Upstreams that may receive the request; None allows all of the service."""

    def record_try(self, upstream: Upstream, end: ExchangeEnd) -> None:
        """Records how one try ended.

        Args:
            upstream: The upstream that received the request.
            end: How the exchange ended.
        """
        if end in UNREACHABLE:
            self._unreachable.append(upstream)
        if end in NEVER_RAN:
            self._did_not_run.append(upstream)
        elif upstream not in self._may_have_run:
            self._may_have_run.append(upstream)

    def first(self, now: float) -> Upstream | None:
        """Returns the upstream for the first try, or None."""
        return self._directory.choose(self._service, self._route, self._disallowed(), now)

    def next_untried(
        self,
        in_flight: list[Upstream],
        now: float,
        spare_limited: bool = False,
        only_idle: bool = False,
    ) -> Upstream | None:
        """Returns an upstream that has not received the request, or None.

        Args:
            in_flight: Upstreams with a try in flight.
            now: Clock reading in seconds.
            spare_limited: Whether to exclude upstreams that state a limit on requests.
            only_idle: Whether to exclude upstreams with requests in flight.
        """
        may_run = len(self._may_have_run) + sum(
            upstream not in self._may_have_run for upstream in in_flight
        )
        if may_run >= self._route.max_upstreams:
            return None
        excluded = [*self._may_have_run, *self._did_not_run, *in_flight, *self._disallowed()]
        candidates = self._directory.candidates(self._service)
        if spare_limited:
            excluded.extend(upstream for upstream in candidates if upstream.limit is not None)
        if only_idle:
            excluded.extend(upstream for upstream in candidates if upstream.pool.busy)
        return self._directory.choose(self._service, self._route, excluded, now)

    def retry_candidate(self, now: float) -> Upstream | None:
        """Returns an upstream that may receive the request once more, or None.

        Upstreams that could not be reached are excluded. At the route's limit on upstreams, only
        those that may have run the request are considered.
        """
        excluded = [*self._unreachable, *self._disallowed()]
        if len(self._may_have_run) >= self._route.max_upstreams:
            candidates = self._directory.candidates(self._service)
            excluded.extend(
                upstream for upstream in candidates if upstream not in self._may_have_run
            )
        return self._directory.choose(self._service, self._route, excluded, now)

    def _disallowed(self) -> list[Upstream]:
        """Returns the upstreams of the service that must not receive the request."""
        if self.allowed is None:
            return []
        candidates = self._directory.candidates(self._service)
        return [upstream for upstream in candidates if upstream.record.name not in self.allowed]
