"""Plans which shards a search of a service must query."""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

from sequoiapulley.ids import ServiceName, ShardId
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.search.messages import ShardTarget


class SearchPlan(Struct, frozen=True):
    """Every shard of a service and of its dependencies, in configuration order."""

    service: ServiceName
    targets: tuple[ShardTarget, ...]


def plan_search(configuration: Configuration, service: ServiceName) -> SearchPlan:
    """Lists the shards of a service and of its dependencies.

    Args:
        configuration: The active configuration.
        service: A service of that configuration.

    Returns:
        The plan. A shard id that occurs more than once is prefixed with the service's name.

    Raises:
        KeyError: If the service does not exist.
    """
    closure = configuration.dependency_closure(service)
    uses = Counter(instance.shard for member in closure for instance in member.instances)
    targets: list[ShardTarget] = []
    for member in closure:
        for instance in member.instances:
            shard = instance.shard
            if uses[shard] > 1:
                shard = ShardId(f"{member.name}/{shard}")
            targets.append(ShardTarget(shard, member.name, instance.name))
    return SearchPlan(service, tuple(targets))


def plan_all(configuration: Configuration) -> dict[ServiceName, SearchPlan]:
    """Returns the plan of every service of a configuration."""
    return {name: plan_search(configuration, name) for name in configuration.services}
