"""Differences between configuration versions, for peers that have an earlier one."""

from __future__ import annotations

from collections import deque
from typing import Final

from msgspec import Struct

from sequoiapulley.forward.route_table import CallerLimits, Route, RouteTable, ServiceConfig
from sequoiapulley.ids import ConfigVersion, ServiceName

MAX_VERSIONS: Final = 64
"""Number of versions whose differences to the latest one are known. Peers are a few versions behind
at most; one that is further behind receives the whole configuration."""

RouteKey = tuple[str, str]
"""Host in lower case and path prefix of a route; a configuration has one route for each."""


class TableDelta(Struct, frozen=True, tag="table_delta"):
    """Difference between two configuration versions."""

    base: ConfigVersion
    """Version to which the difference applies."""
    version: ConfigVersion
    routes: tuple[Route, ...]
    """Routes that were added or changed."""
    removed: tuple[RouteKey, ...]
    services: dict[ServiceName, ServiceConfig] | None
    """All services; None if they are the same as those of the base."""
    limits: CallerLimits
    route_count: int
    """Number of routes of the resulting configuration."""


class TableHistory:
    """Remembers in which version each route was last changed or removed.

    Only versions that this node applied are known: a route may have been added and removed again in
    one that it skipped.
    """

    def __init__(self) -> None:
        """Initialise without versions."""
        self._table: RouteTable | None = None
        self._routes: dict[RouteKey, Route] = {}
        self._versions: deque[ConfigVersion] = deque()
        self._changed_in: dict[RouteKey, ConfigVersion] = {}
        self._removed_in: dict[RouteKey, ConfigVersion] = {}
        self._services_changed_in = ConfigVersion(0)

    def record(self, table: RouteTable) -> None:
        """Records a version that is later than the previous one."""
        routes = {_key(route): route for route in table.routes}
        for key, route in routes.items():
            if self._routes.get(key) != route:
                self._changed_in[key] = table.version
                self._removed_in.pop(key, None)
        for key in self._routes.keys() - routes.keys():
            del self._changed_in[key]
            self._removed_in[key] = table.version
        if self._table is None or self._table.services != table.services:
            self._services_changed_in = table.version
        self._table = table
        self._routes = routes
        self._versions.append(table.version)
        if len(self._versions) > MAX_VERSIONS:
            self._versions.popleft()
            self._forget_removals(self._versions[0])

    def delta_after(self, base: ConfigVersion) -> TableDelta | None:
        """Returns the difference between a version and the latest one; None if it is not known."""
        table = self._table
        if table is None or base not in self._versions:
            return None
        return TableDelta(
            base=base,
            version=table.version,
            routes=tuple(
                self._routes[key] for key, version in self._changed_in.items() if version > base
            ),
            removed=tuple(key for key, version in self._removed_in.items() if version > base),
            services=table.services if self._services_changed_in > base else None,
            limits=table.limits,
            route_count=len(self._routes),
        )

    def _forget_removals(self, oldest: ConfigVersion) -> None:
        """Forgets the removals up to the oldest known version."""
        self._removed_in = {
            key: version for key, version in self._removed_in.items() if version > oldest
        }


def apply_delta(table: RouteTable | None, delta: TableDelta) -> RouteTable | None:
    """Returns the configuration that a difference leads to; None if it does not fit the table."""
    if table is None or table.version != delta.base:
        return None
    routes = {_key(route): route for route in table.routes}
    for key in delta.removed:
        routes.pop(key, None)
    routes.update((_key(route), route) for route in delta.routes)
    if len(routes) != delta.route_count:
        return None
    services = table.services if delta.services is None else delta.services
    return RouteTable(delta.version, tuple(routes.values()), services, delta.limits)


def _key(route: Route) -> RouteKey:
    """Returns the key by which a route is found."""
    return route.host.lower(), route.prefix
