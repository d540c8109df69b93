"""Tests of servers that send bytes without end, in a head or a body, at full speed or as a drip.

A reply is refused at its size limit, the connection is closed, and its memory is freed at once. The
large replies of several connections share a budget.
"""

from __future__ import annotations

from asyncio import get_running_loop
from typing import Final
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from result import Err

from sequoiapulley.forward.state import ChangesReply, SourceErrorKind
from sequoiapulley.platform.kv_source import KvSource
from sequoiapulley.upstream.messages import ReplyKind
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpFailureKind, HttpResult
from sequoiapulley.wire.http_connection import ReplyBounds
from sequoiapulley.wire.receive_budget import (
    DEFAULT_LARGE_BYTES,
    SMALL_BODY_BYTES,
    ReceiveBudget,
)
from sequoiapulley.wire.reply_parser import MAX_HEADERS, ReplyError, ReplyParser
from standins.http_server import (
    INTERIM_REPLY,
    SHORT_HEADER,
    Endless,
    EndlessPart,
    Request,
    Response,
)
from standins.store import StoreStandIn
from standins.thread_host import Listener, ThreadHost
from tests.node_process_case import TIMEOUT_S
from tests.state_fixtures import position
from tests.wire_support import Loop, Recorder

MAX_HEADER = 1_000
MAX_BODY = 200_000
LARGE_BODY_BYTES: Final = 3_900_000
LARGE_BODIES: Final = 12
HEADS = {
    EndlessPart.BODY: b"HTTP/1.1 200 x\r\n\r\n",
    EndlessPart.LENGTH_BODY: b"HTTP/1.1 200 x\r\nContent-Length: 190000\r\n\r\n",
    EndlessPart.CHUNKED_BODY: b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n",
}


