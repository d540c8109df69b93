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

LOCAL_LIMIT_SHARE: Final = 0.8
"""Share of an upstream's request limit for the entry nodes of its failure domain: they send their
own callers' requests and those that other failure domains delegate to them."""
REMOTE_LIMIT_SHARE: Final = 0.1
"""Share of an upstream's request limit for the entry nodes of all other failure domains."""
OTHER_LIMIT_SHARE: Final = 0.1
"""Share of an upstream's request limit for all nodes that callers are not sent to."""


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


def nodes_by_distance(nodes: list[NodeRecord], local_node: NodeRecord) -> list[NodeRecord]:
    """Returns nodes by their distance to a node: its failure domain, its region, then others."""

    def distance(node: NodeRecord) -> int:
        if node.failure_domain == local_node.failure_domain:
            return 0
        return 1 if node.region == local_node.region else 2

    return sorted(ranked(nodes), key=distance)


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


def limit_share(
    local_node: NodeRecord,
    ready: list[NodeRecord],
    failure_domain: FailureDomainName,
    failure_domains: int,
    nodes: int,
) -> float:
    """Returns a node's share of the request limits of the upstreams of a failure domain, 0 to 1.

    Args:
        local_node: The node.
        ready: Nodes that are ready to serve callers.
        failure_domain: Failure domain of the upstreams.
        failure_domains: Number of failure domains with nodes.
        nodes: Number of registered nodes.
    """
    nearest = _entry_nodes_of(ready, failure_domain)
    if local_node in nearest:
        return LOCAL_LIMIT_SHARE / len(nearest)
    if local_node in _entry_nodes_of(ready, local_node.failure_domain):
        share = REMOTE_LIMIT_SHARE if nearest else LOCAL_LIMIT_SHARE + REMOTE_LIMIT_SHARE
        return share / (ENTRIES_PER_FAILURE_DOMAIN * max(1, failure_domains - 1))
    others = nodes - ENTRIES_PER_FAILURE_DOMAIN * max(1, failure_domains)
    return OTHER_LIMIT_SHARE / max(1, others)


def _entry_nodes_of(ready: list[NodeRecord], failure_domain: FailureDomainName) -> list[NodeRecord]:
    """Returns the entry nodes of a failure domain, without replacements from other ones."""
    local = [node for node in ready if node.failure_domain == failure_domain]
    return ranked(local)[:ENTRIES_PER_FAILURE_DOMAIN]
