"""Tests of replies that are truncated, belong to another exchange or are not HTTP."""

from __future__ import annotations

from sequoiapulley.upstream.messages import ReplyKind
from sequoiapulley.wire.http_connection import ReplyBounds
from tests.wire_support import (
    reply_bytes,
)
from tests.wire_test_case import RECEIVE_BYTES, WireTestCase


class BrokenReplyTest(WireTestCase):
    """A reply that is incomplete or belongs to another exchange is malformed."""

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
            "status 000": (good.replace(b" 200 ", b" 000 "), False),
            "status 199": (good.replace(b" 200 ", b" 199 "), False),
            "status 600": (good.replace(b" 200 ", b" 600 "), False),
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

    def test_unsolicited_reply_is_not_matched_to_the_next_request(self) -> None:
        self.connect()
        conn = self.exchange(1)
        conn.sendall(reply_bytes(2))
        self.loop.settle()
        self.recorder.send(2)
        self.server.accept()
        self.assertEqual(self.recorder.outcomes, [1])

    def test_reply_received_byte_by_byte_is_parsed(self) -> None:
        self.connect()
        self.recorder.send(1)
        conn = self.server.accept()
        for byte in reply_bytes(1):
            conn.sendall(bytes((byte,)))
            self.loop.reactor.poll(1.0)
        self.assertEqual(self.recorder.replies[1].kind, ReplyKind.OK)

    def test_large_request_is_sent_completely(self) -> None:
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
