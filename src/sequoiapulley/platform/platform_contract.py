"""Encodes and decodes requests, replies and answers in the platform's HTTP format."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from sequoiapulley.forward.attempt_history import AttemptHistory
from sequoiapulley.forward.messages import (
    Answer,
    CallerRequest,
    ExchangeEnd,
    ExchangeReply,
    Headers,
    LoadReport,
    PauseRequest,
    StatedLimit,
    UpstreamRecord,
)
from sequoiapulley.forward.route_table import MS_PER_S
from sequoiapulley.ids import RequestId
from sequoiapulley.platform.names import (
    ATTEMPT_ID,
    EXPECTED_UPSTREAM,
    LEAVING,
    LOAD,
    MISSING_PARTS,
    NOT_EXECUTED,
    PART_SEALS,
    REQUEST_LIMIT,
    SEAL,
    TIME_LEFT_MS,
)
from sequoiapulley.wire.reply_parser import ParsedReply
from sequoiapulley.wire.request_parser import ParsedRequest

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers; they apply to one connection and are not forwarded."""
REWRITTEN_REQUEST_HEADERS: Final = frozenset(
    {b"content-length", b"expect", b"host", TIME_LEFT_MS, EXPECTED_UPSTREAM}
)
"""Headers of a caller's request that the node replaces when it forwards the request."""
REWRITTEN_ANSWER_HEADERS: Final = frozenset({b"content-length"})
"""Headers of a reply that the node replaces when it forwards the reply."""
WRONG_UPSTREAM_STATUS: Final = 421
TURNED_AWAY_STATUS: Final = 503
LEAVING_VALUE: Final = b"1"
RETRY_AFTER: Final = b"retry-after"
"""With a refusal: seconds for which the upstream wants no requests from this node."""
MAX_NUMBER_TEXT: Final = 40
"""Maximum number of bytes of a number in a header; more are not a number and would fill the log."""
LOAD_FIELD_COUNT: Final = 3
BODYLESS_METHODS: Final = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


