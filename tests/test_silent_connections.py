"""Tests of silent connections and of the life cycle of idle ones."""

from __future__ import annotations

from sequoiapulley.upstream.http_contract import RUN_PATH
from sequoiapulley.upstream.messages import LossKind, ReplyKind
from tests.wire_support import (
    configuration,
    reply_bytes,
)
from tests.wire_test_case import RECEIVE_BYTES, WireTestCase


class SilentConnectionTest(WireTestCase):
    """Silent connections are replaced, and non-idempotent requests are never interrupted."""

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

    def test_exchange_cancelled_before_the_fresh_one_marks_silence(self) -> None:
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

    def test_late_reply_on_the_suspect_keeps_the_other_connections(self) -> None:
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

    def test_fresh_connection_replaces_a_silent_one_at_the_allowance(self) -> None:
        self.connect(allowance=1)
        self.recorder.send(1)
        self.server.accept()
        self.recorder.send(2, fresh=True)
        self.server.accept().sendall(reply_bytes(2))
        self.loop.advance(0.0)
        self.assertEqual(self.recorder.losses, {1: LossKind.DISCARDED})
        self.assertEqual(self.recorder.replies[2].kind, ReplyKind.OK)
        self.assertEqual(self.recorder.transport.counts().connections, 1)

    def test_run_is_never_interrupted_for_a_fresh_connection(self) -> None:
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
    """Spare connections are opened and renewed; draining interrupts no exchange."""

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

    def test_drain_interrupts_no_exchange(self) -> None:
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
