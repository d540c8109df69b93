"""Tests of the dispatcher: one outcome for each sub-request, correct reasons, limits respected."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sequoiapulley.model import Snapshot
from sequoiapulley.requests.messages import RefusalReason, RunState
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream.messages import (
    CancelExchange,
    FinishRun,
    LossKind,
    ReplyKind,
    SendExchange,
    UpstreamReply,
)
from tests.upstream_fakes import DispatcherHarness, configuration, ok, run, search


class DispatcherTest(TestCase):
    """Cases that the state machine may reach only rarely."""

    def test_retries_on_the_other_replica_then_reports_the_reason(self) -> None:
        for kind, reason in (
            (ReplyKind.SHED, MissingReason.OVERLOAD),
            (ReplyKind.DRAINING, MissingReason.NO_REPLICA),
            (ReplyKind.WRONG_SNAPSHOT, MissingReason.SNAPSHOT),
            (ReplyKind.ERROR, MissingReason.UPSTREAM_ERROR),
            (ReplyKind.MALFORMED, MissingReason.TRUNCATED),
        ):
            with self.subTest(kind):
                harness = DispatcherHarness()
                harness.submit(search(1, 1.0))
                for _ in range(2):
                    [exchange_id] = harness.exchanges_of(1)
                    harness.reply(exchange_id, UpstreamReply(kind))
                self.assertEqual(harness.searches[1].reason, reason)
                self.assertEqual(len({sent.upstream for sent in harness.sent[1]}), 2)

    def test_truncated_body_and_other_snapshot_are_not_returned(self) -> None:
        harness = DispatcherHarness()
        harness.submit(search(1, 1.0))
        [exchange_id] = harness.exchanges_of(1)
        harness.reply(exchange_id, UpstreamReply(ReplyKind.OK, Snapshot(1, 1), body=b"half"))
        [exchange_id] = harness.exchanges_of(1)
        harness.reply(exchange_id, ok(Snapshot(1, 2), available=(Snapshot(1, 2),)))
        self.assertEqual(harness.searches[1].reason, MissingReason.SNAPSHOT)
        self.assertEqual(harness.searches[1].available, (Snapshot(1, 2),))

    def test_deadline_in_the_queue_is_overload_and_in_flight_is_deadline(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1), slots=1)
        harness.submit(search(1, 1.0))
        harness.submit(search(2, 1.0))
        harness.submit(run(3, 0.5))
        harness.advance(1.0)
        self.assertEqual(harness.searches[1].reason, MissingReason.DEADLINE)
        self.assertEqual(harness.searches[2].reason, MissingReason.OVERLOAD)
        self.assertEqual(harness.runs[3].state, RunState.NOT_RUN)
        self.assertEqual(harness.runs[3].reason, RefusalReason.OVERLOAD)
        self.assertEqual(harness.open, {})

    def test_run_outcome_follows_the_reply_kind(self) -> None:
        for kind, state in (
            (ReplyKind.OK, RunState.DONE),
            (ReplyKind.SHED, RunState.NOT_RUN),
            (ReplyKind.DRAINING, RunState.NOT_RUN),
            (ReplyKind.EXPIRED, RunState.NOT_RUN),
            (ReplyKind.ERROR, RunState.UNKNOWN),
            (ReplyKind.MALFORMED, RunState.UNKNOWN),
        ):
            with self.subTest(kind):
                harness = DispatcherHarness()
                harness.submit(run(1, 1.0))
                harness.reply(harness.exchanges_of(1)[0], UpstreamReply(kind, body=b"{}"))
                self.assertEqual(harness.runs[1].state, state)

    def test_run_in_flight_at_its_deadline_or_lost_is_unknown(self) -> None:
        harness = DispatcherHarness()
        harness.submit(run(1, 1.0))
        harness.submit(run(2, 1.0))
        harness.lose(harness.exchanges_of(1)[0], LossKind.CONNECTION_LOST)
        harness.advance(1.0)
        self.assertEqual(harness.runs[1].state, RunState.UNKNOWN)
        self.assertEqual(harness.runs[2].state, RunState.UNKNOWN)

    def test_unsent_run_is_retried_on_the_other_replica(self) -> None:
        harness = DispatcherHarness()
        harness.submit(run(1, 1.0))
        harness.lose(harness.exchanges_of(1)[0], LossKind.CONNECT_FAILED)
        harness.reply(harness.exchanges_of(1)[0], ok())
        self.assertEqual(harness.runs[1].state, RunState.DONE)

    def test_a_search_and_a_run_may_have_the_same_id(self) -> None:
        dispatcher = DispatcherHarness().dispatcher
        dispatcher.submit_search(search(1, 1.0), 0.0)
        [sent] = dispatcher.submit_run(run(1, 1.0), 0.0)
        assert isinstance(sent, SendExchange)
        [cancelled] = dispatcher.cancel(1, 0.0)
        assert isinstance(cancelled, CancelExchange)
        self.assertNotEqual(cancelled.exchange_id, sent.exchange_id)
        [finished] = dispatcher.on_reply(sent.exchange_id, ok(), 0.0)
        assert isinstance(finished, FinishRun)
        self.assertIs(finished.report.state, RunState.DONE)

    def test_upstream_added_again_keeps_its_in_flight_count(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1))
        harness.submit(search(1, 1.0))
        harness.submit(search(2, 1.0))
        harness.configure(configuration(replicas=0))
        harness.configure(configuration(replicas=1))
        harness.submit(search(3, 1.0))
        self.assertEqual(harness.exchanges_of(3), [])
        harness.reply(harness.exchanges_of(1)[0], ok())
        self.assertEqual(len(harness.exchanges_of(3)), 1)

    def test_removed_and_draining_upstreams_get_no_new_work(self) -> None:
        harness = DispatcherHarness()
        harness.configure(configuration(draining=frozenset({"ledger-0-0"})))
        harness.submit(search(1, 1.0))
        self.assertEqual(harness.sent[1][0].upstream, "ledger-0-1")
        harness.configure(configuration(replicas=1, draining=frozenset({"ledger-0-0"})))
        harness.submit(search(2, 1.0))
        self.assertEqual(harness.searches[2].reason, MissingReason.NO_REPLICA)
        harness.reply(harness.exchanges_of(1)[0], ok())
        self.assertIsNone(harness.searches[1].reason)


class DispatchMachine(RuleBasedStateMachine):
    """Applies faults in any order; the harness checks every action against the guarantees."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = DispatcherHarness(configuration(instances=2, replicas=2))
        self.next_id = 0

    @rule(
        kind=st.sampled_from([search, run]),
        instance=st.integers(0, 1),
        wait=st.sampled_from([0.0, 0.02, 0.05, 0.3]),
        fingerprint=st.sampled_from(["a", "b", "c"]),
    )
    def submit(self, kind, instance, wait, fingerprint) -> None:  # type: ignore[no-untyped-def]
        self.next_id += 1
        deadline = self.harness.now + wait
        self.harness.submit(kind(self.next_id, deadline, instance, fingerprint=fingerprint))

    @precondition(lambda self: self.harness.open)
    @rule(
        pick=st.integers(0, 100),
        kind=st.sampled_from(ReplyKind),
        index=st.integers(1, 2),
        draining=st.sampled_from([False, False, False, True]),
    )
    def reply(self, pick, kind, index, draining) -> None:  # type: ignore[no-untyped-def]
        exchange_id = list(self.harness.open)[pick % len(self.harness.open)]
        body = UpstreamReply(kind, Snapshot(1, index), body=b"ok", draining=draining)
        self.harness.reply(exchange_id, body)

    @precondition(lambda self: self.harness.sub_of)
    @rule(pick=st.integers(0, 100))
    def late_reply(self, pick) -> None:  # type: ignore[no-untyped-def]
        known = [key for key in self.harness.sub_of if key not in self.harness.open]
        if known:
            exchange_id = known[pick % len(known)]
            self.harness.apply(
                self.harness.dispatcher.on_reply(exchange_id, ok(), self.harness.now)
            )

    @precondition(lambda self: self.harness.open)
    @rule(pick=st.integers(0, 100), loss=st.sampled_from(LossKind))
    def lose(self, pick, loss) -> None:  # type: ignore[no-untyped-def]
        self.harness.lose(list(self.harness.open)[pick % len(self.harness.open)], loss)

    @precondition(lambda self: self.harness.open)
    @rule(loss=st.sampled_from(LossKind))
    def restart(self, loss) -> None:  # type: ignore[no-untyped-def]
        upstream = next(iter(self.harness.open.values())).upstream
        for exchange_id, action in list(self.harness.open.items()):
            if action.upstream == upstream and exchange_id in self.harness.open:
                self.harness.lose(exchange_id, loss)

    @rule(
        fingerprint=st.sampled_from(["a", "b", "c"]),
        upstream=st.sampled_from(["ledger-0-0", "ledger-1-1", "elsewhere"]),
        strikes=st.sampled_from([1, 1, 1, 2]),
    )
    def receive_strike(self, fingerprint, upstream, strikes) -> None:  # type: ignore[no-untyped-def]
        self.harness.receive_strike(fingerprint, upstream, strikes)

    @rule(pick=st.integers(0, 100))
    def cancel(self, pick) -> None:  # type: ignore[no-untyped-def]
        sub_id = pick % (self.next_id + 1)
        if sub_id not in self.harness.searches:
            self.harness.cancel(sub_id)

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.05, 1.0]))
    def advance(self, seconds) -> None:  # type: ignore[no-untyped-def]
        self.harness.advance(seconds)

    @rule(replicas=st.integers(1, 3), draining=st.sampled_from(["", "ledger-0-0", "ledger-1-1"]))
    def configure(self, replicas, draining) -> None:  # type: ignore[no-untyped-def]
        self.harness.configure(configuration(2, replicas, draining=frozenset({draining})))

    @rule(
        number=st.integers(0, 1),
        draining=st.booleans(),
        load=st.sampled_from([None, 0.0, 1.0, -3.0, float("nan")]),
    )
    def report(self, number, draining, load) -> None:  # type: ignore[no-untyped-def]
        self.harness.report(f"ledger-0-{number}", draining, load)

    @invariant()
    def no_finished_work_is_in_flight(self) -> None:
        for exchange_id in self.harness.open:
            sub_id = self.harness.sub_of[exchange_id]
            assert sub_id not in self.harness.searches and sub_id not in self.harness.runs

    def teardown(self) -> None:
        """Every sub-request has exactly one outcome once its deadline has passed."""
        self.harness.advance(10.0)
        for sub_id in self.harness.subs:
            searched = sub_id in self.harness.searches or sub_id in self.harness.cancelled
            assert searched or sub_id in self.harness.runs, f"no outcome for {sub_id}"
        assert not self.harness.open


DispatchMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, report_multiple_bugs=False
)
DispatchMachineTest = DispatchMachine.TestCase
