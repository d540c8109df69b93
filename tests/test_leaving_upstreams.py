"""Tests of upstreams that announce their shutdown in their replies, without a network.

The reply that carries the announcement is delivered, and the upstream receives no new requests from
then on: not from this node, not from the nodes that learn of it, and not after its entry is written
again. If no other upstream of the service is left, it is still used while it drains.
"""

from __future__ import annotations

from unittest import TestCase

from msgspec.structs import replace
from result import Ok

from sequoiapulley.forward.aggregators import (
    Aggregators,
    PartsReply,
    PartsRequest,
    PartsResult,
    PartsTimeouts,
)
from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.log_events import UPSTREAM_LEAVES
from sequoiapulley.forward.messages import ExchangeEnd, ExchangeReply
from sequoiapulley.forward.part_collector import PartCollector
from sequoiapulley.forward.upstream import DRAIN_MARGIN_S
from sequoiapulley.forward.upstream_directory import MAX_NEWS, NEWS_S
from sequoiapulley.ids import ServiceName, UpstreamName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.simulated_upstreams import (
    LOCAL,
    REMOTE,
    SimulatedNet,
    SimulatedUpstream,
    ended,
    gather_route,
    plain_route,
    success,
)
from tests.state_fixtures import node

DRAIN_S = 3.0


class LeavingUpstreamTest(TestCase):
    """A service with a local upstream `a` and a remote one `b`."""

    def setUp(self) -> None:
        self.leaving: set[str] = {"a"}
        self.end = ExchangeEnd.REPLY
        self.net = self.make_net()

    def make_net(self) -> SimulatedNet:
        net = SimulatedNet(self.behave)
        net.directory.drain = DRAIN_S
        net.add("a", "s")
        net.add("b", "s", REMOTE)
        net.apply(plain_route("s"))
        return net

    def behave(
        self, pool: SimulatedUpstream, _exchange: Exchange, _now: float
    ) -> tuple[float, ExchangeReply]:
        name = str(pool.record.name)
        if name not in self.leaving:
            return 0.005, success(name.encode())
        found = success(name.encode()) if self.end is ExchangeEnd.REPLY else ended(self.end)
        return 0.005, replace(found, leaving=True)

    def ask(self, seconds: float = 0.1) -> int:
        answers = self.net.ask("/p/1")
        self.net.run(seconds)
        self.assertEqual(len(answers), 1)
        return answers[0][1].status

    def arrivals(self, name: str) -> int:
        return len(self.net.pools[UpstreamName(name)].arrivals)

    def test_reply_is_delivered_and_the_next_requests_go_elsewhere(self) -> None:
        self.assertEqual([self.ask() for _ in range(10)], [200] * 10)
        self.assertEqual((self.arrivals("a"), self.arrivals("b")), (1, 9))
        causes = [f["cause"] for event, f in self.net.log.entries if event is UPSTREAM_LEAVES]
        self.assertEqual(causes, ["announced in a reply"])

    def test_announcement_counts_whatever_the_outcome(self) -> None:
        for end in (ExchangeEnd.NOT_RUN, ExchangeEnd.MALFORMED):
            with self.subTest(end=end):
                self.setUp()
                self.end = end
                self.assertEqual([self.ask() for _ in range(10)], [200] * 10)
                self.assertEqual(self.arrivals("a"), 1)

    def test_reply_of_another_upstream_at_the_address_announces_nothing(self) -> None:
        self.end = ExchangeEnd.WRONG_UPSTREAM
        self.ask()
        upstream = self.net.directory.find(UpstreamName("a"))
        assert upstream is not None
        self.assertTrue(upstream.address_reassigned)

    def test_requests_in_flight_finish(self) -> None:
        answers = [self.net.ask("/p/1") for _ in range(4)]
        self.net.run(0.1)
        self.assertEqual([found[0][1].status for found in answers], [200] * 4)

    def test_hedged_request_and_retry_avoid_it(self) -> None:
        self.ask()
        self.leaving.clear()
        self.net.add("c", "s", REMOTE)
        slow = {"b": [(0.5, success(b"late"))], "c": [(0.5, success(b"late"))]}
        behave = self.net.behaviour
        self.net.behaviour = lambda pool, exchange, now: (
            slow[str(pool.record.name)].pop()
            if slow.get(str(pool.record.name))
            else behave(pool, exchange, now)
        )
        self.ask(1.5)
        self.assertEqual(self.arrivals("a"), 1)

    def test_last_upstreams_of_a_service_serve_until_their_drain_ends(self) -> None:
        """A whole service shuts down before its successors are registered."""
        self.leaving.add("b")
        self.ask()
        self.ask()
        start = self.net.clock.now()
        while self.net.clock.now() < start + DRAIN_S - DRAIN_MARGIN_S - 0.3:
            self.assertEqual(self.ask(), 200)
        self.net.run(0.5)
        sends = self.arrivals("a") + self.arrivals("b")
        self.assertEqual([self.ask() for _ in range(5)], [503] * 5)
        self.assertEqual(self.arrivals("a") + self.arrivals("b"), sends)
        self.net.add("c", "s")
        self.assertEqual(self.ask(), 200)

    def test_next_process_of_the_upstream_is_used(self) -> None:
        self.ask()
        self.leaving.clear()
        record = self.net.pools[UpstreamName("a")].record
        self.assertFalse(self.net.directory.put(record))
        self.ask()
        self.assertEqual(self.arrivals("a"), 1)
        self.assertTrue(self.net.directory.put(replace(record, started_ms=2)))
        self.ask()
        self.assertEqual(self.arrivals("a"), 1, "the new process has a pool of its own")
        self.assertEqual(len(self.net.directory.candidates(ServiceName("s"))), 2)

    def test_news_names_each_upstream_once(self) -> None:
        """The last upstreams of a service go on serving, each reply with the announcement."""
        self.leaving.add("b")
        for _ in range(2 * MAX_NEWS):
            self.net.ask("/p/1")
            self.net.run(0.02)
        news = [str(record.name) for record in self.net.directory.announced_leaving()]
        self.assertEqual(sorted(news), ["a", "b"])

    def test_news_for_heartbeats_is_bounded_in_time_and_number(self) -> None:
        for number in range(MAX_NEWS + 4):
            self.leaving.add(f"u{number}")
            self.net.add(f"u{number}", "s")
        for _ in range(MAX_NEWS + 8):
            self.net.ask("/p/1")
            self.net.run(0.01)
        news = self.net.directory.announced_leaving()
        self.assertEqual(len(news), MAX_NEWS)
        self.net.run(NEWS_S + 0.1)
        self.assertEqual(self.net.directory.announced_leaving(), [])


