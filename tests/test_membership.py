"""Tests of the membership protocol under loss, pauses, partitions and wrong lists."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.fleet.member import MemberState
from sequoiapulley.fleet.orders import RumourKind
from sequoiapulley.ids import NodeId
from tests.fleet_net import FleetNet, list_vms, make_member


class MembershipTest(TestCase):
    """A fleet of in-memory nodes."""

    def test_nodes_find_each_other_through_the_list(self) -> None:
        net = FleetNet(15)
        net.run(3)
        self.assertTrue(net.agreed())

    def test_killed_node_is_dead_everywhere_and_nobody_else_is(self) -> None:
        net = FleetNet(15)
        net.run(5)
        net.stopped.add(NodeId("n3"))
        net.run(12)
        self.assertTrue(net.agreed())
        self.assertEqual({node for _, _, node in net.changes(MemberState.DEAD)}, {"n3"})

    def test_leaving_node_is_known_within_a_second(self) -> None:
        net = FleetNet(15)
        net.run(5)
        leaver = NodeId("n4")
        net.execute(leaver, net.nodes[leaver].leave(net.now))
        net.run(1)
        views = {net.view(node)[leaver] for node in net.running()}
        self.assertEqual(views, {MemberState.LEAVING})

    def test_rumour_reaches_all_nodes_within_a_second_and_once(self) -> None:
        net = FleetNet(15)
        net.run(5)
        net.nodes[NodeId("n0")].broadcast(RumourKind.QUARANTINE_STRIKE, b"abc", net.now)
        net.run(1)
        self.assertEqual(sorted(at for _, at, _ in net.rumours()), sorted(set(net.nodes) - {"n0"}))
        net.run(20)
        self.assertEqual(len(net.rumours()), 14)

    def test_newcomer_joins_through_one_seed(self) -> None:
        net = FleetNet(15)
        net.run(5)
        net.add(make_member(15), list_vms([make_member(7)]))
        net.run(4)
        self.assertTrue(net.agreed())
