"""Tests of nodes to which the store no longer replies: they must not miss a newer configuration.

Two failure domains have three nodes each. The store stops replying to some nodes of the first one,
and some time later an operator writes a newer configuration. The affected nodes must read it from
peers, and an affected store reader must not delay the other nodes of its failure domain.
"""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.ids import Revision
from tests.state_fleet import Fleet

MAX_APPLY_S = 3.0
"""Required bound on the time from the store's acknowledgement of a configuration to its activation
on the last node."""
MAX_RECOVERY_S = 4.0
"""Required bound on the time from the end of a store outage until the other bounds hold again."""
START_S = 4.0


class UnresponsiveStoreTest(TestCase):
    """Every node applies a newer configuration in time, whenever it is written."""

    def check_versions(self, unresponsive_for: frozenset[str]) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                fleet = Fleet(seed)
                fleet.run(START_S + (seed % 7) * 0.13)
                self.assertEqual({fleet_node.version for fleet_node in fleet.nodes.values()}, {1})
                fleet.unresponsive_for = unresponsive_for
                fleet.run(0.067 * seed)
                fleet.write_configuration(2)
                fleet.run(MAX_APPLY_S)
                late = [name for name, fleet_node in fleet.nodes.items() if fleet_node.version < 2]
                self.assertEqual(late, [])

    def test_store_returns_with_compacted_history(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                fleet = Fleet(seed)
                fleet.run(START_S)
                fleet.unresponsive_for = frozenset(fleet.nodes)
                fleet.run(0.8 + 0.1 * seed)
                fleet.write_configuration(2)
                fleet.history_from = Revision(fleet.revision + 2)
                fleet.unresponsive_for = frozenset()
                fleet.run(MAX_RECOVERY_S)
                late = [name for name, fleet_node in fleet.nodes.items() if fleet_node.version < 2]
                self.assertEqual(late, [])

    def test_store_does_not_answer_the_reader(self) -> None:
        self.check_versions(frozenset({"p3"}))

    def test_store_does_not_answer_the_reader_and_an_entry_node(self) -> None:
        self.check_versions(frozenset({"p1", "p3"}))

    def test_store_does_not_answer_a_failure_domain(self) -> None:
        self.check_versions(frozenset({"p1", "p2", "p3"}))
