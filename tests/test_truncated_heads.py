"""Tests of replies that stop at any byte of their head or body, in both programs.

The upstreams and nodes are stand-ins on real sockets of the same event loop: each reads a request,
sends the first bytes of a reply and ends the connection.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from socket import IPPROTO_TCP, TCP_NODELAY, create_server, socket
from unittest import TestCase

from msgspec.msgpack import encode
from msgspec.structs import replace
from result import Err, Ok, Result

from sequoiapulley.daemon.handover_client import HttpHandoverClient
from sequoiapulley.daemon.handover_port import HandoverReply
from sequoiapulley.daemon.parts_port import HttpPartsClient
from sequoiapulley.forward.aggregators import PartsReply, PartsRequest, PartsTimeouts
from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.messages import (
    Answer,
    CallerRequest,
    ExchangeEnd,
    ExchangeReply,
    UpstreamRecord,
)
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.shown_version import ShownVersion
from sequoiapulley.forward.upstream_pool import UpstreamPool
from sequoiapulley.ids import FailureDomainName, RequestId, ServiceName, UpstreamName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.platform.platform_contract import PlatformContract
from sequoiapulley.requests.messages import RunState
from sequoiapulley.runtime import PausedClock
from sequoiapulley.upstream.http_contract import RUN_PATH, SEARCH_PATH
from sequoiapulley.upstream.messages import ReplyKind
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.http_connection import ReplyBounds
from sequoiapulley.wire.reactor import READABLE
from tests.simulated_upstreams import SimulatedNet, gather_route, plain_route
from tests.state_fixtures import node
from tests.test_upstream_path import NAMES, Home
from tests.wire_support import Loop, Recorder, reset

POLL_S = 0.0005
MAX_TURNS = 2_000
PAUSE_S = 0.004
RECEIVE_BYTES = 65_536
RECORD = b"record-of-a-part"
PROMISES_OF_NOT_RUN = frozenset({408, 421, 429, 503})
UNFRAMED = ReplyBounds(unframed=True)
"""The bounds of the forwarding node's pools."""


class End(Enum):
    """How a stand-in ends a connection after the last byte of its reply."""

    CLOSE = "close"
    RESET = "reset"
    CLOSE_LATER = "close later"


