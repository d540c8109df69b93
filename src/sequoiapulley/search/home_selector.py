"""Selects the home node that is queried for each shard."""

from __future__ import annotations

from collections.abc import Iterable

from sequoiapulley.ids import NodeId, ShardId
from sequoiapulley.search.home_health import HomeHealth
from sequoiapulley.search.home_resolver import HomeResolver
from sequoiapulley.search.messages import ShardTarget
from sequoiapulley.search.search_state import SearchState


class HomeSelector:
    """Selects the first ranked home that was not tried yet; avoided homes come last."""

    def __init__(self, homes: HomeResolver, health: HomeHealth) -> None:
        """Initialise the selection.

        Args:
            homes: Ranks the home nodes of an instance.
            health: Records which homes to avoid.
        """
        self._homes = homes
        self._health = health

    def group_by_home(
        self, search: SearchState, targets: Iterable[ShardTarget], now: float
    ) -> dict[NodeId | None, dict[ShardId, ShardTarget]]:
        """Groups shards of a search by the home to query.

        Args:
            search: The search that the shards belong to.
            targets: The shards to group.
            now: Clock reading in seconds.

        Returns:
            The shards of each home; the key None holds the shards without a home.
        """
        avoided = self._health.avoided(now)
        by_home: dict[NodeId | None, dict[ShardId, ShardTarget]] = {}
        for target in targets:
            node = self._home_for(search, target, avoided)
            by_home.setdefault(node, {})[target.shard] = target
        return by_home

    def _home_for(
        self, search: SearchState, target: ShardTarget, avoided: frozenset[NodeId]
    ) -> NodeId | None:
        tried = search.tried_nodes.get(target.shard, ())
        last_resort: NodeId | None = None
        for node in self._homes.homes_of(target.service, target.instance):
            if node in tried:
                continue
            if node not in avoided:
                return node
            last_resort = last_resort or node
        return last_resort
