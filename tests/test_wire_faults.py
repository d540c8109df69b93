"""Tests of connections that break, cross, stall or go silent, with sockets written by hand."""

from __future__ import annotations

from errno import ECONNRESET, EHOSTUNREACH, ETIMEDOUT
from socket import socket
from unittest import TestCase
from unittest.mock import patch

from sequoiapulley.runtime import PausedClock
from sequoiapulley.upstream.http_contract import RUN_PATH
from sequoiapulley.upstream.messages import LossKind, ReplyKind
from sequoiapulley.upstream.pool_settings import PoolPolicy
from sequoiapulley.wire.http_connection import ReplyBounds
from tests.wire_support import (
    Loop,
    Recorder,
    ScriptedServer,
    configuration,
    reply_bytes,
    reset,
)

RECEIVE_BYTES = 65_536
SOCKET_NAME = "sequoiapulley.wire.http_connection.socket"


class WireTestCase(TestCase):
    """A transport on a paused clock and a server written by hand."""

    def connect(
        self,
        allowance: int = 4,
        open_ms: float = 1.0,
        policy: PoolPolicy | None = None,
        bounds: ReplyBounds | None = None,
    ) -> None:
        self.loop = Loop(PausedClock())
        self.server = ScriptedServer(self.loop)
        self.addCleanup(self.server.close)
        self.recorder = Recorder(self.loop, self.server.port, allowance, open_ms, policy, bounds)
        self.addCleanup(self.recorder.transport.close)

    def exchange(self, number: int, conn: socket | None = None, path: str = "/search") -> socket:
        """Sends one exchange and answers it; returns its connection."""
        self.recorder.send(number, path)
        conn = conn or self.server.accept()
        self.loop.settle()
        conn.recv(RECEIVE_BYTES)
        conn.sendall(reply_bytes(number))
        self.loop.settle()
        self.assertEqual(self.recorder.replies[number].kind, ReplyKind.OK)
        return conn


class BrokenReplyTest(WireTestCase):
    """A reply that is not whole, or not the exchange's own, never counts as one."""

    def outcome_of(self, data: bytes, close: bool) -> ReplyKind:
        self.connect(bounds=ReplyBounds(header_bytes=512, body_bytes=1024))
        self.recorder.send(7)
        conn = self.server.accept()
        conn.recv(RECEIVE_BYTES)
        conn.sendall(data)
        if close:
            conn.close()
        self.loop.settle()
        self.assertEqual(self.recorder.transport.counts().connections, 0)
        return self.recorder.replies[7].kind

    def test_broken_replies(self) -> None:
        good = reply_bytes(7)
        head = b"HTTP/1.1 200 OK\r\n"
        cases = {
            "truncated body": (good[:-1], True),
            "truncated header": (good[:20], True),
            "no length": (head + b"\r\n" + good.partition(b"\r\n\r\n")[2], True),
            "crossed": (reply_bytes(8), False),
            "not HTTP": (b"SSH-2.0\r\n", False),
            "large header": (head + b"x: " + b"y" * 600, False),
            "large body": (head + b"content-length: 2000\r\n\r\n" + b"y" * 2000, False),
            "endless chunks": (
                head + b"transfer-encoding: chunked\r\n\r\n" + b"400\r\n" + b"y" * 1024 + b"\r\n9",
                True,
            ),
            "no JSON": (reply_bytes(7, b"{"), False),
        }
        for name, (data, close) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.outcome_of(data, close), ReplyKind.MALFORMED)
                self.assertEqual(self.recorder.log.entries[0][0].name, "reply_malformed")

    def test_second_reply_in_one_read_ends_the_connection(self) -> None:
        self.connect()
        self.recorder.send(1)
        conn = self.server.accept()
        conn.sendall(reply_bytes(1) + reply_bytes(2))
        self.loop.settle()
        self.assertEqual(self.recorder.replies[1].kind, ReplyKind.OK)
        self.assertEqual(self.recorder.transport.counts().connections, 0)

    def test_reply_nobody_asked_for_is_not_taken_for_the_next(self) -> None:
        self.connect()
        conn = self.exchange(1)
        conn.sendall(reply_bytes(2))
        self.loop.settle()
        self.recorder.send(2)
        self.server.accept()
        self.assertEqual(self.recorder.outcomes, [1])

    def test_reply_in_single_bytes_is_whole(self) -> None:
        self.connect()
        self.recorder.send(1)
        conn = self.server.accept()
        for byte in reply_bytes(1):
            conn.sendall(bytes((byte,)))
            self.loop.reactor.poll(1.0)
        self.assertEqual(self.recorder.replies[1].kind, ReplyKind.OK)

    def test_large_request_leaves_whole(self) -> None:
        self.connect()
        self.recorder.send(1, padding=8_000_000)
        conn = self.server.accept()
        received = 0
        while received < 8_000_000:
            received += len(conn.recv(RECEIVE_BYTES))
            self.loop.reactor.poll()
        conn.sendall(reply_bytes(1))
        self.recorder.until_outcomes(1)
        self.assertEqual(self.recorder.replies[1].kind, ReplyKind.OK)


