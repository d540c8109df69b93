"""Tests of nodes without a path to any upstream, without a network.

The load: six nodes in three failure domains get a steady load of searches over twenty shards and of
requests for one service. Some of the nodes lose their links to all upstreams for some seconds.
"""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.forward.messages import Answer
from sequoiapulley.forward.shown_version import MAX_APPLY_S
from sequoiapulley.ids import ConfigVersion
from tests.partitioned_fleet import Cut, PartitionedFleet
from tests.simulated_upstreams import SimulatedNet, add_search_and_portal, plain_route
from tests.state_fixtures import node

DOMAINS = ("p", "p", "q", "q", "r", "r")
SHARDS = 20
CONTACT_S = 4.0
"""The users' `contact_ms`: time from the start of the cut after which the bound holds."""
MIN_RATIO = 2 / 3
"""The users' bound on the share of requests that cut-off nodes serve, relative to the others."""
OK = 200


def make_fleet() -> PartitionedFleet:
    """Returns the nodes with both routes."""
    fleet = PartitionedFleet(DOMAINS)
    add_search_and_portal(fleet, SHARDS)
    return fleet


def served(answers: list[tuple[float, Answer]]) -> float:
    """Returns the share of successful answers."""
    return sum(answer.status == OK for _, answer in answers) / len(answers)


def ask(net: SimulatedNet, path: str) -> int:
    """Sends a request to one node; returns the status of the answer."""
    answers = net.ask(path)
    net.run(1.0)
    return answers[0][1].status


class CutOffNodeTest(TestCase):
    """Callers of nodes that are cut off from all upstreams are served by way of other nodes."""

    def check(self, cut: Cut) -> None:
        """Cuts off one, two and four nodes; compares the share that they and the others serve."""
        for nodes in (range(1), range(2), range(4)):
            fleet = make_fleet()
            fleet.load(2.0)
            fleet.cut(nodes, cut)
            fleet.load(CONTACT_S)
            answers = fleet.load(4.0)
            others = min(served(answers[node]) for node in range(len(nodes), len(DOMAINS)))
            cut_off = min(served(answers[node]) for node in nodes)
            self.assertGreaterEqual(cut_off, MIN_RATIO * others, f"{len(nodes)} nodes")

    # Guards against RECOVER of issue 28: nodes that had lost their links to all upstreams answered
    # nearly every request with an error.
    def test_cut_off_nodes_with_hanging_links_serve_their_callers(self) -> None:
        self.check(Cut.HANGING)

    # Guards against RECOVER of issue 28, where the connections of the cut-off nodes are reset.
    def test_cut_off_nodes_with_reset_links_serve_their_callers(self) -> None:
        self.check(Cut.RESET)

    # Guards against RECOVER of issue 28, where new connections of the cut-off nodes are refused.
    def test_cut_off_nodes_with_refused_links_serve_their_callers(self) -> None:
        self.check(Cut.REFUSED)

    # Guards against a hand-over without end when all upstreams are gone.
    def test_upstreams_that_are_gone_for_all_nodes_cause_no_handover(self) -> None:
        fleet = make_fleet()
        fleet.load(2.0)
        fleet.upstreams_down = True
        fleet.run(4.0)
        fleet.load(4.0)
        sent = fleet.handovers()
        answers = fleet.load(2.0)
        self.assertEqual(fleet.handovers(), sent)
        self.assertEqual({served(found) for found in answers}, {0.0})
        self.assertEqual([len(found) for found in answers], [40] * len(DOMAINS))

    def test_nodes_serve_by_themselves_when_their_links_are_back(self) -> None:
        fleet = make_fleet()
        fleet.load(2.0)
        fleet.cut(range(4), Cut.HANGING)
        fleet.load(4.0)
        fleet.cut(range(4), Cut.NONE)
        fleet.load(2.0)
        sent = fleet.handovers()
        answers = fleet.load(2.0)
        self.assertEqual(fleet.handovers(), sent)
        self.assertEqual({served(found) for found in answers}, {1.0})

    # Guards against requests that wait for their deadline at a node that has just been cut off.
    def test_requests_in_hand_are_handed_over(self) -> None:
        fleet = make_fleet()
        fleet.load(2.0)
        fleet.cut(range(1), Cut.HANGING)
        answers = fleet.load(4.0)
        self.assertGreaterEqual(served(answers[0]), 0.95)

    # Guards against the slowness of a single node or upstream that is taken for a lost path.
    def test_nodes_that_are_not_cut_off_hand_nothing_over(self) -> None:
        fleet = make_fleet()
        fleet.load(4.0)
        self.assertEqual(fleet.handovers(), 0)

    # Guards against CONFIG of review case 5: callers saw an older configuration after a newer one.
    def test_node_that_is_behind_hands_over_until_it_has_the_version(self) -> None:
        fleet = make_fleet()
        fleet.load(2.0)
        ahead, behind = fleet.nets[1], fleet.nets[0]
        table = behind.forwarder.table
        assert table is not None
        added = plain_route("portal", prefix="/added/")
        ahead.apply(*table.routes, added, version=table.version + 1)
        fleet.clients[0].next_node = lambda _excluded: node("n1")  # type: ignore[method-assign]
        behind.forwarder.shown.record(ahead.forwarder.version)
        for path in ("/p/1", "/added/1"):
            self.assertEqual(ask(behind, path), OK, path)
        self.assertEqual(fleet.clients[0].sent, 2)
        behind.apply(*table.routes, added, version=table.version + 1)
        self.assertEqual(ask(behind, "/added/1"), OK)
        self.assertEqual(fleet.clients[0].sent, 2)

    # Guards against CONFIG after a cut in an upgrade: a node of an earlier build, which states no
    # version, has served callers with one that this node has not read.
    def test_node_hands_over_until_its_state_is_as_recent_as_the_end_of_the_cut(self) -> None:
        fleet = make_fleet()
        fleet.load(2.0)
        returned, client = fleet.nets[0], fleet.clients[0]
        ended = fleet.timers.clock.now()
        client.next_node = lambda _excluded: node("n1")  # type: ignore[method-assign]
        returned.forwarder.shown.record_unknown()
        returned.forwarder.shown.end_cut(ended)
        for read_at, sent in ((ended - 0.1, 1), (ended, 1)):
            returned.forwarder.state_read_at = lambda read_at=read_at: read_at
            self.assertEqual(ask(returned, "/p/1"), OK)
            self.assertEqual(client.sent, sent, f"state of {read_at - ended} s after the cut")
        # The store may be away for longer than any node takes to apply a version.
        returned.forwarder.state_read_at = lambda: ended - 0.1
        fleet.run(MAX_APPLY_S)
        self.assertEqual(ask(returned, "/p/1"), OK)
        self.assertEqual(client.sent, 1)

    def test_node_that_is_behind_and_alone_serves_by_itself(self) -> None:
        fleet = make_fleet()
        fleet.load(2.0)
        behind = fleet.nets[0]
        fleet.clients[0].next_node = lambda _excluded: None  # type: ignore[method-assign]
        behind.forwarder.shown.record(ConfigVersion(behind.forwarder.version + 1))
        self.assertEqual([ask(behind, path) for path in ("/p/1", "/added/1")], [OK, 404])
