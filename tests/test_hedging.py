"""Tests of hedges, retries, their one budget, and silent connections."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from bench.dispatch_policies import FAULTS, measure
from bench.paused_upstreams import NullCodec
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.messages import LackReason
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.latency_window import LatencyWindow
from sequoiapulley.upstream.messages import (
    CancelExchange,
    LossKind,
    ReplyKind,
    SendExchange,
    UpstreamReply,
)
from sequoiapulley.upstream.retry_budget import (
    EARNED_PER_TRY,
    FAULT_EARNED_PER_TRY,
    SMALLEST_CAP,
    RetryBudget,
)
from sequoiapulley.upstream.upstream_health import HealthState
from tests.upstream_fakes import Probe, configuration, ok, run, search


def warm(probe: Probe, count: int = 40) -> None:
    """Gives instance 0 a history of 4 ms."""
    for sub_id in range(10_000, 10_000 + count):
        probe.submit(search(sub_id, probe.now + 1.0))
        probe.now += 0.004
        probe.reply(probe.exchanges_of(sub_id)[0], ok())


class HedgingTest(TestCase):
    """Late searches get a second try elsewhere; the loser is cancelled."""

    def test_hedge_goes_to_the_other_replica_and_the_loser_is_cancelled(self) -> None:
        probe = Probe()
        warm(probe)
        probe.submit(search(1, probe.now + 0.06))
        probe.advance(0.006)
        first, second = probe.exchanges_of(1)
        self.assertNotEqual(probe.open[first].upstream, probe.open[second].upstream)
        orders = probe.reply(second, ok())
        cancels = [order for order in orders if isinstance(order, CancelExchange)]
        self.assertEqual([order.exchange_id for order in cancels], [first])

    def test_hedge_waits_for_room_and_comes_before_the_queue(self) -> None:
        probe = Probe(slots=1)
        warm(probe)
        probe.submit(search(1, probe.now + 0.06))
        probe.submit(search(2, probe.now + 0.06))
        probe.advance(0.006)
        probe.submit(search(3, probe.now + 0.06))
        [done] = probe.exchanges_of(2)
        orders = probe.reply(done, ok())
        sent = [order for order in orders if isinstance(order, SendExchange)]
        self.assertEqual([probe.sub_of[order.exchange_id] for order in sent], [1])

    def test_runs_and_struck_searches_are_not_hedged(self) -> None:
        probe = Probe()
        warm(probe)
        probe.submit(run(1, probe.now + 0.06))
        probe.take(
            probe.dispatcher.on_strike(
                search(2, 1.0, fingerprint="struck").fingerprint, probe.sent[1][0].upstream, 0.0
            )
        )
        probe.submit(search(2, probe.now + 0.06, fingerprint="struck"))
        probe.advance(0.05)
        self.assertEqual(len(probe.sent[1]), 1)
        self.assertEqual(len(probe.sent.get(2, [])), 1)

    def test_retries_stop_when_the_budget_is_spent(self) -> None:
        probe = Probe()
        for sub_id in range(200):
            probe.submit(search(sub_id, probe.now + 1.0))
            while probe.open:
                probe.reply(next(iter(probe.open)), UpstreamReply(ReplyKind.ERROR))
        extra = sum(probe.sends.values()) - 200
        self.assertLessEqual(extra, 2 * SMALLEST_CAP + 0.08 * 200)
        self.assertEqual({probe.searches[199].reason}, {LackReason.UPSTREAM_ERROR})

    @given(st.lists(st.sampled_from(["try", "try", "try", "fault", "take"]), max_size=300))
    def test_budget_never_pays_more_than_it_earned(self, steps: list[str]) -> None:
        budget = RetryBudget()
        tries = faults = taken = 0
        for number, step in enumerate(steps):
            if step == "try":
                budget.on_first_try(number / 100)
                tries += 1
            elif step == "fault":
                budget.on_fault()
                faults += 1
            elif budget.take():
                taken += 1
            earned = SMALLEST_CAP + EARNED_PER_TRY * tries
            released = min(faults, SMALLEST_CAP + FAULT_EARNED_PER_TRY * tries)
            self.assertLessEqual(taken, earned + released + 1e-6)

    def test_extra_load_stays_in_its_bounds_under_every_single_fault(self) -> None:
        for name, fault in FAULTS.items():
            with self.subTest(name):
                found = measure(Dispatcher(NullCodec(), MemoryLog()), fault, seconds=4.0)
                self.assertLessEqual(found["extra_load"], 0.05 if name == "no fault" else 0.10)
                self.assertGreaterEqual(found["coverage"], 0.999)


class SilentConnectionTest(TestCase):
    """A reply later than the history allows leads to a fresh connection."""

    def test_last_replica_is_asked_again_on_a_fresh_connection(self) -> None:
        probe = Probe(configuration(replicas=1))
        warm(probe)
        probe.submit(search(1, probe.now + 0.06))
        probe.advance(0.04)
        [exchange_id] = probe.exchanges_of(1)
        self.assertTrue(probe.open[exchange_id].fresh_connection)
        self.assertEqual(len(probe.sent[1]), 2)
        probe.reply(exchange_id, ok())
        self.assertIsNone(probe.searches[1].reason)

    def test_silence_does_not_become_usual(self) -> None:
        window = LatencyWindow()
        for number in range(200):
            window.record(0.004 + 0.00001 * (number % 100), 0.0)
        before = window.figures
        assert before is not None
        for _ in range(400):
            window.record(0.005, 0.0)
            window.record_unanswered(0.5, 0.0)
        after = window.figures
        assert after is not None
        self.assertLessEqual(after.p97, before.p97)
        self.assertLessEqual(after.p99, before.p99)

    def test_silent_connections_do_not_make_the_upstream_look_slow(self) -> None:
        probe = Probe(configuration(replicas=1))
        warm(probe)
        for sub_id in range(1, 20):
            probe.submit(search(sub_id, probe.now + 0.5))
            while len(probe.sent[sub_id]) < 2:
                probe.advance(0.001)
            probe.advance(0.004)
            probe.reply(probe.exchanges_of(sub_id)[0], ok())
        [upstream] = probe.dispatcher.upstream_states()
        self.assertEqual(upstream.limit.current, 2)

    def test_runs_are_never_sent_again(self) -> None:
        probe = Probe(configuration(replicas=1))
        warm(probe)
        probe.submit(run(1, probe.now + 0.06))
        probe.advance(0.059)
        self.assertEqual(len(probe.sent[1]), 1)

    def test_upstream_keeps_its_standing_when_fresh_connections_work(self) -> None:
        probe = Probe(slots=1)
        warm(probe)
        fresh = 0
        for sub_id in range(1, 101):
            probe.submit(search(sub_id, probe.now + 0.06))
            probe.submit(search(1000 + sub_id, probe.now + 0.06))
            for _ in range(15):
                probe.advance(0.004)
                for exchange_id, order in list(probe.open.items()):
                    silent = order.upstream == "ledger-0-0" and not order.fresh_connection
                    if silent or exchange_id not in probe.open:
                        continue
                    fresh += order.fresh_connection
                    probe.reply(exchange_id, ok())
            self.assertIsNone(probe.searches[sub_id].reason)
        states = probe.dispatcher.upstream_states()
        self.assertTrue(all(item.health.state is HealthState.IN_SERVICE for item in states))
        self.assertGreater(fresh, 0)

    def test_crawling_upstream_is_ejected_as_fresh_connections_do_not_help(self) -> None:
        probe = Probe(slots=1)
        warm(probe)
        for sub_id in range(1, 200):
            probe.submit(search(sub_id, probe.now + 0.06))
            probe.submit(search(1000 + sub_id, probe.now + 0.06))
            for _ in range(15):
                probe.advance(0.004)
                for exchange_id, order in list(probe.open.items()):
                    if order.upstream == "ledger-0-1" and exchange_id in probe.open:
                        probe.reply(exchange_id, ok())
            if probe.dispatcher.upstream_states()[0].health.state is HealthState.EJECTED:
                return
        self.fail("the crawling upstream stayed in service")

    def test_connection_discarded_as_silent_does_not_count_against_anybody(self) -> None:
        probe = Probe()
        probe.submit(search(1, 1.0))
        probe.lose(probe.exchanges_of(1)[0], LossKind.DISCARDED)
        self.assertEqual(probe.strikes, [])
        self.assertEqual(
            [state.health.failures for state in probe.dispatcher.upstream_states()], [0, 0]
        )
        probe.reply(probe.exchanges_of(1)[0], ok())
        self.assertIsNone(probe.searches[1].reason)