class LeavingPartTest(TestCase):
    """Gathers whose remote parts are merged by a node in the upstreams' failure domain."""

    def setUp(self) -> None:
        self.timers = TimerQueue(PausedClock())
        self.requests: list[PartsRequest] = []
        record = replace(node("far-node"), failure_domain=REMOTE)
        aggregators = Aggregators(LOCAL, lambda: [record], self, self.timers.clock, MemoryLog())
        self.net = SimulatedNet(self.behave, timers=self.timers, aggregators=aggregators)
        self.remote_net = SimulatedNet(self.behave, home=REMOTE, timers=self.timers)
        self.shards = tuple(ServiceName(f"shard-{number}") for number in range(4))
        for net in (self.net, self.remote_net):
            for shard in self.shards:
                net.add(f"{shard}-a", shard, REMOTE)
                net.add(f"{shard}-b", shard, REMOTE)
        self.net.apply(gather_route(self.shards, 1.0))

    def behave(
        self, pool: SimulatedUpstream, exchange: Exchange, _now: float
    ) -> tuple[float, ExchangeReply]:
        found = success(b"", f"{pool.record.name}/{exchange.req.id}".encode())
        return 0.005, replace(found, leaving=pool.record.name == "shard-2-a")

    def ensure_connected(self, _node: object) -> bool:
        return True

    def request_parts(
        self, _node: object, request: PartsRequest, _timeouts: PartsTimeouts, done: object
    ) -> None:
        assert callable(done)
        self.requests.append(request)

        def on_done(reply: PartsReply) -> None:
            result: PartsResult = Ok(reply)
            self.timers.call_later(0.008, lambda: done(result))

        collector = PartCollector(self.remote_net.ctx, request, on_done)
        self.timers.call_later(0.008, collector.start)

    def test_node_that_merges_parts_passes_the_announcement_on(self) -> None:
        for _ in range(6):
            answers = self.net.ask()
            self.net.run(0.3)
            self.assertEqual(answers[0][1].status, 200)
        self.assertGreater(len(self.requests), 2)
        for net in (self.net, self.remote_net):
            found = net.directory.candidates(ServiceName("shard-2"))
            self.assertEqual([str(upstream.record.name) for upstream in found], ["shard-2-b"])
        named = [
            name for request in self.requests[2:] for t in request.tasks for name in t.upstreams
        ]
        self.assertNotIn("shard-2-a", named)
