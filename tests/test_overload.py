"""Tests of admission and fair shares: stable goodput, early refusals, no starved caller."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from bench.paused_upstreams import (
    DEADLINE_S,
    NullCodec,
    Outcome,
    UpstreamSimulation,
    small_configuration,
)
from sequoiapulley.ids import ServiceName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream._work import Work
from sequoiapulley.upstream.directory import InstanceState
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.fair_queue import SHARE_SLACK, FairQueue
from sequoiapulley.upstream.log_events import OVERLOAD_BEGAN, OVERLOAD_ENDED
from sequoiapulley.upstream.service_shares import (
    CONTENTION_THRESHOLD,
    MAX_UNFINISHED,
    ServiceShares,
)
from tests.upstream_fakes import DispatcherHarness, configuration, ok, run, search

CAPACITY_PER_S = 750.0
"""Approximate throughput of two upstreams with two slots each."""


def count_good(outcomes: list[Outcome], start: float, end: float) -> int:
    """Counts the searches started in an interval that were answered by their deadline."""
    return sum(
        1
        for outcome in outcomes
        if start <= outcome.started_at < end
        and outcome.reason is None
        and latency_of(outcome) <= DEADLINE_S + 1e-9
    )


def latency_of(outcome: Outcome) -> float:
    """Returns the time from start to outcome, in seconds."""
    assert outcome.finished_at is not None
    return outcome.finished_at - outcome.started_at


class OverloadTest(TestCase):
    """Simulates one instance with two upstreams of two slots each, on a paused clock."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.simulation = UpstreamSimulation(
            Dispatcher(NullCodec(), self.log), small_configuration(1)
        )

    def test_goodput_holds_at_twice_the_capacity_and_latency_recovers(self) -> None:
        simulation = self.simulation
        simulation.offer(CAPACITY_PER_S, 10.0)
        simulation.run_until(10.0)
        simulation.offer(2 * CAPACITY_PER_S, 30.0)
        simulation.run_until(40.0)
        simulation.offer(CAPACITY_PER_S / 2, 10.0)
        simulation.run_until(51.0)
        outcomes = list(simulation.outcomes.values())
        peak = count_good(outcomes, 5.0, 10.0) / 5.0
        for start in range(10, 40, 5):
            self.assertGreaterEqual(count_good(outcomes, start, start + 5) / 5.0, 0.9 * peak)
        late = [latency_of(outcome) for outcome in outcomes if outcome.started_at >= 45.0]
        self.assertLess(sorted(late)[int(0.99 * len(late))], DEADLINE_S / 3)
        refused = [outcome for outcome in outcomes if outcome.reason is MissingReason.OVERLOAD]
        early = sum(1 for outcome in refused if latency_of(outcome) < DEADLINE_S / 2)
        self.assertGreater(early, 0.9 * len(refused))
        events = [event for event, _ in self.log.entries]
        self.assertIn(OVERLOAD_BEGAN, events)
        self.assertIn(OVERLOAD_ENDED, events)

    def test_a_burst_of_one_caller_does_not_starve_another(self) -> None:
        simulation = self.simulation
        simulation.offer(5 * CAPACITY_PER_S, 5.0, caller="burst")
        simulation.offer(0.3 * CAPACITY_PER_S, 5.0, caller="clerk")
        simulation.run_until(6.0)
        clerk = [outcome for outcome in simulation.outcomes.values() if outcome.caller == "clerk"]
        self.assertGreater(count_good(clerk, 0.0, 5.0), 0.9 * len(clerk))

    def test_short_deadlines_do_not_starve_another_caller(self) -> None:
        simulation = self.simulation
        simulation.offer(5 * CAPACITY_PER_S, 5.0, caller="hasty", deadline=0.03)
        simulation.offer(0.3 * CAPACITY_PER_S, 5.0, caller="clerk")
        simulation.run_until(6.0)
        clerk = [outcome for outcome in simulation.outcomes.values() if outcome.caller == "clerk"]
        self.assertGreater(count_good(clerk, 0.0, 5.0), 0.9 * len(clerk))


