"""Tests of unresponsive (silent) upstreams, which accept requests and never reply."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.messages import ExchangeReply
from sequoiapulley.forward.upstream import MAX_SILENCE_S, Upstream
from tests.simulated_upstreams import SimulatedNet, SimulatedUpstream, plain_route, success

PROCESSING_S = 0.06
REQUESTS_PER_S = 50


class SilentUpstreamTest(TestCase):
    """One of three upstreams becomes silent; requests are not idempotent, so none is retried."""

    def setUp(self) -> None:
        self.silent = False

        def behave(
            pool: SimulatedUpstream, _exchange: Exchange, _now: float
        ) -> tuple[float, ExchangeReply] | None:
            if pool.record.name == "a" and self.silent:
                return None
            return PROCESSING_S * (1 + len(pool.running) // 2), success()

        self.net = SimulatedNet(behave)
        for name in ("a", "b", "c"):
            self.net.add(name, "s")
        self.net.apply(plain_route("s", idempotent=False, goal=0.3))
        self.run_load(2.0)

    def run_load(self, seconds: float) -> int:
        """Sends requests; returns how many reached the upstream that becomes silent."""
        pool = self.net.pools[next(name for name in self.net.pools if name == "a")]
        before = len(pool.arrivals)
        for _ in range(int(seconds * REQUESTS_PER_S)):
            self.net.ask("/p/1")
            self.net.run(1 / REQUESTS_PER_S)
        return len(pool.arrivals) - before

    def test_silent_upstream_receives_few_requests(self) -> None:
        self.silent = True
        self.assertLessEqual(self.run_load(6.0), 15)

    def test_recovered_upstream_is_used_again(self) -> None:
        self.silent = True
        self.run_load(3.0)
        self.silent = False
        self.run_load(6.0)
        self.assertGreater(self.run_load(2.0), 5)

    def test_idle_time_does_not_count_as_silence(self) -> None:
        upstream = Upstream(next(iter(self.net.pools.values())).record, _IdlePool(self.net), 0.0)
        upstream.record_send(0.0)
        upstream.record_silence(0.1)
        upstream.record_send(30.0)
        upstream.record_silence(30.1)
        self.assertLess(upstream.silence(30.1), MAX_SILENCE_S / 2)
        upstream.record_received()
        self.assertEqual(upstream.silence(30.1), 0.0)


class _IdlePool(SimulatedUpstream):
    """A connection pool without requests in flight."""

    def __init__(self, net: SimulatedNet) -> None:
        super().__init__(net, next(iter(net.pools.values())).record)
