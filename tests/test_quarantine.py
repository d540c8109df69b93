"""Tests of the quarantine: a request that crashes upstreams is refused, concurrent ones are not."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.ids import Fingerprint, InstanceName, UpstreamName
from sequoiapulley.quarantine import (
    MAX_ENTRIES,
    REFUSED_TTL_S,
    SUSPECT_TTL_S,
    Quarantine,
)
from sequoiapulley.requests.messages import RefusalReason, RunState
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream.log_events import REQUEST_QUARANTINED, REQUEST_SUSPECTED
from sequoiapulley.upstream.messages import LossKind
from tests.upstream_fakes import SERVICE, DispatcherHarness, configuration, ok, run, search

LOST = LossKind.CONNECTION_LOST


def crash(harness: DispatcherHarness, upstream: str) -> int:
    """Loses all exchanges in flight at an upstream; returns their number."""
    lost = 0
    for exchange_id, action in list(harness.open.items()):
        if action.upstream == upstream and exchange_id in harness.open:
            harness.lose(exchange_id, LOST)
            lost += 1
    return lost


def crash_poisoned(harness: DispatcherHarness, poison: str) -> set[str]:
    """Crashes each upstream that receives the poison request; answers all other exchanges.

    Returns:
        The upstreams that crashed.
    """
    crashed: set[str] = set()
    for _ in range(50):
        poisoned = [
            action.upstream
            for exchange_id, action in harness.open.items()
            if harness.subs[harness.sub_of[exchange_id]].fingerprint == poison
        ]
        if poisoned:
            crash(harness, poisoned[0])
            crashed.add(poisoned[0])
            continue
        if not harness.open:
            break
        harness.now += 0.001
        harness.reply(next(iter(harness.open)), ok())
    return crashed


class ToldRefusalTest(TestCase):
    """What a node that starts learns from the others."""

    # Guards against refusals that restarts of nodes renew without end.
    def test_told_refusal_ends_when_it_ends_at_the_other_node(self) -> None:
        harness = DispatcherHarness()
        fingerprint = Fingerprint("poison")
        harness.dispatcher.on_strike(fingerprint, UpstreamName(""), 0.0, 2, 20.0)
        (told,) = harness.dispatcher.refusals(5.0)
        self.assertEqual((told.fingerprint, told.strikes, told.refused_for), (fingerprint, 2, 15.0))
        self.assertEqual(harness.dispatcher.refusals(20.0), [])


class QuarantineTest(TestCase):
    """Quarantine as applied by the dispatcher."""

    def test_poison_request_is_refused_after_two_crashes_and_others_are_answered(self) -> None:
        harness = DispatcherHarness(configuration(replicas=3))
        for sub_id in range(1, 7):
            name = "poison" if sub_id == 3 else f"innocent-{sub_id}"
            harness.submit(search(sub_id, 1.0, fingerprint=name))
        self.assertEqual(len(crash_poisoned(harness, "poison")), 2)
        self.assertEqual(harness.searches[3].reason, MissingReason.QUARANTINED)
        other_reasons = [harness.searches[sub_id].reason for sub_id in (1, 2, 4, 5, 6)]
        self.assertEqual(other_reasons, [None] * 5)
        harness.submit(search(10, harness.now + 1.0, fingerprint="poison"))
        harness.submit(run(11, harness.now + 1.0, fingerprint="poison"))
        self.assertEqual(harness.searches[10].reason, MissingReason.QUARANTINED)
        self.assertEqual(harness.runs[11].reason, RefusalReason.QUARANTINED)
        self.assertEqual([strike.strikes for strike in harness.strikes][-1], 2)
        events = [event for event, _ in harness.log.entries]
        self.assertIn(REQUEST_SUSPECTED, events)
        self.assertEqual(events.count(REQUEST_QUARANTINED), 1)

    def test_unsent_run_is_not_retried_after_another_node_quarantined_it(self) -> None:
        harness = DispatcherHarness()
        harness.submit(run(1, 0.02, fingerprint="poison"))
        harness.receive_strike("poison", "elsewhere", strikes=2)
        harness.lose(harness.exchanges_of(1)[0], LossKind.NOT_SENT)
        self.assertEqual(len(harness.sent[1]), 1)
        self.assertIs(harness.runs[1].state, RunState.NOT_RUN)
        self.assertIs(harness.runs[1].reason, RefusalReason.QUARANTINED)

    def test_rolling_restarts_quarantine_no_request(self) -> None:
        harness = DispatcherHarness(configuration(replicas=3))
        for turn in range(3):
            for number in range(6):
                sub_id = 100 * turn + number
                harness.submit(search(sub_id, harness.now + 1.0, fingerprint=f"popular-{number}"))
            crash(harness, f"ledger-0-{turn}")
            while harness.open:
                harness.now += 0.001
                harness.reply(next(iter(harness.open)), ok())
            harness.advance(5.0)
        self.assertNotIn(MissingReason.QUARANTINED, {r.reason for r in harness.searches.values()})
        self.assertTrue(all(strike.strikes == 1 for strike in harness.strikes))

    def test_simultaneous_loss_of_upstreams_quarantines_no_request(self) -> None:
        harness = DispatcherHarness(configuration(instances=3, replicas=2))
        for number in range(3):
            harness.submit(search(number, 1.0, instance=number, fingerprint="wide"))
        for upstream in {action.upstream for action in harness.open.values()}:
            crash(harness, upstream)
        # The process of the other upstream is down too, so the retry cannot connect.
        while harness.open:
            harness.lose(next(iter(harness.open)), LossKind.CONNECT_FAILED)
        self.assertNotIn(MissingReason.QUARANTINED, {r.reason for r in harness.searches.values()})

    def test_suspect_runs_alone_on_a_fresh_connection(self) -> None:
        harness = DispatcherHarness()
        harness.submit(search(1, 1.0, fingerprint="suspect"))
        for number in range(2, 5):
            harness.submit(search(number, 1.0))
        crash(harness, harness.sent[1][0].upstream)
        other = {"ledger-0-0", "ledger-0-1"} - {harness.sent[1][0].upstream}
        harness.submit(search(9, 1.0))
        while not harness.exchanges_of(1):
            harness.now += 0.001
            harness.reply(next(iter(harness.open)), ok())
        [exchange_id] = harness.exchanges_of(1)
        self.assertTrue(harness.open[exchange_id].fresh_connection)
        beside = [action for action in harness.open.values() if action.upstream in other]
        self.assertEqual(len(beside), 1)

    def test_lost_run_is_unknown_gets_a_strike_and_is_not_sent_again(self) -> None:
        harness = DispatcherHarness()
        harness.submit(run(1, 1.0, fingerprint="order"))
        crash(harness, harness.sent[1][0].upstream)
        self.assertEqual(harness.runs[1].state, RunState.UNKNOWN)
        self.assertEqual(len(harness.sent[1]), 1)
        self.assertEqual(len(harness.strikes), 1)

    def test_strikes_from_other_nodes(self) -> None:
        harness = DispatcherHarness()
        poison = Fingerprint("poison")
        harness.submit(search(1, 1.0, fingerprint="poison"))
        for upstream in ("ledger-0-0", "ledger-0-1"):
            harness.apply(harness.dispatcher.on_strike(poison, UpstreamName(upstream), 0.0))
        self.assertNotIn(1, harness.searches)
        harness.apply(
            harness.dispatcher.on_strike(poison, UpstreamName("elsewhere"), 0.0, strikes=2)
        )
        self.assertEqual(harness.searches[1].reason, MissingReason.QUARANTINED)
        self.assertEqual(harness.open, {})

    def test_reservation_ends_with_its_work_and_its_upstream(self) -> None:
        for end in ("cancel", "leave", "deadline"):
            with self.subTest(end):
                harness = DispatcherHarness()
                harness.submit(search(1, 0.5, fingerprint="suspect"))
                harness.submit(search(2, 9.0))
                harness.submit(search(3, 9.0))
                struck = harness.sent[1][0].upstream
                crash(harness, struck)
                if end == "cancel":
                    harness.cancel(1)
                elif end == "leave":
                    harness.configure(configuration(replicas=3, draining=frozenset({struck})))
                else:
                    harness.advance(0.5)
                harness.submit(search(4, harness.now + 9.0))
                for _ in range(10):
                    if harness.open:
                        harness.now += 0.001
                        harness.reply(next(iter(harness.open)), ok())
                    harness.advance(0.01)
                self.assertIsNone(harness.searches[4].reason)


class QuarantineTableTest(TestCase):
    """The table of fingerprints on its own."""

    KEY = (SERVICE, InstanceName("i0"))

    def test_entries_expire(self) -> None:
        table = Quarantine()
        poison = Fingerprint("poison")
        table.on_lost(poison, UpstreamName("a"), self.KEY, False, 0.0)
        self.assertTrue(table.is_suspected(poison, SUSPECT_TTL_S - 1))
        self.assertFalse(table.is_suspected(poison, SUSPECT_TTL_S))
        table.on_strike(poison, UpstreamName("a"), self.KEY, 2, 0.0)
        self.assertTrue(table.is_refused(poison, REFUSED_TTL_S - 1))
        self.assertFalse(table.is_refused(poison, REFUSED_TTL_S))
        self.assertEqual(len(table), 0)

    def test_table_is_bounded(self) -> None:
        table = Quarantine()
        for number in range(MAX_ENTRIES + 100):
            table.on_lost(Fingerprint(f"s{number}"), UpstreamName("a"), self.KEY, False, 0.0)
            table.on_strike(Fingerprint(f"r{number}"), UpstreamName("a"), self.KEY, 2, 0.0)
        self.assertEqual(len(table), 2 * MAX_ENTRIES)

    @given(
        st.lists(
            st.tuples(st.sampled_from(["lost", "alone", "answered"]), st.sampled_from("ab")),
            max_size=12,
        )
    )
    def test_refused_only_after_an_isolated_loss_without_a_reply_before(
        self, steps: list[tuple[str, str]]
    ) -> None:
        table = Quarantine()
        name = Fingerprint("f")
        struck: set[str] = set()
        repeated = 0
        for now, (step, upstream) in enumerate(steps):
            if table.is_refused(name, now):
                return
            if step == "answered":
                table.on_answered(name, self.KEY, now, now)
                struck, repeated = set(), 0
                continue
            table.on_lost(name, UpstreamName(upstream), self.KEY, step == "alone", now)
            other_upstream = step == "alone" and bool(struck - {upstream})
            same_upstream = step == "alone" and struck == {upstream}
            repeated += same_upstream
            self.assertEqual(table.is_refused(name, now), other_upstream or repeated >= 2)
            struck = struck or {upstream}
