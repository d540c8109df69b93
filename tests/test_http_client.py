"""Tests of `HttpClient` against a server whose sockets the tests control."""

from __future__ import annotations

from gc import collect, disable, enable
from unittest import TestCase

from result import Err, Ok

from sequoiapulley.runtime import PausedClock
from sequoiapulley.wire.http_client import (
    MAX_CONNECTIONS_PER_SERVER,
    HttpCall,
    HttpClient,
    HttpFailure,
    HttpFailureKind,
    HttpResult,
)
from tests.wire_support import Loop, ScriptedServer, reply_bytes

RECEIVE_BYTES = 65_536


class HttpClientTest(TestCase):
    """Each call runs its callback once, later, and a failure says whether a byte was sent."""

    def setUp(self) -> None:
        self.loop = Loop(PausedClock())
        self.server = ScriptedServer(self.loop)
        self.addCleanup(self.server.close)
        self.client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(self.client.close)
        self.results: list[HttpResult] = []

    def call(self, timeout: float = 2.0, host: str = "127.0.0.1") -> None:
        before = len(self.results)
        call = HttpCall(host, self.server.port, "GET", "/", timeout=timeout)
        self.client.request(call, self.results.append)
        self.assertEqual(len(self.results), before, "the callback ran inside the call")

    def transfer(self) -> None:
        call = HttpCall(
            "127.0.0.1", self.server.port, "GET", "/", timeout=1.0, transfer_timeout=2.7
        )
        self.client.request(call, self.results.append)

    def failure(self) -> HttpFailure:
        result = self.results[-1]
        assert isinstance(result, Err)
        return result.err_value

    def test_connection_is_reused_then_closed_when_idle(self) -> None:
        self.call()
        conn = self.server.accept()
        for _ in range(3):
            self.loop.settle()
            conn.recv(RECEIVE_BYTES)
            conn.sendall(reply_bytes(1))
            self.loop.settle()
            self.assertIsInstance(self.results[-1], Ok)
            self.call()
        self.assertEqual(self.client.connections(), 1)
        self.loop.settle()
        conn.sendall(reply_bytes(1))
        self.loop.settle()
        for _ in range(6):
            self.loop.advance(5.0)
        self.assertEqual(self.client.connections(), 0)
        self.assertEqual(len(self.results), 4)

    # Guards against a status 000 or 600 as a reply of the store, of another node with parts or
    # state, of the list of VMs, or to a health check.
    def test_status_that_http_does_not_have_is_no_reply(self) -> None:
        for status in (b"000", b"099", b"199", b"600", b"999"):
            with self.subTest(status=status):
                self.call()
                self.server.accept().sendall(reply_bytes(1).replace(b"200", status))
                self.loop.settle()
                self.assertIs(self.failure().kind, HttpFailureKind.BAD_REPLY)
                self.assertIn(f"status {status.decode()}", self.failure().detail)
                self.assertEqual(self.client.connections(), 0)

    def test_call_after_idle_connections_were_closed_opens_a_new_one(self) -> None:
        self.call()
        conn = self.server.accept()
        conn.recv(RECEIVE_BYTES)
        conn.sendall(reply_bytes(1))
        self.loop.settle()
        self.client.close_idle("127.0.0.1", self.server.port)
        self.client.close_idle("127.0.0.1", 1)
        self.assertEqual((self.client.connections(), conn.recv(RECEIVE_BYTES)), (0, b""))
        self.call()
        self.server.accept().sendall(reply_bytes(2))
        self.loop.settle()
        self.assertIsInstance(self.results[-1], Ok)

    # Guards against memory of calls that have ended, such as large requests that were handed over.
    def test_ended_calls_leave_no_cycles(self) -> None:
        disable()
        self.addCleanup(enable)
        for data in (reply_bytes(1), reply_bytes(1)[:-1], b"", None):
            with self.subTest(data=data):
                collect()
                self.call()
                conn = self.server.accept()
                conn.recv(RECEIVE_BYTES)
                if data is not None:
                    conn.sendall(data)
                    self.loop.settle()
                    conn.close()
                self.loop.advance(2.0)
                self.client.close_idle("127.0.0.1", self.server.port)
                self.results.clear()
                self.assertEqual((self.client.connections(), collect()), (0, 0))

    # Guards against an error in place of a result: sockets raise another one for such a port.
    def test_port_out_of_range_is_a_failed_connect(self) -> None:
        call = HttpCall("127.0.0.1", 70_000, "GET", "/")
        self.client.request(call, self.results.append)
        self.loop.advance(0.0)
        self.assertEqual(
            (self.failure().kind, self.failure().sent), (HttpFailureKind.CONNECT, False)
        )

    # Guards against a reply of the store or a node that answers the call after its own.
    def test_bytes_received_before_a_call_do_not_answer_it(self) -> None:
        self.call()
        conn = self.server.accept()
        conn.recv(RECEIVE_BYTES)
        conn.sendall(reply_bytes(1))
        self.loop.settle()
        conn.sendall(reply_bytes(1))
        self.call()
        self.loop.settle()
        self.assertEqual(len(self.results), 1)
        self.server.accept().sendall(reply_bytes(2))
        self.loop.settle()
        self.assertIn(b'"request_id":2', self.results[-1].unwrap().body)

    # Guards against CONFIG of issue 25: reads of a large configuration were cut off and repeated
    # while their replies were arriving.
    def test_reply_that_keeps_arriving_may_take_longer_than_the_timeout(self) -> None:
        self.transfer()
        conn = self.server.accept()
        self.loop.settle()
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n")
        for _ in range(4):
            self.loop.advance(0.5)
            self.assertTrue(self.client.is_receiving("127.0.0.1", self.server.port))
            conn.sendall(bytes(100))
            self.loop.settle()
        self.assertIsInstance(self.results[-1], Ok)
        self.assertFalse(self.client.is_receiving("127.0.0.1", self.server.port))

    def test_reply_that_stalls_or_never_ends_is_given_up(self) -> None:
        for pauses, expected in (([0.5, 0.6, 0.6], "got 10 of"), ([0.5] * 6, "got 50 of")):
            with self.subTest(expected=expected):
                self.transfer()
                conn = self.server.accept()
                self.loop.settle()
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n")
                for number, pause in enumerate(pauses):
                    self.loop.advance(pause)
                    if pauses == [0.5] * 6 or number == 0:
                        conn.sendall(bytes(10))
                    self.loop.settle()
                self.assertIn(expected, self.failure().detail)

    def test_server_without_a_reply_is_given_up_at_the_timeout(self) -> None:
        self.transfer()
        self.server.accept()
        self.loop.settle()
        self.loop.advance(1.0)
        self.assertIn("no reply within 1.0 s", self.failure().detail)

    def test_timeout_states_how_much_of_the_reply_arrived(self) -> None:
        self.call(timeout=1.0)
        conn = self.server.accept()
        self.loop.settle()
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n" + bytes(812))
        self.loop.settle()
        self.loop.advance(1.0)
        self.assertIn("got 812 of 4096 bytes within 1.0 s", self.failure().detail)

    def test_preopened_connection_is_used(self) -> None:
        host, port = "127.0.0.1", self.server.port
        self.assertFalse(self.client.prepare(host, port))
        self.assertFalse(self.client.prepare(host, port))
        self.loop.settle()
        self.assertTrue(self.client.prepare(host, port))
        self.call()
        self.loop.settle()
        self.assertEqual((self.server.accept_all(), self.client.connections()), (1, 1))
        self.assertFalse(self.client.prepare(host, port))

    def test_unacknowledged_request_fails_before_its_timeout(self) -> None:
        body = bytes(32_000_000)
        call = HttpCall(
            "127.0.0.1", self.server.port, "POST", "/", body=body, timeout=2.0, ack_timeout=0.02
        )
        self.client.request(call, self.results.append)
        self.loop.settle()
        self.loop.advance(0.02)
        self.assertIs(self.failure().kind, HttpFailureKind.NOT_ACKNOWLEDGED)
        self.assertTrue(self.failure().sent)

    def test_acknowledged_request_waits_for_its_reply(self) -> None:
        call = HttpCall("127.0.0.1", self.server.port, "GET", "/", timeout=2.0, ack_timeout=0.02)
        self.client.request(call, self.results.append)
        self.loop.settle()
        conn = self.server.accept()
        conn.recv(RECEIVE_BYTES)
        # The kernel acknowledges in real time, independent of the paused clock.
        self.loop.until(lambda: not self.client.has_unacknowledged())
        self.loop.advance(0.02)
        self.assertEqual(self.results, [])
        conn.sendall(reply_bytes(1))
        self.loop.settle()
        self.assertIsInstance(self.results[-1], Ok)

    def test_calls_beyond_the_connection_limit_wait(self) -> None:
        for _ in range(MAX_CONNECTIONS_PER_SERVER + 3):
            self.call()
        self.loop.settle()
        self.assertEqual(self.server.accept_all(), MAX_CONNECTIONS_PER_SERVER)
        self.server.accepted[0].sendall(reply_bytes(1))
        self.loop.settle()
        self.assertEqual(len(self.results), 1)
        self.loop.advance(2.0)
        self.assertEqual(len(self.results), MAX_CONNECTIONS_PER_SERVER + 3)
        sent = [result.err_value.sent for result in self.results if isinstance(result, Err)]
        self.assertEqual(sent.count(True), MAX_CONNECTIONS_PER_SERVER)
        self.assertEqual(sent.count(False), 2)
        self.loop.settle()
        self.server.accept_all()
        for conn in self.server.accepted[MAX_CONNECTIONS_PER_SERVER:]:
            conn.setblocking(False)
            self.assertRaises(BlockingIOError, conn.recv, RECEIVE_BYTES)

    def test_timeout_also_closes_idle_connections(self) -> None:
        self.call()
        self.call()
        for conn in (self.server.accept(), self.server.accept()):
            conn.sendall(reply_bytes(1))
        self.loop.settle()
        self.call(timeout=0.5)
        self.loop.advance(0.5)
        self.assertEqual(self.failure().kind, HttpFailureKind.TIMEOUT)
        self.assertTrue(self.failure().sent)
        self.assertEqual(self.client.connections(), 0)

    def test_failures_are_classified(self) -> None:
        cases = (
            (b"", HttpFailureKind.CLOSED),
            (reply_bytes(1)[:-1], HttpFailureKind.CLOSED),
            (b"SSH-2.0\r\n", HttpFailureKind.BAD_REPLY),
        )
        for data, kind in cases:
            with self.subTest(kind=kind, data=data):
                self.call()
                conn = self.server.accept()
                conn.recv(RECEIVE_BYTES)
                conn.sendall(data)
                conn.close()
                self.loop.settle()
                self.assertEqual((self.failure().kind, self.failure().sent), (kind, True))
        self.server.close()
        for host in ("127.0.0.1", "255.255.255.255"):
            self.call(host=host)
            self.loop.settle()
            self.loop.advance(0.0)
            failure = self.failure()
            self.assertEqual((failure.kind, failure.sent), (HttpFailureKind.CONNECT, False))
