"""Property tests of the reply parser and of the HTTP contract with upstreams."""

from __future__ import annotations

from itertools import pairwise
from unittest import TestCase
from urllib.parse import unquote

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.ids import ExchangeId, Fingerprint, IdempotencyKey, UpstreamName
from sequoiapulley.upstream.http_contract import (
    ContractError,
    HttpContract,
    decode_search_body,
    run_headers,
)
from sequoiapulley.upstream.messages import ReplyKind, SendExchange, SubRun
from sequoiapulley.wire.reply_parser import ParsedReply, ReplyError, ReplyParser

MAX_HEADER = 400
MAX_BODY = 300

bodies = st.binary(max_size=MAX_BODY)
FURTHER_BYTES = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Load: 0.5\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    b"HTTP/1.1 200 x\r\nContent-Length: 1000\r\n\r\n",
    b"\x00\xff",
    b"ab",
)
"""What may follow a complete reply, in full or cut short."""


def encode(status: int, body: bytes, chunked: bool) -> bytes:
    """Encodes a valid reply."""
    head = b"HTTP/1.1 %03d x\r\nX-Load: 0.5\r\n" % status
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    parts = [body[start : start + 7] for start in range(0, len(body), 7)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def feed(data: bytes, cuts: list[int]) -> tuple[list[ParsedReply], ReplyParser]:
    """Feeds a stream in pieces; returns the parsed replies and the parser."""
    parser = ReplyParser(MAX_HEADER, MAX_BODY)
    offsets = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    replies = []
    for start, end in pairwise(offsets):
        reply = parser.feed(data[start:end])
        if reply is not None:
            replies.append(reply)
    return replies, parser


class ReplyParserTest(TestCase):
    """Exactly the complete replies are returned, however the stream is split."""

    @given(st.sampled_from([200, 409, 500]), bodies, st.booleans(), st.lists(st.integers(0, 999)))
    def test_reply_does_not_depend_on_packet_boundaries(
        self, status: int, body: bytes, chunked: bool, cuts: list[int]
    ) -> None:
        replies, parser = feed(encode(status, body, chunked), cuts)
        self.assertEqual([(reply.status, reply.body) for reply in replies], [(status, body)])
        self.assertIn((b"x-load", b"0.5"), replies[0].headers)
        self.assertTrue(replies[0].keep_alive)
        self.assertFalse(parser.in_message)

    @given(bodies, st.booleans(), st.integers(0, 10_000), st.lists(st.integers(0, 999)))
    def test_incomplete_reply_is_not_returned(
        self, body: bytes, chunked: bool, length: int, cuts: list[int]
    ) -> None:
        whole = encode(200, body, chunked)
        replies, parser = feed(whole[: length % len(whole)], cuts)
        self.assertEqual(replies, [])
        self.assertEqual(parser.in_message, length % len(whole) > 0)

    @given(st.binary(max_size=2000), st.lists(st.integers(0, 999)))
    def test_arbitrary_bytes_give_replies_within_limits_or_an_error(
        self, data: bytes, cuts: list[int]
    ) -> None:
        for stream in (data, b"HTTP/1.1 200 x\r\n" + data, encode(200, b"ab", True)[:-9] + data):
            try:
                replies, _ = feed(stream, cuts)
            except ReplyError:
                continue
            for reply in replies:
                self.assertLessEqual(len(reply.body), MAX_BODY)

    @given(st.integers(MAX_BODY + 1, 4 * MAX_BODY), st.booleans(), st.lists(st.integers(0, 999)))
    def test_body_over_the_limit_is_refused(
        self, size: int, chunked: bool, cuts: list[int]
    ) -> None:
        with self.assertRaises(ReplyError) as caught:
            feed(encode(200, b"x" * size, chunked), cuts)
        self.assertTrue(caught.exception.too_large)

    def test_interim_reply_is_skipped(self) -> None:
        replies, _ = feed(b"HTTP/1.1 100 x\r\n\r\n" + encode(200, b"ab", False), [25])
        self.assertEqual([reply.body for reply in replies], [b"ab"])

    # Guards against a status that HTTP does not have as an answer, and against a wait for the reply
    # behind one that is taken for an interim reply.
    @given(
        st.integers(0, 999).filter(lambda status: status not in (204, 304)),
        st.booleans(),
        st.lists(st.integers(0, 999), max_size=3),
    )
    def test_status_that_http_does_not_have_is_refused(
        self, status: int, chunked: bool, cuts: list[int]
    ) -> None:
        stream = encode(status, b"ab", chunked)
        if 200 <= status < 600:
            replies, _ = feed(stream, cuts)
            self.assertEqual([(reply.status, reply.body) for reply in replies], [(status, b"ab")])
            return
        with self.assertRaises(ReplyError) as caught:
            feed(stream, cuts)
        self.assertFalse(caught.exception.too_large)

    def test_status_alone_is_refused_with_its_figure(self) -> None:
        for status in (0, 99, 101, 104, 199, 600, 999):
            with (
                self.subTest(status=status),
                self.assertRaisesRegex(ReplyError, f"status {status:03} is not one of a reply"),
            ):
                feed(b"HTTP/1.1 %03d x\r\n\r\n" % status, [])

    # Guards against an answer that is the body of an interim reply.
    @given(st.lists(st.integers(0, 999), max_size=3))
    def test_interim_reply_with_a_body_is_refused(self, cuts: list[int]) -> None:
        inner = encode(200, b"inner", False)
        for stated in (b"Content-Length: %d" % len(inner), b"Transfer-Encoding: chunked"):
            stream = b"HTTP/1.1 102 x\r\n%b\r\n\r\n" % stated + inner
            with self.assertRaisesRegex(ReplyError, "interim"):
                feed(stream + encode(200, b"own", False), cuts)

    # Guards against a reply whose headers were added or replaced after its body.
    @given(st.lists(st.integers(0, 999), max_size=3))
    def test_trailer_is_no_header(self, cuts: list[int]) -> None:
        trailer = b"0\r\nX-Load: 1.0\r\nX-Server-Seal: other\r\n\r\n"
        stream = encode(200, b"ab", True).removesuffix(b"0\r\n\r\n") + trailer
        replies, _ = feed(stream, cuts)
        names = [name for name, _ in replies[0].headers]
        self.assertEqual(names, [b"x-load", b"transfer-encoding"])
        self.assertEqual((replies[0].body, replies[0].keep_alive), (b"ab", True))

    # Guards against a reply that begins with bytes left over from the one before it.
    @given(st.sampled_from(FURTHER_BYTES), st.integers(0, 999), st.lists(st.integers(0, 999)))
    def test_any_byte_after_a_reply_ends_the_use_of_the_connection(
        self, further: bytes, length: int, cuts: list[int]
    ) -> None:
        whole = encode(200, b"ab", False)
        further = further[: 1 + length % len(further)]
        parser = ReplyParser(MAX_HEADER, MAX_BODY)
        offsets = sorted({0, *(cut % len(whole) for cut in cuts)})
        for start, end in pairwise(offsets):
            self.assertIsNone(parser.feed(whole[start:end]))
        found = parser.feed(whole[offsets[-1] :] + further)
        assert found is not None
        self.assertEqual((found.status, found.body, found.keep_alive), (200, b"ab", False))

    # Guards against a connection that is closed although no message has followed the reply.
    def test_blank_lines_after_a_reply_are_no_message(self) -> None:
        parser = ReplyParser(MAX_HEADER, MAX_BODY)
        for body in (b"ab", b"cd"):
            found = parser.feed(encode(200, body, True) + b"\r\n\r\n")
            assert found is not None
            self.assertEqual((found.body, found.keep_alive), (body, True))


class HttpContractTest(TestCase):
    """Invalid bodies and replies to another exchange are rejected."""

    @given(st.sampled_from([200, 409, 429, 500, 503, 504, 299]), st.binary(max_size=200))
    def test_arbitrary_body_is_malformed_or_an_error(self, status: int, body: bytes) -> None:
        parsed = ParsedReply(status, [(b"x-load", body), (b"x-draining", body)], body, True)
        reply = HttpContract().decode(ExchangeId(1), parsed)
        self.assertIn(reply.kind, (ReplyKind.MALFORMED, ReplyKind.ERROR))

    @given(st.sampled_from([200, 409, 429, 500, 503, 504]), st.integers(0, 5), st.integers(0, 5))
    def test_reply_with_another_id_is_malformed(
        self, status: int, asked: int, answered: int
    ) -> None:
        body = b'{"request_id":%d,"shard":"i","hits":[]}' % answered
        reply = HttpContract().decode(ExchangeId(asked), ParsedReply(status, [], body, True))
        self.assertEqual(reply.kind is ReplyKind.MALFORMED, asked != answered)

    def test_request_encoding(self) -> None:
        action = SendExchange(ExchangeId(1), UpstreamName("u"), "/run", (("k", "v"),), b"{}", 0.0)
        for host, header in (("10.0.0.1", b"10.0.0.1:80"), ("fd00::1", b"[fd00::1]:80")):
            expected = b"POST /run HTTP/1.1\r\nhost: %b\r\nk: v\r\ncontent-length: 2\r\n\r\n{}"
            self.assertEqual(HttpContract().encode(action, host, 80), expected % header)

    @given(st.text(min_size=1))
    def test_any_key_is_safe_in_a_header(self, key: str) -> None:
        sub = SubRun(1, 1, *"sic", "{}", IdempotencyKey(key), Fingerprint("f"), 0.0)  # type: ignore
        _, (_, value) = run_headers(sub)
        self.assertTrue(value.isascii() and value.isprintable())
        self.assertEqual(unquote(value), key)

    @given(st.binary(max_size=200))
    def test_invalid_hits_are_refused(self, body: bytes) -> None:
        with self.assertRaises(ContractError):
            decode_search_body(body, "i")  # type: ignore[arg-type]
