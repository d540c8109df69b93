"""Tests of the request state machine of an entry node."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.ids import Incarnation, NodeId
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.requests.coordinator import RequestCoordinator
from sequoiapulley.requests.messages import (
    KeyedRequest,
    RefusalReason,
    RequestOutcome,
    RunOrder,
    RunReport,
    RunState,
)
from sequoiapulley.runtime import PausedClock
from tests.fake_store import FakeStore, Fault
from tests.search_fixtures import HOME_A, HOME_B, FixedHomes, make_configuration, make_keyed


class EntryNode:
    """One coordinator with the run orders that it sent and the outcomes that it delivered."""

    def __init__(
        self, store: FakeStore, clock: PausedClock, name: str = "entry", incarnation: int = 1
    ) -> None:
        self.name = name
        self.orders: list[tuple[NodeId, RunOrder]] = []
        self.outcomes: list[RequestOutcome] = []
        self.unreachable: set[NodeId] = set()
        self.coordinator = RequestCoordinator(
            store,
            NodeId(name),
            Incarnation(incarnation),
            FixedHomes(HOME_A, HOME_B),
            clock,
            self.send,
            self.finish,
            MemoryLog(),
        )
        self.coordinator.configure(make_configuration())

    def send(self, node: NodeId, order: RunOrder) -> bool:
        """Records a run order, unless its home is unreachable."""
        if node in self.unreachable:
            return False
        self.orders.append((node, order))
        return True

    def finish(self, outcome: RequestOutcome) -> None:
        """Records an outcome."""
        self.outcomes.append(outcome)

    def report(self, state: RunState, reason: RefusalReason | None = None, body: str = "") -> None:
        """Reports the result of the latest run order."""
        node, order = self.orders[-1]
        self.coordinator.on_report(node, RunReport(order.run_id, state, reason, body))


class RequestCoordinatorTest(TestCase):
    """The request of a key runs at most once, and retries receive its outcome."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.store = FakeStore()
        self.first = EntryNode(self.store, self.clock)
        self.second = EntryNode(self.store, self.clock, "other")

    def start(self, node: EntryNode, request: KeyedRequest | None = None) -> None:
        node.coordinator.start(request or make_keyed())
        self.store.settle()

    def last(self, node: EntryNode) -> tuple[RunState, RefusalReason | None]:
        return (node.outcomes[-1].state, node.outcomes[-1].reason)

    def test_runs_after_the_claim_and_stores_the_outcome(self) -> None:
        self.first.coordinator.start(make_keyed())
        self.assertEqual(self.first.orders, [])
        self.store.settle()
        self.assertEqual([node for node, _ in self.first.orders], [HOME_A])
        self.first.report(RunState.DONE, body='{"order":1}')
        self.store.settle()
        self.assertEqual(self.first.outcomes[0].body, '{"order":1}')
        self.assertEqual(self.store.writes, 2)
        self.start(self.second, make_keyed(name="repeat"))
        retry = self.second.outcomes[0]
        self.assertEqual((retry.body, retry.repeated), ('{"order":1}', True))
        self.assertEqual(self.second.orders, [])
        self.assertEqual(list(self.store.leases.values()), ["lease-1"])

    def test_other_body_is_refused_and_another_caller_does_not_receive_the_outcome(self) -> None:
        self.start(self.first)
        cases = (
            (make_keyed(body="{}"), RunState.NOT_RUN),
            (make_keyed(caller="stranger"), RunState.UNKNOWN),
        )
        for request, state in cases:
            for node in (self.first, self.second):
                self.start(node, request)
                self.assertEqual(self.last(node), (state, RefusalReason.KEY_REUSED))
        self.assertEqual(len(self.first.orders) + len(self.second.orders), 1)

    def test_retry_while_running_receives_a_retry_delay(self) -> None:
        self.start(self.first)
        for node in (self.first, self.second):
            self.start(node)
            self.assertEqual(self.last(node), (RunState.UNKNOWN, RefusalReason.IN_PROGRESS))
            self.assertIsNotNone(node.outcomes[-1].retry_after_ms)
        self.assertEqual(self.second.orders, [])

    def test_claim_is_recovered_after_a_lost_reply(self) -> None:
        for fault in (Fault.LOST_AFTER_EFFECT, Fault.LOST_BEFORE_EFFECT):
            request = make_keyed(key=fault.value)
            self.first.coordinator.start(request)
            self.store.step(fault=fault)
            self.store.settle()
            self.assertEqual(self.first.orders[-1][1].key, fault.value)
            self.assertEqual(self.first.outcomes, [])

    def test_store_outage_refuses_and_a_late_claim_is_released(self) -> None:
        self.first.coordinator.start(make_keyed())
        self.store.step(fault=Fault.LOST_THEN_EFFECT)
        self.store.step(fault=Fault.UNAVAILABLE)
        self.assertEqual(self.last(self.first), (RunState.NOT_RUN, RefusalReason.STORE_UNAVAILABLE))
        self.assertFalse(self.first.outcomes[0].key_checked)
        self.assertIsNotNone(self.first.outcomes[0].retry_after_ms)
        self.store.apply_delayed()
        self.clock.advance(10)
        self.store.settle()
        self.first.coordinator.tick()
        self.store.settle()
        self.assertEqual(self.first.orders, [])
        self.start(self.second, make_keyed(deadline=1_020.0))
        self.assertEqual(len(self.second.orders), 1)

    def test_release_fences_a_claim_write_in_flight(self) -> None:
        self.first.coordinator.start(make_keyed())
        self.store.step(fault=Fault.LOST_THEN_EFFECT)
        self.store.step(fault=Fault.UNAVAILABLE)
        self.store.settle()
        self.store.apply_delayed()
        self.start(self.second)
        self.assertEqual(len(self.second.orders), 1)

    def test_repeated_release_does_not_affect_the_next_claim(self) -> None:
        self.start(self.first)
        self.first.report(RunState.NOT_RUN, RefusalReason.OVERLOAD)
        self.store.step(fault=Fault.LOST_AFTER_EFFECT)
        self.start(self.second)
        self.clock.advance(0.2)
        self.first.coordinator.tick()
        self.store.settle()
        self.start(self.first, make_keyed(name="repeat"))
        self.assertEqual(self.last(self.first), (RunState.UNKNOWN, RefusalReason.IN_PROGRESS))
        self.assertEqual(len(self.first.orders) + len(self.second.orders), 2)

    def test_claim_pending_near_the_deadline_is_refused_and_never_runs(self) -> None:
        self.first.coordinator.start(make_keyed())
        due = self.first.coordinator.next_due()
        assert due is not None
        self.clock.advance(due - self.clock.now())
        self.first.coordinator.tick()
        self.assertEqual(self.last(self.first), (RunState.NOT_RUN, RefusalReason.STORE_UNAVAILABLE))
        self.store.settle()
        self.assertEqual(self.first.orders, [])
        self.start(self.second, make_keyed(deadline=1_010.0))
        self.assertEqual(len(self.second.orders), 1)

    def test_retry_runs_after_not_run(self) -> None:
        self.start(self.first)
        self.first.report(RunState.NOT_RUN, RefusalReason.OVERLOAD)
        self.assertEqual(self.last(self.first), (RunState.NOT_RUN, RefusalReason.OVERLOAD))
        self.store.settle()
        self.start(self.second)
        self.assertEqual(len(self.second.orders), 1)

    def test_key_cannot_be_reused_after_its_home_is_lost(self) -> None:
        self.start(self.first)
        self.first.coordinator.on_node_lost(HOME_A)
        self.assertEqual(self.last(self.first), (RunState.UNKNOWN, RefusalReason.HOME_UNREACHABLE))
        self.store.settle()
        self.start(self.second)
        self.assertEqual(self.last(self.second)[0], RunState.UNKNOWN)
        self.assertTrue(self.second.outcomes[-1].repeated)
        self.assertEqual(self.second.orders, [])

    def test_unreachable_homes_are_skipped_and_prove_not_run(self) -> None:
        self.first.unreachable = {HOME_A}
        self.start(self.first)
        self.assertEqual(self.first.orders[0][0], HOME_B)
        self.second.unreachable = {HOME_A, HOME_B}
        self.start(self.second, make_keyed("key-2"))
        expected = (RunState.NOT_RUN, RefusalReason.HOME_UNREACHABLE)
        self.assertEqual(self.last(self.second), expected)

    def test_missing_report_is_unknown_at_the_deadline_and_a_late_report_is_recorded(self) -> None:
        self.start(self.first)
        self.clock.advance(1.0)
        self.first.coordinator.tick()
        self.assertEqual(self.last(self.first), (RunState.UNKNOWN, RefusalReason.DEADLINE))
        self.first.report(RunState.DONE, body="late")
        self.store.settle()
        self.assertEqual(len(self.first.outcomes), 1)
        self.start(self.second, make_keyed(deadline=1_010.0))
        self.assertEqual(self.second.outcomes[0].body, "late")

    def test_expired_claim_becomes_unknown_and_never_runs(self) -> None:
        self.start(self.first)
        self.clock.advance(100)
        self.start(self.second, make_keyed(deadline=1_200.0))
        self.assertEqual(self.last(self.second)[0], RunState.UNKNOWN)
        restarted = EntryNode(self.store, self.clock, "entry", incarnation=2)
        self.start(restarted, make_keyed(deadline=1_200.0))
        self.assertEqual(restarted.orders + self.second.orders, [])

    def test_retry_of_an_expired_claim_is_answered_at_the_deadline_without_the_store(self) -> None:
        self.start(self.first)
        self.clock.advance(100)
        self.second.coordinator.start(make_keyed(deadline=self.clock.now() + 1.0))
        self.store.step()
        self.clock.advance(1.0)
        self.second.coordinator.tick()
        self.assertEqual(self.last(self.second), (RunState.UNKNOWN, RefusalReason.IN_PROGRESS))
        self.store.settle()
        self.assertEqual((len(self.second.outcomes), self.second.orders), (1, []))

    def test_paused_holder_that_resumes_replaces_unknown_by_done(self) -> None:
        self.start(self.first)
        self.clock.advance(100)
        self.start(self.second, make_keyed(deadline=1_200.0))
        self.first.report(RunState.DONE, body="ran")
        self.store.settle()
        self.start(self.second, make_keyed(deadline=1_200.0))
        self.assertEqual(self.second.outcomes[-1].body, "ran")

    def test_late_not_run_does_not_release_a_key_recorded_as_unknown(self) -> None:
        self.start(self.first)
        self.clock.advance(100)
        self.start(self.second, make_keyed(deadline=1_200.0))
        self.first.report(RunState.NOT_RUN, RefusalReason.OVERLOAD)
        self.store.settle()
        self.start(self.second, make_keyed(deadline=1_200.0, name="repeat"))
        self.assertEqual(self.last(self.second)[0], RunState.UNKNOWN)
        self.assertEqual(self.second.orders, [])

    def test_outcome_is_returned_at_once_when_the_store_fails_and_written_later(self) -> None:
        self.start(self.first)
        self.first.report(RunState.DONE, body="ran")
        self.store.step(fault=Fault.LOST_AFTER_EFFECT)
        self.assertEqual(self.last(self.first), (RunState.DONE, None))
        due = self.first.coordinator.next_due()
        assert due is not None
        self.clock.advance(due - self.clock.now())
        self.first.coordinator.tick()
        self.store.settle()
        self.assertEqual((self.first.coordinator.unrecorded_outcomes(), self.store.writes), (0, 2))

    def test_shutdown_refuses_new_requests(self) -> None:
        self.first.coordinator.begin_shutdown()
        self.start(self.first)
        self.assertEqual(self.last(self.first), (RunState.NOT_RUN, RefusalReason.SHUTTING_DOWN))
        self.assertEqual(self.store.writes, 0)
