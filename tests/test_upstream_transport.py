"""Tests of the upstream transport against stand-in upstreams over real sockets."""

from __future__ import annotations

from gc import collect, disable, enable, get_objects
from random import Random
from socket import socket
from unittest import TestCase

from sequoiapulley.ids import ShardId
from sequoiapulley.model import Snapshot
from sequoiapulley.upstream.http_contract import decode_search_body
from sequoiapulley.upstream.messages import LossKind, ReplyKind
from sequoiapulley.upstream.pool_settings import PoolPolicy
from sequoiapulley.wire.http_connection import HttpConnection
from standins.upstream_spec import UpstreamSpec
from standins.upstreams import UpstreamsStandIn
from tests.wire_support import Loop, Recorder, ScriptedServer, reply_bytes


def count_of(kind: type) -> int:
    """Returns the number of tracked objects of a type."""
    return sum(1 for found in get_objects() if type(found) is kind)


class UpstreamTransportTest(TestCase):
    """Each exchange has exactly one outcome, of the correct kind."""

    def setUp(self) -> None:
        spec = UpstreamSpec("u", "i", "s", slots=2, connections=8, open_ms=0.0)
        self.upstreams = UpstreamsStandIn([spec])
        self.upstreams.start()
        self.addCleanup(self.upstreams.stop)
        self.loop = Loop()
        self.recorder = Recorder(self.loop, self.upstreams.ports["u"])

    def test_reuses_connections_within_the_allowance(self) -> None:
        for number in range(40):
            self.recorder.send(number)
        self.recorder.until_outcomes(40)
        self.assertEqual({reply.kind for reply in self.recorder.replies.values()}, {ReplyKind.OK})
        counters = self.upstreams.counters("u")
        self.assertEqual(counters.run, 40)
        self.assertLessEqual(counters.peak_connections, 4)
        self.assertEqual(counters.connections_opened, 4)

    def test_reply_carries_snapshot_and_hits(self) -> None:
        self.upstreams.set_faults("u", snapshots=["1.1", "1.2"])
        self.recorder.send(1)
        self.recorder.until_outcomes(1)
        reply = self.recorder.replies[1]
        self.assertEqual(reply.snapshot, Snapshot(1, 2))
        self.assertEqual(reply.available, (Snapshot(1, 1), Snapshot(1, 2)))
        self.assertEqual(len(decode_search_body(reply.body, ShardId("i"))), 2)

    def test_each_refusal_has_its_kind(self) -> None:
        cases = (
            ({"draining": True}, ReplyKind.DRAINING),
            ({"shed_share": 1.0}, ReplyKind.SHED),
            ({"error_share": 1.0}, ReplyKind.ERROR),
            ({"crossed_share": 1.0}, ReplyKind.MALFORMED),
            ({"truncate_share": 1.0}, ReplyKind.MALFORMED),
        )
        for number, (faults, kind) in enumerate(cases):
            self.upstreams.set_faults("u", **faults)
            self.recorder.send(number)
            self.recorder.until_outcomes(number + 1)
            self.assertEqual(self.recorder.replies[number].kind, kind)
            self.upstreams.set_faults("u", **{name: type(v)() for name, v in faults.items()})

    def test_lost_connection_and_failed_connect_are_distinguished(self) -> None:
        self.upstreams.set_faults("u", drop_share=1.0)
        self.recorder.send(1)
        self.recorder.until_outcomes(1)
        self.upstreams.set_faults("u", down=True)
        self.loop.until(lambda: self.recorder.transport.counts().connections == 0)
        self.recorder.send(2)
        self.recorder.until_outcomes(2)
        self.assertEqual(self.recorder.losses[1], LossKind.CONNECTION_LOST)
        self.assertEqual(self.recorder.losses[2], LossKind.CONNECT_FAILED)

    def test_cancel_stops_the_work_on_the_upstream(self) -> None:
        self.upstreams.set_faults("u", latency_ms=60_000.0)
        self.recorder.send(1)
        self.loop.until(lambda: self.upstreams.counters("u").running == 1)
        self.recorder.cancel(1)
        self.loop.until(lambda: self.upstreams.counters("u").cancelled == 1)
        self.assertEqual(self.upstreams.counters("u").running, 0)
        self.assertEqual(self.recorder.outcomes, [])

    # Guards against memory of requests that have ended: the collector frees cycles much later.
    def test_ended_exchanges_leave_no_cycles(self) -> None:
        disable()
        self.addCleanup(enable)
        cases: tuple[dict[str, object], ...] = (
            {"drop_share": 1.0},
            {"truncate_share": 1.0},
            {"latency_ms": 60_000.0},
        )
        for number, faults in enumerate(cases):
            with self.subTest(faults=faults):
                self.upstreams.set_faults("u", **faults)
                collect()
                conns = count_of(HttpConnection)
                self.recorder.send(number)
                if "latency_ms" in faults:
                    self.loop.until(lambda: self.upstreams.counters("u").running == 1)
                    self.recorder.cancel(number)
                self.loop.until(lambda: self.recorder.transport.counts().connections == 0)
                self.assertEqual(count_of(HttpConnection), conns)
                self.upstreams.set_faults("u", **dict.fromkeys(faults, 0.0))

    def test_fresh_connection_replaces_silent_ones(self) -> None:
        self.recorder.send(1)
        self.recorder.send(2)
        self.recorder.until_outcomes(2)
        self.assertEqual(self.upstreams.silence("u"), 2)
        self.recorder.send(3)
        self.loop.until(lambda: True)
        self.recorder.send(4, fresh=True)
        self.recorder.until_outcomes(3)
        self.assertEqual(self.recorder.replies[4].kind, ReplyKind.OK)
        self.recorder.cancel(3)
        self.recorder.send(5)
        self.recorder.until_outcomes(4)
        self.assertEqual(self.recorder.replies[5].kind, ReplyKind.OK)
        self.assertEqual(self.recorder.losses, {})

    def test_each_exchange_has_one_outcome_under_all_faults_at_once(self) -> None:
        shares = ("truncate", "crossed", "drop", "error", "shed", "silent")
        self.upstreams.set_faults("u", **{f"{name}_share": 0.1 for name in shares})
        policy = PoolPolicy(overdue_s=0.1)
        recorder = Recorder(self.loop, self.upstreams.ports["u"], policy=policy)
        self.addCleanup(recorder.transport.close)
        random = Random(5)
        cancelled: set[int] = set()
        for number in range(400):
            recorder.send(number, fresh=random.random() < 0.1, left=1.0)
            self.loop.reactor.run_once(0.002)
            victim = random.randrange(number + 1)
            if random.random() < 0.2 and victim not in recorder.outcomes:
                recorder.cancel(victim)
                cancelled.add(victim)
        self.loop.until(lambda: recorder.transport.counts().in_flight == 0)
        self.loop.until(lambda: len(recorder.outcomes) >= 400 - len(cancelled))
        self.assertEqual(sorted(recorder.outcomes), sorted(set(range(400)) - cancelled))
        self.assertGreater(len(set(recorder.losses.values())), 1)
        self.assertLessEqual(self.upstreams.counters("u").peak_connections, 8)


