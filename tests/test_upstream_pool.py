"""Tests of a connection pool on real sockets: late, malformed and missing replies."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from gc import collect, disable, enable, get_objects
from socket import IPPROTO_TCP, SHUT_WR, SO_LINGER, SOL_SOCKET, TCP_NODELAY, create_server, socket
from struct import pack
from tracemalloc import get_traced_memory, start, stop
from unittest import TestCase
from unittest.mock import patch

from sequoiapulley.forward.attempt_history import REMEMBERED_ATTEMPTS, AttemptHistory
from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.messages import CallerRequest, ExchangeEnd, ExchangeReply, UpstreamRecord
from sequoiapulley.forward.upstream_pool import (
    ABANDONED_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    MAX_ABANDONED_BYTES,
    NON_IDEMPOTENT_IDLE_S,
    UpstreamPool,
)
from sequoiapulley.ids import FailureDomainName, RequestId, ServiceName, UpstreamName
from sequoiapulley.platform.platform_contract import PlatformContract
from sequoiapulley.runtime import PausedClock
from sequoiapulley.wire.http_connection import ReplyBounds
from tests.wire_support import Loop

SEAL = b"X-Server-Seal: s\r\n"
LONG_ID_BYTES = 15_000
LONG_BODY_BYTES = 16_000_000
"""More than the kernel's buffers of one connection hold."""


def reply(body: bytes = b"ok", attempt: bytes = b"r1", extra: bytes = b"") -> bytes:
    """Returns a complete reply of an upstream."""
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + b"\r\n" + SEAL + extra
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def count_requests() -> int:
    """Returns the number of callers' requests that are in memory."""
    return sum(1 for found in get_objects() if type(found) is CallerRequest)


