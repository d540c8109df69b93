"""Tests of replica selection, concurrency limits, ejection, slow start and draining."""

from __future__ import annotations

from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.ids import FailureDomainName, UpstreamName
from sequoiapulley.model import Snapshot
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream.concurrency_limit import ConcurrencyLimit
from sequoiapulley.upstream.latency_window import LatencyWindow
from sequoiapulley.upstream.log_events import (
    EJECTION_WITHHELD,
    UPSTREAM_EJECTED,
    UPSTREAM_LEAVING,
    UPSTREAM_RESTORED,
    UPSTREAM_STAYS,
)
from sequoiapulley.upstream.messages import LossKind, ReplyKind, UpstreamReply
from sequoiapulley.upstream.upstream_health import MIN_EJECTION_S, HealthState
from sequoiapulley.upstream.upstream_state import SLOW_START_S, UpstreamState
from tests.upstream_fakes import DispatcherHarness, configuration, ok, search


def state(harness: DispatcherHarness, number: int) -> UpstreamState:
    """Returns the state of one upstream of instance 0."""
    return {item.name: item for item in harness.dispatcher.upstream_states()}[
        UpstreamName(f"ledger-0-{number}")
    ]


def serve(
    harness: DispatcherHarness, count: int, latency: dict[str, float], gap: float = 0.0
) -> Counter[str]:
    """Sends searches one after another; each upstream answers after its latency."""
    taken: Counter[str] = Counter()
    for _ in range(count):
        sub_id = max(harness.subs, default=0) + 1
        harness.submit(search(sub_id, harness.now + 1.0))
        upstream = harness.sent[sub_id][0].upstream
        taken[upstream] += 1
        harness.now += latency[upstream]
        harness.reply(harness.exchanges_of(sub_id)[0], ok())
        harness.advance(gap)
    return taken