class StandIn:
    """A server that answers the requests of each connection by a script, then ends it."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.listener = create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.port: int = self.listener.getsockname()[1]
        self.whole_replies = 0
        """Number of replies on each connection that are sent whole and leave it open."""
        self.reply: Callable[[bytes], bytes] = lambda request: b""
        """Returns the whole reply to a request."""
        self.cut: int | None = None
        """Number of bytes of a reply that are sent before the end; None for all of them."""
        self.end = End.CLOSE
        self.requests = 0
        self.connections: list[StandInConnection] = []
        loop.reactor.register(self.listener.fileno(), READABLE, self)

    def on_ready(self, _events: int) -> None:
        """Accepts a connection."""
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return
        self.connections.append(StandInConnection(self, sock))

    def on_failure(self) -> None:
        """Does nothing: the reactor of the tests raises errors."""

    def close(self) -> None:
        """Closes every socket."""
        for conn in self.connections:
            conn.close()
        self.loop.reactor.unregister(self.listener.fileno())
        self.listener.close()


class StandInConnection:
    """One connection of a stand-in."""

    def __init__(self, server: StandIn, sock: socket) -> None:
        self.server = server
        self.sock = sock
        self.closed = False
        self.served = 0
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        server.loop.reactor.register(sock.fileno(), READABLE, self)

    def on_ready(self, _events: int) -> None:
        """Replies to a request."""
        try:
            request = self.sock.recv(RECEIVE_BYTES)
        except ConnectionError:
            request = b""
        if not request:
            self.close()
            return
        server = self.server
        server.requests += 1
        whole = server.reply(request)
        if self.served < server.whole_replies:
            self.served += 1
            self.sock.sendall(whole)
            return
        self.sock.sendall(whole[: server.cut])
        if server.end is End.CLOSE:
            self.close()
        elif server.end is End.RESET:
            self._unregister()
            reset(self.sock)
        else:
            server.loop.timers.call_later(PAUSE_S, self.close)

    def on_failure(self) -> None:
        """Does nothing: the reactor of the tests raises errors."""

    def close(self) -> None:
        """Closes the connection."""
        self._unregister()
        self.sock.close()

    def _unregister(self) -> None:
        """Stops watching the socket."""
        if not self.closed:
            self.closed = True
            self.server.loop.reactor.unregister(self.sock.fileno())


class StandInTestCase(TestCase):
    """Test case with an event loop on a paused clock, which advances while no socket is ready."""

    def setUp(self) -> None:
        self.loop = Loop(PausedClock())
        self.addCleanup(self.loop.reactor.close)

    def stand_in(self) -> StandIn:
        """Starts a stand-in."""
        server = StandIn(self.loop)
        self.addCleanup(server.close)
        return server

    def until(self, condition: Callable[[], object]) -> None:
        """Runs sockets and, while none is ready, the next timers until a condition holds."""
        clock = self.loop.clock
        assert isinstance(clock, PausedClock)
        for _ in range(MAX_TURNS):
            if condition():
                return
            if self.loop.reactor.poll(POLL_S):
                continue
            due = self.loop.timers.next_due()
            if due is not None:
                clock.advance(max(0.0, due - clock.now()))
                self.loop.timers.run_due()
        raise AssertionError("the condition was not met in time")


def attempt_of(request: bytes) -> bytes:
    """Returns the id of a request to an upstream of the forwarding node."""
    return request.lower().partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]


def sealed(request: bytes, framing: bytes, rest: bytes, status: bytes = b"200 OK") -> bytes:
    """Returns a reply of an upstream of the forwarding node."""
    return (
        b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n%b\r\n%b"
        % (status, attempt_of(request), framing, rest)
    )  # fmt: skip


LENGTH = b"Content-Length: 120\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n"
BODY = b"b" * 120
CHUNKED_BODY = b"50\r\n" + b"b" * 80 + b"\r\n28;x=y\r\n" + b"b" * 40 + b"\r\n0\r\nX-T: 1\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Server-Seal: s\r\n\r\n"

SHAPES: dict[str, Callable[[bytes], bytes]] = {
    "length": lambda request: sealed(request, LENGTH, BODY),
    "chunks": lambda request: sealed(request, CHUNKS, CHUNKED_BODY),
    "interim reply first": lambda request: INTERIM + sealed(request, LENGTH, BODY),
    "no body": lambda request: sealed(request, b"Content-Length: 0\r\n", b""),
    "no content": lambda request: sealed(request, b"", b"", b"204 No Content"),
    "refusal": lambda request: sealed(
        request, b"X-Not-Executed: 1\r\n" + LENGTH, BODY, b"503 Full"
    ),
}


def request_with_id(name: str, method: bytes = b"GET") -> CallerRequest:
    """Returns a caller's request."""
    headers = ((b"X-Attempt-Id", name.encode()),)
    return CallerRequest(RequestId(name), method, b"/p/1", "h", headers, b"", 1.0, 0.0)