class UpstreamPoolTest(TestCase):
    """One upstream whose side of the connection the test controls."""

    def setUp(self) -> None:
        self.loop = Loop(PausedClock())
        self.listener = create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        record = UpstreamRecord(
            UpstreamName("u"),
            ServiceName("s"),
            "127.0.0.1",
            self.listener.getsockname()[1],
            FailureDomainName("p"),
            2,
            False,
            0.0,
            1,
        )
        self.pool = UpstreamPool(
            self.loop.reactor,
            self.loop.timers,
            PlatformContract(),
            record,
            ReplyBounds(unframed=True),
        )
        self.ends: dict[str, ExchangeReply] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.accepted: list[socket] = []

    def send(self, name: str = "r1", may_reuse_idle: bool = True) -> Exchange:
        now = self.loop.clock.now()
        headers = ((b"X-Attempt-Id", name.encode()),) if name else ()
        req = CallerRequest(RequestId(name), b"GET", b"/x?y", "h", headers, b"", 1.0, now)
        exchange = Exchange(req, now + 1.0, may_reuse_idle, self._recorder(name))
        self.exchanges[name] = exchange
        self.pool.submit(exchange)
        self.loop.settle()
        return exchange

    def _recorder(self, name: str) -> Callable[[ExchangeReply], None]:
        def record_end(found: ExchangeReply) -> None:
            self.assertNotIn(name, self.ends)
            self.ends[name] = found

        return record_end

    def accept(self) -> socket:
        conn, _ = self.listener.accept()
        conn.setblocking(False)
        conn.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.addCleanup(conn.close)
        self.accepted.append(conn)
        self.loop.settle()
        return conn

    def exchange(self, name: str, conn: socket, data: bytes) -> ExchangeEnd | None:
        """Sends a request and the given reply bytes; returns the end of the exchange, if any."""
        self.send(name)
        conn.sendall(data)
        self.loop.settle()
        found = self.ends.get(name)
        return found.end if found is not None else None

    def first(self) -> socket:
        """Returns a connection that has carried one exchange."""
        self.send("r0")
        conn = self.accept()
        conn.sendall(reply(attempt=b"r0"))
        self.loop.settle()
        self.assertIs(self.ends["r0"].end, ExchangeEnd.REPLY)
        return conn

    # Guards against a status 000 or 600 as an answer, and against a wait for the reply behind it.
    def test_status_that_http_does_not_have_ends_the_exchange_at_once(self) -> None:
        for number, status in enumerate((b"000", b"099", b"101", b"199", b"600", b"999")):
            with self.subTest(status=status):
                name = f"s{number}"
                self.send(name)
                conn = self.accept()
                conn.sendall(reply(attempt=name.encode()).replace(b"200", status))
                self.loop.settle()
                end = self.ends[name]
                self.assertIs(end.end, ExchangeEnd.MALFORMED)
                self.assertIn(f"status {status.decode()} is not one of a reply", end.detail)
                self.assertEqual(conn.recv(9_000)[:3], b"GET")
                self.assertEqual(conn.recv(9_000), b"")

    def test_request_names_the_upstream_and_the_time_left(self) -> None:
        self.send()
        head = self.accept().recv(9_000).lower()
        self.assertTrue(head.startswith(b"get /x?y http/1.1\r\nhost: h\r\n"))
        self.assertIn(b"\r\nx-expected-instance: u\r\n", head)
        self.assertIn(b"\r\nx-deadline-ms: 1000\r\n", head)

    def test_late_reply_to_an_earlier_request_is_skipped(self) -> None:
        conn = self.first()
        self.assertIsNone(self.exchange("r1", conn, reply(b"stray", b"r0")))
        conn.sendall(reply(b"mine", b"r1"))
        self.loop.settle()
        found = self.ends["r1"].reply
        assert found is not None
        self.assertEqual((found.body, self.pool.busy), (b"mine", 0))
        self.send("r2")
        self.assertEqual(self.pool.opened, 2, "the connection with the stray reply was reused")

    def test_late_copy_of_the_last_reply_without_an_id_is_skipped(self) -> None:
        """The upstream sends its reply twice, the second time after the next request."""

        def unnamed(seal: bytes, body: bytes) -> bytes:
            head = b"HTTP/1.1 200 OK\r\nX-Server-Seal: %b\r\nContent-Length: %d\r\n\r\n"
            return head % (seal, len(body)) + body

        self.send("r0")
        conn = self.accept()
        conn.sendall(unnamed(b"seal-r0", b"first"))
        self.loop.settle()
        self.assertIs(self.ends["r0"].end, ExchangeEnd.REPLY)
        self.assertIsNone(self.exchange("r1", conn, unnamed(b"seal-r0", b"first")))
        conn.sendall(unnamed(b"seal-r1", b"second"))
        self.loop.settle()
        found = self.ends["r1"].reply
        assert found is not None
        self.assertEqual((found.body, found.keep_alive), (b"second", False))

    # Guards against an answer of another request: a late copy of a reply that lacks its id.
    def test_reply_without_an_id_is_skipped_if_earlier_ones_had_theirs(self) -> None:
        conn = self.first()
        copy = reply(b"copy").replace(b"X-Attempt-Id: r1\r\n", b"").replace(b"Seal: ", b"Seal: x")
        self.assertIsNone(self.exchange("r1", conn, copy))
        conn.sendall(reply(b"mine", b"r1"))
        self.loop.settle()
        found = self.ends["r1"].reply
        assert found is not None
        self.assertEqual((found.body, found.keep_alive), (b"mine", False))

    # Guards against a refusal that is waited for: upstreams refuse a request without an id.
    def test_reply_to_a_request_without_an_id_has_none(self) -> None:
        conn = self.first()
        refusal = reply(extra=b"X-Not-Executed: 1\r\n").replace(b"200 OK", b"400 Bad Request")
        refusal = refusal.replace(b"X-Attempt-Id: r1\r\n", b"").replace(SEAL, b"")
        self.assertIs(self.exchange("", conn, refusal), ExchangeEnd.NOT_RUN)

    # Guards against an order that runs twice: a late copy of its refusal answers its second send.
    def test_attempt_is_not_sent_again_on_a_connection_that_has_carried_it(self) -> None:
        self.pool.connection_limit = 1
        refusal = reply(extra=b"X-Not-Executed: 1\r\n")
        for may_reuse_idle in (False, True):
            with self.subTest(may_reuse_idle=may_reuse_idle):
                self.send("r1", may_reuse_idle)
                first = self.accept()
                first.sendall(refusal)
                self.loop.settle()
                self.assertIs(self.ends.pop("r1").end, ExchangeEnd.NOT_RUN)
                self.send("r1", may_reuse_idle)
                with suppress(ConnectionError):
                    first.sendall(refusal)
                self.loop.settle()
                self.assertNotIn("r1", self.ends, "the copy answered the second send")
                second = self.accept()
                second.sendall(reply(b"ran"))
                self.loop.settle()
                self.assertIs(self.ends.pop("r1").end, ExchangeEnd.REPLY)
                self.assertEqual(self.pool.busy, 0)
                self.pool.close_idle()

    # Guards against a second send that starves while the requests behind it use the connection.
    def test_second_send_keeps_its_turn_when_its_connection_is_the_only_one(self) -> None:
        self.pool.connection_limit = 1
        conn = self.first()
        self.send("r2")
        self.ends.clear()
        self.send("r0")
        self.send("r3")
        conn.sendall(reply(attempt=b"r2"))
        self.loop.settle()
        replacement = self.accept()
        self.assertIn(b"X-Attempt-Id: r0", replacement.recv(9_000))
        for name in (b"r0", b"r3"):
            replacement.sendall(reply(attempt=name))
            self.loop.settle()
        self.assertEqual((set(self.ends), self.pool.opened), ({"r2", "r0", "r3"}, 2))

    # Guards against a connection that is replaced although another one will be free.
    def test_request_behind_a_second_send_uses_the_connection_that_has_carried_it(self) -> None:
        conn = self.first()
        self.send("r1")
        self.send("r2")
        other = self.accept()
        self.ends.clear()
        self.send("r0")
        self.send("r3")
        for side, name in ((conn, b"r1"), (other, b"r2"), (conn, b"r3"), (other, b"r0")):
            side.sendall(reply(attempt=name))
            self.loop.settle()
        self.assertEqual((set(self.ends), self.pool.opened), ({"r1", "r3", "r2", "r0"}, 2))

    def test_stray_and_own_reply_in_one_read(self) -> None:
        conn = self.first()
        both = reply(b"stray", b"r0") + reply(b"mine", b"r1")
        self.assertIs(self.exchange("r1", conn, both), ExchangeEnd.REPLY)

    def test_bytes_after_a_reply_are_not_used_for_the_next_request(self) -> None:
        conn = self.first()
        self.exchange("r1", conn, reply() + reply(b"second"))
        self.send("r2")
        self.assertNotIn("r2", self.ends)
        self.assertEqual(self.pool.opened, 2)

    # Guards against an answer of another request, unread in the socket when the next one is sent.
    def test_bytes_received_before_a_request_do_not_answer_it(self) -> None:
        unnamed = reply(b"copy", b"r1").replace(b"X-Attempt-Id: r1\r\n", b"")
        self.send("r0")
        conn = self.accept()
        conn.sendall(unnamed)
        self.loop.settle()
        for number, stray in enumerate((unnamed.replace(b"Seal: s", b"Seal: t"), b"H"), 1):
            self.accepted[-1].sendall(stray)
            self.send(f"r{number}")
            self.assertNotIn(f"r{number}", self.ends)
            self.accept().sendall(unnamed.replace(b"copy", b"mine"))
            self.loop.settle()
            found = self.ends[f"r{number}"].reply
            assert found is not None
            self.assertEqual((found.body, self.pool.opened), (b"mine", 1 + number))

    # Guards against a request that fails on a connection which its upstream has already closed.
    def test_connection_closed_before_a_request_does_not_carry_it(self) -> None:
        self.first().close()
        self.send("r1", may_reuse_idle=False)
        self.assertNotIn("r1", self.ends)
        self.assertEqual(self.pool.opened, 2)

    def test_reply_without_a_length_ends_with_an_orderly_close(self) -> None:
        unframed = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n" + SEAL + b"\r\nall of it"
        for orderly in (True, False):
            with self.subTest(orderly=orderly):
                self.ends.clear()
                self.send()
                conn = self.accept()
                conn.sendall(unframed)
                self.loop.settle()
                if orderly:
                    conn.shutdown(SHUT_WR)
                else:
                    conn.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
                    conn.close()
                self.loop.settle()
                end = self.ends["r1"].end
                self.assertIs(end, ExchangeEnd.REPLY if orderly else ExchangeEnd.MALFORMED)

    # Guards against MIXED of review case 6: the write of a long request took the error of a reset
    # away from the read, which took the end of the stream for the end of the reply.
    def test_reset_reply_is_incomplete_while_the_request_is_still_being_sent(self) -> None:
        now = self.loop.clock.now()
        headers = ((b"X-Attempt-Id", b"r1"),)
        body = bytes(LONG_BODY_BYTES)
        req = CallerRequest(RequestId("r1"), b"POST", b"/x", "h", headers, body, 1.0, now)
        exchange = Exchange(req, now + 1.0, False, self._recorder("r1"))
        self.pool.submit(exchange)
        self.loop.settle()
        conn = self.accept()
        head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n" + SEAL
        conn.sendall(head + b"\r\nfirst part")
        conn.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        conn.close()
        self.loop.settle()
        self.assertIs(self.ends["r1"].end, ExchangeEnd.MALFORMED)

    def test_broken_replies(self) -> None:
        cases = {
            "cut short": (reply()[:-1], ExchangeEnd.MALFORMED),
            "no reply": (b"", ExchangeEnd.LOST),
            "no seal": (reply().replace(SEAL, b""), ExchangeEnd.MALFORMED),
            "encoded": (reply(extra=b"Content-Encoding: gzip\r\n"), ExchangeEnd.MALFORMED),
            "not HTTP": (b"\x00garbage\r\n\r\n", ExchangeEnd.MALFORMED),
            "not run": (reply(extra=b"X-Not-Executed: 1\r\n"), ExchangeEnd.NOT_RUN),
            "wrong upstream": (
                b"HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n",
                ExchangeEnd.WRONG_UPSTREAM,
            ),
        }
        for name, (data, expected) in cases.items():
            with self.subTest(name):
                self.ends.clear()
                self.send()
                conn = self.accept()
                conn.recv(9_000)
                conn.sendall(data)
                conn.shutdown(SHUT_WR)
                self.loop.settle()
                self.assertIs(self.ends["r1"].end, expected)

    # Guards against memory of requests that have ended: a process with one client, whose requests
    # had three thousand headers each, grew by 90 MB before the collector ran.
    def test_ended_exchanges_leave_no_cycles(self) -> None:
        disable()
        self.addCleanup(enable)
        replies = {
            "closed after it": reply(extra=b"Connection: close\r\n"),
            "cut short": reply()[:-1],
            "lost": b"",
            "not HTTP": b"\x00garbage\r\n\r\n",
            "cancelled": None,
            "abandoned": None,
        }
        for name, data in replies.items():
            with self.subTest(name):
                collect()
                exchange = self.send()
                conn = self.accept()
                conn.recv(9_000)
                if data is not None:
                    conn.sendall(data)
                    conn.shutdown(SHUT_WR)
                elif name == "cancelled":
                    self.pool.cancel(exchange)
                else:
                    self.pool.abandon(exchange)
                self.loop.advance(ABANDONED_TIMEOUT_S)
                del exchange
                self.exchanges.clear()
                self.ends.clear()
                self.assertEqual((self.pool.busy, collect()), (0, 0))

    # Guards against memory of large requests that were given up: no limit counts it any more.
    def test_large_request_that_is_abandoned_is_cancelled_at_once(self) -> None:
        for size in (MAX_ABANDONED_BYTES // 2, MAX_ABANDONED_BYTES):
            with self.subTest(size=size):
                now = self.loop.clock.now()
                headers = ((b"X-Attempt-Id", b"r1"),)
                req = CallerRequest(
                    RequestId("r1"), b"POST", b"/x", "h", headers, bytes(size), 1.0, now
                )
                exchange = Exchange(req, now + 1.0, True, self._recorder("r1"))
                self.pool.submit(exchange)
                self.loop.settle()
                conn = self.accept()
                self.pool.abandon(exchange)
                self.assertEqual(self.pool.busy, int(size < MAX_ABANDONED_BYTES))
                self.loop.advance(ABANDONED_TIMEOUT_S)
                self.assertEqual((self.pool.busy, self.ends), (0, {}))
                conn.close()

    # Guards against memory of requests that idle connections keep.
    def test_idle_connection_does_not_keep_its_last_request(self) -> None:
        disable()
        self.addCleanup(enable)
        collect()
        before = count_requests()
        self.first()
        self.exchanges.clear()
        self.ends.clear()
        self.assertEqual(count_requests(), before)

    def test_refused_connection_ends_the_exchange_as_not_sent(self) -> None:
        self.listener.close()
        self.send()
        self.assertIs(self.ends["r1"].end, ExchangeEnd.NOT_SENT)

    def test_check_tells_an_upstream_that_lives_from_one_that_is_gone(self) -> None:
        found: list[bool] = []
        self.pool.check_alive(found.append)
        self.pool.check_alive(found.append)
        self.loop.settle()
        self.assertEqual((found, self.pool.opened), ([True, True], 1))
        self.accept()
        self.send("r1")
        self.assertEqual(self.pool.opened, 1, "the connection of the check was not used")
        self.listener.close()
        self.pool.check_alive(found.append)
        self.loop.settle()
        self.assertEqual(found, [True, True, False])

    def test_check_of_an_upstream_that_does_not_answer_ends_in_time(self) -> None:
        found: list[bool] = []
        with patch.object(self.pool, "_open_connection", return_value=True):
            self.pool.check_alive(found.append)
        self.loop.settle()
        self.assertEqual(found, [])
        self.loop.advance(CONNECT_TIMEOUT_S)
        self.assertEqual(found, [False])

    def test_old_idle_connection_gets_no_non_idempotent_request(self) -> None:
        self.first()
        self.loop.advance(NON_IDEMPOTENT_IDLE_S + 0.1)
        self.send("r1", may_reuse_idle=False)
        self.assertEqual(self.pool.opened, 2)
        self.accept()
        self.send("r2", may_reuse_idle=True)
        self.assertEqual(self.pool.opened, 2)

    def test_keep_alive_timeout_of_upstream_is_honoured(self) -> None:
        self.send()
        self.accept().sendall(reply(extra=b"Keep-Alive: timeout=3\r\n"))
        self.loop.settle()
        self.loop.advance(2.1)
        self.send("r2")
        self.assertEqual(self.pool.opened, 2)

    def test_cancel_closes_the_connection_and_abandon_waits(self) -> None:
        conn = self.first()
        abandoned = self.send("r1")
        self.pool.abandon(abandoned)
        conn.sendall(reply())
        self.loop.settle()
        self.assertIs(self.ends["r1"].end, ExchangeEnd.REPLY)
        self.pool.abandon(self.send("r2"))
        self.loop.advance(ABANDONED_TIMEOUT_S + 0.01)
        self.assertEqual((self.pool.busy, "r2" in self.ends), (0, False))
        self.assertEqual(self.accepted[0].recv(9_000)[-1:], b"\n")
        self.assertEqual(self.accepted[0].recv(1), b"")

    def test_pause_ends_the_requests_that_wait_for_a_connection(self) -> None:
        """The reply that requests the pause also frees the connection for the next request."""
        self.pool.connection_limit = 1
        self.send("r1")
        conn = self.accept()
        self.send("r2")
        finish = self.ends.__setitem__

        def pause(name: str, found: ExchangeReply) -> None:
            finish(name, found)
            self.assertIsNotNone(found.pause)
            self.pool.refuse_waiting()

        conn.recv(9_000)
        exchange = self.exchanges["r1"]
        exchange.done = lambda found: pause("r1", found)
        refusal = b"HTTP/1.1 503 x\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nRetry-After: 3\r\n"
        conn.sendall(refusal + b"Content-Length: 0\r\n\r\n")
        self.loop.settle()
        self.assertIs(self.ends["r1"].end, ExchangeEnd.NOT_RUN)
        self.assertIs(self.ends["r2"].end, ExchangeEnd.NOT_SENT)
        with self.assertRaises(BlockingIOError):
            conn.recv(9_000)

    def test_requests_beyond_the_connection_limit_are_queued(self) -> None:
        self.pool.connection_limit = 1
        self.send("r1")
        conn = self.accept()
        self.send("r2")
        self.assertEqual(self.pool.opened, 1)
        conn.sendall(reply())
        self.loop.settle()
        conn.sendall(reply(attempt=b"r2"))
        self.loop.settle()
        self.assertEqual(set(self.ends), {"r1", "r2"})


class AttemptHistoryTest(TestCase):
    """What a connection remembers of the requests that it has carried."""

    # Guards against memory of ids and seals as large as a head, 32 of them for each connection.
    def test_memory_does_not_depend_on_the_size_of_ids(self) -> None:
        start()
        self.addCleanup(stop)
        history = AttemptHistory()
        before, _ = get_traced_memory()
        for number in range(2 * REMEMBERED_ATTEMPTS):
            attempt = RequestId(f"{number}".rjust(LONG_ID_BYTES, "i"))
            history.record_send(attempt)
            history.record_reply(attempt, attempt.encode())
        used = get_traced_memory()[0] - before
        self.assertTrue(history.has_carried(attempt))
        self.assertTrue(history.has_seal(attempt.encode()))
        self.assertFalse(history.has_carried(RequestId("0".rjust(LONG_ID_BYTES, "i"))))
        self.assertLess(used, REMEMBERED_ATTEMPTS * LONG_ID_BYTES)
