"""Which nodes of a failure domain serve callers, and which one reads the store for the others.

Every node works this out for itself from the heartbeats. Two that differ for a moment cost a few
calls or cold connections and break nothing.
"""

from __future__ import annotations

from typing import Final

from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, RegionName

ENTRIES_PER_FAILURE_DOMAIN: Final = 2
"""Nodes of a failure domain that callers are sent to: with few, connections to upstreams stay warm;
with two, callers have another one at once."""

ENTRY_NODES_SLACK_SHARE: Final = 0.45
"""Part of the constant of the repeats' bound for the nodes that callers are sent to. Nodes that are
cut off from each other may each believe they are, so that the part may be used twice."""
OTHER_NODES_SLACK_SHARE: Final = 0.25
"""Part of the constant for all other nodes."""


def ranked(nodes: list[NodeRecord]) -> list[NodeRecord]:
    """Returns nodes in the order in which they take duties: the most capable first."""
    return sorted(nodes, key=lambda node: (-node.capacity, node.name))


def reader_of(nodes: list[NodeRecord], failure_domain: FailureDomainName) -> NodeRecord | None:
    """Returns the node of a failure domain that reads the store for the others.

    It is the first one that does not serve callers, so that the loss of either duty leaves the
    other alone.

    Args:
        nodes: Live nodes.
        failure_domain: The failure domain.
    """
    near = ranked([node for node in nodes if node.failure_domain == failure_domain])
    if not near:
        return None
    return near[min(ENTRIES_PER_FAILURE_DOMAIN, len(near) - 1)]


def choose_entries(
    nodes: list[NodeRecord], failure_domain: FailureDomainName, region: RegionName
) -> list[NodeRecord]:
    """Returns the nodes that a caller is to use.

    Args:
        nodes: Nodes that serve callers.
        failure_domain: The caller's failure domain.
        region: The caller's region.
    """
    near = [node for node in nodes if node.failure_domain == failure_domain]
    if len(near) < ENTRIES_PER_FAILURE_DOMAIN:
        near = [node for node in nodes if node.region == region]
    if len(near) < ENTRIES_PER_FAILURE_DOMAIN:
        near = nodes
    return ranked(near)[:ENTRIES_PER_FAILURE_DOMAIN]


def slack_share(is_entry: bool, failure_domains: int, nodes: int) -> float:
    """Returns a node's part of the constant of the repeats' bound.

    Args:
        is_entry: Whether callers are sent to it.
        failure_domains: Failure domains with nodes.
        nodes: Nodes that are registered.
    """
    entries = ENTRIES_PER_FAILURE_DOMAIN * max(1, failure_domains)
    if is_entry:
        return ENTRY_NODES_SLACK_SHARE / entries
    return OTHER_NODES_SLACK_SHARE / max(1, nodes - entries)
