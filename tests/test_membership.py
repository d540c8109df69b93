"""Tests of the membership protocol with loss, pauses, partitions and wrong VM lists."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from sequoiapulley.fleet.actions import BroadcastKind
from sequoiapulley.fleet.member import MemberState
from sequoiapulley.ids import Incarnation, NodeId
from tests.membership_simulation import MembershipSimulation, make_member, make_vm_list

DEAD = MemberState.DEAD


class MembershipTest(TestCase):
    """Simulated fleets with faults."""

    def test_nodes_find_each_other_through_the_list(self) -> None:
        net = MembershipSimulation(15)
        net.run(3)
        self.assertTrue(net.has_converged())

    def test_killed_node_is_the_only_one_declared_dead(self) -> None:
        net = MembershipSimulation(15)
        net.run(5)
        net.stopped.add(NodeId("n3"))
        net.run(12)
        self.assertTrue(net.has_converged())
        self.assertEqual({node for _, _, node in net.state_changes(MemberState.DEAD)}, {"n3"})

    def test_leaving_node_is_known_within_a_second(self) -> None:
        net = MembershipSimulation(15)
        net.run(5)
        leaver = NodeId("n4")
        net.execute(leaver, net.nodes[leaver].leave(net.now))
        net.run(1)
        views = {net.view(node)[leaver] for node in net.running()}
        self.assertEqual(views, {MemberState.LEAVING})

    def test_broadcast_reaches_all_nodes_within_a_second_and_once(self) -> None:
        net = MembershipSimulation(15)
        net.run(5)
        net.nodes[NodeId("n0")].broadcast(BroadcastKind.QUARANTINE_STRIKE, b"abc", net.now)
        net.run(1)
        self.assertEqual(
            sorted(at for _, at, _ in net.broadcasts_received()), sorted(set(net.nodes) - {"n0"})
        )
        net.run(20)
        self.assertEqual(len(net.broadcasts_received()), 14)

    def test_new_node_joins_through_one_seed(self) -> None:
        net = MembershipSimulation(15)
        net.run(5)
        net.add(make_member(15), make_vm_list([make_member(7)]))
        net.run(4)
        self.assertTrue(net.has_converged())

    def test_paused_node_rejoins_without_declaring_others_dead(self) -> None:
        net = MembershipSimulation(15)
        net.run(5)
        net.is_partitioned = lambda a, b: "n2" in (a, b)
        net.run(2)
        self.assertNotEqual(self.suspected_by(net, "n2"), set())
        net.paused.add(NodeId("n2"))
        net.is_partitioned = lambda _a, _b: False
        net.run(30)
        self.assertEqual({net.view(node)[NodeId("n2")] for node in net.running()}, {DEAD})
        net.paused.clear()
        net.run(6)
        self.assertTrue(net.has_converged())
        self.assertEqual({node for _, _, node in net.state_changes(DEAD)}, {"n2"})

    def suspected_by(self, net: MembershipSimulation, node: str) -> set[NodeId]:
        return {other for _, at, other in net.state_changes(MemberState.SUSPECT) if at == node}

    def test_loss_of_a_failure_domain_declares_only_its_nodes_dead(self) -> None:
        net = MembershipSimulation(15)
        net.run(5)
        lost = {NodeId(f"n{number}") for number in range(0, 15, 3)}
        net.stopped |= lost
        net.run(20)
        self.assertTrue(net.has_converged())
        self.assertEqual({node for _, _, node in net.state_changes(DEAD)}, lost)

    def test_regions_partitioned_for_an_hour_converge_after_healing(self) -> None:
        net = MembershipSimulation(9)
        net.run(5)
        for node in net.nodes.values():
            net.execute(
                node.local_member.node, node.on_vm_list(make_vm_list([node.local_member]), net.now)
            )
        one_side = {NodeId(f"n{number}") for number in (0, 1, 3, 4)}
        net.is_partitioned = lambda a, b: (a in one_side) != (b in one_side)
        net.run(3600)
        for node in net.nodes:
            own = one_side if node in one_side else set(net.nodes) - one_side
            self.assertEqual(net.alive_in_view(node), own)
        net.is_partitioned = lambda _a, _b: False
        healed_at = net.now
        net.run(15)
        self.assertTrue(net.has_converged())
        self.assertEqual([when for when, _, _ in net.state_changes(DEAD) if when > healed_at], [])

    def test_wrong_or_empty_vm_list_removes_no_member(self) -> None:
        net = MembershipSimulation(9)
        net.run(5)
        wrong = make_vm_list([make_member(number) for number in (1, 200, 201)])
        for listed in ((), wrong):
            for node in net.nodes.values():
                net.execute(node.local_member.node, node.on_vm_list(listed, net.now))
            net.run(20)
            self.assertTrue(net.has_converged())
        self.assertEqual(net.state_changes(DEAD), [])

    def test_vm_replaced_under_the_same_address(self) -> None:
        net = MembershipSimulation(9)
        net.run(5)
        net.stopped.add(NodeId("n4"))
        new_member = replace(make_member(4), node=NodeId("n4b"), incarnation=Incarnation(9))
        net.add(new_member, make_vm_list([make_member(1)]))
        net.run(4)
        self.assertTrue(net.has_converged())
        self.assertEqual(net.view(NodeId("n1"))[NodeId("n4")], DEAD)

    def test_node_restarted_with_a_lower_incarnation_rejoins(self) -> None:
        net = MembershipSimulation(9)
        net.run(5)
        net.add(replace(make_member(4), incarnation=Incarnation(0)), make_vm_list([make_member(1)]))
        net.run(8)
        self.assertTrue(net.has_converged())
        self.assertGreater(net.nodes[NodeId("n4")].local_member.incarnation, 1)

    def test_heavy_loss_causes_few_false_deaths_and_the_fleet_recovers(self) -> None:
        net = MembershipSimulation(15, loss=0.3)
        net.run(600)
        false_deaths = {(at, node) for _, at, node in net.state_changes(DEAD)}
        self.assertLess(len(false_deaths), 15)
        net.loss = 0.0
        net.run(30)
        self.assertTrue(net.has_converged())

    def test_missing_member_is_learnt_from_another_node(self) -> None:
        net = MembershipSimulation(9)
        net.run(5)
        net.is_partitioned = lambda a, b: {a, b} == {"n1", "n5"}
        net.nodes[NodeId("n1")]._table.evict(NodeId("n5"))
        net.run(30)
        self.assertTrue(net.has_converged())

    def test_member_that_one_node_cannot_reach_is_not_suspected(self) -> None:
        net = MembershipSimulation(9)
        net.run(5)
        net.is_partitioned = lambda a, b: {a, b} == {"n1", "n5"}
        net.run(60)
        self.assertEqual(net.state_changes(MemberState.SUSPECT), [])

    def test_pause_of_the_whole_fleet_causes_no_suspicion(self) -> None:
        net = MembershipSimulation(15)
        net.delay = (0.05, 0.12)
        net.run(5)
        for stall in (2.0, 2.5, 2.7, 8.0):
            net.paused = set(net.nodes)
            net.run(stall)
            net.paused = set()
            net.run(3.1)
            self.assertTrue(net.has_converged(), stall)
        suspected = net.state_changes(MemberState.SUSPECT)
        self.assertEqual(suspected, [])

    def test_clock_jumps_cause_no_deaths(self) -> None:
        net = MembershipSimulation(9)
        net.run(5)
        for jump in (3600.0, -1800.0, 86_400.0):
            net.clock_offsets[NodeId("n3")] = jump
            net.run(10)
            self.assertTrue(net.has_converged(), jump)
        self.assertEqual(net.state_changes(DEAD), [])

    def test_cost_per_node_does_not_grow_with_the_fleet(self) -> None:
        rates = {}
        for size in (5, 15, 60):
            net = MembershipSimulation(size)
            net.run(40)
            net.sent.clear()
            net.run(20)
            rates[size] = len(net.sent) / size / 20
        self.assertLess(max(rates.values()), 2.5, rates)

    @settings(max_examples=12)
    @given(st.data())
    def test_views_converge_after_random_faults(self, data: st.DataObject) -> None:
        net = MembershipSimulation(7, seed=data.draw(st.integers(0, 9)))
        net.duplication = 0.1
        net.run(3)
        for _ in range(data.draw(st.integers(1, 4))):
            fault = data.draw(st.sampled_from(["loss", "partition", "pause", "kill", "jump"]))
            chosen = {NodeId(f"n{n}") for n in data.draw(st.sets(st.integers(0, 6), max_size=3))}
            if fault == "loss":
                net.loss = 0.4
            elif fault == "partition":
                net.is_partitioned = lambda a, b, side=chosen: (a in side) != (b in side)
            elif fault == "pause":
                net.paused = chosen
            elif fault == "kill":
                net.stopped = chosen
            else:
                net.clock_offsets = dict.fromkeys(chosen, -100.0)
            net.run(data.draw(st.sampled_from([2, 20])))
        net.loss, net.is_partitioned, net.paused = 0.0, lambda _a, _b: False, set()
        net.run(60)
        self.assertTrue(
            net.has_converged(), {node: net.alive_in_view(node) for node in net.running()}
        )
