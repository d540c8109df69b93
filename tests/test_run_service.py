"""Tests of the request state machine of a home node."""

from __future__ import annotations

from unittest import TestCase

from msgspec.structs import replace

from sequoiapulley.ids import (
    CallerId,
    Fingerprint,
    IdempotencyKey,
    Incarnation,
    InstanceName,
    NodeId,
)
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.requests.actions import SendRunReport, SubmitRun
from sequoiapulley.requests.messages import RefusalReason, RunOrder, RunReport, RunState
from sequoiapulley.requests.replay_window import ReplayWindow
from sequoiapulley.requests.run_service import RunService
from tests.search_fixtures import CTX

ENTRY = NodeId("entry")
ORDER = RunOrder(
    7,
    CallerId("caller"),
    CTX,
    InstanceName("d0"),
    "{}",
    Fingerprint("f"),
    IdempotencyKey("key"),
    1.0,
    Incarnation(3),
)


class RunServiceTest(TestCase):
    """A run order is submitted at most once, also if it arrives several times."""

    def setUp(self) -> None:
        self.service = RunService(MemoryLog())

    def test_submits_once_and_reports_under_the_senders_id(self) -> None:
        submitted = self.service.on_run_order(ENTRY, ORDER, 10.0)[0]
        assert isinstance(submitted, SubmitRun)
        self.assertEqual((submitted.run.deadline, submitted.run.body), (11.0, "{}"))
        self.assertEqual(self.service.on_run_order(ENTRY, ORDER, 10.0), [])
        report = RunReport(0, RunState.DONE, None, "body")
        actions = self.service.on_run_finished(submitted.run.sub_id, report, 10.5)
        self.assertEqual(actions, [SendRunReport(ENTRY, RunReport(7, RunState.DONE, None, "body"))])
        self.assertEqual(self.service.on_run_finished(submitted.run.sub_id, report, 10.5), [])
        self.assertEqual(self.service.on_run_order(ENTRY, ORDER, 10.6), [])

    def test_order_of_an_earlier_incarnation_is_dropped(self) -> None:
        self.service.on_run_order(ENTRY, ORDER, 10.0)
        old = replace(ORDER, run_id=8, incarnation=Incarnation(2))
        self.assertEqual(self.service.on_run_order(ENTRY, old, 10.0), [])
        new = replace(ORDER, incarnation=Incarnation(4))
        self.assertIsInstance(self.service.on_run_order(ENTRY, new, 10.0)[0], SubmitRun)

    def test_order_without_time_left_is_reported_as_not_run(self) -> None:
        actions = self.service.on_run_order(ENTRY, replace(ORDER, time_left=0.0), 10.0)
        report = RunReport(7, RunState.NOT_RUN, RefusalReason.DEADLINE)
        self.assertEqual(actions, [SendRunReport(ENTRY, report)])

    def test_evicted_ids_count_as_seen(self) -> None:
        window = ReplayWindow(max_run_ids=2)
        admitted = [window.admit(ENTRY, Incarnation(1), run_id) for run_id in (1, 2, 3, 4, 1, 2, 3)]
        self.assertEqual(admitted, [True] * 4 + [False] * 3)