class UpstreamPoolTest(StandInTestCase):
    """The forwarding node's pool: a reply that broke off is never a reply."""

    def pool(self, server: StandIn) -> UpstreamPool:
        """Returns a pool without connections."""
        record = upstream_record("u", "s", server.port)
        return UpstreamPool(
            self.loop.reactor, self.loop.timers, PlatformContract(), record, UNFRAMED
        )

    def exchange(self, pool: UpstreamPool, name: str) -> ExchangeReply:
        """Sends a request; returns the end of its exchange."""
        ends: list[ExchangeReply] = []
        deadline = self.loop.clock.now() + 10.0
        pool.submit(Exchange(request_with_id(name), deadline, True, ends.append))
        self.until(lambda: ends)
        return ends[0]

    def cuts(self, shape: Callable[[bytes], bytes]) -> Iterator[int]:
        """Yields the numbers of bytes that are less than a whole reply."""
        yield from range(len(shape(b"X-Attempt-Id: r1\r\n")))

    # Guards against a head or body that stops being taken for a shorter reply.
    def test_reply_cut_at_any_byte_is_no_reply(self) -> None:
        for name, shape in SHAPES.items():
            for end in End:
                server = self.stand_in()
                server.reply, server.end = shape, end
                pool = self.pool(server)
                for cut in self.cuts(shape):
                    server.cut = cut
                    found = self.exchange(pool, "r1")
                    expected = ExchangeEnd.MALFORMED if cut else ExchangeEnd.LOST
                    self.assertIs(found.end, expected, (name, end, cut))
                    self.assertIsNone(found.reply)
                server.cut = None
                self.assertIsNotNone(self.exchange(pool, "r1").reply, name)

    # Guards against what an earlier reply left in the parser completing one that stops.
    def test_reply_cut_at_any_byte_of_a_reused_connection_is_no_reply(self) -> None:
        for name, shape in SHAPES.items():
            server = self.stand_in()
            server.reply, server.whole_replies = shape, 1
            pool = self.pool(server)
            for cut in self.cuts(shape):
                server.cut = cut
                opened = pool.opened
                self.assertIsNotNone(self.exchange(pool, "r0").reply)
                found = self.exchange(pool, "r1")
                self.assertEqual(pool.opened, opened + 1, "the connection was not reused")
                self.assertIsNone(found.reply, (name, cut))
                self.assertNotIn(found.end, (ExchangeEnd.NOT_RUN, ExchangeEnd.NOT_SENT))

    # Guards against a head that stops being completed as one of a reply without a length.
    def test_reply_without_a_length_needs_its_whole_head_and_an_orderly_close(self) -> None:
        def shape(request: bytes) -> bytes:
            return sealed(request, b"", BODY)

        head = len(shape(b"X-Attempt-Id: r1\r\n")) - len(BODY)
        for end in End:
            server = self.stand_in()
            server.reply, server.end = shape, end
            pool = self.pool(server)
            for cut in self.cuts(shape):
                server.cut = cut
                found = self.exchange(pool, "r1")
                if cut < head or end is End.RESET:
                    self.assertIsNone(found.reply, (end, cut))
                    continue
                # The end of the connection is the end of such a body.
                assert found.reply is not None
                self.assertEqual(len(found.reply.body), cut - head)

    # Guards against heads that a lenient parser reads as shorter ones.
    def test_head_with_broken_lines_is_no_reply(self) -> None:
        for old, new in (
            (b"\r\n", b"\n"),
            (b"\r\n\r\n", b"\r\n\n"),
            (b"\r\n\r\n", b"\n\r\n"),
            (b"Content-Length: 120", b"Content-Length: "),
            (b"Content-Length: 120", b"Content-Length: 1\r\n 20"),
            (b"Content-Length: 120", b"Content-Length: 1\r\nContent-Length: 120"),
            (b"Content-Length: 120", b"Content-Length: 1, 120"),
            (b"Content-Length: 120", b"Content-Length: 1\r\nTransfer-Encoding: chunked"),
            (b"Content-Length: 120", b"Transfer-Encoding: chunke"),
        ):
            server = self.stand_in()
            whole = SHAPES["length"](b"X-Attempt-Id: r1\r\n").replace(old, new)
            server.reply = lambda request, whole=whole: whole  # type: ignore[misc]
            found = self.exchange(self.pool(server), "r1")
            self.assertIs(found.end, ExchangeEnd.MALFORMED, whole)


