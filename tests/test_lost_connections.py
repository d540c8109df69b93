"""Tests of connections that are reset, refused, lost by the network or closed by the pool."""

from __future__ import annotations

from errno import ECONNRESET, EHOSTUNREACH, ETIMEDOUT
from socket import socket
from unittest.mock import patch

from sequoiapulley.upstream.messages import LossKind
from sequoiapulley.upstream.pool_settings import PoolPolicy
from tests.wire_support import (
    reply_bytes,
    reset,
)
from tests.wire_test_case import RECEIVE_BYTES, WireTestCase

SOCKET_NAME = "sequoiapulley.wire.http_connection.socket"


class LostConnectionTest(WireTestCase):
    """The kind of a loss depends on whether any byte of the request was sent."""

    def test_reset_after_the_request_left(self) -> None:
        self.connect()
        self.recorder.send(1)
        reset(self.server.accept())
        self.loop.settle()
        self.assertEqual(self.recorder.losses, {1: LossKind.CONNECTION_LOST})

    def test_network_path_errors_are_discarded_exchanges(self) -> None:
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
        """Returns a socket class whose reads fail as they do when the network path is lost."""

        class FailingSocket(socket):
            def recv(self, *_args: object) -> bytes:
                raise error

        return FailingSocket

    def test_reset_while_idle_loses_no_exchange(self) -> None:
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

    def test_exchange_queued_past_its_deadline_is_never_sent(self) -> None:
        self.connect(allowance=1)
        self.recorder.send(1)
        self.recorder.send(2, left=0.1)
        conn = self.server.accept()
        self.loop.advance(0.3)
        self.assertEqual(self.recorder.losses, {2: LossKind.NOT_SENT})
        self.assertNotIn(b'"request_id":2', conn.recv(RECEIVE_BYTES))

    def test_overdue_exchange_is_discarded_once(self) -> None:
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
    """A cancelled exchange has no outcome, and its reply is never matched to another exchange."""

    def test_late_reply_within_the_grace_keeps_the_connection(self) -> None:
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
