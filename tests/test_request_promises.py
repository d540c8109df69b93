"""Stateful property test of the guarantees on non-idempotent requests, with injected faults."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec.structs import replace

from sequoiapulley.ids import Fingerprint, NodeId, RequestId
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.requests.actions import SendRunReport, SubmitRun
from sequoiapulley.requests.messages import (
    KeyedRequest,
    RefusalReason,
    RequestOutcome,
    RunOrder,
    RunReport,
    RunState,
)
from sequoiapulley.requests.run_service import RunService
from sequoiapulley.runtime import PausedClock
from sequoiapulley.upstream.messages import SubRun
from tests.fake_store import FakeStore, Fault
from tests.search_fixtures import make_keyed
from tests.test_request_coordinator import EntryNode

ENTRIES = ("entry-0", "entry-1", "entry-2")
PICK = st.integers(min_value=0, max_value=1_000)


class RequestPromises(RuleBasedStateMachine):
    """Three entry nodes that are replaced or paused at any time, one store and two home nodes.

    A run order may be delayed or duplicated. After a home restarts, only orders that it has not
    received before can arrive, as duplicates do not survive the loss of a connection.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = PausedClock()
        self.store = FakeStore()
        self.incarnations = Counter(ENTRIES)
        self.keys = ["k", "l", "m"]
        self.live = {name: EntryNode(self.store, self.clock, name) for name in ENTRIES}
        self.all_nodes = list(self.live.values())
        self.homes: dict[NodeId, RunService] = {}
        self.in_transit: list[tuple[str, int, NodeId, RunOrder]] = []
        self.delivered: list[tuple[str, int, NodeId, RunOrder]] = []
        self.running: list[tuple[NodeId, SubRun]] = []
        self.reports: list[tuple[NodeId, NodeId, RunReport]] = []
        self.requests: dict[RequestId, KeyedRequest] = {}
        self.ran: list[SubRun] = []
        self.ran_before: dict[RequestId, int] = {}
        self.seen_outcomes = 0
        self.seen_orders: Counter[int] = Counter()

    @rule(pick=PICK)
    def a_caller_requests_a_ticket(self, pick: int) -> None:
        self.keys[2] = self.live[ENTRIES[pick % 3]].coordinator.issue_ticket()

    @rule(pick=PICK, body=st.sampled_from(["a", "a", "a", "b"]))
    def a_caller_sends_or_retries_a_request(self, pick: int, body: str) -> None:
        name = f"request-{len(self.requests)}"
        key = self.keys[pick // 3 % 3]
        request = make_keyed(key, body, self.clock.now() + 1.0, name=name)
        request = replace(request, fingerprint=Fingerprint(name))
        self.requests[request.request_id] = request
        self.live[ENTRIES[pick % 3]].coordinator.start(request)
        self._collect()

    @precondition(lambda self: self.store.calls)
    @rule(pick=PICK, fault=st.sampled_from([Fault.NONE, Fault.NONE, *Fault]))
    def the_store_replies(self, pick: int, fault: Fault) -> None:
        self.store.step(pick % len(self.store.calls), fault)
        self._collect()

    @rule(state=st.sampled_from([RunState.DONE, *RunState]))
    def all_messages_arrive(self, state: RunState) -> None:
        self.store.settle()
        self._collect()
        while self.in_transit:
            self.an_order_arrives(0)
        while self.running:
            self.the_dispatcher_reports(0, state, True)
        while self.reports:
            self.a_report_arrives(0, False)
        self.store.settle()
        self._collect()

    @precondition(lambda self: self.store.delayed)
    @rule()
    def a_delayed_write_takes_effect(self) -> None:
        self.store.apply_delayed()

    @precondition(lambda self: self.in_transit)
    @rule(pick=PICK)
    def an_order_arrives(self, pick: int) -> None:
        order = self.in_transit.pop(pick % len(self.in_transit))
        self.delivered.append(order)
        self._deliver(order)

    @precondition(lambda self: self.delivered)
    @rule(pick=PICK)
    def an_order_arrives_again(self, pick: int) -> None:
        self._deliver(self.delivered[pick % len(self.delivered)])

    @precondition(lambda self: self.running)
    @rule(pick=PICK, state=st.sampled_from(RunState), ran=st.booleans())
    def the_dispatcher_reports(self, pick: int, state: RunState, ran: bool) -> None:
        home, run = self.running.pop(pick % len(self.running))
        if state is RunState.DONE or (state is RunState.UNKNOWN and ran):
            self.ran.append(run)
        report = RunReport(0, state, None, f"{run.body} of {run.run_id}")
        for order in self.homes[home].on_run_finished(run.sub_id, report, self.clock.now()):
            assert isinstance(order, SendRunReport)
            self.reports.append((home, order.node, order.message))

    @precondition(lambda self: self.reports)
    @rule(pick=PICK, duplicate=st.booleans())
    def a_report_arrives(self, pick: int, duplicate: bool) -> None:
        position = pick % len(self.reports)
        home, entry, report = self.reports[position]
        if not duplicate:
            del self.reports[position]
        self.live[entry].coordinator.on_report(home, report)
        self._collect()

    @precondition(lambda self: self.homes)
    @rule(pick=PICK, ran=st.booleans(), noticed=st.booleans())
    def a_home_restarts(self, pick: int, ran: bool, noticed: bool) -> None:
        home = list(self.homes)[pick % len(self.homes)]
        self.homes[home] = RunService(MemoryLog())
        self.delivered = [order for order in self.delivered if order[2] != home]
        lost = [run for at, run in self.running if at == home]
        self.running = [(at, run) for at, run in self.running if at != home]
        self.ran += lost if ran else []
        if noticed:
            self._report_home_lost(home)

    @rule(pick=PICK)
    def a_home_is_reported_lost(self, pick: int) -> None:
        self._report_home_lost(("home-a", "home-b")[pick % 2])

    @rule(seconds=st.sampled_from([0.001, 0.5, 2.0, 40.0, 120.0]), pick=PICK)
    def time_passes_and_one_entry_is_paused(self, seconds: float, pick: int) -> None:
        self.clock.advance(seconds)
        for number, name in enumerate(ENTRIES):
            if number != pick % 4:
                self.live[name].coordinator.tick()
        self._collect()

    @rule(pick=PICK)
    def an_entry_is_replaced_while_the_old_one_keeps_running(self, pick: int) -> None:
        name = ENTRIES[pick % 3]
        self.incarnations[name] += 1
        self.live[name] = EntryNode(self.store, self.clock, name, self.incarnations[name])
        self.all_nodes.append(self.live[name])

    @invariant()
    def a_non_idempotent_request_runs_at_most_once(self) -> None:
        runs = Counter(run.key for run in self.ran)
        assert all(times == 1 for times in runs.values()), runs

    @invariant()
    def a_request_refused_as_not_run_did_not_run(self) -> None:
        ran = {run.fingerprint for run in self.ran}
        for outcome in self._outcomes():
            if outcome.state is RunState.NOT_RUN:
                assert outcome.request_id not in ran, outcome
            checked = outcome.state is RunState.NOT_RUN and outcome.key_checked
            if not checked or outcome.reason is RefusalReason.KEY_REUSED:
                continue
            key = self.requests[outcome.request_id].key
            before = self.ran[: self.ran_before[outcome.request_id]]
            assert all(run.key != key for run in before), outcome

    @invariant()
    def a_retry_receives_the_first_outcome_of_its_own_body(self) -> None:
        runs = {run.key: run for run in self.ran}
        for outcome in self._outcomes():
            if outcome.state is not RunState.DONE:
                continue
            request = self.requests[outcome.request_id]
            run = runs[request.key]
            assert run.body == request.body
            assert outcome.body == f"{run.body} of {run.run_id}"

    @invariant()
    def a_caller_gets_one_outcome(self) -> None:
        counts = Counter(outcome.request_id for outcome in self._outcomes())
        assert all(times == 1 for times in counts.values()), counts

    def teardown(self) -> None:
        """Stops the faults and checks that every caller has received its outcome."""
        self.clock.advance(1.0)
        for node in self.all_nodes:
            node.coordinator.tick()
        self.store.settle()
        self._collect()
        self.clock.advance(60.0)
        for node in self.all_nodes:
            node.coordinator.tick()
        self.store.settle()
        self.a_non_idempotent_request_runs_at_most_once()
        assert {outcome.request_id for outcome in self._outcomes()} == set(self.requests)
        assert sum(node.coordinator.in_flight() for node in self.all_nodes) == 0

    def _outcomes(self) -> list[RequestOutcome]:
        return [outcome for node in self.all_nodes for outcome in node.outcomes]

    def _collect(self) -> None:
        for number, node in enumerate(self.all_nodes):
            new = node.orders[self.seen_orders[number] :]
            self.seen_orders[number] = len(node.orders)
            for home, order in new:
                sender = node.name
                self.in_transit.append((sender, number, home, order))
        for outcome in self._outcomes():
            self.ran_before.setdefault(outcome.request_id, len(self.ran))

    def _deliver(self, in_transit: tuple[str, int, NodeId, RunOrder]) -> None:
        sender, _, home, order = in_transit
        service = self.homes.setdefault(home, RunService(MemoryLog()))
        for submitted in service.on_run_order(NodeId(sender), order, self.clock.now()):
            if isinstance(submitted, SubmitRun):
                self.running.append((home, submitted.run))
            if isinstance(submitted, SendRunReport):
                self.reports.append((home, submitted.node, submitted.message))

    def _report_home_lost(self, home: str) -> None:
        for node in self.live.values():
            node.coordinator.on_node_lost(NodeId(home))
        self._collect()


RequestPromisesTest = RequestPromises.TestCase
RequestPromisesTest.settings = settings(max_examples=400, stateful_step_count=30, deadline=None)
