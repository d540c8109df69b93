"""Tests of the limits on all accepted connections of a process: memory, descriptors, loop time."""

from __future__ import annotations

from errno import EMFILE
from socket import create_connection, socket
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from sequoiapulley.daemon.connection_log import MAX_LINES_PER_SECOND, ConnectionLog
from sequoiapulley.daemon.log_events import ACCEPT_FAILED, CONNECTION_ENDED
from sequoiapulley.observe.log_event import LogEvent, MemoryLog
from sequoiapulley.runtime import PausedClock
from sequoiapulley.wire.connection_budget import (
    BYTES_PER_MB,
    REQUEST_MEMORY_SHARE,
    RESERVED_FDS,
    BudgetedConnection,
    ConnectionBudget,
    EndReason,
    ResourceLimits,
)
from sequoiapulley.wire.http_server import ACCEPT_PAUSE_S, HttpServer
from sequoiapulley.wire.reactor import READABLE
from sequoiapulley.wire.request_parser import RequestParser
from sequoiapulley.wire.server_connection import CONNECTION_BYTES, ServerLimits, ServerRequest
from standins.crowd import (
    BODY_LIMIT_BYTES,
    HEADER_LIMIT_BYTES,
    SHORT_HEADER_LINE,
    CrowdKind,
    Target,
    chunks,
    payload,
)
from tests.wire_support import Loop

LIMITS = ServerLimits()
MEMORY_MB = 8
FDS_FOR_80_SOCKETS = 160
FDS_FOR_100_SOCKETS = 200
TARGET = Target("127.0.0.1", 1, "/")
POST = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def fields_of(log: MemoryLog, event: LogEvent) -> list[dict[str, object]]:
    """Returns the fields of each line of an event."""
    return [fields for found, fields in log.entries if found is event]


class FakeConnection:
    """A connection that notes why it was ended."""

    def __init__(
        self,
        memory: int = CONNECTION_BYTES,
        idle_since: float = 0.0,
        requests: int = 0,
        port: int = 1,
        serving: bool = False,
    ) -> None:
        self.memory = memory
        self.idle_since = idle_since
        self.requests = requests
        self.port = port
        self.caller = "127.0.0.1"
        self.serving = serving
        self.reason: EndReason | None = None
        self.budget: ConnectionBudget | None = None

    def end(self, reason: EndReason) -> None:
        self.reason = reason
        assert self.budget is not None
        self.budget.remove(self)


