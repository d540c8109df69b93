"""Tests that requests leave no reference cycles, without a network.

The load: searches over twenty shards, some of them hedged. Their objects refer to each other; those
that stayed in cycles were collected fifty thousand at a time, which stopped a busy node for a tenth
of a second.
"""

from __future__ import annotations

from gc import collect, disable, enable
from random import Random
from unittest import TestCase

from sequoiapulley.forward.messages import ExchangeEnd
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.crashing_fleet import CrashingFleet
from tests.simulated_upstreams import (
    SimulatedNet,
    add_search_and_portal,
    ended,
    gather_route,
    success,
)

SHARDS = 20
REQUESTS = 20


class ReferenceCyclesTest(TestCase):
    """Objects of a request are freed when it ends."""

    def setUp(self) -> None:
        disable()
        self.addCleanup(enable)

    def test_searches_leave_no_cycles(self) -> None:
        for merges_parts in (False, True):
            fleet = CrashingFleet(("p", "p", "q", "q", "r", "r"), frozenset(), merges_parts)
            add_search_and_portal(fleet, SHARDS)
            fleet.ask(0, "/q/0")
            fleet.run(2.0)
            collect()
            for number in range(REQUESTS):
                fleet.ask(number % 6, f"/q/{number}")
                fleet.run(0.01)
            fleet.run(2.0)
            self.assertEqual(collect(), 0)

    def test_searches_with_failed_and_late_shards_leave_no_cycles(self) -> None:
        random = Random(5)
        outcomes = (
            (0.005, success()),
            (0.005, success()),
            (0.3, success()),
            (0.005, ended(ExchangeEnd.LOST)),
            (0.001, ended(ExchangeEnd.NOT_SENT)),
            None,
        )
        net = SimulatedNet(lambda *_args: random.choice(outcomes))
        net.apply(gather_route(net.add_shards(SHARDS), 0.5))
        net.ask()
        net.run(5.0)
        collect()
        for _ in range(REQUESTS):
            net.ask()
            net.run(0.01)
        net.run(5.0)
        self.assertEqual(collect(), 0)

    def test_timer_frees_its_callback(self) -> None:
        clock = PausedClock()
        timers = TimerQueue(clock)
        cancelled = timers.call_later(1.0, lambda: None)
        cancelled.cancel()
        run = timers.call_later(1.0, lambda: None)
        clock.advance(1.0)
        timers.run_due()
        self.assertIsNone(cancelled.callback)
        self.assertIsNone(run.callback)
