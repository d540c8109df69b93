"""Tests of upstreams in need, which state the request rate that they accept, without a network.

The load: an upstream that gets some thirty requests a second from six nodes states a limit of ten.
No node knows how much the others send, so each may send its part only. What an upstream cannot
take goes to another one of its service; if there is none, callers are refused at once.
"""

from __future__ import annotations

from functools import partial
from unittest import TestCase

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.log_events import LIMIT_UNREADABLE, UPSTREAM_LIMITED
from sequoiapulley.forward.messages import ExchangeReply, StatedLimit
from sequoiapulley.forward.refusal import BUSY_RETRY_AFTER_S
from sequoiapulley.forward.request_limit import RequestLimit
from sequoiapulley.forward.roles import limit_share
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, UpstreamName
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.simulated_upstreams import SimulatedNet, SimulatedUpstream, plain_route, success
from tests.state_fixtures import node

OK = 200
REFUSED = 503
LIMIT_PER_S = 10.0
WINDOW_S = 4.0
MAX_WAIT_S = 1.0
"""Longest wait that a caller should be told: other nodes may have room before."""
LEARNING_S = 4.0
"""Time after the first statement of a limit from which the bound holds."""
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Required bound on the requests that reach an upstream within a window."""
DOMAINS = ("p", "q", "r")


class LimitedUpstreams:
    """Two entry nodes of each of three failure domains; a service has upstreams `a` and `b`."""

    def __init__(self, limited: frozenset[str], per_second: float = LIMIT_PER_S) -> None:
        self.timers = TimerQueue(PausedClock())
        self._started_at = self.timers.clock.now()
        self.limited = limited
        self.stated = StatedLimit(per_second, str(per_second))
        self.nets = [
            SimulatedNet(self.behave, home=FailureDomainName(domain), timers=self.timers)
            for domain in DOMAINS
            for _ in range(2)
        ]
        for net in self.nets:
            net.add("a", "s", FailureDomainName("p"))
            net.add("b", "s", FailureDomainName("q"))
            net.apply(plain_route("s"))
        records = [node(f"{domain}{number}", domain) for domain in DOMAINS for number in range(2)]
        for net, record in zip(self.nets, records, strict=True):
            net.directory.limit_share = partial(self.share, record, records)

    @staticmethod
    def share(record: NodeRecord, records: list[NodeRecord], domain: FailureDomainName) -> float:
        """Returns a node's share of the limits of a failure domain's upstreams."""
        return limit_share(record, records, domain, len(DOMAINS), len(records))

    def behave(
        self, pool: SimulatedUpstream, _exchange: Exchange, _now: float
    ) -> tuple[float, ExchangeReply]:
        reply = success()
        if str(pool.record.name) in self.limited:
            reply = ExchangeReply(reply.end, reply.reply, reply.seal, limit=self.stated)
        return 0.005, reply

    def load(self, seconds: float) -> list[int]:
        """Sends ten requests a second to each node; returns the statuses of the answers."""
        answers = []
        for _ in range(round(seconds * 10)):
            for net in self.nets:
                answers.append(net.ask("/p/1"))
                net.run(0.1 / len(self.nets))
        self.nets[0].run(1.0)
        return [found[0][1].status for found in answers]

    def arrivals(self, name: str) -> list[float]:
        """Returns the seconds at which requests reached an upstream, from all nodes."""
        pools = [net.pools[UpstreamName(name)] for net in self.nets]
        return sorted(at - self._started_at for pool in pools for at, _ in pool.arrivals)

    def most_in_window(self, name: str, start: float) -> int:
        """Returns the maximum number of requests that reached an upstream within a window."""
        times = [at for at in self.arrivals(name) if at >= start]
        return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


class RequestLimitTest(TestCase):
    """Upstreams in need get no more than they accept from all nodes together."""

    # Guards against LIMIT of issue 25: an upstream that had stated a limit got far more requests,
    # as nodes did not read the statement.
    def test_all_nodes_together_keep_the_limit_of_an_upstream(self) -> None:
        tier = LimitedUpstreams(frozenset({"a"}))
        statuses = tier.load(16.0)
        self.assertLessEqual(tier.most_in_window("a", LEARNING_S), MAX_IN_WINDOW)
        self.assertEqual(set(statuses), {200})

    def test_upstream_is_used_up_to_its_limit(self) -> None:
        tier = LimitedUpstreams(frozenset({"a"}))
        tier.load(16.0)
        since = [at for at in tier.arrivals("a") if LEARNING_S <= at < 16.0]
        self.assertGreater(len(since), 0.7 * LIMIT_PER_S * (16.0 - LEARNING_S))

    def test_limit_ends_with_its_statement(self) -> None:
        tier = LimitedUpstreams(frozenset({"a"}))
        tier.load(8.0)
        tier.limited = frozenset()
        tier.load(4.0)
        before = len(tier.arrivals("a"))
        tier.load(4.0)
        since = tier.arrivals("a")[before:]
        self.assertGreater(len(since), 1.5 * LIMIT_PER_S * 4.0)

    def test_upstream_that_accepts_next_to_nothing_is_asked_now_and_then(self) -> None:
        tier = LimitedUpstreams(frozenset({"a"}), per_second=0.0)
        statuses = tier.load(40.0)
        self.assertLessEqual(tier.most_in_window("a", LEARNING_S), 5)
        self.assertGreater(len([at for at in tier.arrivals("a") if at > LEARNING_S]), 0)
        self.assertEqual(set(statuses), {200})

    def test_callers_are_refused_at_once_if_no_upstream_may_be_used(self) -> None:
        tier = LimitedUpstreams(frozenset({"a", "b"}))
        tier.load(6.0)
        for net in tier.nets:
            answers = [net.ask("/p/1") for _ in range(20)]
            net.run(0.1)
            refused = [found[0] for found in answers if found[0][1].status == REFUSED]
            self.assertGreater(len(refused), 10)
            self.assertEqual({waited for waited, _ in refused}, {0.0})
            times = [float(dict(answer.headers)[b"Retry-After"]) for _, answer in refused]
            self.assertGreaterEqual(min(times), BUSY_RETRY_AFTER_S)
            self.assertLessEqual(max(times), MAX_WAIT_S)
        for name in ("a", "b"):
            self.assertLessEqual(tier.most_in_window(name, LEARNING_S), MAX_IN_WINDOW)

    def test_hedged_requests_spare_limited_upstreams(self) -> None:
        net = SimulatedNet(self.slow)
        net.add("a", "s")
        net.add("b", "s", FailureDomainName("far"))
        net.apply(plain_route("s"))
        for name, limited in (("b", False), ("b", True)):
            with self.subTest(limited=limited):
                upstream = net.directory.find(UpstreamName(name))
                assert upstream is not None
                net.directory.set_limit(upstream, 100.0 if limited else None)
                net.run(5.0)
                before = len(net.pools[UpstreamName(name)].arrivals)
                net.ask("/p/1")
                net.run(1.0)
                after = len(net.pools[UpstreamName(name)].arrivals)
                self.assertEqual(after - before, 0 if limited else 1)

    @staticmethod
    def slow(
        pool: SimulatedUpstream, _exchange: Exchange, _now: float
    ) -> tuple[float, ExchangeReply]:
        return (0.4 if pool.record.name == "a" else 0.005), success()

    def test_value_that_is_no_rate_is_ignored_and_logged(self) -> None:
        for stated in (
            StatedLimit(None, "few"),
            StatedLimit(-1.0, "-1"),
            StatedLimit(float("nan"), "nan"),
            StatedLimit(float("inf"), "inf"),
        ):
            with self.subTest(stated=stated):
                tier = LimitedUpstreams(frozenset({"a"}))
                tier.stated = stated
                self.assertEqual(set(tier.load(1.0)), {OK})
                events = [event for event, _ in tier.nets[0].log.entries]
                self.assertIn(LIMIT_UNREADABLE, events)
                self.assertNotIn(UPSTREAM_LIMITED, events)


class RequestLimitWaitTest(TestCase):
    """The wait that callers are told."""

    def test_wait_follows_the_share_and_is_bounded(self) -> None:
        for share, expected in ((0.4, 0.25), (0.1, 1.0), (0.0008, 1.0)):
            limit = RequestLimit(10.0, share, 0.0)
            self.assertAlmostEqual(limit.wait(0.0), expected)
        self.assertEqual(RequestLimit(10.0, 0.4, 0.0).wait(0.3), 0.0)


class LimitShareTest(TestCase):
    """The shares of all entry nodes together are the whole limit."""

    def test_shares_add_up(self) -> None:
        for domains in (1, 2, 3, 7):
            names = [f"d{number}" for number in range(domains)]
            records = [node(f"{domain}-{n}", domain) for domain in names for n in range(2)]
            shares = [
                limit_share(record, records, FailureDomainName("d0"), domains, len(records))
                for record in records
            ]
            with self.subTest(domains=domains):
                self.assertLessEqual(sum(shares), 1.0 + 1e-9)
                self.assertGreaterEqual(sum(shares), 0.8 - 1e-9)

    def test_failure_domain_without_nodes_leaves_its_limit_to_the_others(self) -> None:
        records = [node(f"{domain}{number}", domain) for domain in "pq" for number in range(2)]
        shares = [limit_share(record, records, FailureDomainName("r"), 3, 4) for record in records]
        self.assertAlmostEqual(sum(shares), 0.9)

    def test_nodes_that_callers_are_not_sent_to_share_a_tenth(self) -> None:
        records = [node(f"{domain}-{n:02}", domain) for domain in "pqr" for n in range(40)]
        shares = [
            limit_share(record, records, FailureDomainName("p"), 3, len(records))
            for record in records
        ]
        self.assertAlmostEqual(sum(shares), 1.0)
        self.assertAlmostEqual(sum(sorted(shares)[:114]), 0.1)
