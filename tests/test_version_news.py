"""Tests of the time between the nodes that apply a configuration first and last."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.ids import ConfigVersion
from tests.state_fleet import Fleet

MAX_SPREAD_S = 0.25
"""The users' `rollback_slack_ms`."""
NODES_PER_DOMAIN = (1, 3, 8)
START_S = 4.0
STORM_INTERVAL_S = 0.33
VERSIONS = range(2, 12)
SEEDS = range(5)


def spread(fleet: Fleet, version: int) -> float:
    """Returns the time between the first and the last node that applied a version."""
    times = [node.applied_at[ConfigVersion(version)] for node in fleet.nodes.values()]
    return max(times) - min(times)


class VersionNewsTest(TestCase):
    """Nodes of two failure domains, whose store readers read at moments of their own."""

    # Guards against CONFIG of review case 5 in an upgrade: a node of an earlier build handed
    # requests over to nodes that applied a version up to a second apart.
    def test_version_reaches_all_nodes_at_nearly_the_same_time(self) -> None:
        for count in NODES_PER_DOMAIN:
            for seed in SEEDS:
                fleet = Fleet(seed, count)
                fleet.run(START_S)
                for version in VERSIONS:
                    fleet.write_configuration(version)
                    fleet.run(1.37)
                    self.assertLessEqual(
                        spread(fleet, version), MAX_SPREAD_S, f"{count} nodes, seed {seed}"
                    )

    def test_each_version_costs_one_read_of_the_store_at_most(self) -> None:
        reads = []
        for changing in (False, True):
            fleet = Fleet(1)
            fleet.run(START_S)
            before = fleet.store_reads
            for version in VERSIONS:
                if changing:
                    fleet.write_configuration(version)
                fleet.run(STORM_INTERVAL_S)
            reads.append(fleet.store_reads - before)
        self.assertLessEqual(reads[1], reads[0] + 2 * len(VERSIONS))

    # Guards against reads without end of a store that does not have the version of a peer.
    def test_version_that_the_store_lacks_is_looked_for_once(self) -> None:
        reads = []
        for stated in (1, 50):
            fleet = Fleet(2, nodes_per_domain=1)
            fleet.run(START_S)
            before = fleet.store_reads
            for _ in range(20):
                for node in fleet.nodes.values():
                    node.news.hear(ConfigVersion(stated))
                fleet.run(0.1)
            reads.append(fleet.store_reads - before)
        self.assertLessEqual(reads[1], reads[0] + len(fleet.nodes))