class FairQueueTest(TestCase):
    """Order of one queue and the shares of its callers."""

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 50)), max_size=40))
    def test_every_work_comes_out_once_and_callers_stay_within_the_slack(
        self, entries: list[tuple[int, int]]
    ) -> None:
        queue = FairQueue()
        instance = InstanceState(search(1, 1.0).target.service, search(1, 1.0).target.instance)
        for number, (caller, deadline) in enumerate(entries):
            queue.push(Work(search(number, float(deadline), caller=f"c{caller}"), instance))
        left = {f"c{number}": sum(1 for c, _ in entries if c == number) for number in range(3)}
        served = dict.fromkeys(left, 0)
        while (work := queue.pop()) is not None:
            caller_name = str(work.sub.caller)
            served[caller_name] += 1
            left[caller_name] -= 1
            waiting = [served[name] for name in left if left[name]]
            if waiting:
                self.assertLessEqual(served[caller_name], min(waiting) + SHARE_SLACK)
        self.assertEqual(sum(served.values()), len(entries))

    def test_one_caller_is_served_by_deadline(self) -> None:
        queue = FairQueue()
        instance = InstanceState(search(1, 1.0).target.service, search(1, 1.0).target.instance)
        for number, deadline in enumerate((3.0, 1.0, 2.0)):
            queue.push(Work(search(number, deadline), instance))
        self.assertEqual([work.deadline for work in queue.drain()], [1.0, 2.0, 3.0])


class ServiceSharesTest(TestCase):
    """A service that floods the home node is limited to its share."""

    def test_flooding_service_is_refused_at_its_weight_and_others_are_not(self) -> None:
        shares = ServiceShares()
        shares.configure(configuration(services={"flood": 1, "ctx": 3}))
        flood, ctx = ServiceName("flood"), ServiceName("ctx")
        for _ in range(CONTENTION_THRESHOLD):
            shares.add(flood)
            self.assertFalse(shares.exceeds_share(flood))
        shares.add(ctx)
        self.assertFalse(shares.exceeds_share(ctx))
        shares.add(flood)
        self.assertTrue(shares.exceeds_share(flood))
        for _ in range(MAX_UNFINISHED * 3 // 4 - 1):
            shares.add(ctx)
            self.assertFalse(shares.exceeds_share(ctx))
        shares.add(ctx)
        self.assertTrue(shares.exceeds_share(ctx))

    def test_counts_return_to_zero_when_work_finishes(self) -> None:
        harness = DispatcherHarness(configuration(instances=1))
        shares = harness.dispatcher._core.registry.shares
        for number in range(100):
            harness.submit(search(number, 0.01 * number))
        harness.cancel(50)
        harness.advance(2.0)
        self.assertEqual(shares._counts, {})

    def test_excess_is_refused_through_the_dispatcher(self) -> None:
        harness = DispatcherHarness(configuration(services={"ledger": 1, "ctx": 1}))
        for _ in range(MAX_UNFINISHED):
            harness.dispatcher._core.registry.shares.add(ServiceName("ledger"))
        harness.submit(search(1, 1.0))
        harness.submit(search(2, 1.0, service="ctx"))
        self.assertEqual(harness.searches[1].reason, MissingReason.OVERLOAD)
        self.assertEqual(len(harness.exchanges_of(2)), 1)


class LateWorkTest(TestCase):
    """Work that cannot finish in time is refused without being sent."""

    def test_work_that_cannot_finish_is_refused_at_once_as_not_run(self) -> None:
        harness = DispatcherHarness(configuration(replicas=1))
        for number in range(40):
            harness.submit(search(number, harness.now + 1.0))
            harness.now += 0.01
            harness.reply(harness.exchanges_of(number)[0], ok())
        harness.submit(search(100, harness.now + 0.002))
        harness.submit(run(101, harness.now + 0.002))
        self.assertEqual(harness.searches[100].reason, MissingReason.OVERLOAD)
        self.assertEqual(harness.runs[101].state.value, "not_run")
        self.assertEqual(harness.open, {})
