"""Tests that each outcome of a caller's search or request is recorded correctly and once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast
from unittest import TestCase

from sequoiapulley.daemon.callers_backend import NodeCallersBackend
from sequoiapulley.daemon.config_task import ConfigTask
from sequoiapulley.daemon.request_task import RequestTask
from sequoiapulley.daemon.search_task import SearchTask
from sequoiapulley.fleet.entry_directory import EntryDirectory
from sequoiapulley.ids import (
    CallerId,
    ContractName,
    Fingerprint,
    IdempotencyKey,
    Incarnation,
    NodeId,
    RequestId,
    ServiceName,
    ShardId,
)
from sequoiapulley.model import Service, Snapshot
from sequoiapulley.observe.burn_messages import BurnWindow
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.observe.node_observer import NodeObserver
from sequoiapulley.requests.messages import KeyedRequest, RefusalReason, RequestOutcome, RunState
from sequoiapulley.runtime import PausedClock
from sequoiapulley.search.messages import MissingReason, MissingShard, SearchAnswer, SearchRequest

SERVICE = ServiceName("ctx")
ID = RequestId("r")


class FakeTask:
    """Stores callbacks until the test calls them."""

    def __init__(self) -> None:
        self.started: list[Callable[[Any], None]] = []
        self.cancelled: list[RequestId] = []

    def start(self, request: object, done: Callable[[Any], None]) -> None:
        self.started.append(done)

    def cancel(self, request_id: RequestId) -> None:
        self.cancelled.append(request_id)


class CallersBackendTest(TestCase):
    """Each outcome that a caller receives is counted once."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.observer = NodeObserver(NodeId("n"), self.clock, MemoryLog())
        self.observer.configure([Service(SERVICE, ContractName("k"), ())])
        self.searches, self.requests = FakeTask(), FakeTask()
        self.backend = NodeCallersBackend(
            NodeId("n"),
            Incarnation(1),
            self.clock,
            cast("ConfigTask", None),
            cast("SearchTask", self.searches),
            cast("RequestTask", self.requests),
            cast("EntryDirectory", None),
            self.observer,
        )

    def window(self) -> BurnWindow:
        return self.observer.node_burn_report().services[0].windows[0]

    def answer_search(self, after: float, covered: int, *reasons: MissingReason) -> None:
        """Runs one search with a deadline of 60 ms; its answer arrives after `after` seconds."""
        request = SearchRequest(
            ID, CallerId("c"), SERVICE, "q", 1, self.clock.now() + 0.06, 0.0, None, Fingerprint("f")
        )
        got: list[SearchAnswer] = []
        self.backend.search(request, got.append)
        self.clock.advance(after)
        shards = tuple(ShardId(str(index)) for index in range(covered))
        lacking = tuple(MissingShard(ShardId("x"), reason) for reason in reasons)
        answer = SearchAnswer(ID, Snapshot(1, 1), (), shards, lacking, after * 1e3, not lacking)
        self.searches.started.pop()(answer)
        self.assertEqual(got, [answer])

    def test_searches(self) -> None:
        self.answer_search(0.05, 2)
        self.answer_search(0.07, 2)
        self.answer_search(0.05, 1, MissingReason.OVERLOAD)
        self.answer_search(0.05, 0, MissingReason.DEADLINE)
        self.answer_search(0.0, 0, MissingReason.OVERLOAD)
        window = self.window()
        self.assertEqual((window.in_time.total, window.in_time.good), (4, 3))
        self.assertEqual((window.full_coverage.total, window.full_coverage.good), (4, 2))
        self.assertEqual((window.not_refused.total, window.not_refused.good), (5, 4))

    def test_disconnected_caller_is_not_counted(self) -> None:
        self.backend.on_caller_disconnected(ID)
        self.assertEqual(self.searches.cancelled, [ID])
        self.assertEqual(self.window().not_refused.total, 0)

    def test_requests(self) -> None:
        request = KeyedRequest(
            ID, CallerId("c"), SERVICE, IdempotencyKey("k"), "{}", Fingerprint("f"), 0.0
        )
        for state, reason in (
            (RunState.DONE, None),
            (RunState.UNKNOWN, None),
            (RunState.NOT_RUN, RefusalReason.STORE_UNAVAILABLE),
            (RunState.NOT_RUN, RefusalReason.KEY_REUSED),
        ):
            got: list[RequestOutcome] = []
            self.backend.run(request, got.append)
            outcome = RequestOutcome(ID, state, reason)
            self.requests.started.pop()(outcome)
            self.assertEqual(got, [outcome])
        window = self.window()
        self.assertEqual((window.not_refused.total, window.not_refused.good), (4, 3))
