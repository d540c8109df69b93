"""Tests of the dispatcher: one outcome for each sub-request, true reasons, limits kept."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sequoiapulley.model import Snapshot
from sequoiapulley.requests.messages import RefusalReason, RunState
from sequoiapulley.search.messages import LackReason
from sequoiapulley.upstream.messages import (
    CancelExchange,
    FinishRun,
    LossKind,
    ReplyKind,
    SendExchange,
    UpstreamReply,
)
from tests.upstream_fakes import Probe, configuration, ok, run, search


class DispatcherTest(TestCase):
    """Single cases that the state machine may reach rarely."""

    def test_retries_on_the_other_replica_then_gives_the_reason(self) -> None:
        for kind, reason in (
            (ReplyKind.SHED, LackReason.OVERLOAD),
            (ReplyKind.DRAINING, LackReason.NO_REPLICA),
            (ReplyKind.WRONG_SNAPSHOT, LackReason.SNAPSHOT),
            (ReplyKind.ERROR, LackReason.UPSTREAM_ERROR),
            (ReplyKind.MALFORMED, LackReason.TRUNCATED),
        ):
            with self.subTest(kind):
                probe = Probe()
                probe.submit(search(1, 1.0))
                for _ in range(2):
                    [exchange_id] = probe.exchanges_of(1)
                    probe.reply(exchange_id, UpstreamReply(kind))
                self.assertEqual(probe.searches[1].reason, reason)
                self.assertEqual(len({sent.upstream for sent in probe.sent[1]}), 2)

    def test_truncated_body_and_other_snapshot_are_not_handed_over(self) -> None:
        probe = Probe()
        probe.submit(search(1, 1.0))
        [exchange_id] = probe.exchanges_of(1)
        probe.reply(exchange_id, UpstreamReply(ReplyKind.OK, Snapshot(1, 1), body=b"half"))
        [exchange_id] = probe.exchanges_of(1)
        probe.reply(exchange_id, ok(Snapshot(1, 2), available=(Snapshot(1, 2),)))
        self.assertEqual(probe.searches[1].reason, LackReason.SNAPSHOT)
        self.assertEqual(probe.searches[1].available, (Snapshot(1, 2),))

    def test_deadline_in_the_queue_is_overload_and_in_flight_is_deadline(self) -> None:
        probe = Probe(configuration(replicas=1), slots=1)
        probe.submit(search(1, 1.0))
        probe.submit(search(2, 1.0))
        probe.submit(run(3, 0.5))
        probe.advance(1.0)
        self.assertEqual(probe.searches[1].reason, LackReason.DEADLINE)
        self.assertEqual(probe.searches[2].reason, LackReason.OVERLOAD)
        self.assertEqual(probe.runs[3].state, RunState.NOT_RUN)
        self.assertEqual(probe.runs[3].reason, RefusalReason.OVERLOAD)
        self.assertEqual(probe.open, {})

    def test_run_outcomes_are_what_is_proved(self) -> None:
        for kind, state in (
            (ReplyKind.OK, RunState.DONE),
            (ReplyKind.SHED, RunState.NOT_RUN),
            (ReplyKind.DRAINING, RunState.NOT_RUN),
            (ReplyKind.EXPIRED, RunState.NOT_RUN),
            (ReplyKind.ERROR, RunState.UNKNOWN),
            (ReplyKind.MALFORMED, RunState.UNKNOWN),
        ):
            with self.subTest(kind):
                probe = Probe()
                probe.submit(run(1, 1.0))
                probe.reply(probe.exchanges_of(1)[0], UpstreamReply(kind, body=b"{}"))
                self.assertEqual(probe.runs[1].state, state)

    def test_run_in_flight_at_its_deadline_or_lost_is_unknown(self) -> None:
        probe = Probe()
        probe.submit(run(1, 1.0))
        probe.submit(run(2, 1.0))
        probe.lose(probe.exchanges_of(1)[0], LossKind.CONNECTION_LOST)
        probe.advance(1.0)
        self.assertEqual(probe.runs[1].state, RunState.UNKNOWN)
        self.assertEqual(probe.runs[2].state, RunState.UNKNOWN)

    def test_run_never_sent_goes_to_the_other_replica(self) -> None:
        probe = Probe()
        probe.submit(run(1, 1.0))
        probe.lose(probe.exchanges_of(1)[0], LossKind.CONNECT_FAILED)
        probe.reply(probe.exchanges_of(1)[0], ok())
        self.assertEqual(probe.runs[1].state, RunState.DONE)

    def test_a_search_and_a_run_may_have_the_same_id(self) -> None:
        dispatcher = Probe().dispatcher
        dispatcher.submit_search(search(1, 1.0), 0.0)
        [sent] = dispatcher.submit_run(run(1, 1.0), 0.0)
        assert isinstance(sent, SendExchange)
        [cancelled] = dispatcher.cancel(1, 0.0)
        assert isinstance(cancelled, CancelExchange)
        self.assertNotEqual(cancelled.exchange_id, sent.exchange_id)
        [finished] = dispatcher.on_reply(sent.exchange_id, ok(), 0.0)
        assert isinstance(finished, FinishRun)
        self.assertIs(finished.report.state, RunState.DONE)

    def test_an_upstream_that_comes_back_still_counts_what_is_in_flight(self) -> None:
        probe = Probe(configuration(replicas=1))
        probe.submit(search(1, 1.0))
        probe.submit(search(2, 1.0))
        probe.configure(configuration(replicas=0))
        probe.configure(configuration(replicas=1))
        probe.submit(search(3, 1.0))
        self.assertEqual(probe.exchanges_of(3), [])
        probe.reply(probe.exchanges_of(1)[0], ok())
        self.assertEqual(len(probe.exchanges_of(3)), 1)

    def test_removed_and_draining_upstreams_get_no_new_work(self) -> None:
        probe = Probe()
        probe.configure(configuration(draining=frozenset({"ledger-0-0"})))
        probe.submit(search(1, 1.0))
        self.assertEqual(probe.sent[1][0].upstream, "ledger-0-1")
        probe.configure(configuration(replicas=1, draining=frozenset({"ledger-0-0"})))
        probe.submit(search(2, 1.0))
        self.assertEqual(probe.searches[2].reason, LackReason.NO_REPLICA)
        probe.reply(probe.exchanges_of(1)[0], ok())
        self.assertIsNone(probe.searches[1].reason)


class DispatchMachine(RuleBasedStateMachine):
    """Faults in any order; the probe checks every order against the promises."""

    def __init__(self) -> None:
        super().__init__()
        self.probe = Probe(configuration(instances=2, replicas=2))
        self.next_id = 0

    @rule(
        kind=st.sampled_from([search, run]),
        instance=st.integers(0, 1),
        wait=st.sampled_from([0.0, 0.02, 0.05, 0.3]),
        fingerprint=st.sampled_from(["a", "b", "c"]),
    )
    def submit(self, kind, instance, wait, fingerprint) -> None:  # type: ignore[no-untyped-def]
        self.next_id += 1
        deadline = self.probe.now + wait
        self.probe.submit(kind(self.next_id, deadline, instance, fingerprint=fingerprint))

    @precondition(lambda self: self.probe.open)
    @rule(
        pick=st.integers(0, 100),
        kind=st.sampled_from(ReplyKind),
        index=st.integers(1, 2),
        draining=st.sampled_from([False, False, False, True]),
    )
    def reply(self, pick, kind, index, draining) -> None:  # type: ignore[no-untyped-def]
        exchange_id = list(self.probe.open)[pick % len(self.probe.open)]
        body = UpstreamReply(kind, Snapshot(1, index), body=b"ok", draining=draining)
        self.probe.reply(exchange_id, body)

    @precondition(lambda self: self.probe.sub_of)
    @rule(pick=st.integers(0, 100))
    def late_reply(self, pick) -> None:  # type: ignore[no-untyped-def]
        known = [key for key in self.probe.sub_of if key not in self.probe.open]
        if known:
            exchange_id = known[pick % len(known)]
            self.probe.take(self.probe.dispatcher.on_reply(exchange_id, ok(), self.probe.now))

    @precondition(lambda self: self.probe.open)
    @rule(pick=st.integers(0, 100), loss=st.sampled_from(LossKind))
    def lose(self, pick, loss) -> None:  # type: ignore[no-untyped-def]
        self.probe.lose(list(self.probe.open)[pick % len(self.probe.open)], loss)

    @precondition(lambda self: self.probe.open)
    @rule(loss=st.sampled_from(LossKind))
    def restart(self, loss) -> None:  # type: ignore[no-untyped-def]
        upstream = next(iter(self.probe.open.values())).upstream
        for exchange_id, order in list(self.probe.open.items()):
            if order.upstream == upstream and exchange_id in self.probe.open:
                self.probe.lose(exchange_id, loss)

    @rule(
        fingerprint=st.sampled_from(["a", "b", "c"]),
        upstream=st.sampled_from(["ledger-0-0", "ledger-1-1", "elsewhere"]),
        strikes=st.sampled_from([1, 1, 1, 2]),
    )
    def hear(self, fingerprint, upstream, strikes) -> None:  # type: ignore[no-untyped-def]
        self.probe.hear(fingerprint, upstream, strikes)

    @rule(pick=st.integers(0, 100))
    def cancel(self, pick) -> None:  # type: ignore[no-untyped-def]
        sub_id = pick % (self.next_id + 1)
        if sub_id not in self.probe.searches:
            self.probe.cancel(sub_id)

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.05, 1.0]))
    def advance(self, seconds) -> None:  # type: ignore[no-untyped-def]
        self.probe.advance(seconds)

    @rule(replicas=st.integers(1, 3), draining=st.sampled_from(["", "ledger-0-0", "ledger-1-1"]))
    def configure(self, replicas, draining) -> None:  # type: ignore[no-untyped-def]
        self.probe.configure(configuration(2, replicas, draining=frozenset({draining})))

    @rule(
        number=st.integers(0, 1),
        draining=st.booleans(),
        load=st.sampled_from([None, 0.0, 1.0, -3.0, float("nan")]),
    )
    def report(self, number, draining, load) -> None:  # type: ignore[no-untyped-def]
        self.probe.report(f"ledger-0-{number}", draining, load)

    @invariant()
    def nothing_is_finished_and_open(self) -> None:
        for exchange_id in self.probe.open:
            sub_id = self.probe.sub_of[exchange_id]
            assert sub_id not in self.probe.searches and sub_id not in self.probe.runs

    def teardown(self) -> None:
        """Every sub-request has exactly one outcome once its deadline has passed."""
        self.probe.advance(10.0)
        for sub_id in self.probe.subs:
            searched = sub_id in self.probe.searches or sub_id in self.probe.cancelled
            assert searched or sub_id in self.probe.runs, f"no outcome for {sub_id}"
        assert not self.probe.open


DispatchMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, report_multiple_bugs=False
)
DispatchMachineTest = DispatchMachine.TestCase