class ConnectionBudgetTest(TestCase):
    """Which connections are ended."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.clock = PausedClock()
        self.connection_log = ConnectionLog(self.log, self.clock)
        self.budget = ConnectionBudget(
            ResourceLimits(MEMORY_MB, FDS_FOR_80_SOCKETS),
            lambda: len(self.budget.connections),
            self.connection_log,
        )

    def add(self, *connections: FakeConnection) -> None:
        for conn in connections:
            conn.budget = self.budget
            self.budget.add(conn)

    def ended(self, *connections: FakeConnection) -> list[EndReason | None]:
        return [conn.reason for conn in connections]

    # Guards against refusing the ordinary caller that comes next instead of those that hold most.
    def test_connections_that_hold_most_are_ended_first(self) -> None:
        limit = self.budget.memory_limit
        large = [FakeConnection(limit // 5) for _ in range(4)]
        small = FakeConnection(limit // 20)
        self.add(*large, small)
        self.budget.enforce()
        self.assertEqual(self.ended(*large, small), [None] * 5)
        self.budget.resize(small, limit // 4)
        self.budget.resize(large[0], limit // 2)
        self.budget.enforce()
        self.assertEqual(self.ended(*large, small), [EndReason.MEMORY, *[None] * 4])
        self.assertLessEqual(self.budget.used, limit)
        self.assertEqual(self.connection_log.ended, {"memory": 1})

    # Guards against ending requests that upstreams run while others of the size are incomplete.
    def test_requests_being_served_are_ended_last(self) -> None:
        limit = self.budget.memory_limit
        serving = FakeConnection(limit // 2, serving=True)
        incomplete = FakeConnection(limit // 3)
        self.add(serving, incomplete)
        self.budget.resize(incomplete, limit // 2 + 1)
        self.budget.enforce()
        self.assertEqual(self.ended(serving, incomplete), [None, EndReason.MEMORY])

    # Guards against silent connections that keep new ones out.
    def test_new_connections_replace_silent_ones_of_the_busiest_port(self) -> None:
        silent = [FakeConnection(idle_since=float(number), port=1) for number in range(60)]
        used = FakeConnection(idle_since=-1.0, requests=3, port=1)
        other = FakeConnection(idle_since=-1.0, port=2)
        self.add(*silent, used, other)
        self.assertTrue(self.budget.admit())
        self.add(*(FakeConnection(port=2, serving=True) for _ in range(10)))
        self.assertTrue(self.budget.admit())
        self.assertEqual(self.ended(*silent[:4]), [*[EndReason.DESCRIPTORS] * 3, None])
        self.assertEqual(self.ended(used, other), [None, None])

    def test_no_connection_is_admitted_if_all_are_serving(self) -> None:
        self.add(*(FakeConnection(serving=True) for _ in range(70)))
        self.assertFalse(self.budget.admit())

    # Guards against upstreams' connections that leave none for callers.
    def test_callers_keep_a_part_of_the_sockets(self) -> None:
        budget = ConnectionBudget(ResourceLimits(MEMORY_MB, FDS_FOR_80_SOCKETS), lambda: 500)
        self.assertTrue(budget.admit())

    def test_limits_follow_from_the_settings_or_else_the_machine(self) -> None:
        self.assertEqual(
            self.budget.memory_limit, int(MEMORY_MB * BYTES_PER_MB * REQUEST_MEMORY_SHARE)
        )
        self.assertEqual(ResourceLimits(1, 1_535).sockets, 1_535 - RESERVED_FDS)
        self.assertGreater(ResourceLimits().memory, 0)
        self.assertGreater(ResourceLimits().sockets, 0)
        self.budget.configure(ResourceLimits(4 * MEMORY_MB, 1_535))
        self.assertEqual(
            self.budget.memory_limit, int(4 * MEMORY_MB * BYTES_PER_MB * REQUEST_MEMORY_SHARE)
        )

    # Guards against log lines without end of a crowd that is refused without end.
    def test_log_lines_have_a_bounded_rate_and_state_share_and_total(self) -> None:
        conn: BudgetedConnection = FakeConnection(5)
        for _ in range(3 * MAX_LINES_PER_SECOND):
            self.connection_log.connection_ended(conn, EndReason.MEMORY, 70)
        self.clock.advance(1.0)
        self.connection_log.connection_ended(conn, EndReason.MEMORY, 70)
        lines = fields_of(self.log, CONNECTION_ENDED)
        self.assertEqual(len(lines), MAX_LINES_PER_SECOND + 1)
        self.assertEqual(
            lines[-1],
            {
                "reason": "memory",
                "port": 1,
                "caller": "127.0.0.1",
                "bytes": 5,
                "total": 70,
                "left_out": 2 * MAX_LINES_PER_SECOND,
            },
        )
        self.assertEqual(self.connection_log.ended, {"memory": 3 * MAX_LINES_PER_SECOND + 1})


class RequestMemoryTest(TestCase):
    """The memory that the parser counts, and requests at the limits."""

    def test_memory_counts_headers_as_objects_and_bodies_at_their_size(self) -> None:
        for kind, least, most in (
            (CrowdKind.SHORT_HEADERS, 400_000, 700_000),
            (CrowdKind.SMALL_CHUNKS, BODY_LIMIT_BYTES - 1, BODY_LIMIT_BYTES + 20_000),
        ):
            with self.subTest(kind=kind):
                parser = RequestParser(HEADER_LIMIT_BYTES, BODY_LIMIT_BYTES)
                parser.feed(payload(kind, TARGET))
                self.assertGreater(parser.memory, least)
                self.assertLess(parser.memory, most)
                parser.discard()
                self.assertEqual(parser.memory, 0)

    # Guards against limits that a single client inside those of the configuration would meet.
    @settings(max_examples=20)
    @given(st.sampled_from([1, 2, 16, 65_000]), st.integers(1, 70_000))
    def test_requests_at_the_limits_are_read_in_any_pieces(self, chunk: int, piece: int) -> None:
        size = 30_000 if piece < 64 else BODY_LIMIT_BYTES
        parser = RequestParser(HEADER_LIMIT_BYTES, size)
        short = SHORT_HEADER_LINE * ((HEADER_LIMIT_BYTES - 200) // len(SHORT_HEADER_LINE))
        wire = POST[:-2] + short + b"\r\n" + chunks(size, chunk) + b"0\r\n\r\n"
        found = []
        for at in range(0, len(wire), piece):
            found.extend(parser.feed(wire[at : at + piece]))
        self.assertEqual([len(parsed.body) for parsed in found], [size])


class CrowdedServerTest(TestCase):
    """A server whose budget is small, and whose requests are answered by the test."""

    def setUp(self) -> None:
        self.loop = Loop(PausedClock())
        self.requests: list[ServerRequest] = []
        self.log = MemoryLog()
        self.budget = ConnectionBudget(
            ResourceLimits(MEMORY_MB, FDS_FOR_100_SOCKETS),
            lambda: self.loop.reactor.sockets,
            ConnectionLog(self.log, self.loop.clock),
        )
        self.server = self.listen()

    def listen(self) -> HttpServer:
        server = HttpServer(
            self.loop.reactor,
            self.loop.timers,
            "127.0.0.1",
            0,
            self.requests.append,
            LIMITS,
            self.budget,
        )
        self.addCleanup(server.close)
        return server

    def connect(self, data: bytes = b"", server: HttpServer | None = None) -> socket:
        sock = create_connection(("127.0.0.1", (server or self.server).port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        while data:
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                self.loop.settle()
        self.loop.settle()
        return sock

    def received(self, sock: socket) -> bytes:
        """Returns what has arrived; empty if the connection has ended without an answer."""
        self.loop.settle()
        data = b""
        while True:
            try:
                part = sock.recv(1_000_000)
            except BlockingIOError:
                return data or b"<open>"
            if not part:
                return data
            data += part

    # Guards against a sum of incomplete bodies beyond the memory; a refusal says nothing ran.
    def test_incomplete_requests_are_refused_with_a_promise_that_is_true(self) -> None:
        body = POST + chunks(BODY_LIMIT_BYTES - 1, 65_000)
        socks = [self.connect(body) for _ in range(12)]
        self.assertLessEqual(self.budget.used, self.budget.memory_limit)
        answers = [self.received(sock) for sock in socks]
        refused = [answer for answer in answers if answer.startswith(b"HTTP/1.1 503")]
        self.assertEqual(len(refused) + answers.count(b"<open>"), len(socks))
        self.assertTrue(refused)
        self.assertIn(b"Retry-After: 1\r\n", refused[0])
        self.assertEqual(self.requests, [])
        self.connect(GET)
        self.assertEqual(len(self.requests), 1)

    # Guards against the sum over several ports.
    def test_ports_share_one_budget(self) -> None:
        other = self.listen()
        body = POST + chunks(BODY_LIMIT_BYTES - 1, 65_000)
        for number in range(12):
            self.connect(body, other if number % 2 else None)
        self.assertLessEqual(self.budget.used, self.budget.memory_limit)

    # Guards against a request that may have run being refused as if it had not.
    def test_a_request_that_is_given_up_promises_what_its_handler_knows(self) -> None:
        whole = POST + chunks(BODY_LIMIT_BYTES, 65_000) + b"0\r\n\r\n"
        first = self.connect(whole)
        [req] = self.requests
        gone: list[str] = []
        req.on_disconnect = lambda: gone.append("gone")
        second = self.connect(whole)
        known = self.requests[1]
        known.on_give_up = lambda: known.answer(503, (), b"given up")
        for conn in tuple(self.budget.connections):
            conn.end(EndReason.MEMORY)
        self.assertTrue(self.received(first).startswith(b"HTTP/1.1 502"))
        self.assertEqual(gone, ["gone"])
        answer = self.received(second)
        self.assertIn(b"Connection: close", answer)
        self.assertTrue(answer.endswith(b"given up"))

    # Guards against answers that pile up for a caller that sends requests and reads nothing.
    def test_no_request_is_served_while_answers_are_not_read(self) -> None:
        sock = self.connect(GET * 40)
        served = 0
        while len(self.requests) > served and served < 40:
            self.requests[served].answer(200, (), b"a" * 1_000_000)
            served += 1
            self.loop.settle()
        self.assertLess(served, 40)
        [conn] = self.budget.connections
        self.assertLess(conn.memory, 1_100_000)
        read = 0
        while read < 40 * 1_000_000:
            read += max(0, len(self.received(sock)) - len(b"<open>"))
            if len(self.requests) > served:
                self.requests[served].answer(200, (), b"a" * 1_000_000)
                served += 1
        self.assertEqual(served, 40)

    # Guards against a body that is announced to exceed the limit and kept until then.
    def test_an_announced_body_over_the_limit_is_refused_before_it_is_sent(self) -> None:
        sock = self.connect(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 262145\r\n\r\n")
        self.assertTrue(self.received(sock).startswith(b"HTTP/1.1 413"))

    # Guards against an accept loop that spins, or ends, for want of descriptors.
    def test_accepting_pauses_without_descriptors_and_goes_on(self) -> None:
        silent = self.connect()
        listener = self.server._sock
        assert listener is not None
        with patch.object(self.server, "_sock") as fake:
            fake.fileno.return_value = listener.fileno()
            fake.accept.side_effect = OSError(EMFILE, "no descriptor")
            self.server.on_ready(READABLE)
            self.assertEqual(fake.accept.call_count, 1)
        self.assertEqual(len(fields_of(self.log, ACCEPT_FAILED)), 1)
        self.assertEqual(self.received(silent), b"")
        create_connection(("127.0.0.1", self.server.port)).close()
        self.loop.settle()
        self.assertEqual(len(self.server.connections), 0)
        self.connect()
        self.loop.advance(ACCEPT_PAUSE_S)
        self.assertGreater(len(self.server.connections), 0)

    # Guards against connections up to the limit that keep others out.
    def test_a_new_caller_is_served_beside_silent_ones(self) -> None:
        for _ in range(120):
            self.connect()
            self.loop.advance(0.001)
        self.assertLess(self.loop.reactor.sockets, 100)
        self.connect(GET)
        self.assertEqual(len(self.requests), 1)

    # Guards against budgets that shrink with each connection that ends.
    def test_the_budget_is_returned_however_a_connection_ends(self) -> None:
        for data in (b"", GET, GET * 3, POST + chunks(5_000, 2), b"\x16\x03", GET[:-2] * 500):
            sock = self.connect(data)
            for req in self.requests:
                req.answer(200, (), b"a")
            self.requests.clear()
            sock.close()
            self.loop.settle()
            self.loop.advance(LIMITS.idle_timeout)
            self.assertEqual((self.budget.used, len(self.budget.connections)), (0, 0))


class FairnessTest(TestCase):
    """Sockets that the reactor may defer."""

    # Guards against a crowd that keeps the loop from timers and other sockets.
    def test_deferrable_sockets_take_turns_and_others_come_first(self) -> None:
        loop = Loop(PausedClock())
        calls: list[int] = []

        class Handler:
            def __init__(self, number: int) -> None:
                self.number = number

            def on_ready(self, events: int) -> None:
                calls.append(self.number)
                assert isinstance(loop.clock, PausedClock)
                loop.clock.advance(0.006)

            def on_failure(self) -> None:
                raise AssertionError

        listener = socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.addCleanup(listener.close)
        for number in range(6):
            sock = create_connection(listener.getsockname())
            self.addCleanup(sock.close)
            accepted, _ = listener.accept()
            self.addCleanup(accepted.close)
            sock.sendall(b"a")
            loop.reactor.register(accepted.fileno(), READABLE, Handler(number))
            if number:
                loop.reactor.set_deferrable(accepted.fileno(), True)
        for _ in range(5):
            loop.reactor.poll()
        self.assertEqual(calls[::3], [0] * 5)
        deferred = [number for number in calls if number]
        self.assertEqual(sorted(deferred[:5]), [1, 2, 3, 4, 5])
        self.assertEqual(deferred[:5], deferred[5:])


class LimitsOfServerTest(TestCase):
    """Settings of the limits while connections are open."""

    def test_lower_limits_apply_to_open_connections(self) -> None:
        budget = ConnectionBudget(ResourceLimits(64, 400), lambda: 0)
        conn = FakeConnection(4 * BYTES_PER_MB)
        conn.budget = budget
        budget.add(conn)
        budget.enforce()
        self.assertIsNone(conn.reason)
        budget.configure(replace(ResourceLimits(), memory_mb=8))
        budget.enforce()
        self.assertIs(conn.reason, EndReason.MEMORY)