def upstream_record(name: str, service: str, port: int) -> UpstreamRecord:
    """Returns the record of a stand-in."""
    return UpstreamRecord(
        UpstreamName(name),
        ServiceName(service),
        "127.0.0.1",
        port,
        FailureDomainName("here"),
        8,
        False,
        0.0,
        1,
    )


class ForwarderTest(StandInTestCase):
    """The whole way of a request through the forwarding node, except for the callers' port."""

    def forwarder(self, servers: dict[str, StandIn]) -> Forwarder:
        """Returns the forwarding logic of a node with upstreams named `<service>-<n>`."""
        net = SimulatedNet(lambda *_: None, timers=self.loop.timers)
        net.directory._make_pool = lambda record: UpstreamPool(
            self.loop.reactor, self.loop.timers, PlatformContract(), record, UNFRAMED
        )
        net.ctx = replace(net.ctx, contract=PlatformContract())
        net.forwarder = Forwarder(net.ctx)
        for name, server in servers.items():
            net.directory.put(upstream_record(name, name.rpartition("-")[0], server.port))
        shards = (ServiceName("shard-a"), ServiceName("shard-b"))
        net.apply(
            gather_route(shards, 0.0),
            plain_route("s", prefix="/p/"),
            plain_route("s", idempotent=False, prefix="/o/"),
        )
        return net.forwarder

    def ask(self, forwarder: Forwarder, target: bytes) -> Answer:
        """Returns the answer to a request."""
        answers: list[Answer] = []
        req = replace(request_with_id("r1"), target=target, arrived=self.loop.clock.now())
        forwarder.handle(req, answers.append)
        self.until(lambda: answers)
        return answers[0]

    # Guards against a shorter answer that looks whole, and a wrong promise that an order never ran.
    def test_caller_gets_no_success_of_replies_that_broke_off(self) -> None:
        for name in ("length", "chunks", "refusal"):
            shape = SHAPES[name]
            server = self.stand_in()
            server.reply = shape
            for cut in range(len(shape(b"X-Attempt-Id: r1\r\n"))):
                server.cut = cut
                answer = self.ask(self.forwarder({"s-1": server, "s-2": server}), b"/p/1")
                self.assertGreaterEqual(answer.status, 500, (name, cut))
                before = server.requests
                answer = self.ask(self.forwarder({"s-1": server, "s-2": server}), b"/o/1")
                self.assertGreaterEqual(answer.status, 500, (name, cut))
                self.assertNotIn(answer.status, PROMISES_OF_NOT_RUN, (name, cut))
                self.assertEqual(server.requests, before + 1, "an order was sent twice")

    # Guards against a part that broke off being named among the parts of an answer.
    def test_part_that_broke_off_is_not_a_part(self) -> None:
        whole = self.stand_in()
        whole.reply = (
            lambda request: sealed(request, LENGTH, b"")
            .replace(LENGTH + b"\r\n", b"Content-Length: 16\r\n\r\n" + RECORD)
            .replace(b"Seal: s", b"Seal: whole")
        )
        for shape in (SHAPES["length"], SHAPES["chunks"]):
            broken = self.stand_in()
            broken.reply = shape
            for cut in range(len(shape(b"X-Attempt-Id: r1\r\n"))):
                broken.cut = cut
                answer = self.ask(
                    self.forwarder({"shard-a-1": whole, "shard-b-1": broken}), b"/q/1"
                )
                headers = dict(answer.headers)
                self.assertEqual(headers.get(b"x-part-seals"), b"whole", (answer, cut))
                self.assertEqual(headers.get(b"x-missing-parts"), b"1")
                self.assertEqual(answer.body, RECORD)


