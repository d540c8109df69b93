"""Tests that outcomes of callers' work reach the observer, once and truly."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from sequoiapulley.entry.callers_messages import EntriesView
from sequoiapulley.entry.observed_backend import ObservedCallersBackend
from sequoiapulley.ids import (
    CallerId,
    ContractName,
    Fingerprint,
    IdempotencyKey,
    NodeId,
    PlaceName,
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
from sequoiapulley.search.messages import Lacking, LackReason, SearchAnswer, SearchRequest

DESK = ServiceName("desk")
ID = RequestId("r")


class FakeBackend:
    """Keeps callbacks until the test calls them."""

    def __init__(self) -> None:
        self.searches: list[Callable[[SearchAnswer], None]] = []
        self.runs: list[Callable[[RequestOutcome], None]] = []
        self.left: list[RequestId] = []

    def service(self, name: ServiceName) -> Service | None:
        return None

    def new_request_id(self) -> RequestId:
        return ID

    def search(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        self.searches.append(done)

    def run(self, request: KeyedRequest, done: Callable[[RequestOutcome], None]) -> None:
        self.runs.append(done)

    def caller_left(self, request_id: RequestId) -> None:
        self.left.append(request_id)

    def entries(self, caller: CallerId, place: PlaceName | None) -> EntriesView:
        return EntriesView((), 1.0)


class ObservedCallersBackendTest(TestCase):
    """What the caller gets is what is counted."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.observer = NodeObserver(NodeId("n"), self.clock, MemoryLog())
        self.observer.configure([Service(DESK, ContractName("k"), ())])
        self.inner = FakeBackend()
        self.backend = ObservedCallersBackend(self.inner, self.observer, self.clock)

    def window(self) -> BurnWindow:
        return self.observer.burn_shard().services[0].windows[0]

    def answer_search(self, after: float, covered: int, *reasons: LackReason) -> None:
        """Runs one search of 60 ms to its answer."""
        request = SearchRequest(
            ID, CallerId("c"), DESK, "q", 1, self.clock.now() + 0.06, 0.0, None, Fingerprint("f")
        )
        got: list[SearchAnswer] = []
        self.backend.search(request, got.append)
        self.clock.advance(after)
        shards = tuple(ShardId(str(index)) for index in range(covered))
        lacking = tuple(Lacking(ShardId("x"), reason) for reason in reasons)
        answer = SearchAnswer(ID, Snapshot(1, 1), (), shards, lacking, after * 1e3, not lacking)
        self.inner.searches.pop()(answer)
        self.assertEqual(got, [answer])

    def test_searches(self) -> None:
        self.answer_search(0.05, 2)
        self.answer_search(0.07, 2)
        self.answer_search(0.05, 1, LackReason.OVERLOAD)
        self.answer_search(0.05, 0, LackReason.DEADLINE)
        self.answer_search(0.0, 0, LackReason.OVERLOAD)
        window = self.window()
        self.assertEqual((window.in_time.total, window.in_time.good), (4, 3))
        self.assertEqual((window.full_coverage.total, window.full_coverage.good), (4, 2))
        self.assertEqual((window.not_refused.total, window.not_refused.good), (5, 4))

    def test_a_caller_that_left_is_not_counted(self) -> None:
        self.backend.caller_left(ID)
        self.assertEqual(self.inner.left, [ID])
        self.assertEqual(self.window().not_refused.total, 0)

    def test_requests(self) -> None:
        request = KeyedRequest(
            ID, CallerId("c"), DESK, IdempotencyKey("k"), "{}", Fingerprint("f"), 0.0
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
            self.inner.runs.pop()(outcome)
            self.assertEqual(got, [outcome])
        window = self.window()
        self.assertEqual((window.not_refused.total, window.not_refused.good), (4, 3))
