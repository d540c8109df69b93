"""Assigns the roles of nodes: the entry nodes of a failure domain, and its store reader.

Entry nodes are those that callers are sent to; the store reader reads the store on behalf of its
failure domain. Every node derives the roles from the heartbeats by itself. A short disagreement
between nodes costs a few calls or new connections and causes no errors.
"""

from __future__ import annotations

from typing import Final

from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, RegionName

ENTRIES_PER_FAILURE_DOMAIN: Final = 2
"""Number of entry nodes of a failure domain: few, so that their connections to upstreams stay in
use; two, so that callers can fail over at once."""

ENTRY_NODES_SLACK_SHARE: Final = 0.45
"""Share of the retry quota's slack for all entry nodes. In a network partition, nodes on both sides
may take the role, so that this share may be used twice."""
OTHER_NODES_SLACK_SHARE: Final = 0.25
"""Share of the retry quota's slack for all other nodes."""


def ranked(nodes: list[NodeRecord]) -> list[NodeRecord]:
    """Returns nodes in the order in which they take roles: by descending capacity, then name."""
    return sorted(nodes, key=lambda node: (-node.capacity, node.name))


def choose_store_reader(
    nodes: list[NodeRecord], failure_domain: FailureDomainName
) -> NodeRecord | None:
    """Returns the store reader of a failure domain.

    It is the first node that is not an entry node, so that the loss of one node affects only one
    of the roles; if all nodes are entry nodes, it is the last of them.

    Args:
        nodes: Live nodes.
        failure_domain: The failure domain.
    """
    local = ranked([node for node in nodes if node.failure_domain == failure_domain])
    if not local:
        return None
    return local[min(ENTRIES_PER_FAILURE_DOMAIN, len(local) - 1)]


def choose_entry_nodes(
    nodes: list[NodeRecord], failure_domain: FailureDomainName, region: RegionName
) -> list[NodeRecord]:
    """Returns the entry nodes for a caller.

    Args:
        nodes: Nodes that are ready to serve callers.
        failure_domain: The caller's failure domain.
        region: The caller's region.
    """
    chosen = [node for node in nodes if node.failure_domain == failure_domain]
    if len(chosen) < ENTRIES_PER_FAILURE_DOMAIN:
        chosen = [node for node in nodes if node.region == region]
    if len(chosen) < ENTRIES_PER_FAILURE_DOMAIN:
        chosen = nodes
    return ranked(chosen)[:ENTRIES_PER_FAILURE_DOMAIN]


def slack_share(is_entry: bool, failure_domains: int, nodes: int) -> float:
    """Returns a node's share of the retry quota's slack, 0 to 1.

    Args:
        is_entry: Whether the node is an entry node.
        failure_domains: Number of failure domains with nodes.
        nodes: Number of registered nodes.
    """
    entries = ENTRIES_PER_FAILURE_DOMAIN * max(1, failure_domains)
    if is_entry:
        return ENTRY_NODES_SLACK_SHARE / entries
    return OTHER_NODES_SLACK_SHARE / max(1, nodes - entries)
