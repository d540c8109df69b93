"""Tests of handing callers' requests over to other nodes, over sockets and without."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from msgspec.msgpack import encode
from msgspec.structs import replace
from result import Err, Ok

from sequoiapulley.daemon.handover_client import HttpHandoverClient
from sequoiapulley.daemon.handover_port import (
    HANDOVER_PATH,
    MAX_VERSION_WAIT_SHARE,
    HandoverPort,
    HandoverReply,
    HandoverRequest,
    peer_limits,
)
from sequoiapulley.forward.handover import MAX_NODES, Handover, HandoverFailure, HandoverResult
from sequoiapulley.forward.messages import Answer, CallerRequest
from sequoiapulley.forward.peer_table import MAX_CONTACT_AGE_S, PeerTable
from sequoiapulley.forward.refusal import Reason
from sequoiapulley.forward.route_table import CallerLimits
from sequoiapulley.forward.shown_version import ShownVersion
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import ConfigVersion, NodeId, RequestId
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.http_server import HttpServer
from sequoiapulley.wire.server_connection import ServerLimits, ServerRequest
from tests.simulated_upstreams import SEAL_HEADER, SimulatedNet, plain_route, success
from tests.state_fixtures import heartbeat, node
from tests.wire_support import Loop

OK = Answer(200, ((SEAL_HEADER, b"s"),), b"body")
NOT_RUN = Answer(503, (), b"")


class ScriptedNodes:
    """Implements `HandoverClient`; the test replies to each request."""

    def __init__(self, count: int) -> None:
        self.names = [f"n{number}" for number in range(count)]
        self.asked: list[str] = []
        self.cancelled = 0
        self._done: list[Callable[[HandoverResult], None]] = []

    @property
    def available(self) -> bool:
        return bool(self.names)

    def next_node(self, excluded: list[NodeId]) -> NodeRecord | None:
        usable = [name for name in self.names if name not in excluded]
        return node(usable[0]) if usable else None

    def hand_over(
        self,
        node: NodeRecord,
        req: CallerRequest,
        time_left: float,
        done: Callable[[HandoverResult], None],
    ) -> Callable[[], None]:
        self.asked.append(str(node.name))
        self._done.append(done)
        return self._cancel

    def _cancel(self) -> None:
        self.cancelled += 1

    def reply(self, result: HandoverResult) -> None:
        self._done.pop(0)(result)


class HandoverTest(TestCase):
    """The choice of the next node, and what the caller is told."""

    def hand_over(self, nodes: ScriptedNodes, idempotent: bool = True) -> Handover:
        self.net = SimulatedNet(lambda *_args: (0.001, success()))
        self.answers: list[tuple[Answer, Reason | None]] = []
        deadline = self.net.clock.now() + 1.0
        handover = Handover(
            self.net.ctx,
            nodes,
            self.net.request("/p/1"),
            idempotent,
            deadline,
            lambda answer, reason: self.answers.append((answer, reason)),
        )
        handover.start()
        return handover

    def test_answer_of_the_other_node_is_forwarded_unchanged(self) -> None:
        nodes = ScriptedNodes(2)
        self.hand_over(nodes)
        nodes.reply(Ok(OK))
        self.assertEqual(self.answers, [(OK, None)])

    def test_next_node_is_used_when_one_fails(self) -> None:
        nodes = ScriptedNodes(5)
        self.hand_over(nodes)
        for _ in range(MAX_NODES):
            nodes.reply(Err(HandoverFailure(True, "lost")))
        self.net.run(0.01)
        self.assertEqual(nodes.asked, ["n0", "n1", "n2"])
        answer, reason = self.answers[0]
        self.assertEqual((answer.status, reason), (502, Reason.CUT_OFF))

    # Guards against a second run of a request that is not idempotent.
    def test_request_that_may_have_run_is_not_handed_over_again(self) -> None:
        nodes = ScriptedNodes(3)
        self.hand_over(nodes, idempotent=False)
        nodes.reply(Err(HandoverFailure(True, "lost")))
        self.assertEqual((nodes.asked, self.answers[0][0].status), (["n0"], 502))

    def test_request_that_was_not_sent_is_handed_over_again(self) -> None:
        nodes = ScriptedNodes(3)
        self.hand_over(nodes, idempotent=False)
        nodes.reply(Err(HandoverFailure(False, "cut off")))
        nodes.reply(Ok(OK))
        self.assertEqual((nodes.asked, self.answers), (["n0", "n1"], [(OK, None)]))
        self.assertEqual(self.net.ctx.tally.handovers, {"failed": 1, "answered": 1})

    # Guards against a statement that a request has not run although the first node may have run it.
    def test_refusal_after_a_lost_request_does_not_promise_that_it_has_not_run(self) -> None:
        nodes = ScriptedNodes(2)
        self.hand_over(nodes)
        nodes.reply(Err(HandoverFailure(True, "lost")))
        nodes.reply(Ok(NOT_RUN))
        self.assertEqual(self.answers[0][0].status, 502)

    # Guards against REFUSED of review case 7 beside nodes that forward such a status.
    def test_status_of_an_upstream_that_ran_the_request_does_not_promise_that_it_has_not(
        self,
    ) -> None:
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                nodes = ScriptedNodes(2)
                self.hand_over(nodes, idempotent=False)
                nodes.reply(Ok(Answer(status, ((SEAL_HEADER, b"s"),), b"away")))
                answer = self.answers[0][0]
                self.assertEqual((answer.status, nodes.asked), (502, ["n0"]))
                self.assertNotIn(SEAL_HEADER, dict(answer.headers))
                self.assertIn(f"status {status}", str(self.net.log.entries))

    def test_refusal_of_the_first_node_is_forwarded(self) -> None:
        nodes = ScriptedNodes(2)
        self.hand_over(nodes)
        nodes.reply(Ok(NOT_RUN))
        self.assertEqual(self.answers, [(NOT_RUN, None)])

    def test_without_a_node_the_caller_is_refused_at_once(self) -> None:
        self.hand_over(ScriptedNodes(0))
        self.net.run(0.0)
        self.assertEqual(self.answers[0][0].status, 503)

    # Guards against work that goes on after the caller has left.
    def test_stop_cancels_the_request_at_the_other_node(self) -> None:
        nodes = ScriptedNodes(2)
        handover = self.hand_over(nodes)
        self.assertTrue(handover.stop())
        self.assertEqual(nodes.cancelled, 1)
        nodes.reply(Ok(OK))
        self.assertEqual(self.answers, [])


class HandoverPortTest(TestCase):
    """One node hands requests over to another one, over sockets."""

    def setUp(self) -> None:
        self.loop = Loop(PausedClock())
        self.net = SimulatedNet(lambda *_args: (0.01, success(b"part")), timers=self.loop.timers)
        for number in range(4):
            self.net.add(f"u-{number}", "portal")
        self.net.apply(plain_route("portal"))
        self.log = MemoryLog()
        self.receivers_peers = PeerTable(node("n2"), self.log)
        self.port = HandoverPort(
            self.net.forwarder,
            self.net.ctx.contact,
            self.receivers_peers.latest_version,
            self.loop.timers,
            self.log,
        )
        self.requests: list[ServerRequest] = []
        self.server = HttpServer(
            self.loop.reactor, self.loop.timers, "127.0.0.1", 0, self.serve, ServerLimits()
        )
        self.addCleanup(self.server.close)
        self.client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(self.client.close)
        self.record = replace(node("n2"), host="127.0.0.1", peers_port=self.server.port)
        self.peers = PeerTable(node("n1"), self.log)
        self.shown = ShownVersion()
        self.handover = HttpHandoverClient(self.client, self.peers, self.loop.clock, self.shown)
        self.results: list[HandoverResult] = []

    def serve(self, req: ServerRequest) -> None:
        self.requests.append(req)
        self.port.serve(req)

    def send(self, target: bytes = b"/p/1") -> Callable[[], None]:
        now = self.loop.clock.now()
        req = CallerRequest(RequestId("r1"), b"GET", target, "h", (), b"", 1.0, now)
        cancel = self.handover.hand_over(self.record, req, 1.0, self.results.append)
        self.loop.settle()
        return cancel

    def test_request_is_served_by_the_other_node(self) -> None:
        self.send()
        self.loop.advance(0.02)
        self.assertEqual(self.results, [Ok(Answer(200, (), b"part"))])

    # Guards against CONFIG of review case 5: the sender learned of a later version with the answer.
    def test_later_version_of_the_other_node_is_known_before_it_serves(self) -> None:
        version = self.net.forwarder.version
        self.shown.record(ConfigVersion(version - 1))
        self.send()
        self.assertEqual((self.shown.version, self.results), (version, []))
        self.assertEqual((len(self.requests), self.net.forwarder.in_flight), (2, 1))
        self.loop.advance(0.02)
        self.assertEqual(self.results, [Ok(Answer(200, (), b"part"))])

    # Guards against CONFIG of review case 5: a node served with an older version than callers saw.
    def test_request_waits_for_the_version_that_callers_have_seen(self) -> None:
        table = self.net.forwarder.table
        assert table is not None
        later = replace(table, version=ConfigVersion(table.version + 1))
        self.shown.record(later.version)
        self.send()
        self.assertEqual(self.net.forwarder.in_flight, 0)
        self.net.forwarder.apply(later)
        self.port.wake()
        self.assertEqual(self.net.forwarder.in_flight, 1)
        self.loop.advance(0.02)
        self.assertEqual(self.results, [Ok(Answer(200, (), b"part"))])

    def test_request_whose_version_does_not_come_is_not_served(self) -> None:
        self.shown.record(ConfigVersion(self.net.forwarder.version + 1))
        self.send()
        self.loop.advance(MAX_VERSION_WAIT_SHARE + 0.01)
        self.assertEqual(self.results, [Err(HandoverFailure(False, "status 503"))])
        self.port.wake()
        self.assertEqual(self.net.forwarder.in_flight, 0)

    def test_caller_who_leaves_ends_the_wait_for_a_version(self) -> None:
        version = ConfigVersion(self.net.forwarder.version + 1)
        self.shown.record(version)
        cancel = self.send()
        cancel()
        self.loop.settle()
        table = self.net.forwarder.table
        assert table is not None
        self.net.forwarder.apply(replace(table, version=version))
        self.port.wake()
        self.assertEqual((self.net.forwarder.in_flight, self.results), (0, []))

    # Guards against an upgrade that stops hand-overs: nodes of earlier builds state no version.
    def test_request_of_an_earlier_build_is_served(self) -> None:
        body = encode([RequestId("r"), b"GET", b"/p/1", "h", (), b"", 1.0])
        results: list[HttpResult] = []
        call = HttpCall("127.0.0.1", self.server.port, "POST", HANDOVER_PATH, body=body)
        self.client.request(call, results.append)
        self.loop.settle()
        self.loop.advance(0.02)
        self.assertEqual(results[0].unwrap().status, 200)

    # Guards against CONFIG in an upgrade: a sender of an earlier build states no version, and
    # another receiver has served its callers with a later one.
    def test_request_without_a_version_waits_for_the_latest_one_that_peers_state(self) -> None:
        table = self.net.forwarder.table
        assert table is not None
        later = replace(table, version=ConfigVersion(table.version + 1))
        beat = heartbeat(node("n3"), version=later.version)
        self.receivers_peers.record_heartbeat(beat, self.loop.clock.now())
        body = encode([RequestId("r"), b"GET", b"/p/1", "h", (), b"", 1.0])
        results: list[HttpResult] = []
        call = HttpCall("127.0.0.1", self.server.port, "POST", HANDOVER_PATH, body=body)
        self.client.request(call, results.append)
        self.loop.settle()
        self.assertEqual((results, self.net.forwarder.in_flight), ([], 0))
        self.net.forwarder.apply(later)
        self.port.wake()
        self.loop.settle()
        self.loop.advance(0.02)
        self.assertEqual(results[0].unwrap().status, 200)

    # Guards against CONFIG in an upgrade: a node of an earlier build serves with any version.
    def test_nodes_that_compare_versions_come_first(self) -> None:
        now = self.loop.clock.now()
        for name, compares in (("a", False), ("b", True), ("c", False), ("d", True)):
            beat = replace(heartbeat(node(name)), contact_age=0.1, compares_versions=compares)
            self.peers.record_heartbeat(beat, now)
        names = {str(found.name) for _ in range(8) if (found := self.handover.next_node([]))}
        self.assertEqual(names, {"b", "d"})

    # Guards against CONFIG in an upgrade: several nodes of an earlier build have several versions.
    def test_one_node_of_an_earlier_build_serves_while_it_is_in_contact(self) -> None:
        for name in ("a", "b", "c"):
            self.hear_earlier(name, version=5)
        used = [self.handover.next_node([]) for _ in range(6)]
        first = used[0]
        assert first is not None
        self.assertEqual(used, [first] * 6)
        self.hear_earlier(str(first.name), version=5, cut_off=True)
        others = [self.handover.next_node([]) for _ in range(6)]
        self.assertEqual(others, [others[0]] * 6)
        self.assertNotIn(others[0], (None, first))
        self.hear_earlier(str(first.name), version=5)
        self.assertEqual(self.handover.next_node([]), others[0])

    # Guards against CONFIG in an upgrade: callers have seen a version that the other node lacks.
    def test_node_of_an_earlier_build_without_the_version_is_not_used(self) -> None:
        self.shown.record(ConfigVersion(5))
        self.hear_earlier("a", version=4)
        self.assertIsNone(self.handover.next_node([]))
        self.hear_earlier("a", version=5)
        self.assertIsNotNone(self.handover.next_node([]))

    # Guards against CONFIG after a cut in an upgrade: what version callers have seen is unknown.
    def test_use_of_a_node_of_an_earlier_build_is_recorded(self) -> None:
        version = self.net.forwarder.version
        self.shown.record(version)
        self.peers.record_heartbeat(heartbeat(self.record), self.loop.clock.now())
        self.send()
        self.shown.end_cut(10.0)
        self.assertFalse(self.shown.is_ahead(version, read_at=9.0, now=10.0))
        self.hear_earlier("n2", version)
        self.send()
        self.shown.end_cut(10.0)
        self.assertTrue(self.shown.is_ahead(version, read_at=9.0, now=10.0))
        self.assertFalse(self.shown.is_ahead(version, read_at=10.0, now=10.0))

    def hear_earlier(self, name: str, version: int, cut_off: bool = False) -> None:
        """Records a heartbeat of a node of an earlier build."""
        beat = heartbeat(node(name), version=version)
        beat = replace(beat, contact_age=0.1, compares_versions=False, cut_off=cut_off)
        self.peers.record_heartbeat(beat, self.loop.clock.now())

    def test_nodes_with_the_version_come_first(self) -> None:
        now = self.loop.clock.now()
        for name, version in (("a", 4), ("b", 5), ("c", 6)):
            beat = replace(heartbeat(node(name), version=version), contact_age=0.1)
            self.peers.record_heartbeat(beat, now)
        self.shown.record(ConfigVersion(5))
        names = {str(found.name) for _ in range(8) if (found := self.handover.next_node([]))}
        self.assertEqual(names, {"b", "c"})
        last = self.handover.next_node([NodeId("b"), NodeId("c")])
        self.assertEqual(last.name if last is not None else "", "a")

    def test_route_that_the_other_node_lacks_is_answered_by_it(self) -> None:
        self.send(b"/unknown")
        self.assertEqual(self.results[0].unwrap().status, 404)

    # Guards against requests that two cut-off nodes hand to each other.
    def test_node_that_is_cut_off_as_well_refuses(self) -> None:
        self.net.ctx.contact.cut_off = True
        self.send()
        self.assertEqual(self.results, [Err(HandoverFailure(False, "status 503"))])

    # Guards against work at upstreams after the caller of the other node has left.
    def test_cancelled_request_ends_at_the_other_node(self) -> None:
        cancel = self.send()
        self.assertEqual(self.net.forwarder.in_flight, 1)
        cancel()
        self.loop.settle()
        self.assertEqual((self.net.forwarder.in_flight, self.results), (0, []))

    def test_malformed_requests_are_refused(self) -> None:
        good = HandoverRequest(RequestId("r"), b"GET", b"/p/1", "h", (), b"", 1.0)
        results: list[HttpResult] = []
        for body in (b"", b"\xc1", encode([1, 2]), encode(replace(good, time_left=float("nan")))):
            call = HttpCall("127.0.0.1", self.server.port, "POST", HANDOVER_PATH, body=body)
            self.client.request(call, results.append)
            self.loop.settle()
        self.assertEqual([result.unwrap().status for result in results], [400] * 4)
        self.assertEqual(self.net.forwarder.in_flight, 0)

    # Guards against an answer of another request that reaches a caller.
    def test_reply_to_another_request_is_not_used(self) -> None:
        wrong = encode(HandoverReply(RequestId("r0"), 200, (), b""))
        self.port.serve = lambda req: req.answer(200, (), wrong)  # type: ignore[method-assign]
        self.send()
        self.assertIsInstance(self.results[0], Err)
        self.assertTrue(self.results[0].unwrap_err().sent)

    # Guards against a status 000 or 600 that a node of an earlier build forwards.
    def test_answer_with_a_status_that_http_does_not_have_is_not_used(self) -> None:
        for status in (0, 199, 600, 999):
            with self.subTest(status=status):
                odd = encode(HandoverReply(RequestId("r1"), status, (), b""))
                self.port.serve = (  # type: ignore[method-assign]
                    lambda req, odd=odd: req.answer(200, (), odd)
                )
                self.send()
                self.assertTrue(self.results.pop().unwrap_err().sent)

    def test_only_nodes_in_contact_are_used(self) -> None:
        now = self.loop.clock.now()
        beats = [
            replace(heartbeat(node("a")), contact_age=0.1),
            replace(heartbeat(node("b")), contact_age=0.1, cut_off=True),
            replace(heartbeat(node("c")), contact_age=MAX_CONTACT_AGE_S + 0.1),
            heartbeat(node("d")),
            replace(heartbeat(node("e", "q")), contact_age=0.1),
        ]
        for beat in beats:
            self.peers.record_heartbeat(beat, now)
        names = {str(found.name) for _ in range(8) if (found := self.handover.next_node([]))}
        self.assertEqual(names, {"a", "e"})
        self.assertEqual([peer.name for peer in self.peers.cut_off()], ["b"])
        self.assertNotIn("b", {peer.name for peer in self.peers.ready()})
        self.assertIsNone(self.handover.next_node([NodeId("a"), NodeId("e")]))
        self.assertTrue(self.handover.available)
        self.loop.clock.advance(MAX_CONTACT_AGE_S)
        self.assertFalse(self.handover.available)


class HandoverSizeTest(TestCase):
    """The limits of the port for other nodes."""

    # Guards against a request inside the limits that a cut-off node cannot hand over.
    def test_requests_at_the_limits_of_the_configuration_are_served(self) -> None:
        for limits in (CallerLimits(), CallerLimits(header_bytes=30_000, body_bytes=1_000_000)):
            headers = ((b"a", b"b"),) * (limits.header_bytes // len(b"a:b\r\n"))
            body = b"b" * limits.body_bytes
            request = HandoverRequest(
                RequestId("r"), b"POST", b"/p/1", "x.example", headers, body, 3.0
            )
            loop = Loop()
            found: list[ServerRequest] = []
            server = HttpServer(
                loop.reactor, loop.timers, "127.0.0.1", 0, found.append, peer_limits(limits)
            )
            self.addCleanup(server.close)
            client = HttpClient(loop.reactor, loop.clock, loop.timers)
            self.addCleanup(client.close)
            results: list[HttpResult] = []
            call = HttpCall(
                "127.0.0.1", server.port, "POST", HANDOVER_PATH, body=encode(request), timeout=9.0
            )
            client.request(call, results.append)
            loop.until(lambda found=found, results=results: bool(found or results))
            self.assertEqual([len(req.parsed.body) for req in found], [len(encode(request))])