class NodeClientsTest(StandInTestCase):
    """Replies of one forwarding node to another: parts, and answers to handed-over requests."""

    def setUp(self) -> None:
        super().setUp()
        self.server = self.stand_in()
        # The bounds of the node's clients.
        self.client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers, UNFRAMED)
        self.addCleanup(self.client.close)
        self.record = replace(node("n2"), host="127.0.0.1", peers_port=self.server.port)

    def parts(self) -> Result[object, object]:
        """Requests parts; returns the result."""
        results: list[Result[object, object]] = []
        request = PartsRequest(
            RequestId("r1"), b"GET", b"/q/1", "h", (), b"", 1.0, 0.5, "g", 0.1, 2, 5, ()
        )
        timeouts = PartsTimeouts(1.0, None)
        HttpPartsClient(self.client).request_parts(self.record, request, timeouts, results.append)
        self.until(lambda: results)
        return results[0]

    def handover(self) -> Result[object, object]:
        """Hands a request over; returns the result."""
        results: list[Result[object, object]] = []
        peers = PeerTable(node("n1"), MemoryLog())
        client = HttpHandoverClient(self.client, peers, self.loop.clock, ShownVersion())
        client.hand_over(self.record, request_with_id("r1", b"POST"), 1.0, results.append)
        self.until(lambda: results)
        return results[0]

    def whole_replies(self) -> Iterator[tuple[Callable[[], Result[object, object]], bytes]]:
        """Yields each kind of call with the body of its reply."""
        yield self.parts, encode(PartsReply({0: b"s"}, RECORD, 0.1, (), RequestId("r1")))
        headers = ((b"x-server-seal", b"s"),)
        yield self.handover, encode(HandoverReply(RequestId("r1"), 200, headers, BODY))

    # Guards against a node that is killed within a reply: its request may have run.
    def test_reply_of_a_node_cut_at_any_byte_may_have_run(self) -> None:
        for call, body in self.whole_replies():
            for status in (b"200 OK", b"503 Service Unavailable"):
                head = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
                self.server.reply = lambda _, whole=head + body: whole  # type: ignore[misc]
                for end in End:
                    self.server.end = end
                    for cut in range(len(head + body)):
                        self.server.cut = cut
                        self.assert_may_have_run(call())
            self.server.cut = None
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            self.server.reply = lambda _, whole=head + body: whole  # type: ignore[misc]
            self.assertIsInstance(call(), Ok)

    # Guards against bytes without a length, which no node sends, being taken for a node's reply.
    def test_reply_of_a_node_without_a_length_may_have_run(self) -> None:
        for call, body in self.whole_replies():
            for status in (b"200 OK", b"503 Service Unavailable"):
                whole = b"HTTP/1.1 %b\r\nX-A: b\r\n\r\n%b" % (status, body)
                self.server.reply = lambda _, whole=whole: whole  # type: ignore[misc]
                with self.subTest(call=call.__name__, status=status):
                    self.assert_may_have_run(call())

    def assert_may_have_run(self, result: Result[object, object]) -> None:
        """Fails unless a call has failed with a request that may have run."""
        assert isinstance(result, Err), result
        self.assertTrue(result.err_value.sent, result)  # type: ignore[attr-defined]


def envelope(request: bytes, rest: bytes) -> bytes:
    """Returns the body of a reply to a request of sequoiapulleyd."""
    number = request.partition(b'"request_id":')[2].partition(b",")[0]
    return b'{"request_id":%b,"snapshot":"1.1",%b}' % (number, rest)


HITS = b'"shard":"i","hits":[]'
RESULT = b'"result":{"a":1}'


def with_length(body: bytes, status: bytes = b"200 OK") -> bytes:
    """Returns a reply with a stated length."""
    return b"HTTP/1.1 %b\r\nX-Load: 0.5\r\nContent-Length: %d\r\n\r\n%b" % (
        status,
        len(body),
        body,
    )