class EndlessParserTest(TestCase):
    """The parser of one connection, and the budget that several share."""

    def feed_without_end(self, parser: ReplyParser, part: EndlessPart, size: int) -> int:
        """Feeds pieces of a reply until it is refused; returns the number of bytes fed."""
        piece = b"a" * size
        if part is EndlessPart.SHORT_HEADERS:
            head, piece = b"HTTP/1.1 200 x\r\n", SHORT_HEADER * (size // len(SHORT_HEADER) + 1)
        elif part is EndlessPart.INTERIM:
            head, piece = b"", INTERIM_REPLY * (size // len(INTERIM_REPLY) + 1)
        elif part is EndlessPart.HEAD:
            head, piece = b"HTTP/1.1 200 x\r\n", b"x: " + piece + b"\r\n"
        else:
            head = HEADS[part].replace(b"190000", b"1" + b"0" * 12)
        if part is EndlessPart.CHUNKED_BODY:
            piece = b"%x\r\n%b\r\n" % (size, piece)
        fed = len(head)
        with self.assertRaises(ReplyError) as caught:
            parser.feed(head)
            while fed < 20 * MAX_BODY:
                fed += len(piece)
                parser.feed(piece)
        self.assertTrue(caught.exception.too_large)
        return fed

    @given(st.sampled_from(EndlessPart), st.integers(1, 70_000))
    def test_reply_is_refused_at_its_limit(self, part: EndlessPart, size: int) -> None:
        parser = ReplyParser(MAX_HEADER, MAX_BODY)
        heads = (EndlessPart.HEAD, EndlessPart.SHORT_HEADERS, EndlessPart.INTERIM)
        limit = MAX_HEADER if part in heads else MAX_HEADER + 2 * MAX_BODY
        self.assertLess(self.feed_without_end(parser, part, size), limit + size + 200)

    def test_stated_length_over_the_limit_is_refused_before_the_body(self) -> None:
        parser = ReplyParser(MAX_HEADER, MAX_BODY)
        with self.assertRaises(ReplyError) as caught:
            parser.feed(b"HTTP/1.1 200 x\r\nContent-Length: 200001\r\n\r\n")
        self.assertEqual(str(caught.exception), "a body of 200001 bytes exceeds 200000 bytes")

    def test_skipped_replies_without_end_are_refused(self) -> None:
        for reply in (b"HTTP/1.1 100 x\r\n\r\n", b"HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\na"):
            parser = ReplyParser(MAX_HEADER, MAX_BODY)
            parser.expect(lambda _reply: False)
            with self.subTest(reply=reply), self.assertRaises(ReplyError):
                for _ in range(20_000):
                    parser.feed(reply)

    # Guards against the memory of headers of a few bytes, which is a multiple of their size.
    def test_too_many_headers_are_refused(self) -> None:
        head = b"HTTP/1.1 200 x\r\nContent-Length: 0\r\n" + SHORT_HEADER * (MAX_HEADERS - 1)
        self.assertIsNotNone(ReplyParser(100_000, MAX_BODY).feed(head + b"\r\n"))
        parser = ReplyParser(100_000, MAX_BODY)
        with self.assertRaisesRegex(ReplyError, "the headers exceed 256"):
            parser.feed(head + SHORT_HEADER + b"\r\n")

    # Guards against the memory of many replies that are each below the limits and never complete.
    def test_incomplete_small_replies_share_a_budget_and_complete_ones_need_none(self) -> None:
        beginnings = {
            EndlessPart.HEAD: b"HTTP/1.1 200 x\r\nx: " + b"a" * 14_000,
            EndlessPart.SHORT_HEADERS: b"HTTP/1.1 200 x\r\n" + SHORT_HEADER * 200,
            EndlessPart.BODY: HEADS[EndlessPart.BODY] + b"a" * 60_000,
        }
        for part, beginning in beginnings.items():
            with self.subTest(part=part):
                budget = ReceiveBudget(MAX_BODY, 1_000_000)
                parsers = [ReplyParser(16_384, MAX_BODY, budget) for _ in range(2_000)]
                refused = 0
                for parser in parsers:
                    try:
                        parser.feed(beginning)
                    except ReplyError as exc:
                        self.assertTrue(exc.too_large)
                        self.assertIn("exceed the budget", str(exc))
                        refused += 1
                held = (len(parsers) - refused) * len(beginning)
                self.assertLess(held, 1_000_000)
                self.assertLessEqual(budget.small_used, 1_000_000)
                self.assertGreater(budget.small_used, 900_000)
                other = ReplyParser(16_384, MAX_BODY, budget)
                whole = b"HTTP/1.1 200 x\r\nContent-Length: 60000\r\n\r\n" + b"a" * 60_000
                self.assertIsNotNone(other.feed(whole))
                for parser in parsers:
                    parser.close()
                self.assertEqual((budget.used, budget.small_used), (0, 0))

    @given(st.lists(st.integers(1, 90_000), min_size=1, max_size=8), st.booleans())
    def test_budget_is_returned_however_a_reply_ends(self, sizes: list[int], close: bool) -> None:
        budget = ReceiveBudget(MAX_BODY, MAX_BODY)
        parser = ReplyParser(MAX_HEADER, MAX_BODY, budget)
        parser.expect(lambda reply: reply.status == 200)
        try:
            for size in sizes:
                parser.feed(b"HTTP/1.1 500 x\r\nContent-Length: %d\r\n\r\n" % size + b"a" * size)
                parser.feed(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n" % size)
                self.assertGreater(budget.small_used, 0)
                if close:
                    break
                parser.feed(b"a" * size)
                self.assertEqual((budget.used, budget.small_used), (0, 0))
        except ReplyError:
            pass
        parser.close()
        self.assertEqual((budget.used, budget.small_used), (0, 0))

    def test_large_bodies_share_a_budget_and_small_ones_need_none(self) -> None:
        budget = ReceiveBudget(300_000)
        parsers = [ReplyParser(MAX_HEADER, MAX_BODY, budget) for _ in range(4)]
        refused = 0
        for parser in parsers:
            parser.feed(HEADS[EndlessPart.LENGTH_BODY])
            try:
                for _ in range(2):
                    parser.feed(b"a" * 70_000)
            except ReplyError:
                refused += 1
        self.assertEqual((refused, budget.used), (2, 280_000))
        small = ReplyParser(MAX_HEADER, MAX_BODY, budget)
        size = SMALL_BODY_BYTES
        reply = small.feed(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n" % size + b"a" * size)
        assert reply is not None
        self.assertEqual(len(reply.body), size)
        parsers[0].feed(b"a" * 20_000)
        for parser in parsers:
            parser.close()
        self.assertEqual(budget.used, 0)


class EndlessService:
    """Answers every request with bytes without end."""

    def __init__(self, endless: Endless) -> None:
        self.endless = endless
        self.listener = Listener(self.answer, "127.0.0.1", 0)

    async def open(self) -> None:
        await self.listener.open(get_running_loop())

    async def close(self) -> None:
        self.listener.close()

    async def answer(self, _request: Request) -> Response:
        return Response(200, b"", endless=self.endless)


class DefaultBudgetTest(TestCase):
    """Clients without a budget of their own, as in `sequoiapulleyd`."""

    def setUp(self) -> None:
        body = Endless(EndlessPart.CHUNKED_BODY, LARGE_BODY_BYTES, TIMEOUT_S)
        self.ports = []
        for _ in range(LARGE_BODIES):
            service = EndlessService(body)
            thread = ThreadHost(service)
            thread.start()
            self.addCleanup(thread.stop)
            self.ports.append(service.listener.port)
        self.loop = Loop()

    # Guards against the memory of many servers that send large bodies at the same time.
    def test_large_replies_to_one_client_share_a_budget(self) -> None:
        client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(client.close)
        results: list[HttpResult] = []
        for port in self.ports:
            call = HttpCall("127.0.0.1", port, "GET", "/health", timeout=2.0)
            client.request(call, results.append)
        self.loop.until(lambda: len(results) == LARGE_BODIES)
        details = [result.unwrap_err().detail for result in results]
        held = sum("exceed the budget" not in detail for detail in details)
        self.assertLessEqual(held * LARGE_BODY_BYTES, DEFAULT_LARGE_BYTES)
        self.assertGreater(held, 0)

    # Guards against the same in the connections to upstreams.
    def test_large_replies_of_upstreams_share_a_budget(self) -> None:
        recorder = Recorder(self.loop, self.ports[0], allowance=LARGE_BODIES)
        for number in range(LARGE_BODIES):
            recorder.send(number)
        refused = LARGE_BODIES - DEFAULT_LARGE_BYTES // LARGE_BODY_BYTES
        recorder.until_outcomes(refused)
        self.loop.settle()
        self.assertEqual(
            [reply.kind for reply in recorder.replies.values()], [ReplyKind.MALFORMED] * refused
        )


class EndlessServerTest(TestCase):
    """The client of the store and of peers."""

    def test_call_fails_and_the_next_one_uses_another_connection(self) -> None:
        for part in EndlessPart:
            for chunk, pause, kind in (
                (16_384, 0.0, HttpFailureKind.TOO_LARGE),
                (2, 0.01, HttpFailureKind.TIMEOUT),
            ):
                with self.subTest(part=part, chunk=chunk):
                    service = EndlessService(Endless(part, chunk, pause))
                    thread = ThreadHost(service)
                    thread.start()
                    self.addCleanup(thread.stop)
                    loop = Loop()
                    budget = ReceiveBudget(MAX_BODY)
                    bounds = ReplyBounds(
                        header_bytes=MAX_HEADER, body_bytes=MAX_BODY, unframed=True, budget=budget
                    )
                    client = HttpClient(loop.reactor, loop.clock, loop.timers, bounds)
                    self.addCleanup(client.close)
                    results: list[HttpResult] = []
                    call = HttpCall("127.0.0.1", service.listener.port, "GET", "/", timeout=0.3)
                    for _ in range(2):
                        client.request(call, results.append)
                        loop.until(lambda results=results: bool(results))
                        failure = results.pop().unwrap_err()
                        if part is EndlessPart.LENGTH_BODY:
                            kind = HttpFailureKind.TOO_LARGE
                        self.assertIs(failure.kind, kind)
                        if kind is HttpFailureKind.TOO_LARGE:
                            self.assertIn("exceed", failure.detail)
                        self.assertEqual((client.connections(), budget.used), (0, 0))

    def test_watch_with_too_many_changes_leads_to_a_full_read(self) -> None:
        store = StoreStandIn()
        store.start()
        self.addCleanup(store.stop)
        loop = Loop()
        bounds = ReplyBounds(body_bytes=MAX_BODY)
        client = HttpClient(loop.reactor, loop.clock, loop.timers, bounds)
        self.addCleanup(client.close)
        source = KvSource(client, store.host, store.port)
        for _ in range(3):
            store.put("other/key", b"x" * 100_000)
        replies: list[ChangesReply] = []
        source.read_changes(position(1), 0.1, 5.0, replies.append)
        loop.until(lambda: bool(replies))
        [found] = replies
        assert isinstance(found, Err)
        self.assertIs(found.err_value.kind, SourceErrorKind.HISTORY_COMPACTED)
