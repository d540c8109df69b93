"""Which home is asked for each shard."""

from __future__ import annotations

from collections.abc import Iterable

from sequoiapulley.ids import NodeId, ShardId
from sequoiapulley.search.home_health import HomeHealth
from sequoiapulley.search.home_resolver import HomeResolver
from sequoiapulley.search.messages import ShardTarget
from sequoiapulley.search.search_state import SearchState


class HomeChoice:
    """Picks the first ranked home that was not tried; often silent ones come last."""

    def __init__(self, homes: HomeResolver, health: HomeHealth) -> None:
        """Initialise the choice.

        Args:
            homes: Ranks the homes of an instance.
            health: What was seen of each home.
        """
        self._homes = homes
        self._health = health

    def by_home(
        self, search: SearchState, targets: Iterable[ShardTarget], now: float
    ) -> dict[NodeId | None, dict[ShardId, ShardTarget]]:
        """Sorts shards of a search by the home to ask.

        Args:
            search: The search.
            targets: Some of its shards.
            now: Clock reading in seconds.

        Returns:
            The shards of each home; those without a home stand under None.
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
        tried = search.tried.get(target.shard, ())
        last_resort: NodeId | None = None
        for node in self._homes.homes_of(target.service, target.instance):
            if node in tried:
                continue
            if node not in avoided:
                return node
            last_resort = last_resort or node
        return last_resort