class ReplicaChoiceTest(TestCase):
    """Observed latencies shift traffic between replicas; load reports do not."""

    def test_slow_replica_is_avoided_and_tried_again_later(self) -> None:
        harness = DispatcherHarness()
        slow = {"ledger-0-0": 0.1, "ledger-0-1": 0.004}
        taken = serve(harness, 200, slow)
        self.assertLess(taken["ledger-0-0"], 10)
        harness.advance(20.0)
        swapped = {"ledger-0-0": 0.004, "ledger-0-1": 0.1}
        self.assertGreater(serve(harness, 100, swapped)["ledger-0-0"], 90)

    def test_load_reports_do_not_move_traffic(self) -> None:
        shares = []
        for loads in ((None, None), (0.0, 1.0), (1.0, 0.0)):
            harness = DispatcherHarness()
            for number, load in enumerate(loads):
                harness.report(f"ledger-0-{number}", load=load)
            shares.append(serve(harness, 100, {"ledger-0-0": 0.004, "ledger-0-1": 0.004}))
        self.assertEqual(shares[0], shares[1])
        self.assertEqual(shares[0], shares[2])

    def test_own_failure_domain_comes_first_unless_it_is_slower(self) -> None:
        for near, preferred in ((0.004, "ledger-0-0"), (0.02, "ledger-0-1")):
            harness = DispatcherHarness(failure_domain=FailureDomainName("near-a"))
            taken = serve(harness, 100, {"ledger-0-0": near, "ledger-0-1": 0.004})
            self.assertEqual(max(taken, key=lambda name: taken[name]), preferred)

    def test_waits_for_a_fast_replica_rather_than_use_a_very_slow_one(self) -> None:
        harness = DispatcherHarness()
        serve(harness, 100, {"ledger-0-0": 0.2, "ledger-0-1": 0.002})
        now = harness.now
        for number in range(1001, 1004):
            harness.submit(search(number, now + 0.3))
        self.assertEqual(state(harness, 0).in_flight, 0)
        self.assertEqual(state(harness, 1).in_flight, 2)

    @given(st.lists(st.floats(1e-6, 30.0), min_size=1, max_size=200))
    def test_quantiles_are_within_a_bucket(self, samples: list[float]) -> None:
        window = LatencyWindow()
        for sample in samples:
            window.record(sample, 0.0)
        exact = max(sorted(samples)[max(0, -(-len(samples) * 9 // 10) - 1)], 50e-6)
        found = window.quantile(0.9) or 0.0
        self.assertLessEqual(exact / 1.1, found)
        self.assertGreaterEqual(exact * 1.1, found)


class LimitTest(TestCase):
    """Concurrency limits follow replies, between one request and the slots of the contract."""

    @given(st.lists(st.sampled_from(["shed", "good", "slow"]), max_size=60), st.integers(1, 8))
    def test_limit_stays_between_one_and_the_slots(self, steps: list[str], slots: int) -> None:
        limit = ConcurrencyLimit(slots)
        for number, step in enumerate(steps):
            if step == "shed":
                limit.on_shed(float(number))
            elif step == "slow":
                limit.on_slow_reply(1.0, float(number))
            else:
                limit.on_good_reply()
            self.assertTrue(1 <= limit.current <= slots)

    def test_sheds_reduce_the_limit_then_pause_and_good_replies_restore_it(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1))
        limit = state(harness, 0).limit
        for number in range(3):
            harness.submit(search(number, harness.now + 1.0))
            harness.reply(harness.exchanges_of(number)[0], UpstreamReply(ReplyKind.SHED))
            harness.now += 0.1
        self.assertEqual(limit.current, 1)
        harness.submit(search(10, harness.now + 1.0))
        harness.reply(harness.exchanges_of(10)[0], UpstreamReply(ReplyKind.SHED))
        harness.submit(search(11, harness.now + 1.0))
        self.assertEqual(harness.exchanges_of(11), [])
        harness.advance(0.02)
        harness.reply(harness.exchanges_of(11)[0], ok())
        serve(harness, 20, {"ledger-0-0": 0.004})
        self.assertEqual(limit.current, 2)

    def test_a_new_upstream_starts_with_a_small_share(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1, slots=4), slots=4)
        harness.configure(configuration(replicas=2, slots=4))
        self.assertEqual(state(harness, 0).max_in_flight(harness.now), 4)
        self.assertEqual(state(harness, 1).max_in_flight(harness.now), 1)
        self.assertEqual(state(harness, 1).max_in_flight(harness.now + SLOW_START_S / 2), 2)
        self.assertEqual(state(harness, 1).max_in_flight(harness.now + SLOW_START_S), 4)


class EjectionTest(TestCase):
    """Outliers are ejected and restored; the last replica is never ejected."""

    def fail_connects(self, harness: DispatcherHarness, upstream: str, rounds: int) -> None:
        """Fills all slots, fails the connects to one upstream and answers the other exchanges."""
        for _ in range(rounds):
            first = max(harness.subs, default=0) + 1
            for sub_id in range(first, first + 4):
                harness.submit(search(sub_id, harness.now + 1.0))
            for exchange_id, action in list(harness.open.items()):
                if action.upstream == upstream:
                    harness.lose(exchange_id, LossKind.CONNECT_FAILED)
            harness.now += 0.004
            while harness.open:
                harness.reply(next(iter(harness.open)), ok())

    def test_ejected_after_failures_and_restored_by_a_probe(self) -> None:
        harness = DispatcherHarness()
        self.fail_connects(harness, "ledger-0-0", 5)
        self.assertIs(state(harness, 0).health.state, HealthState.EJECTED)
        self.assertLessEqual(harness.sends["ledger-0-0"], 4)
        self.assertTrue(all(reply.reason is None for reply in harness.searches.values()))
        harness.advance(MIN_EJECTION_S)
        serve(harness, 1, {"ledger-0-0": 0.004})
        self.assertIs(state(harness, 0).health.state, HealthState.IN_SERVICE)
        self.assertEqual(state(harness, 0).max_in_flight(harness.now), 1)
        events = [event for event, _ in harness.log.entries]
        self.assertIn(UPSTREAM_EJECTED, events)
        self.assertIn(UPSTREAM_RESTORED, events)

    def test_a_failed_probe_doubles_the_ejection(self) -> None:
        harness = DispatcherHarness()
        self.fail_connects(harness, "ledger-0-0", 5)
        harness.advance(MIN_EJECTION_S)
        self.fail_connects(harness, "ledger-0-0", 1)
        self.assertAlmostEqual(state(harness, 0).health.ejected_until, harness.now - 0.004 + 2.0)

    def test_last_replica_and_needed_half_are_not_ejected(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1))
        self.fail_connects(harness, "ledger-0-0", 5)
        self.assertIs(state(harness, 0).health.state, HealthState.IN_SERVICE)
        self.assertIn(EJECTION_WITHHELD, [event for event, _ in harness.log.entries])
        harness = DispatcherHarness(configuration(replicas=3))
        for number in range(3):
            state(harness, number).health.on_failure(5, False)
        harness.report("ledger-0-0")
        ejected = [n for n in range(3) if state(harness, n).health.state is HealthState.EJECTED]
        self.assertEqual(len(ejected), 1)


class DrainTest(TestCase):
    """Any drain signal stops new work; only repeated reports without one resume it."""

    def test_every_drain_signal_stops_new_work_at_once(self) -> None:
        def by_reply(harness: DispatcherHarness) -> None:
            harness.submit(search(1, 1.0))
            harness.reply(harness.exchanges_of(1)[0], ok(draining=True))

        def by_refusal(harness: DispatcherHarness) -> None:
            harness.submit(search(1, 1.0))
            harness.reply(harness.exchanges_of(1)[0], UpstreamReply(ReplyKind.DRAINING))

        def by_report(harness: DispatcherHarness) -> None:
            harness.sent[1] = []
            harness.submit(search(2, 1.0))
            harness.report(harness.sent[2][0].upstream, draining=True)
            harness.sent[1] = harness.sent[2]

        for sign in (by_reply, by_refusal, by_report):
            with self.subTest(sign.__name__):
                harness = DispatcherHarness()
                sign(harness)
                leaving = harness.sent[1][0].upstream
                before = harness.sends[leaving]
                for number in range(10, 30):
                    harness.submit(search(number, harness.now + 1.0))
                    harness.report(leaving, draining=False)
                    for exchange_id in harness.exchanges_of(number):
                        harness.reply(exchange_id, ok())
                self.assertEqual(harness.sends[leaving], before)
                self.assertIn(UPSTREAM_LEAVING, [event for event, _ in harness.log.entries])

    def test_work_in_flight_at_a_draining_upstream_finishes(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1))
        harness.submit(search(1, 1.0))
        harness.report("ledger-0-0", draining=True)
        harness.reply(harness.exchanges_of(1)[0], ok())
        self.assertIsNone(harness.searches[1].reason)

    def test_returns_to_service_after_repeated_reports_long_after_the_last_signal(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1))
        harness.report("ledger-0-0", draining=True)
        harness.advance(9.0)
        for _ in range(5):
            harness.report("ledger-0-0", draining=False)
        harness.submit(search(1, harness.now + 1.0))
        self.assertEqual(harness.searches[1].reason, MissingReason.NO_REPLICA)
        harness.advance(2.0)
        for _ in range(3):
            harness.report("ledger-0-0", draining=False)
        self.assertIn(UPSTREAM_STAYS, [event for event, _ in harness.log.entries])
        harness.submit(search(2, harness.now + 1.0))
        self.assertEqual(len(harness.exchanges_of(2)), 1)


