"""Tests of the quarantine: the guilty is refused, those in flight beside it are not."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.ids import Fingerprint, InstanceName, UpstreamName
from sequoiapulley.requests.messages import RefusalReason, RunState
from sequoiapulley.search.messages import LackReason
from sequoiapulley.upstream.log_events import REQUEST_QUARANTINED, REQUEST_SUSPECTED
from sequoiapulley.upstream.messages import LossKind
from sequoiapulley.upstream.quarantine import (
    MAX_ENTRIES,
    REFUSED_TTL_S,
    SUSPECT_TTL_S,
    Quarantine,
)
from tests.upstream_fakes import SERVICE, Probe, configuration, ok, run, search

LOST = LossKind.CONNECTION_LOST


def crash(probe: Probe, upstream: str) -> int:
    """Loses everything in flight at an upstream; returns how many exchanges that were."""
    lost = 0
    for exchange_id, order in list(probe.open.items()):
        if order.upstream == upstream and exchange_id in probe.open:
            probe.lose(exchange_id, LOST)
            lost += 1
    return lost


def crash_poisoned(probe: Probe, poison: str) -> set[str]:
    """Crashes every upstream that runs the poison until none does; answers the others."""
    crashed: set[str] = set()
    for _ in range(50):
        poisoned = [
            order.upstream
            for exchange_id, order in probe.open.items()
            if probe.subs[probe.sub_of[exchange_id]].fingerprint == poison
        ]
        if poisoned:
            crash(probe, poisoned[0])
            crashed.add(poisoned[0])
            continue
        if not probe.open:
            break
        probe.now += 0.001
        probe.reply(next(iter(probe.open)), ok())
    return crashed


class QuarantineTest(TestCase):
    """Through the dispatcher."""

    def test_poison_takes_two_upstreams_and_is_refused_while_innocents_are_answered(self) -> None:
        probe = Probe(configuration(replicas=3))
        for sub_id in range(1, 7):
            name = "poison" if sub_id == 3 else f"innocent-{sub_id}"
            probe.submit(search(sub_id, 1.0, fingerprint=name))
        self.assertEqual(len(crash_poisoned(probe, "poison")), 2)
        self.assertEqual(probe.searches[3].reason, LackReason.QUARANTINED)
        innocent = [probe.searches[sub_id].reason for sub_id in (1, 2, 4, 5, 6)]
        self.assertEqual(innocent, [None] * 5)
        probe.submit(search(10, probe.now + 1.0, fingerprint="poison"))
        probe.submit(run(11, probe.now + 1.0, fingerprint="poison"))
        self.assertEqual(probe.searches[10].reason, LackReason.QUARANTINED)
        self.assertEqual(probe.runs[11].reason, RefusalReason.QUARANTINED)
        self.assertEqual([strike.strikes for strike in probe.strikes][-1], 2)
        events = [event for event, _ in probe.log.entries]
        self.assertIn(REQUEST_SUSPECTED, events)
        self.assertEqual(events.count(REQUEST_QUARANTINED), 1)

    def test_restarts_one_after_another_condemn_nobody(self) -> None:
        probe = Probe(configuration(replicas=3))
        for turn in range(3):
            for number in range(6):
                sub_id = 100 * turn + number
                probe.submit(search(sub_id, probe.now + 1.0, fingerprint=f"popular-{number}"))
            crash(probe, f"ledger-0-{turn}")
            while probe.open:
                probe.now += 0.001
                probe.reply(next(iter(probe.open)), ok())
            probe.advance(5.0)
        self.assertNotIn(LackReason.QUARANTINED, {r.reason for r in probe.searches.values()})
        self.assertTrue(all(strike.strikes == 1 for strike in probe.strikes))

    def test_a_rack_gone_at_once_condemns_nobody(self) -> None:
        probe = Probe(configuration(instances=3, replicas=2))
        for number in range(3):
            probe.submit(search(number, 1.0, instance=number, fingerprint="wide"))
        for upstream in {order.upstream for order in probe.open.values()}:
            crash(probe, upstream)
        # The retry reaches an upstream whose process is gone: no connection opens.
        while probe.open:
            probe.lose(next(iter(probe.open)), LossKind.CONNECT_FAILED)
        self.assertNotIn(LackReason.QUARANTINED, {r.reason for r in probe.searches.values()})

    def test_suspect_runs_alone_on_a_fresh_connection(self) -> None:
        probe = Probe()
        probe.submit(search(1, 1.0, fingerprint="suspect"))
        for number in range(2, 5):
            probe.submit(search(number, 1.0))
        crash(probe, probe.sent[1][0].upstream)
        other = {"ledger-0-0", "ledger-0-1"} - {probe.sent[1][0].upstream}
        probe.submit(search(9, 1.0))
        while not probe.exchanges_of(1):
            probe.now += 0.001
            probe.reply(next(iter(probe.open)), ok())
        [exchange_id] = probe.exchanges_of(1)
        self.assertTrue(probe.open[exchange_id].fresh_connection)
        beside = [order for order in probe.open.values() if order.upstream in other]
        self.assertEqual(len(beside), 1)

    def test_run_lost_is_unknown_and_struck_not_sent_again(self) -> None:
        probe = Probe()
        probe.submit(run(1, 1.0, fingerprint="order"))
        crash(probe, probe.sent[1][0].upstream)
        self.assertEqual(probe.runs[1].state, RunState.UNKNOWN)
        self.assertEqual(len(probe.sent[1]), 1)
        self.assertEqual(len(probe.strikes), 1)

    def test_strikes_of_other_nodes(self) -> None:
        probe = Probe()
        poison = Fingerprint("poison")
        probe.submit(search(1, 1.0, fingerprint="poison"))
        for upstream in ("ledger-0-0", "ledger-0-1"):
            probe.take(probe.dispatcher.on_strike(poison, UpstreamName(upstream), 0.0))
        self.assertNotIn(1, probe.searches)
        probe.take(probe.dispatcher.on_strike(poison, UpstreamName("elsewhere"), 0.0, strikes=2))
        self.assertEqual(probe.searches[1].reason, LackReason.QUARANTINED)
        self.assertEqual(probe.open, {})

    def test_reservation_ends_with_its_work_and_its_upstream(self) -> None:
        for end in ("cancel", "leave", "deadline"):
            with self.subTest(end):
                probe = Probe()
                probe.submit(search(1, 0.5, fingerprint="suspect"))
                probe.submit(search(2, 9.0))
                probe.submit(search(3, 9.0))
                struck = probe.sent[1][0].upstream
                crash(probe, struck)
                if end == "cancel":
                    probe.cancel(1)
                elif end == "leave":
                    probe.configure(configuration(replicas=3, draining=frozenset({struck})))
                else:
                    probe.advance(0.5)
                probe.submit(search(4, probe.now + 9.0))
                for _ in range(10):
                    if probe.open:
                        probe.now += 0.001
                        probe.reply(next(iter(probe.open)), ok())
                    probe.advance(0.01)
                self.assertIsNone(probe.searches[4].reason)


class QuarantineTableTest(TestCase):
    """The table itself."""

    KEY = (SERVICE, InstanceName("i0"))

    def test_entries_expire(self) -> None:
        table = Quarantine()
        poison = Fingerprint("poison")
        table.on_lost(poison, UpstreamName("a"), self.KEY, False, 0.0)
        self.assertTrue(table.suspects(poison, SUSPECT_TTL_S - 1))
        self.assertFalse(table.suspects(poison, SUSPECT_TTL_S))
        table.on_strike(poison, UpstreamName("a"), self.KEY, 2, 0.0)
        self.assertTrue(table.refuses(poison, REFUSED_TTL_S - 1))
        self.assertFalse(table.refuses(poison, REFUSED_TTL_S))
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
    def test_refused_only_after_a_loss_alone_that_no_answer_preceded(
        self, steps: list[tuple[str, str]]
    ) -> None:
        table = Quarantine()
        name = Fingerprint("f")
        struck: set[str] = set()
        repeated = 0
        for now, (step, upstream) in enumerate(steps):
            if table.refuses(name, now):
                return
            if step == "answered":
                table.on_answered(name, self.KEY, now, now)
                struck, repeated = set(), 0
                continue
            table.on_lost(name, UpstreamName(upstream), self.KEY, step == "alone", now)
            guilty = step == "alone" and bool(struck - {upstream})
            again = step == "alone" and struck == {upstream}
            repeated += again
            self.assertEqual(table.refuses(name, now), guilty or repeated >= 2)
            struck = struck or {upstream}
