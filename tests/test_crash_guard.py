"""Tests of the table of requests that crash upstreams, and of what nodes tell each other."""

from __future__ import annotations

from unittest import TestCase

from msgspec.msgpack import encode
from msgspec.structs import replace

from sequoiapulley.daemon.heartbeat_port import MAX_DATAGRAM_BYTES
from sequoiapulley.forward.crash_guard import (
    FIRST_REFUSAL_S,
    MAX_REFUSALS,
    SUSPECT_S,
    CrashGuard,
    StrikeNews,
)
from sequoiapulley.forward.messages import CallerRequest, ExchangeEnd
from sequoiapulley.forward.peer_table import LeavingUpstream
from sequoiapulley.forward.route_table import MS_PER_S, Route
from sequoiapulley.forward.state import RequestRefusal
from sequoiapulley.forward.upstream_directory import MAX_NEWS as MAX_LEAVING
from sequoiapulley.ids import Fingerprint, NodeId, RequestId, ServiceName, UpstreamName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.quarantine import REFUSED_TTL_S, Strike
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.simulated_upstreams import SimulatedNet, ended, gather_route, plain_route, success
from tests.state_fixtures import heartbeat, node

NODE = NodeId("n2")
SERVICE = ServiceName("s")
STRIKES_FOR_GOOD = 3


def request(target: str = "/p/1") -> CallerRequest:
    """Returns a request."""
    return CallerRequest(RequestId("r"), b"GET", target.encode(), "h", (), b"", 1.0, 0.0)


def refusal(fingerprint: Fingerprint, refused_for: float = 500.0) -> StrikeNews:
    """Returns the news that a request is refused."""
    return StrikeNews(Strike(fingerprint, UpstreamName("u"), STRIKES_FOR_GOOD), refused_for, 0.0)


