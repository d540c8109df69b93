"""Which upstreams have had a request, and which one may get it next."""

from __future__ import annotations

from sequoiapulley.forward.messages import NEVER_RAN, ExchangeEnd
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.forward.upstream_directory import UpstreamDirectory
from sequoiapulley.ids import ServiceName, UpstreamName

UNREACHABLE = frozenset({ExchangeEnd.NOT_SENT, ExchangeEnd.WRONG_UPSTREAM})
"""Ends after which the same upstream is not asked again, as it has gone or does not accept."""


class TriedUpstreams:
    """The upstreams of one service that one request was sent to."""

    __slots__ = ("_directory", "_ran", "_refused", "_route", "_service", "_unreachable", "allowed")

    def __init__(self, directory: UpstreamDirectory, route: Route, service: ServiceName) -> None:
        """Initialise without sends.

        Args:
            directory: All upstreams.
            route: The request's route.
            service: The service that is asked.
        """
        self._directory = directory
        self._route = route
        self._service = service
        self._ran: list[Upstream] = []
        self._refused: list[Upstream] = []
        self._unreachable: list[Upstream] = []
        self.allowed: frozenset[UpstreamName] | None = None
        """Upstreams that may get the request; all of the service if None."""

    def record_try(self, upstream: Upstream, end: ExchangeEnd) -> None:
        """Takes the end of one send.

        Args:
            upstream: Where it went.
            end: How it ended.
        """
        if end in UNREACHABLE:
            self._unreachable.append(upstream)
        if end in NEVER_RAN:
            self._refused.append(upstream)
        elif upstream not in self._ran:
            self._ran.append(upstream)

    def first(self, now: float) -> Upstream | None:
        """Returns the upstream for the first send, or None."""
        return self._directory.choose(self._service, self._route, self._disallowed(), now)

    def next_untried(self, in_flight: list[Upstream], now: float) -> Upstream | None:
        """Returns an upstream that has not had the request, or None.

        Args:
            in_flight: Upstreams that have it and have not ended it.
            now: Clock reading in seconds.
        """
        may_run = len(self._ran) + sum(upstream not in self._ran for upstream in in_flight)
        if may_run >= self._route.max_upstreams:
            return None
        excluded = [*self._ran, *self._refused, *in_flight, *self._disallowed()]
        return self._directory.choose(self._service, self._route, excluded, now)

    def retry_candidate(self, now: float) -> Upstream | None:
        """Returns an upstream that has had the request and may get it again, or None.

        Those that could not be reached do not; beyond the bound on upstreams only those that have
        run it do.
        """
        excluded = [*self._unreachable, *self._disallowed()]
        if len(self._ran) >= self._route.max_upstreams:
            candidates = self._directory.candidates(self._service)
            excluded.extend(upstream for upstream in candidates if upstream not in self._ran)
        return self._directory.choose(self._service, self._route, excluded, now)

    def _disallowed(self) -> list[Upstream]:
        """Returns the upstreams of the service that must not get the request."""
        if self.allowed is None:
            return []
        candidates = self._directory.candidates(self._service)
        return [upstream for upstream in candidates if upstream.record.name not in self.allowed]