class PlatformContract:
    """Implements `WireContract`."""

    def encode_request(
        self, req: CallerRequest, upstream: UpstreamRecord, time_left: float
    ) -> bytes:
        """Encodes a request to an upstream.

        Args:
            req: The caller's request.
            upstream: The upstream that may run it.
            time_left: Time left for the request, in seconds.
        """
        lines = [
            b"%b %b HTTP/1.1" % (req.method, req.target),
            b"Host: %b" % req.host.encode("latin-1"),
            *(b"%b: %b" % header for header in req.headers),
            b"%b: %d" % (TIME_LEFT_MS, time_left * MS_PER_S),
            b"%b: %b" % (EXPECTED_UPSTREAM, upstream.name.encode("latin-1")),
        ]
        if req.body or req.method not in BODYLESS_METHODS:
            lines.append(b"Content-Length: %d" % len(req.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + req.body

    def is_reply_to(self, req: CallerRequest, reply: ParsedReply, history: AttemptHistory) -> bool:
        """Returns whether a reply answers the request.

        Upstreams return the attempt's id, so that a late reply to an earlier request is detected.
        A copy that lacks the id is detected if an earlier reply on the connection has stated its
        id, or else by its seal, which is another one for each request. Upstreams refuse a request
        without an id, and that refusal has none either.
        """
        attempt = _header(reply.headers, ATTEMPT_ID)
        if attempt is not None:
            history.states_ids = history.states_ids or attempt == req.id.encode("latin-1")
            return attempt == req.id.encode("latin-1")
        missing = history.states_ids and bool(req.id)
        return not missing and not history.has_seal(_header(reply.headers, SEAL))

    def classify(self, reply: ParsedReply) -> ExchangeReply:
        """Classifies a complete reply: executed, not executed, wrong upstream or malformed."""
        if reply.status == WRONG_UPSTREAM_STATUS:
            # Another upstream replied, so the reply says nothing about the expected one.
            return ExchangeReply(ExchangeEnd.WRONG_UPSTREAM, reply)
        load = _decode_load(_header(reply.headers, LOAD))
        leaving = _header(reply.headers, LEAVING) == LEAVING_VALUE
        pause = _decode_pause(reply)
        limit = _decode_limit(_header(reply.headers, REQUEST_LIMIT))
        seal = _header(reply.headers, SEAL)
        if _header(reply.headers, NOT_EXECUTED) is not None:
            return ExchangeReply(ExchangeEnd.NOT_RUN, reply, None, load, leaving, pause, limit)
        if seal is None or _header(reply.headers, b"content-encoding") is not None:
            # Callers ask for unencoded bodies, so the upstream did not produce an encoded one.
            return ExchangeReply(ExchangeEnd.MALFORMED, None, None, load, leaving, pause, limit)
        return ExchangeReply(ExchangeEnd.REPLY, reply, seal, load, leaving, pause, limit)

    def forwarded_answer(self, reply: ExchangeReply) -> Answer:
        """Returns the answer that forwards an upstream's reply without its hop-by-hop headers."""
        parsed = reply.reply
        assert parsed is not None
        headers = tuple(
            (name, value)
            for name, value in parsed.headers
            if name not in HOP_BY_HOP_HEADERS and name not in REWRITTEN_ANSWER_HEADERS
        )
        return Answer(parsed.status, headers, parsed.body)

    def forwards_reply(self, answer: Answer) -> bool:
        """Returns whether an answer forwards an upstream's reply, as only those have a seal."""
        return _header(answer.headers, SEAL) is not None

    def merged_answer(self, seals: list[bytes], missing: int, body: bytes) -> Answer:
        """Returns the answer to a gathered request.

        Args:
            seals: Message authentication codes (seals) of the merged parts.
            missing: Number of missing parts.
            body: The merged body.
        """
        headers = [(PART_SEALS, b", ".join(seals))]
        if missing:
            headers.append((MISSING_PARTS, b"%d" % missing))
        return Answer(200, tuple(headers), body)


def decode_caller_request(parsed: ParsedRequest, now: float) -> CallerRequest:
    """Decodes a caller's request.

    Args:
        parsed: The parsed HTTP request.
        now: Clock reading in seconds, stored as the arrival time.
    """
    attempt = b""
    host = b""
    time_left: float | None = None
    connection_options = _connection_options(parsed.headers)
    forwarded: list[tuple[bytes, bytes]] = []
    for name, value in parsed.headers:
        lower = name.lower()
        if lower == ATTEMPT_ID:
            attempt = value
        elif lower == b"host":
            host = value
        elif lower == TIME_LEFT_MS and value.strip().isdigit():
            time_left = int(value) / MS_PER_S
        if (
            lower in HOP_BY_HOP_HEADERS
            or lower in REWRITTEN_REQUEST_HEADERS
            or lower in connection_options
        ):
            continue
        forwarded.append((name, value))
    return CallerRequest(
        id=RequestId(attempt.decode("latin-1")),
        method=parsed.method,
        target=parsed.target,
        host=host.decode("latin-1"),
        headers=tuple(forwarded),
        body=parsed.body,
        time_left=time_left,
        arrived=now,
    )


def _header(headers: Iterable[tuple[bytes, bytes]], wanted: bytes) -> bytes | None:
    """Returns the value of the first header with a lower-case name, or None."""
    for name, value in headers:
        if name == wanted:
            return value
    return None


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Returns the lower-case names of the hop-by-hop headers listed in the Connection header."""
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() != b"connection":
            continue
        connection_options.update(token.strip().lower() for token in value.split(b","))
    return frozenset(connection_options)


def _decode_pause(reply: ParsedReply) -> PauseRequest | None:
    """Decodes the pause that an upstream requests with a refusal; None without one."""
    if reply.status != TURNED_AWAY_STATUS:
        return None
    value = _header(reply.headers, RETRY_AFTER)
    if value is None:
        return None
    return PauseRequest(*_decode_number(value))


def _decode_limit(value: bytes | None) -> StatedLimit | None:
    """Decodes the limit that an upstream states; None without one."""
    return None if value is None else StatedLimit(*_decode_number(value))


def _decode_number(value: bytes) -> tuple[float | None, str]:
    """Returns the number in a header, None if it is not one, and the header's text."""
    text = value[:MAX_NUMBER_TEXT].decode("latin-1").strip()
    try:
        return float(text), text
    except ValueError:
        return None, text


def _decode_load(value: bytes | None) -> LoadReport | None:
    """Decodes a load report; returns None if it is missing or malformed."""
    if value is None:
        return None
    fields = value.split(b",")
    if len(fields) != LOAD_FIELD_COUNT or not all(field.strip().isdigit() for field in fields):
        return None
    running, waiting, slots = (int(field) for field in fields)
    return LoadReport(running, waiting, slots)
