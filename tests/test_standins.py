"""Tests of the stand-ins, whose behaviour other tests and the demo rely on."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.ids import Revision
from sequoiapulley.platform.http_store import HttpStore
from sequoiapulley.platform.store import ABSENT, StoreReply
from sequoiapulley.upstream.http_contract import RUN_PATH
from sequoiapulley.upstream.messages import ReplyKind
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from standins.store import StoreStandIn
from standins.upstream_spec import UpstreamSpec
from standins.upstreams import UpstreamsStandIn
from tests.wire_support import Loop, Recorder


class UpstreamsStandInTest(TestCase):
    """The upstream stand-in implements its protocol and counts requests and connections."""

    def setUp(self) -> None:
        self.upstreams = UpstreamsStandIn([UpstreamSpec("u", "i", "s", connections=3)])
        self.upstreams.start()
        self.addCleanup(self.upstreams.stop)
        self.loop = Loop()
        self.recorder = Recorder(self.loop, self.upstreams.ports["u"], allowance=3)
        self.addCleanup(self.recorder.transport.close)

    def test_full_slots_and_queue_shed_requests(self) -> None:
        self.upstreams.set_faults("u", latency_ms=100.0, latency_sigma=0.0, queue_limit=0)
        for number in range(3):
            self.recorder.send(number)
        self.recorder.until_outcomes(3)
        kinds = [reply.kind for reply in self.recorder.replies.values()]
        self.assertEqual(kinds.count(ReplyKind.SHED), 1)
        self.assertEqual(self.upstreams.counters("u").peak_running, 2)

    def test_connections_over_the_limit_are_reset(self) -> None:
        self.upstreams.set_faults("u", latency_ms=100.0)
        over_limit = Recorder(self.loop, self.upstreams.ports["u"], allowance=8)
        self.addCleanup(over_limit.transport.close)
        for number in range(6):
            over_limit.send(number)
        over_limit.until_outcomes(6)
        counters = self.upstreams.counters("u")
        self.assertEqual(counters.peak_connections, 3)
        self.assertGreater(counters.connections_refused, 0)

    def test_runs_without_a_key_are_counted_under_the_empty_key(self) -> None:
        for number in range(2):
            self.recorder.send(number, RUN_PATH)
            self.recorder.until_outcomes(number + 1)
        self.assertEqual(self.upstreams.runs, {"": 2})

    def test_crash_text_crashes_and_restarts_the_upstream(self) -> None:
        self.upstreams.set_faults("u", crash_text="q", down_ms=50.0)
        self.recorder.send(1)
        self.recorder.until_outcomes(1)
        self.assertEqual(self.recorder.replies, {})
        self.upstreams.set_faults("u", crash_text="")
        self.loop.reactor.run_for(0.2)
        self.recorder.send(2)
        self.recorder.until_outcomes(2)
        self.assertEqual(self.recorder.replies[2].kind, ReplyKind.OK)
        self.assertEqual(self.upstreams.counters("u").crashes, 1)

    def test_health_endpoint_reports_overridden_load_and_drain_state(self) -> None:
        self.upstreams.set_faults("u", drain_mark=True, reported_draining=False, reported_load=0.9)
        client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(client.close)
        results: list[HttpResult] = []
        client.request(
            HttpCall("127.0.0.1", self.upstreams.ports["u"], "GET", "/health"), results.append
        )
        self.loop.until(lambda: bool(results))
        body = results[0].unwrap().body
        self.assertEqual(body, b'{"draining":false,"load":0.9,"available":["1.1"]}')
        self.recorder.send(1)
        self.recorder.until_outcomes(1)
        self.assertTrue(self.recorder.replies[1].draining)

    def test_cold_upstream_is_slow_at_first(self) -> None:
        self.upstreams.set_faults(
            "u", latency_ms=1.0, cold_s=3600.0, cold_factor=300.0, latency_sigma=0.0
        )
        start = self.loop.clock.now()
        self.recorder.send(1)
        self.recorder.until_outcomes(1)
        self.assertGreater(self.loop.clock.now() - start, 0.1)


class StoreStandInTest(TestCase):
    """The store stand-in can be restored from a backup that is older than its clients' state."""

    def test_restores_an_old_copy_and_counts_calls(self) -> None:
        server = StoreStandIn()
        server.start()
        self.addCleanup(server.stop)
        loop = Loop()
        client = HttpClient(loop.reactor, loop.clock, loop.timers)
        self.addCleanup(client.close)
        store = HttpStore(client, server.host, server.port)
        replies: list[StoreReply] = []

        def put(value: bytes, expected: Revision) -> Revision:
            store.put("k", value, expected, replies.append)
            loop.until(lambda: bool(replies))
            return replies.pop().unwrap().revision

        first = put(b"old", ABSENT)
        server.save()
        second = put(b"new", first)
        server.restore()
        store.watch("k", Revision(first - 1), 1.0, replies.append)
        loop.until(lambda: bool(replies))
        old = replies.pop().unwrap()
        self.assertEqual((old.value, old.revision), (b"old", first))
        self.assertEqual(put(b"third", first), second, "the revision is not assigned again")
        self.assertEqual(server.calls, {"kv-txn": 3, "kv-watch": 1, "kv-key": 1})
