"""Tests of upstreams in need, which state the request rate that they accept, without a network.

The load: an upstream that gets some thirty requests a second from six nodes states a limit of ten.
No node knows how much the others send, so each may send its part only. What an upstream cannot
take goes to another one of its service; if there is none, callers are refused at once.
"""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.messages import ExchangeReply, StatedLimit
from sequoiapulley.ids import FailureDomainName, UpstreamName
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.simulated_upstreams import SimulatedNet, SimulatedUpstream, plain_route, success

LIMIT_PER_S = 10.0
WINDOW_S = 4.0
LEARNING_S = 4.0
"""Time after the first statement of a limit from which the bound holds."""
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Required bound on the requests that reach an upstream within a window."""
DOMAINS = ("p", "q", "r")


class LimitedUpstreams:
    """Two entry nodes of each of three failure domains; a service has upstreams `a` and `b`."""

    def __init__(self, limited: frozenset[str], per_second: float = LIMIT_PER_S) -> None:
        self.timers = TimerQueue(PausedClock())
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
        """Returns the times at which requests reached an upstream, from all nodes."""
        pools = [net.pools[UpstreamName(name)] for net in self.nets]
        return sorted(at for pool in pools for at, _ in pool.arrivals)

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