class CrashGuardTest(TestCase):
    """One node's table, with news from others."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.guard = CrashGuard(TimerQueue(self.clock), MemoryLog())
        self.told = 0

        def count() -> None:
            self.told += 1

        self.guard.on_news = count

    def hear(self, *news: StrikeNews) -> None:
        self.guard.hear(news, lambda name: SERVICE, NODE)

    def test_refusal_that_another_node_told_ends_when_it_ends_there(self) -> None:
        self.hear(refusal(request().fingerprint, 20.0))
        self.assertEqual(self.guard.refused_for(request()), 20.0)
        self.clock.advance(20.0)
        self.assertEqual(self.guard.refused_for(request()), 0.0)

    # Guards against refusals and suspicions that two nodes renew for each other without end.
    def test_news_of_a_strike_does_not_renew_it(self) -> None:
        for strikes, refused_for in ((3, REFUSED_TTL_S), (2, FIRST_REFUSAL_S), (1, 0.0)):
            other = CrashGuard(TimerQueue(self.clock), MemoryLog())
            req = request(f"/p/{strikes}")
            strike = Strike(req.fingerprint, UpstreamName("u"), strikes)
            self.hear(StrikeNews(strike, refused_for, SUSPECT_S if strikes < 3 else 0.0))
            for _ in range(700):
                other.hear(self.guard.news(), lambda name: SERVICE, NODE)
                self.hear(*other.news())
                self.clock.advance(1.0)
                self.guard.sweep()
                other.sweep()
            for guard in (self.guard, other):
                self.assertEqual(guard.refused_for(req), 0.0)
                self.assertFalse(guard.must_probe(req, SERVICE))

    # Guards against a refusal that is taken for known, as the store told of its strike first.
    def test_refusal_counts_when_the_store_told_of_its_strike_first(self) -> None:
        fingerprint = request().fingerprint
        expires_ms = round((self.clock.wall() + SUSPECT_S) * MS_PER_S)
        self.guard.restore(RequestRefusal(fingerprint, 2, expires_ms))
        self.assertEqual(self.guard.refused_for(request()), 0.0)
        strike = Strike(fingerprint, UpstreamName("u"), 2)
        self.hear(StrikeNews(strike, FIRST_REFUSAL_S, SUSPECT_S))
        self.assertEqual(self.guard.refused_for(request()), FIRST_REFUSAL_S)
        self.clock.advance(FIRST_REFUSAL_S)
        self.hear(StrikeNews(strike, FIRST_REFUSAL_S, SUSPECT_S))
        self.assertEqual(self.guard.refused_for(request()), 0.0)

    def test_first_refusal_ends_in_a_suspicion(self) -> None:
        strike = Strike(request().fingerprint, UpstreamName("u"), 2)
        self.hear(StrikeNews(strike, FIRST_REFUSAL_S, SUSPECT_S))
        self.assertEqual(self.guard.refused_for(request()), FIRST_REFUSAL_S)
        self.clock.advance(FIRST_REFUSAL_S)
        self.guard.sweep()
        self.assertEqual(self.guard.refused_for(request()), 0.0)
        self.assertTrue(self.guard.must_probe(request(), SERVICE))

    # Guards against a node that starts later and does not learn what the others refuse.
    def test_heartbeats_carry_every_refusal_in_turn(self) -> None:
        prints = {request(f"/p/{number}").fingerprint for number in range(3 * MAX_REFUSALS + 1)}
        self.hear(*(refusal(fingerprint) for fingerprint in prints))
        self.clock.advance(60.0)
        carried = {news.strike.fingerprint for _ in range(5) for news in self.guard.news()}
        self.assertEqual(carried, prints)

    def test_news_is_passed_on_once(self) -> None:
        news = StrikeNews(Strike(request().fingerprint, UpstreamName("u"), 1), 0.0, 20.0)
        self.hear(news, news)
        self.hear(news)
        self.assertEqual(self.told, 1)
        self.clock.advance(20.0)
        self.guard.sweep()
        self.assertFalse(self.guard.must_probe(request(), SERVICE))

    def test_unusable_times_of_a_refusal_are_ignored(self) -> None:
        for seconds in (float("nan"), float("inf"), -1.0, 0.0, REFUSED_TTL_S + 1.0):
            self.hear(refusal(request().fingerprint, seconds))
        self.assertEqual(self.guard.refused_for(request()), 0.0)

    def test_heartbeat_with_all_news_is_one_datagram(self) -> None:
        for number in range(200):
            fingerprint = request(f"/p/{number}").fingerprint
            name = UpstreamName(f"i-{number:010}")
            self.hear(StrikeNews(Strike(fingerprint, name, 1 + number % 3), 2.999, 599.999))
        record = node("front-some-failure-domain-a-123", "some-failure-domain-a", "some-region")
        leaving = tuple(
            LeavingUpstream(UpstreamName(f"i-{number:010}"), 1_700_000_000_000)
            for number in range(MAX_LEAVING)
        )
        sent = replace(
            heartbeat(record), leaving=leaving, state_age=0.25, strikes=self.guard.news()
        )
        self.assertLess(len(encode(sent)), MAX_DATAGRAM_BYTES)

    # Guards against requests that all nodes refuse because one node has lost its links.
    def test_losses_of_a_node_that_is_cut_off_tell_nothing(self) -> None:
        net = SimulatedNet(lambda *_args: (0.001, ended(ExchangeEnd.LOST)))
        for number in range(3):
            net.add(f"u-{number}", "s")
        net.apply(plain_route("s"))
        net.is_down = lambda name: True
        net.ctx.crash_guard.is_cut_off = lambda: True
        net.ask("/p/1")
        net.run(1.0)
        self.assertEqual(net.ctx.crash_guard.news(), ())
        self.assertEqual(net.ctx.crash_guard.refused_for(net.request("/p/1")), 0.0)
        net.ctx.crash_guard.is_cut_off = lambda: False
        net.ask("/p/1")
        net.run(1.0)
        self.assertGreater(net.ctx.crash_guard.refused_for(net.request("/p/1")), 0.0)

    def test_ordinary_requests_pass_while_others_are_refused(self) -> None:
        self.hear(refusal(request("/p/1").fingerprint))
        self.assertEqual(self.guard.refused_for(request("/p/2")), 0.0)
        self.assertFalse(self.guard.must_probe(request("/p/2"), SERVICE))

    def test_fingerprint_depends_on_the_content_alone(self) -> None:
        one = CallerRequest(RequestId("a"), b"GET", b"/p", "h", ((b"x", b"1"),), b"", 1.0, 1.0)
        same = CallerRequest(RequestId("b"), b"GET", b"/p", "h", (), b"", 2.0, 2.0)
        other = CallerRequest(RequestId("a"), b"GET", b"/p", "h", (), b"body", 1.0, 1.0)
        self.assertEqual(one.fingerprint, same.fingerprint)
        self.assertNotEqual(one.fingerprint, other.fingerprint)


class HedgedShardsTest(TestCase):
    """Hedged requests to shards wait until one of the shards has replied."""

    def test_search_that_no_shard_replies_to_is_not_hedged(self) -> None:
        net = SimulatedNet(lambda pool, exchange, now: None)
        net.apply(_route(net, 4))
        net.ask()
        net.run(0.5)
        self.assertEqual(sum(len(pool.arrivals) for pool in net.pools.values()), 4)

    def test_search_is_hedged_as_soon_as_a_shard_has_replied(self) -> None:
        net = SimulatedNet(
            lambda pool, exchange, now: (
                (0.06, success(seal=pool.record.name.encode()))
                if pool.record.service == "shard-0"
                else (
                    None
                    if pool.record.name.endswith("-a")
                    else (0.005, success(seal=pool.record.name.encode()))
                )
            )
        )
        net.apply(_route(net, 4))
        answers = net.ask()
        net.run(0.09)
        self.assertEqual([answer.status for _, answer in answers], [200])


def _route(net: SimulatedNet, shards: int) -> Route:
    """Returns a search over shards with two upstreams each."""
    return gather_route(net.add_shards(shards))