class LostConnectionTest(WireTestCase):
    """Whether a byte left decides how a loss is reported."""

    def test_reset_after_the_request_left(self) -> None:
        self.connect()
        self.recorder.send(1)
        reset(self.server.accept())
        self.loop.settle()
        self.assertEqual(self.recorder.losses, {1: LossKind.CONNECTION_LOST})

    def test_path_lost_by_the_network_blames_nobody(self) -> None:
        for error, kind in (
            (TimeoutError(ETIMEDOUT, "timed out"), LossKind.DISCARDED),
            (OSError(EHOSTUNREACH, "no route"), LossKind.DISCARDED),
            (ConnectionResetError(ECONNRESET, "reset"), LossKind.CONNECTION_LOST),
        ):
            with self.subTest(kind=kind), patch(SOCKET_NAME, self.failing_socket(error)):
                self.connect()
                self.recorder.send(1)
                self.server.accept().sendall(b"x")
                self.loop.settle()
                self.assertEqual(self.recorder.losses, {1: kind})

    def failing_socket(self, error: OSError) -> type[socket]:
        """Returns a kind of socket whose reads fail, as the kernel's do on a lost path."""

        class FailingSocket(socket):
            def recv(self, *_args: object) -> bytes:
                raise error

        return FailingSocket

    def test_reset_while_idle_costs_no_exchange(self) -> None:
        self.connect()
        reset(self.exchange(1))
        self.loop.settle()
        self.exchange(2)
        self.assertEqual(self.recorder.losses, {})

    def test_refused_connect(self) -> None:
        self.connect()
        self.server.close()
        self.recorder.send(1)
        self.recorder.send(2)
        self.loop.settle()
        self.loop.advance(0.0)
        self.assertEqual(set(self.recorder.losses.values()), {LossKind.CONNECT_FAILED})
        self.assertEqual(len(self.recorder.losses), 2)

    def test_waiting_past_the_deadline_is_never_sent(self) -> None:
        self.connect(allowance=1)
        self.recorder.send(1)
        self.recorder.send(2, left=0.1)
        conn = self.server.accept()
        self.loop.advance(0.3)
        self.assertEqual(self.recorder.losses, {2: LossKind.NOT_SENT})
        self.assertNotIn(b'"request_id":2', conn.recv(RECEIVE_BYTES))

    def test_overdue_exchange_is_given_up_once(self) -> None:
        self.connect()
        self.recorder.send(1, left=0.1)
        self.server.accept()
        for _ in range(8):
            self.loop.advance(0.25)
        self.assertEqual(self.recorder.outcomes, [1])
        self.assertEqual(self.recorder.losses, {1: LossKind.DISCARDED})

    def test_unused_connection_that_closes_is_not_reopened_at_once(self) -> None:
        self.connect(open_ms=6.0)
        self.loop.settle()
        self.assertEqual(self.server.accept_all(), 2)
        for conn in self.server.accepted:
            reset(conn)
        for _ in range(10):
            self.loop.settle()
        self.assertEqual(self.server.accept_all(), 2)
        self.loop.advance(1.25)
        self.assertEqual(self.server.accept_all(), 4)


