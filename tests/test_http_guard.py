"""Tests of the request guard: invalid requests are refused once, valid ones are complete."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.entry.http_guard import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    ContinueExpected,
    GuardedRequest,
    GuardRefusal,
    RequestGuard,
)

GET = b"GET /v1/entries?caller=a HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /v1/services/s/search HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"


class RequestGuardTest(TestCase):
    """The bytes of one connection."""

    @given(st.lists(st.integers(min_value=1, max_value=len(GET + POST) * 3), max_size=12))
    def test_any_split_gives_the_same_requests(self, cuts: list[int]) -> None:
        stream = (GET + POST) * 3
        guard = RequestGuard()
        outputs = []
        start = 0
        for cut in [*sorted(set(cuts)), len(stream)]:
            outputs += guard.feed(stream[start:cut])
            start = cut
        self.assertEqual(outputs, RequestGuard().feed(stream))
        self.assertEqual(len(outputs), 6)
        self.assertTrue(all(isinstance(output, GuardedRequest) for output in outputs))
        self.assertTrue(outputs[1].wire.endswith(b"content-length: 5\r\n\r\nhello"))

    @given(st.binary(max_size=400))
    def test_any_bytes_give_requests_or_one_refusal(self, data: bytes) -> None:
        outputs = RequestGuard().feed(data)
        refusals = [output for output in outputs if isinstance(output, GuardRefusal)]
        self.assertLessEqual(len(refusals), 1)
        if refusals:
            self.assertIs(outputs[-1], refusals[0])

    def test_refusals(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: x\r\n"
        cases = {
            head + b"Content-Length: -4\r\n\r\n": 400,
            head + b"Content-Length: +4\r\n\r\n": 400,
            head + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\n": 400,
            head + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
            head + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n": 400,
            head + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1): 413,
            head + b"x: " + b"a" * MAX_HEADER_BYTES * 2: 431,
            head + b"x: y\r\n" * (MAX_HEADERS + 1) + b"\r\n": 431,
            b"GET /" + b"a" * MAX_HEADER_BYTES * 2: 431,
            b"GET /../etc HTTP/1.1\r\nHost: x\r\n\r\n": 400,
            b"GET //x HTTP/1.1\r\nHost: x\r\n\r\n": 400,
            b"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n": 405,
            b"\x16\x03\x01\x02\x00\r\n\r\n": 400,
        }
        for data, status in cases.items():
            with self.subTest(data=data[:60]):
                guard = RequestGuard()
                last = guard.feed(data)[-1]
                self.assertIsInstance(last, GuardRefusal)
                assert isinstance(last, GuardRefusal)
                self.assertEqual(last.status, status)
                self.assertEqual(guard.feed(GET), [])

    def test_chunked_body_is_bounded_and_rewritten(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        outputs = RequestGuard().feed(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert isinstance(outputs[0], GuardedRequest)
        self.assertTrue(outputs[0].wire.endswith(b"content-length: 5\r\n\r\nabcde"))
        guard = RequestGuard()
        guard.feed(head)
        chunk = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
        outputs = []
        for _ in range(MAX_BODY_BYTES // 0x10000 + 1):
            outputs += guard.feed(chunk)
        self.assertEqual([output.status for output in outputs], [413])

    def test_expect_100_continue_is_reported_before_the_body(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n"
        guard = RequestGuard()
        self.assertEqual(guard.feed(head), [ContinueExpected()])
        self.assertEqual(len(guard.feed(b"a")), 1)
