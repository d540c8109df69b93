"""Tests of hedged requests, retries, their common budget, and silent connections."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from bench.dispatch_policies import FAULTS, measure
from bench.paused_upstreams import NullCodec
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.messages import MissingReason
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
    MIN_CAP,
    RetryBudget,
)
from sequoiapulley.upstream.upstream_health import HealthState
from tests.upstream_fakes import DispatcherHarness, configuration, ok, run, search


def warm_up(harness: DispatcherHarness, count: int = 40) -> None:
    """Gives instance 0 a latency history of 4 ms."""
    for sub_id in range(10_000, 10_000 + count):
        harness.submit(search(sub_id, harness.now + 1.0))
        harness.now += 0.004
        harness.reply(harness.exchanges_of(sub_id)[0], ok())


class HedgingTest(TestCase):
    """A late search is also sent to another replica; the slower exchange is cancelled."""

    def test_hedge_goes_to_the_other_replica_and_the_loser_is_cancelled(self) -> None:
        harness = DispatcherHarness()
        warm_up(harness)
        harness.submit(search(1, harness.now + 0.06))
        harness.advance(0.006)
        first, second = harness.exchanges_of(1)
        self.assertNotEqual(harness.open[first].upstream, harness.open[second].upstream)
        actions = harness.reply(second, ok())
        cancels = [action for action in actions if isinstance(action, CancelExchange)]
        self.assertEqual([action.exchange_id for action in cancels], [first])

    def test_hedge_waits_for_capacity_and_precedes_the_queue(self) -> None:
        harness = DispatcherHarness(slots=1)
        warm_up(harness)
        harness.submit(search(1, harness.now + 0.06))
        harness.submit(search(2, harness.now + 0.06))
        harness.advance(0.006)
        harness.submit(search(3, harness.now + 0.06))
        [done] = harness.exchanges_of(2)
        actions = harness.reply(done, ok())
        sent = [action for action in actions if isinstance(action, SendExchange)]
        self.assertEqual([harness.sub_of[action.exchange_id] for action in sent], [1])

    def test_runs_and_suspected_searches_are_not_hedged(self) -> None:
        harness = DispatcherHarness()
        warm_up(harness)
        harness.submit(run(1, harness.now + 0.06))
        harness.apply(
            harness.dispatcher.on_strike(
                search(2, 1.0, fingerprint="struck").fingerprint, harness.sent[1][0].upstream, 0.0
            )
        )
        harness.submit(search(2, harness.now + 0.06, fingerprint="struck"))
        harness.advance(0.05)
        self.assertEqual(len(harness.sent[1]), 1)
        self.assertEqual(len(harness.sent.get(2, [])), 1)

    def test_retries_stop_when_the_budget_is_spent(self) -> None:
        harness = DispatcherHarness()
        for sub_id in range(200):
            harness.submit(search(sub_id, harness.now + 1.0))
            while harness.open:
                harness.reply(next(iter(harness.open)), UpstreamReply(ReplyKind.ERROR))
        extra = sum(harness.sends.values()) - 200
        self.assertLessEqual(extra, 2 * MIN_CAP + 0.08 * 200)
        self.assertEqual({harness.searches[199].reason}, {MissingReason.UPSTREAM_ERROR})

    @given(st.lists(st.sampled_from(["try", "try", "try", "fault", "take"]), max_size=300))
    def test_budget_never_grants_more_tokens_than_earned(self, steps: list[str]) -> None:
        budget = RetryBudget()
        tries = faults = taken = 0
        for number, step in enumerate(steps):
            if step == "try":
                budget.on_first_try(number / 100)
                tries += 1
            elif step == "fault":
                budget.on_fault()
                faults += 1
            elif budget.take_token():
                taken += 1
            earned = MIN_CAP + EARNED_PER_TRY * tries
            released = min(faults, MIN_CAP + FAULT_EARNED_PER_TRY * tries)
            self.assertLessEqual(taken, earned + released + 1e-6)

    def test_extra_load_stays_in_its_bounds_under_every_single_fault(self) -> None:
        for name, fault in FAULTS.items():
            with self.subTest(name):
                found = measure(Dispatcher(NullCodec(), MemoryLog()), fault, seconds=4.0)
                self.assertLessEqual(found["extra_load"], 0.05 if name == "no fault" else 0.10)
                self.assertGreaterEqual(found["coverage"], 0.999)


class SilentConnectionTest(TestCase):
    """A reply that takes longer than the latency history allows causes a new connection."""

    def test_only_replica_is_retried_on_a_fresh_connection(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1))
        warm_up(harness)
        harness.submit(search(1, harness.now + 0.06))
        harness.advance(0.04)
        [exchange_id] = harness.exchanges_of(1)
        self.assertTrue(harness.open[exchange_id].fresh_connection)
        self.assertEqual(len(harness.sent[1]), 2)
        harness.reply(exchange_id, ok())
        self.assertIsNone(harness.searches[1].reason)

    def test_unanswered_exchanges_do_not_raise_the_quantiles(self) -> None:
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
        harness = DispatcherHarness(configuration(replicas=1))
        warm_up(harness)
        for sub_id in range(1, 20):
            harness.submit(search(sub_id, harness.now + 0.5))
            while len(harness.sent[sub_id]) < 2:
                harness.advance(0.001)
            harness.advance(0.004)
            harness.reply(harness.exchanges_of(sub_id)[0], ok())
        [upstream] = harness.dispatcher.upstream_states()
        self.assertEqual(upstream.limit.current, 2)

    def test_runs_are_never_sent_again(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1))
        warm_up(harness)
        harness.submit(run(1, harness.now + 0.06))
        harness.advance(0.059)
        self.assertEqual(len(harness.sent[1]), 1)

    def test_upstream_stays_in_service_when_fresh_connections_work(self) -> None:
        harness = DispatcherHarness(slots=1)
        warm_up(harness)
        fresh = 0
        for sub_id in range(1, 101):
            harness.submit(search(sub_id, harness.now + 0.06))
            harness.submit(search(1000 + sub_id, harness.now + 0.06))
            for _ in range(15):
                harness.advance(0.004)
                for exchange_id, action in list(harness.open.items()):
                    silent = action.upstream == "ledger-0-0" and not action.fresh_connection
                    if silent or exchange_id not in harness.open:
                        continue
                    fresh += action.fresh_connection
                    harness.reply(exchange_id, ok())
            self.assertIsNone(harness.searches[sub_id].reason)
        states = harness.dispatcher.upstream_states()
        self.assertTrue(all(item.health.state is HealthState.IN_SERVICE for item in states))
        self.assertGreater(fresh, 0)

    def test_unresponsive_upstream_is_ejected_as_fresh_connections_do_not_help(self) -> None:
        harness = DispatcherHarness(slots=1)
        warm_up(harness)
        for sub_id in range(1, 200):
            harness.submit(search(sub_id, harness.now + 0.06))
            harness.submit(search(1000 + sub_id, harness.now + 0.06))
            for _ in range(15):
                harness.advance(0.004)
                for exchange_id, action in list(harness.open.items()):
                    if action.upstream == "ledger-0-1" and exchange_id in harness.open:
                        harness.reply(exchange_id, ok())
            if harness.dispatcher.upstream_states()[0].health.state is HealthState.EJECTED:
                return
        self.fail("the unresponsive upstream stayed in service")

    def test_connection_discarded_as_silent_is_no_failure_or_strike(self) -> None:
        harness = DispatcherHarness()
        harness.submit(search(1, 1.0))
        harness.lose(harness.exchanges_of(1)[0], LossKind.DISCARDED)
        self.assertEqual(harness.strikes, [])
        self.assertEqual(
            [state.health.failure_weight for state in harness.dispatcher.upstream_states()], [0, 0]
        )
        harness.reply(harness.exchanges_of(1)[0], ok())
        self.assertIsNone(harness.searches[1].reason)