class CancelTest(WireTestCase):
    """A cancelled exchange has no outcome, and its connection never crosses replies."""

    def test_late_reply_within_the_grace_saves_the_connection(self) -> None:
        self.connect(policy=PoolPolicy(cancel_grace=1.0))
        self.recorder.send(1)
        conn = self.server.accept()
        self.recorder.cancel(1)
        conn.sendall(reply_bytes(1))
        self.loop.settle()
        self.loop.advance(1.0)
        self.assertEqual(self.recorder.outcomes, [])
        conn.recv(RECEIVE_BYTES)
        self.exchange(2, conn)

    def test_cancel_closes_the_connection(self) -> None:
        for grace in (0.0, 1.0):
            with self.subTest(grace=grace):
                self.connect(policy=PoolPolicy(cancel_grace=grace))
                self.recorder.send(1)
                conn = self.server.accept()
                self.recorder.cancel(1)
                self.assertEqual(self.recorder.transport.counts().cancelled_closed, grace == 0.0)
                self.loop.advance(0.002)
                conn.recv(RECEIVE_BYTES)
                self.assertEqual(conn.recv(RECEIVE_BYTES), b"")
                self.assertEqual(self.recorder.outcomes, [])
                self.assertEqual(self.recorder.transport.counts().cancelled_closed, 1)

    def test_cancel_while_waiting_sends_nothing(self) -> None:
        self.connect(allowance=1)
        self.recorder.send(1)
        self.recorder.send(2)
        self.recorder.cancel(2)
        conn = self.server.accept()
        conn.sendall(reply_bytes(1))
        self.loop.settle()
        self.assertNotIn(b'"request_id":2', conn.recv(RECEIVE_BYTES))
        self.assertEqual(self.recorder.outcomes, [1])


