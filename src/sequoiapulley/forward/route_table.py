"""Routes of one configuration version, and the selection of a request's route."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from sequoiapulley.ids import ConfigVersion, ServiceName

MS_PER_S: Final = 1000.0


class WeightedService(Struct, frozen=True):
    """One service of a split, with its weight."""

    service: ServiceName
    weight: float
    """Weight of the service in the split, relative to the other services."""


class GatherPlan(Struct, frozen=True):
    """Settings of a gather: a route whose answer is merged from one reply of each shard."""

    shards: tuple[ServiceName, ...]
    top_k: int
    """Maximum number of records in the merged answer."""
    least_share: float
    """Minimum share of the shards that an answer must include, 0 to 1."""


class Route(Struct, frozen=True):
    """Settings for the requests below one path prefix."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    idempotent: bool
    """Whether a request may run more than once."""
    timeout: float
    """Maximum time from a request's arrival to its answer, in seconds."""
    goal: float
    """Latency goal, from the caller's first attempt to the answer, in seconds."""
    priority: int
    """Priority; 0 is the highest."""
    max_upstreams: int
    """Maximum number of upstreams that may run one attempt of a caller, for each service."""
    split: tuple[WeightedService, ...] = ()
    """Services among which the requests are split; empty for a gather."""
    gather: GatherPlan | None = None


class ServiceConfig(Struct, frozen=True):
    """Settings of one service."""

    name: ServiceName
    health_path: str = "/"
    max_connections: int = 0
    """Maximum number of connections that one upstream accepts from all nodes together; 0 if
    unknown."""


class CallerLimits(Struct, frozen=True):
    """Limits on requests and connections of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: float = 3.0
    """Maximum time from the first byte of a request to its last, in seconds."""
    idle_timeout: float = 15.0
    """Idle time after which a connection is closed, in seconds."""


class RouteTable(Struct, frozen=True):
    """One version of the configuration; immutable."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceConfig]
    limits: CallerLimits = CallerLimits()


class RouteIndex:
    """Finds the route of a request: the longest matching path prefix of its host."""

    def __init__(self, table: RouteTable) -> None:
        """Initialise the index.

        Args:
            table: The configuration version.
        """
        self.table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def select(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None.

        Args:
            host: Value of the Host header, with or without a port.
            path: Path and query of the request.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        candidate = path.partition("?")[0]
        end = candidate.rfind("/")
        while end >= 0:
            candidate = candidate[: end + 1]
            route = prefixes.get(candidate)
            if route is not None:
                return route
            end = candidate.rfind("/", 0, end)
        return None
