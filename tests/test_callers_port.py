"""Tests of the callers' port over real sockets, with a backend that the test controls."""

from __future__ import annotations

from collections.abc import Callable
from socket import create_connection
from unittest import TestCase

from loop_driver import LoopDriver, RawClient
from msgspec import json

from sequoiapulley.entry.callers_messages import EntriesView
from sequoiapulley.entry.callers_port import CallersPort
from sequoiapulley.entry.connection_guard import REQUEST_TIMEOUT_S, STOP_GRACE_S
from sequoiapulley.ids import (
    CallerId,
    ContractName,
    FailureDomainName,
    IdempotencyKey,
    RequestId,
    ServiceName,
)
from sequoiapulley.model import Service
from sequoiapulley.requests.messages import KeyedRequest, RefusalReason, RequestOutcome, RunState
from sequoiapulley.runtime import PausedClock, TimerQueue
from sequoiapulley.search.messages import SearchAnswer, SearchRequest

SERVICE = Service(ServiceName("ctx"), ContractName("c"), ())


class FakeBackend:
    """Records requests; the test calls their callbacks."""

    def __init__(self) -> None:
        self.searches: list[tuple[SearchRequest, Callable[[SearchAnswer], None]]] = []
        self.runs: list[tuple[KeyedRequest, Callable[[RequestOutcome], None]]] = []
        self.disconnected: list[RequestId] = []
        self._ids = 0

    def service(self, name: ServiceName) -> Service | None:
        return SERVICE if name == SERVICE.name else None

    def new_request_id(self) -> RequestId:
        self._ids += 1
        return RequestId(f"r{self._ids}")

    def search(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        self.searches.append((request, done))

    def run(self, request: KeyedRequest, done: Callable[[RequestOutcome], None]) -> None:
        self.runs.append((request, done))

    def issue_ticket(self) -> IdempotencyKey:
        return IdempotencyKey("ticket.1")

    def on_caller_disconnected(self, request_id: RequestId) -> None:
        self.disconnected.append(request_id)

    def entries(self, caller: CallerId, failure_domain: FailureDomainName | None) -> EntriesView:
        return EntriesView((), 30.0)


def post(path: str, body: bytes, *headers: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def search(query: str) -> bytes:
    return post("/v1/services/ctx/search", json.encode({"query": query}))


def answer(request: SearchRequest) -> SearchAnswer:
    return SearchAnswer(request.request_id, None, (), (), (), 1.0, True)


class CallersPortTest(TestCase):
    """Each caller receives the complete answer to its own request."""

    def setUp(self) -> None:
        self.driver = LoopDriver()
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.backend = FakeBackend()
        self.port = CallersPort("127.0.0.1", 0, self.timers, self.clock, self.backend)
        self.port.register(self.driver.manager)

    def client(self) -> RawClient:
        client = RawClient(self.driver, self.port.port)
        self.addCleanup(client.close)
        return client

    def ask(self, data: bytes, expect: bytes) -> bytes:
        client = self.client()
        client.send(data)
        client.until(lambda seen: expect in seen.received)
        return client.received

    def test_answers_out_of_order_reach_their_own_callers(self) -> None:
        first, second = self.client(), self.client()
        first.send(search("one"))
        self.driver.until(lambda: len(self.backend.searches) == 1)
        second.send(search("two"))
        self.driver.until(lambda: len(self.backend.searches) == 2)
        for request, done in reversed(self.backend.searches):
            done(answer(request))
        first.until(lambda seen: seen.received.endswith(b"}"))
        second.until(lambda seen: seen.received.endswith(b"}"))
        self.assertIn(b'"request_id":"r1"', first.received)
        self.assertIn(b'"request_id":"r2"', second.received)

    def test_pipelined_requests_are_all_answered_in_order(self) -> None:
        client = self.client()
        client.send(search("one") + search("two") + search("three"))
        for count in (1, 2, 3):
            self.driver.until(lambda count=count: len(self.backend.searches) == count)  # type: ignore[misc]
            request, done = self.backend.searches[-1]
            done(answer(request))
        client.until(lambda seen: seen.received.count(b"request_id") == 3)
        order = [client.received.index(b'"r%d"' % number) for number in (1, 2, 3)]
        self.assertEqual(order, sorted(order))

    def test_disconnected_caller_cancels_only_its_own_search(self) -> None:
        disconnecting, connected = self.client(), self.client()
        disconnecting.send(search("one"))
        self.driver.until(lambda: len(self.backend.searches) == 1)
        connected.send(search("two"))
        self.driver.until(lambda: len(self.backend.searches) == 2)
        disconnecting.close()
        self.driver.until(lambda: bool(self.backend.disconnected))
        self.assertEqual(self.backend.disconnected, ["r1"])

    def test_stopping_finishes_the_answer_in_progress(self) -> None:
        client = self.client()
        client.send(search("one"))
        self.driver.until(lambda: len(self.backend.searches) == 1)
        self.port.stop_accepting()
        for _ in range(5):
            self.driver.manager.tick(0.001)
        request, done = self.backend.searches[0]
        done(answer(request))
        client.until(lambda seen: seen.closed)
        self.assertIn(b'"request_id":"r1"', client.received)
        self.assertIn(b"Connection: close", client.received)
        with self.assertRaises(OSError):
            RawClient(self.driver, self.port.port)

    def test_stop_under_load_serves_what_has_just_arrived(self) -> None:
        """A request on a connection that is still queued, and one on a kept connection."""
        kept = self.client()
        kept.send(search("one"))
        self.driver.until(lambda: len(self.backend.searches) == 1)
        self.answer_search(0)
        kept.until(lambda seen: b"r1" in seen.received)
        queued = [create_connection(("127.0.0.1", self.port.port)) for _ in range(3)]
        for sock in queued:
            self.addCleanup(sock.close)
            sock.sendall(search("two"))
        kept.send(search("three"))
        self.port.stop_accepting()
        self.driver.until(lambda: len(self.backend.searches) == 5)
        for number in range(1, 5):
            self.answer_search(number)
        kept.until(lambda seen: seen.closed)
        self.assertEqual(kept.received.count(b"HTTP/1.1 200"), 2)
        self.driver.until(lambda: self.port.open_connections == 0)
        for sock in queued:
            self.assertIn(b"HTTP/1.1 200", sock.recv(9_000))
        with self.assertRaises(OSError):
            RawClient(self.driver, self.port.port)

    def test_stop_closes_idle_connections(self) -> None:
        client = self.client()
        self.driver.until(lambda: self.port.open_connections == 1)
        self.port.stop_accepting()
        self.clock.advance(STOP_GRACE_S + 0.01)
        self.timers.run_due()
        client.until(lambda seen: seen.closed)

    def answer_search(self, number: int) -> None:
        request, done = self.backend.searches[number]
        done(answer(request))

    def test_endless_header_is_refused_at_most_once(self) -> None:
        client = self.client()
        client.send(b"GET / HTTP/1.1\r\nx: " + b"a" * 2_000_000)
        client.until(lambda seen: seen.closed)
        self.assertLessEqual(client.received.count(b"HTTP/1.1 431"), 1)

    def test_incomplete_request_times_out(self) -> None:
        client = self.client()
        client.send(b"POST /v1/services/ctx/search HTTP/1.1\r\nHost: x\r\n")
        self.driver.until(lambda: self.port.open_connections == 1)
        for _ in range(5):
            self.driver.manager.tick(0.001)
        self.clock.advance(REQUEST_TIMEOUT_S)
        self.timers.run_due()
        client.until(lambda seen: b"408" in seen.received)

    def test_bad_input_has_a_code_and_a_status(self) -> None:
        ctx = "/v1/services/ctx"
        cases = [
            (search("x").replace(b"ctx", b"dusk"), b"404", b"no_such_service"),
            (post(f"{ctx}/search", b"not json"), b"400", b"bad_search"),
            (post(f"{ctx}/search", b'{"query":3}'), b"400", b"bad_search"),
            (post(f"{ctx}/search", b'{"query":"a","deadline_ms":-5}'), b"400", b"bad_search"),
            (post(f"{ctx}/search", b'{"query":"a","deadlines":5}'), b"400", b"bad_search"),
            (post(f"{ctx}/requests", b"{}"), b"400", b"bad_idempotency_key"),
            (post(f"{ctx}/requests", b"{", "Idempotency-Key: k"), b"400", b"bad_request_body"),
            (post(f"{ctx}/other", b"{}"), b"404", b"no_such_path"),
            (b"GET /v1/services/ctx/search HTTP/1.1\r\nHost: x\r\n\r\n", b"405", b"method_not"),
        ]
        for data, status, code in cases:
            with self.subTest(code=code, data=data[-40:]):
                received = self.ask(data, code)
                self.assertIn(b"HTTP/1.1 " + status, received)
                self.assertNotIn(b"circuits", received)

    def test_outcome_is_unknown_when_the_key_was_not_checked(self) -> None:
        client = self.client()
        client.send(post("/v1/services/ctx/requests", b"{}", "Idempotency-Key: k"))
        self.driver.until(lambda: bool(self.backend.runs))
        request, done = self.backend.runs[0]
        reason = RefusalReason.STORE_UNAVAILABLE
        done(RequestOutcome(request.request_id, RunState.NOT_RUN, reason, key_checked=False))
        client.until(lambda seen: seen.received.endswith(b"}"))
        self.assertIn(b'"state":"unknown","attempt":"not_run"', client.received)

    def test_outcomes_of_requests_map_to_statuses(self) -> None:
        cases = [
            (RunState.DONE, None, b"200"),
            (RunState.UNKNOWN, None, b"504"),
            (RunState.NOT_RUN, RefusalReason.IN_PROGRESS, b"409"),
            (RunState.NOT_RUN, RefusalReason.KEY_REUSED, b"422"),
            (RunState.NOT_RUN, RefusalReason.OVERLOAD, b"503"),
        ]
        for state, reason, status in cases:
            with self.subTest(state=state, reason=reason):
                self.backend.runs.clear()
                client = self.client()
                body = b'{"b": 1, "a": 2}'
                client.send(post("/v1/services/ctx/requests", body, "Idempotency-Key: k"))
                self.driver.until(lambda: bool(self.backend.runs))
                request, done = self.backend.runs[0]
                self.assertEqual(request.body, '{"a":2,"b":1}')
                done(RequestOutcome(request.request_id, state, reason, retry_after_ms=1_500))
                client.until(lambda seen: seen.received.endswith(b"}"))
                self.assertIn(b"HTTP/1.1 " + status, client.received)
                self.assertIn(b'"state":"%s"' % state.value.encode(), client.received)
                self.assertIn(b"Retry-After: 2", client.received)
