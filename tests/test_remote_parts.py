"""Tests of gathers that delegate calls to remote shards to a node in their failure domain.

Of the ten shards, those with a number from 4 on have upstreams only in the other failure domain.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from types import SimpleNamespace
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack
from result import Err, Ok

from sequoiapulley.daemon.parts_port import HttpPartsClient
from sequoiapulley.forward.aggregators import (
    INITIAL_PAUSE_S,
    Aggregators,
    PartsFailure,
    PartsReply,
    PartsRequest,
    PartsResult,
    PartsTimeouts,
    cover_failure_domains,
)
from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.log_events import ANSWER_PARTIAL
from sequoiapulley.forward.messages import Answer, ExchangeEnd, ExchangeReply
from sequoiapulley.forward.part_collector import PartCollector
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import (
    FailureDomainName,
    Incarnation,
    NodeId,
    RegionName,
    RequestId,
    ServiceName,
)
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from sequoiapulley.wire.http_client import HttpCall, HttpReply, HttpResult
from tests.simulated_upstreams import (
    GOAL_S,
    LOCAL,
    REMOTE,
    REMOTE_ROUND_TRIP_S,
    SimulatedNet,
    SimulatedUpstream,
    ended,
    gather_route,
    plain_route,
    success,
)
from tests.state_fixtures import node

SHARDS = tuple(ServiceName(f"shard-{number}") for number in range(10))
REMOTE_SHARDS = SHARDS[4:]
MIN_SHARE = 0.8


class NodeMode(Enum):
    """How the remote node responds to a request."""

    HEALTHY = "well"
    SILENT = "silent"
    """It receives the request and never replies."""
    UNREACHABLE = "gone"
    """Its kernel does not acknowledge the request either."""
    REFUSING = "refusing"
    RESETTING = "resetting"


class FakeNodes:
    """Implements `PartsClient` with one remote node, at a one-way latency of 8 ms."""

    def __init__(self, timers: TimerQueue, collect: Callable[..., None]) -> None:
        self.timers = timers
        self.collect = collect
        self.mode = NodeMode.HEALTHY
        self.connected = True
        self.requests: list[PartsRequest] = []

    def ensure_connected(self, node: NodeRecord) -> bool:
        return self.connected

    def request_parts(
        self,
        node: NodeRecord,
        request: PartsRequest,
        timeouts: PartsTimeouts,
        done: Callable[[PartsResult], None],
    ) -> None:
        self.requests.append(request)
        outcomes: list[PartsResult] = []

        def finish(result: PartsResult) -> None:
            if not outcomes:
                outcomes.append(result)
                done(result)

        lost = Err(PartsFailure(True, "no reply in time"))
        self.timers.call_later(timeouts.reply, lambda: finish(lost))
        if self.mode is NodeMode.UNREACHABLE and timeouts.confirmation is not None:
            self.timers.call_later(timeouts.confirmation, lambda: finish(lost))
        if self.mode is NodeMode.REFUSING:
            refused = Err(PartsFailure(False, "connection refused"))
            self.timers.call_later(0.001, lambda: finish(refused))
        elif self.mode is NodeMode.RESETTING:
            self.timers.call_later(REMOTE_ROUND_TRIP_S / 2, lambda: finish(lost))
        elif self.mode is NodeMode.HEALTHY:
            self.timers.call_later(REMOTE_ROUND_TRIP_S / 2, lambda: self.collect(request, finish))


class RemotePartsTest(TestCase):
    """A local node that serves callers and a remote node, on one clock."""

    def setUp(self) -> None:
        self.slow: dict[str, float] = {}
        self.refusing: set[str] = set()
        self.timers = TimerQueue(PausedClock())
        self.log = MemoryLog()
        self.nodes = FakeNodes(self.timers, self.collect)
        record = NodeRecord(
            NodeId("far-node"), Incarnation(1), REMOTE, RegionName("far"), "127.0.0.1", 1, 2, 3
        )
        aggregators = Aggregators(LOCAL, lambda: [record], self.nodes, self.timers.clock, self.log)
        self.net = SimulatedNet(self.behave, timers=self.timers, aggregators=aggregators)
        self.remote_net = SimulatedNet(self.behave, home=REMOTE, timers=self.timers)
        for net in (self.net, self.remote_net):
            for shard in SHARDS:
                for copy in ("a", "b"):
                    domain = REMOTE if shard in REMOTE_SHARDS else LOCAL
                    net.add(f"{shard}-{copy}", shard, FailureDomainName(domain))
        self.net.apply(gather_route(SHARDS, MIN_SHARE))

    def behave(
        self, pool: SimulatedUpstream, exchange: Exchange, _now: float
    ) -> tuple[float, ExchangeReply]:
        if pool.record.service in self.refusing:
            return 0.001, ended(ExchangeEnd.NOT_RUN)
        seal = f"{pool.record.service}/{exchange.req.id}".encode()
        return self.slow.get(str(pool.record.service), 0.005), success(seal.ljust(16)[:16], seal)

    def collect(self, request: PartsRequest, finish: Callable[[PartsResult], None]) -> None:
        """Serves a request at the remote node and delivers the reply to the local one."""

        def on_done(reply: PartsReply) -> None:
            self.timers.call_later(REMOTE_ROUND_TRIP_S / 2, lambda: finish(Ok(reply)))

        PartCollector(self.remote_net.ctx, request, on_done).start()

    def ask(self, seconds: float = 0.2) -> tuple[float, Answer]:
        """Sends one request; returns the time to its answer, and the answer."""
        answers = self.net.ask()
        self.net.run(seconds)
        self.assertEqual(len(answers), 1)
        return answers[0]

    def direct_sends(self) -> int:
        """Returns the number of sends of the local node to remote upstreams."""
        pools = self.net.pools.values()
        return sum(len(pool.arrivals) for pool in pools if pool.record.failure_domain == REMOTE)

    def test_remote_shards_are_requested_with_one_request(self) -> None:
        time, answer = self.ask()
        headers = dict(answer.headers)
        self.assertEqual(headers[b"missing"], b"0")
        self.assertEqual(len(set(headers[b"seals"].split(b","))), len(SHARDS))
        self.assertEqual([task.service for task in self.nodes.requests[0].tasks], [*REMOTE_SHARDS])
        self.assertEqual((len(self.nodes.requests), self.direct_sends()), (1, 0))
        self.assertLess(time, REMOTE_ROUND_TRIP_S + 0.01)

    # Guards against CONFIG of review case 5 by way of parts: the other node has other versions.
    def test_configuration_of_the_other_node_does_not_change_the_parts(self) -> None:
        _, before = self.ask()
        self.net._next = 0
        for version, route in ((1, plain_route("shard-1")), (9, gather_route(SHARDS[:2], 0.5))):
            self.remote_net.apply(route, version=version)
            _, answer = self.ask()
            self.net._next = 0
            self.assertEqual(answer, before, f"other node with version {version}")
        self.assertEqual(self.direct_sends(), 0)

    def test_merged_body_is_the_same_as_from_direct_calls(self) -> None:
        _, merged = self.ask()
        self.nodes.connected = False
        self.net._next = 0
        _, direct = self.ask()
        self.assertEqual(merged.body, direct.body)
        self.assertGreater(self.direct_sends(), 0)

    def test_slow_remote_shard_is_missing_and_then_requested_directly(self) -> None:
        self.slow["shard-7"] = 0.5
        time, answer = self.ask()
        self.assertEqual(dict(answer.headers)[b"missing"], b"1")
        self.assertLess(time, GOAL_S)
        line = next(fields for event, fields in self.net.log.entries if event is ANSWER_PARTIAL)
        self.assertEqual(line["lacking"], {"shard-7": "lacking at node far-node"})
        self.ask()
        self.assertNotIn("shard-7", [task.service for task in self.nodes.requests[1].tasks])
        self.assertGreater(self.direct_sends(), 0)

    def test_silent_node_delays_one_answer(self) -> None:
        self.nodes.mode = NodeMode.SILENT
        time, answer = self.ask(0.5)
        self.assertEqual(answer.status, 200)
        self.assertGreater(time, GOAL_S)
        for _ in range(5):
            time, answer = self.ask()
            self.assertLess(time, 0.05)
            self.assertEqual(dict(answer.headers)[b"missing"], b"0")
        self.assertEqual(len(self.nodes.requests), 1)

    def test_unreachable_node_does_not_delay_an_answer(self) -> None:
        self.ask()
        self.nodes.mode = NodeMode.UNREACHABLE
        time, answer = self.ask()
        self.assertLess(time, GOAL_S)
        self.assertEqual(dict(answer.headers)[b"missing"], b"0")

    def test_failed_node_is_used_again_after_a_pause(self) -> None:
        self.nodes.mode = NodeMode.SILENT
        self.ask(0.5)
        self.nodes.mode = NodeMode.HEALTHY
        self.net.run(INITIAL_PAUSE_S)
        self.ask()
        self.ask()
        self.assertEqual(len(self.nodes.requests), 3)

    def test_fallback_from_unreached_node_uses_no_quota(self) -> None:
        self.nodes.mode = NodeMode.REFUSING
        self.net.quota.slack_share = 0.0
        time, answer = self.ask()
        self.assertLess(time, 0.05)
        self.assertEqual(dict(answer.headers)[b"missing"], b"0")

    def test_lost_reply_is_repeated_within_the_quota(self) -> None:
        self.nodes.mode = NodeMode.RESETTING
        time, answer = self.ask()
        self.assertLess(time, 0.06)
        self.assertEqual(dict(answer.headers)[b"missing"], b"0")
        self.assertEqual(self.net.ctx.tally.repeats["allowed"], len(REMOTE_SHARDS))

    def test_refusal_after_lost_reply_is_not_reported_as_not_run(self) -> None:
        self.nodes.mode = NodeMode.RESETTING
        self.net.quota.slack_share = 0.0
        _, answer = self.ask()
        self.assertEqual(answer.status, 502)

    def test_refusal_during_remote_request_is_not_reported_as_not_run(self) -> None:
        self.nodes.mode = NodeMode.SILENT
        # All local shards refuse, which leaves too few, so that only remote ones may have run it.
        self.net.apply(gather_route(SHARDS, 0.7), version=2)
        self.refusing = set(SHARDS[:4])
        time, answer = self.ask()
        self.assertEqual(answer.status, 502)
        self.assertLess(time, GOAL_S)

    def test_both_nodes_use_the_same_upstreams(self) -> None:
        for shard in REMOTE_SHARDS:
            self.net.add(f"{shard}-c", shard, REMOTE)
            self.remote_net.add(f"{shard}-c", shard, REMOTE)
        self.nodes.mode = NodeMode.RESETTING
        self.ask()
        allowed = {name for task in self.nodes.requests[0].tasks for name in task.upstreams}
        self.assertEqual(len(allowed), 2 * len(REMOTE_SHARDS))
        used = {
            name
            for name, pool in self.net.pools.items()
            if pool.arrivals and pool.record.failure_domain == REMOTE
        }
        self.assertLessEqual(used, allowed)

    def test_collector_stops_when_the_requesting_node_disconnects(self) -> None:
        self.slow["shard-7"] = 0.5
        self.net.ask()
        self.net.run(0.01)
        replies: list[PartsReply] = []
        collector = PartCollector(self.remote_net.ctx, self.nodes.requests[0], replies.append)
        collector.start()
        collector.stop()
        self.net.run(0.6)
        self.assertEqual(replies, [])
        self.assertFalse(any(pool.running for pool in self.remote_net.pools.values()))


positions = st.dictionaries(
    st.integers(0, 20),
    st.sets(st.sampled_from(["r1", "r2", "r3"]).map(FailureDomainName)),
    max_size=20,
)


class CoverFailureDomainsTest(TestCase):
    """Assigns each shard that can be covered to exactly one of few failure domains."""

    @given(positions)
    def test_covers_each_shard_once(self, domains_of: dict[int, set[FailureDomainName]]) -> None:
        groups = cover_failure_domains(domains_of)
        covered = [position for group in groups.values() for position in group]
        self.assertEqual(len(covered), len(set(covered)))
        self.assertEqual(set(covered), {n for n, domains in domains_of.items() if domains})
        for domain, group in groups.items():
            self.assertTrue(all(domain in domains_of[position] for position in group))

    def test_prefers_one_failure_domain_for_all(self) -> None:
        first, second, third = (FailureDomainName(name) for name in ("r1", "r2", "r3"))
        groups = cover_failure_domains({0: [first, second], 1: [second, third], 2: [second]})
        self.assertEqual(groups, {second: [0, 1, 2]})


class HttpPartsClientTest(TestCase):
    """Replies of nodes are matched to their requests by id."""

    def ask(self, reply: PartsReply) -> PartsResult:
        results: list[PartsResult] = []
        body = msgpack.encode(reply)

        def request(_call: HttpCall, done: Callable[[HttpResult], None]) -> None:
            done(Ok(HttpReply(200, [], body)))

        client = HttpPartsClient(SimpleNamespace(request=request))  # type: ignore[arg-type]
        asked = PartsRequest(
            RequestId("r1"), b"GET", b"/", "h", (), b"", 1.0, 0.1, "g", 0.1, 2, 5, ()
        )
        record = node("n")
        client.request_parts(record, asked, PartsTimeouts(1.0, None), results.append)
        return results[0]

    def test_reply_to_another_request_is_a_failure(self) -> None:
        self.assertTrue(self.ask(PartsReply({}, b"", 0.0, (), RequestId("r1"))).is_ok())
        self.assertTrue(self.ask(PartsReply({}, b"", 0.0)).is_ok())
        failure = self.ask(PartsReply({}, b"", 0.0, (), RequestId("r0"))).unwrap_err()
        self.assertTrue(failure.sent)
        self.assertIn("r0", failure.detail)