class SilentConnectionTest(WireTestCase):
    """Connections that went silent are replaced without blame."""

    def test_fresh_reply_closes_idle_connections_of_the_same_age(self) -> None:
        self.connect()
        self.recorder.send(1)
        self.recorder.send(2)
        for number in (1, 2):
            self.server.accept().sendall(reply_bytes(number))
        self.loop.settle()
        self.loop.advance(0.1)
        self.recorder.send(3)
        self.loop.advance(0.1)
        self.recorder.send(4, fresh=True)
        fresh = self.server.accept()
        self.assertIn(b'"request_id":4', fresh.recv(RECEIVE_BYTES))
        fresh.sendall(reply_bytes(4))
        self.loop.settle()
        self.recorder.cancel(3)
        self.loop.advance(0.01)
        self.assertEqual(self.recorder.transport.counts().connections, 1)
        self.assertEqual(self.recorder.outcomes, [1, 2, 4])
        self.assertEqual(self.recorder.log.entries[0][0].name, "silent_connections_closed")

    def test_exchange_cancelled_before_the_fresh_one_is_a_sign_too(self) -> None:
        self.connect()
        self.recorder.send(1)
        self.recorder.send(2)
        for number in (1, 2):
            self.server.accept().sendall(reply_bytes(number))
        self.loop.settle()
        self.loop.advance(0.1)
        self.recorder.send(3)
        self.loop.advance(0.1)
        self.recorder.cancel(3)
        self.assertEqual(self.recorder.transport.counts().connections, 1)
        self.recorder.send(4, fresh=True)
        self.server.accept().sendall(reply_bytes(4))
        self.loop.settle()
        counts = self.recorder.transport.counts()
        self.assertEqual((counts.connections, counts.silent_closed), (1, 1))

    def test_late_reply_of_the_suspect_keeps_the_others(self) -> None:
        self.connect()
        self.recorder.send(1)
        self.recorder.send(2)
        conns = [self.server.accept(), self.server.accept()]
        for number, conn in enumerate(conns, 1):
            conn.sendall(reply_bytes(number))
        self.loop.settle()
        self.loop.advance(0.1)
        self.recorder.send(3)
        self.loop.advance(0.1)
        self.recorder.send(4, fresh=True)
        fresh = self.server.accept()
        conns[1].sendall(reply_bytes(3))
        self.loop.advance(0.1)
        fresh.sendall(reply_bytes(4))
        self.loop.settle()
        self.assertEqual(self.recorder.outcomes, [1, 2, 3, 4])
        self.assertEqual(self.recorder.transport.counts().connections, 3)

    def test_allowance_makes_room_for_a_fresh_connection(self) -> None:
        self.connect(allowance=1)
        self.recorder.send(1)
        self.server.accept()
        self.recorder.send(2, fresh=True)
        self.server.accept().sendall(reply_bytes(2))
        self.loop.advance(0.0)
        self.assertEqual(self.recorder.losses, {1: LossKind.DISCARDED})
        self.assertEqual(self.recorder.replies[2].kind, ReplyKind.OK)
        self.assertEqual(self.recorder.transport.counts().connections, 1)

    def test_run_is_never_cut_to_make_room(self) -> None:
        self.connect(allowance=1)
        self.recorder.send(1, RUN_PATH)
        conn = self.server.accept()
        self.recorder.send(2, fresh=True)
        self.loop.advance(0.0)
        self.assertEqual(self.recorder.outcomes, [])
        conn.sendall(reply_bytes(1))
        self.loop.settle()
        conn.recv(RECEIVE_BYTES)
        conn.sendall(reply_bytes(2))
        self.loop.settle()
        self.assertEqual(self.recorder.outcomes, [1, 2])

    def test_run_uses_no_connection_idle_for_long(self) -> None:
        self.connect()
        first = self.exchange(1, path=RUN_PATH)
        self.exchange(2, first, path=RUN_PATH)
        self.loop.advance(1.5)
        self.assertIsNot(self.exchange(3, path=RUN_PATH), first)


class LifeCycleTest(WireTestCase):
    """Connections are opened ahead, renewed, and drained without cutting a request."""

    def test_idle_connections_are_renewed_where_opening_is_slow(self) -> None:
        self.connect(open_ms=6.0)
        self.loop.settle()
        self.assertEqual(self.server.accept_all(), 2)
        self.loop.advance(31.0)
        self.assertEqual(self.server.accept_all(), 4)
        self.assertEqual(self.recorder.transport.counts().connections, 2)

    def test_idle_connections_are_closed_where_opening_is_fast(self) -> None:
        self.connect()
        self.exchange(1)
        self.loop.advance(31.0)
        self.assertEqual(self.recorder.transport.counts().connections, 0)

    def test_drain_cuts_no_exchange(self) -> None:
        self.connect(allowance=2, open_ms=6.0)
        self.recorder.send(1)
        self.recorder.send(2)
        self.recorder.send(3)
        conns = [self.server.accept(), self.server.accept()]
        done: list[bool] = []
        self.recorder.transport.drain(lambda: done.append(True))
        self.loop.advance(0.05)
        self.assertEqual(done, [])
        conns[0].sendall(reply_bytes(1))
        self.loop.settle()
        conns[0].sendall(reply_bytes(3))
        self.loop.settle()
        self.recorder.transport.configure(configuration(self.server.port, 6.0), lambda _: 2)
        self.assertEqual(self.recorder.transport.counts().connections, 1)
        conns[1].sendall(reply_bytes(2))
        self.loop.settle()
        self.loop.advance(0.05)
        self.loop.advance(0.0)
        self.assertEqual(self.recorder.outcomes, [1, 3, 2])
        self.assertEqual(done, [True])
        self.assertEqual(self.recorder.transport.counts().connections, 0)