def in_chunks(body: bytes) -> bytes:
    """Returns a reply in two chunks with a trailer."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = (body[:20], body[20:])
    return head + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


SHAPES_OF_UPSTREAMS: dict[str, Callable[[bytes], bytes]] = {
    "length": lambda request: with_length(envelope(request, HITS)),
    "chunks": lambda request: in_chunks(envelope(request, HITS)),
    "interim reply first": lambda request: b"HTTP/1.1 100 Continue\r\n\r\n"
    + with_length(envelope(request, HITS)),
    "refusal": lambda request: with_length(envelope(request, b'"x":1'), b"503 Draining"),
    "error": lambda request: with_length(b"failed", b"500 Error"),
}


class UpstreamTransportTest(StandInTestCase):
    """The pools of sequoiapulleyd: a reply that broke off is malformed, or lost if none began."""

    def setUp(self) -> None:
        super().setUp()
        self.number = 0

    def outcome(self, recorder: Recorder, path: str) -> ReplyKind | None:
        """Sends a request; returns the kind of its reply, None if the connection was lost."""
        self.number += 1
        number = self.number
        recorder.send(number, path)
        self.until(lambda: number in recorder.outcomes)
        reply = recorder.replies.get(number)
        return reply.kind if reply is not None else None

    # Guards against a head or body that stops being taken for a shorter reply.
    def test_reply_cut_at_any_byte_is_malformed_or_lost(self) -> None:
        for name, shape in SHAPES_OF_UPSTREAMS.items():
            for end in End:
                server = self.stand_in()
                server.reply, server.end = shape, end
                recorder = Recorder(self.loop, server.port)
                for cut in range(len(shape(b'"request_id":1000,'))):
                    server.cut = cut
                    kind = self.outcome(recorder, SEARCH_PATH)
                    whole = len(shape(b'"request_id":%d,' % self.number))
                    if cut < whole:
                        expected = ReplyKind.MALFORMED if cut else None
                        self.assertIs(kind, expected, (name, end, cut))
                recorder.transport.close()

    # Guards against what an earlier reply left in the parser completing one that stops.
    def test_reply_cut_at_any_byte_of_a_reused_connection_is_malformed_or_lost(self) -> None:
        shape = SHAPES_OF_UPSTREAMS["length"]
        server = self.stand_in()
        server.reply, server.whole_replies = shape, 1
        recorder = Recorder(self.loop, server.port)
        for cut in range(len(shape(b'"request_id":1,'))):
            server.cut = cut
            opened = recorder.transport.counts().opened
            self.assertIs(self.outcome(recorder, SEARCH_PATH), ReplyKind.OK)
            kind = self.outcome(recorder, RUN_PATH)
            self.assertEqual(recorder.transport.counts().opened, opened + 1)
            self.assertIs(kind, ReplyKind.MALFORMED if cut else None, cut)
        recorder.transport.close()


class RunTest(TestCase):
    """Dispatcher and pools of sequoiapulleyd, with upstreams that stop within their replies."""

    def run_once(self, whole: Callable[[bytes], bytes], cut: int | None) -> tuple[RunState, int]:
        """Returns the outcome of a run, and how often it was sent."""
        loop = Loop()
        server = StandIn(loop)
        home = Home(dict.fromkeys(NAMES, server.port), loop)
        try:
            server.reply, server.cut = whole, cut
            return home.run(1, left=5.0).state, server.requests
        finally:
            home.transport.close()
            server.close()
            loop.reactor.close()

    # Guards against a run that is reported as not run, or run twice, after a reply that broke off.
    def test_run_whose_reply_breaks_off_is_unknown_and_sent_once(self) -> None:
        shapes: dict[Callable[[bytes], bytes], RunState] = {
            lambda request: with_length(envelope(request, RESULT)): RunState.DONE,
            lambda request: in_chunks(envelope(request, RESULT)): RunState.DONE,
            lambda request: with_length(
                envelope(request, b'"x":1'), b"504 Expired"
            ): RunState.NOT_RUN,
        }
        for shape, state in shapes.items():
            for cut in range(len(shape(b'"request_id":1,'))):
                self.assertEqual(self.run_once(shape, cut), (RunState.UNKNOWN, 1), cut)
            self.assertIs(self.run_once(shape, None)[0], state)