class StrayBytesTest(TestCase):
    """Bytes that follow a reply, on a server whose writes the test controls."""

    def setUp(self) -> None:
        self.loop = Loop()
        self.server = ScriptedServer(self.loop)
        self.addCleanup(self.server.close)
        self.recorder = Recorder(self.loop, self.server.port, allowance=2)
        self.addCleanup(self.recorder.transport.close)

    def first(self) -> socket:
        """Returns a connection that has carried one exchange."""
        self.recorder.send(1)
        conn = self.server.accept()
        conn.sendall(reply_bytes(1))
        self.recorder.until_outcomes(1)
        return conn

    # Guards against a reply that is lost to bytes which lay in the socket before the request.
    def test_bytes_received_before_a_request_do_not_answer_it(self) -> None:
        self.first().sendall(reply_bytes(1))
        self.recorder.send(2)
        self.server.accept().sendall(reply_bytes(2))
        self.recorder.until_outcomes(2)
        self.assertEqual(self.recorder.replies[2].kind, ReplyKind.OK)

    # Guards against replies that shift by one: a late copy of an error states no id of a request.
    def test_connection_with_an_error_that_states_no_id_is_closed(self) -> None:
        error = b"HTTP/1.1 500 Error\r\ncontent-length: 6\r\n\r\nfailed"
        conn = self.first()
        self.recorder.send(2)
        self.loop.settle()
        conn.sendall(error)
        self.recorder.until_outcomes(2)
        self.assertEqual(self.recorder.replies[2].kind, ReplyKind.ERROR)
        self.recorder.send(3)
        second = self.server.accept()
        second.sendall(reply_bytes(3))
        self.recorder.until_outcomes(3)
        self.assertEqual(self.recorder.replies[3].kind, ReplyKind.OK)