class SnapshotTest(TestCase):
    """Another replica is tried if it may serve the snapshot; otherwise the shard is missing."""

    def test_wrong_snapshot_is_retried_and_that_replica_is_avoided(self) -> None:
        harness = DispatcherHarness()
        harness.submit(search(1, 1.0))
        moved = harness.sent[1][0].upstream
        newer = (Snapshot(1, 2),)
        harness.reply(
            harness.exchanges_of(1)[0], UpstreamReply(ReplyKind.WRONG_SNAPSHOT, None, newer)
        )
        harness.reply(harness.exchanges_of(1)[0], ok())
        self.assertIsNone(harness.searches[1].reason)
        before = harness.sends[moved]
        serve(harness, 20, dict.fromkeys(("ledger-0-0", "ledger-0-1"), 0.004))
        self.assertEqual(harness.sends[moved], before)

    def test_nothing_is_sent_when_no_replica_lists_the_snapshot(self) -> None:
        harness = DispatcherHarness()
        newer = (Snapshot(1, 2),)
        harness.submit(search(1, 1.0))
        for _ in range(2):
            moved = UpstreamReply(ReplyKind.WRONG_SNAPSHOT, None, newer)
            harness.reply(harness.exchanges_of(1)[0], moved)
        harness.submit(search(2, 1.0))
        self.assertEqual(harness.searches[2].reason, MissingReason.SNAPSHOT)
        self.assertEqual(harness.searches[2].available, newer)
        self.assertEqual(harness.open, {})

    def test_snapshot_lists_in_load_reports_exclude_no_replica(self) -> None:
        harness = DispatcherHarness()
        for number in range(2):
            name = UpstreamName(f"ledger-0-{number}")
            lagging = (Snapshot(1, 0),)
            harness.apply(
                harness.dispatcher.on_load_report(name, None, False, lagging, harness.now)
            )
        harness.submit(search(1, 1.0))
        harness.reply(harness.exchanges_of(1)[0], ok())
        self.assertIsNone(harness.searches[1].reason)


class DeterminismTest(TestCase):
    """The same seed produces the same actions."""

    def test_same_seed_same_choice(self) -> None:
        seeds = [Random(1).randrange(100) for _ in range(2)]
        taken = []
        for seed in seeds:
            harness = DispatcherHarness(configuration(replicas=3), seed=seed)
            serve(harness, 50, {f"ledger-0-{number}": 0.004 for number in range(3)})
            taken.append([sent[0].upstream for sent in harness.sent.values()])
        self.assertEqual(taken[0], taken[1])
