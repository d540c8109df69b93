"""Validates and limits the bytes of one HTTP connection before circuits.web parses them."""

from __future__ import annotations

from re import compile as compile_pattern
from typing import Final

from httptools import HttpParserError, HttpRequestParser
from msgspec import Struct

MAX_HEADER_BYTES: Final = 16 * 1024
MAX_HEADERS: Final = 64
MAX_BODY_BYTES: Final = 1024 * 1024
MAX_PIPELINED: Final = 32
"""Maximum number of complete requests queued behind the one being answered."""

MAX_BYTES_PER_BODY_BYTE: Final = 8
"""Received bytes permitted per byte of the body, in addition to the header limit: the byte itself
and its chunk framing."""

ALLOWED_METHODS: Final = frozenset({"GET", "POST", "PUT"})
FORWARDED_HEADERS: Final = frozenset(
    {"host", "content-type", "connection", "idempotency-key", "x-caller", "x-place", "x-request-id"}
)
"""Known headers; `host` and `connection` are forwarded with values of the guard's own."""
_TARGET: Final = compile_pattern(r"/(?!/)[A-Za-z0-9_.~/-]*(\?[A-Za-z0-9_.~%&=+,:-]*)?")
"""A path without percent-encoding that does not start with `//`, and an optional query."""


class GuardedRequest(Struct, frozen=True):
    """One complete, validated request."""

    wire: bytes
    """The request in canonical form, with a Content-Length and known headers only."""
    keep_alive: bool


class GuardRefusal(Struct, frozen=True):
    """An error answer, after which the connection is closed."""

    status: int
    code: str
    message: str


class ContinueExpected(Struct, frozen=True):
    """The client sent `Expect: 100-continue` and waits for `100 Continue` to send the body."""


GuardOutput = GuardedRequest | GuardRefusal | ContinueExpected


class _RefusedError(Exception):
    """Raised in a parser callback to refuse the request."""

    def __init__(self, refusal: GuardRefusal) -> None:
        """Initialise the error with its refusal."""
        super().__init__(refusal.message)
        self.refusal = refusal


class RequestGuard:
    """Splits the bytes of one connection into complete requests.

    At the first invalid request it outputs a refusal; it ignores all later bytes.
    """

    def __init__(self) -> None:
        """Initialise a guard for one connection."""
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._outputs: list[GuardOutput] = []
        self._reset()

    @property
    def memory(self) -> int:
        """Approximate memory that an incomplete request occupies, in bytes."""
        if not self._in_request:
            return 0
        return self._header_field_bytes + len(self._url) + len(self._body)

    @property
    def mid_request(self) -> bool:
        """Whether a request has been received in part."""
        return self._in_request

    def feed(self, data: bytes) -> list[GuardOutput]:
        """Parses received bytes.

        Args:
            data: Any number of bytes, of one or several requests.

        Returns:
            The outputs in order; a `GuardRefusal` is the last output of a connection.
        """
        if self._parser is None:
            return []
        self._outputs = []
        try:
            self._parser.feed_data(data)
            self._check_received_size(len(data))
        except _RefusedError as exc:
            self._refuse(exc.refusal)
        except HttpParserError as exc:
            self._refuse(self._refusal_from(exc))
        # An idle connection must not keep its last request.
        outputs, self._outputs = self._outputs, []
        return outputs

    def discard(self) -> None:
        """Frees the memory of an incomplete request; later bytes are ignored."""
        # The parser refers to this object, and the collector would free the cycle much later.
        self._parser = None
        self._reset()

    def on_message_begin(self) -> None:
        """Starts a new request; called by the parser."""
        self._reset()
        self._in_request = True

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target; called by the parser."""
        self._url += url
        if len(self._url) > MAX_HEADER_BYTES:
            raise _RefusedError(_header_too_large())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds one header; called by the parser."""
        self._header_count += 1
        self._header_field_bytes += len(name) + len(value)
        if self._header_count > MAX_HEADERS or self._header_field_bytes > MAX_HEADER_BYTES:
            raise _RefusedError(_header_too_large())
        key = name.decode("latin-1").lower()
        if key in ("content-length", "host") and key in self._headers:
            raise _RefusedError(GuardRefusal(400, "bad_request", f"header {key!r} is repeated"))
        self._headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Validates the request line and headers; called by the parser."""
        self._headers_done = True
        self._check_framing()
        self._check_request_line()
        if self._headers.get("expect", "").lower() == "100-continue":
            self._outputs.append(ContinueExpected())

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; called by the parser."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            raise _RefusedError(_body_too_large())

    def on_message_complete(self) -> None:
        """Outputs the complete request; called by the parser."""
        assert self._parser is not None
        self._in_request = False
        keep_alive = bool(self._parser.should_keep_alive())
        self._outputs.append(GuardedRequest(self._canonical(keep_alive), keep_alive))
        self._headers.clear()
        self._body = bytearray()

    def _reset(self) -> None:
        """Discards the state of the previous request."""
        self._in_request = False
        self._headers_done = False
        self._received_bytes = 0
        """Bytes of all reads that left the request incomplete."""
        self._header_count = 0
        self._header_field_bytes = 0
        """Bytes of the names and values of the complete headers."""
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    def _check_received_size(self, received: int) -> None:
        """Refuses headers, trailers and chunk framing that exceed the size limit before they end.

        Once the body has begun, the latest read is not counted.
        """
        if not self._in_request:
            return
        self._received_bytes += received
        allowed = MAX_HEADER_BYTES + MAX_BYTES_PER_BODY_BYTE * len(self._body)
        if self._received_bytes > allowed + received * bool(self._body):
            raise _RefusedError(_header_too_large())

    def _check_framing(self) -> None:
        """Refuses an ambiguous or oversized body before it is received."""
        headers = self._headers
        length = headers.get("content-length")
        if length is not None and "transfer-encoding" in headers:
            message = "Content-Length and Transfer-Encoding exclude each other"
            raise _RefusedError(GuardRefusal(400, "bad_request", message))
        if length is not None and not (length.isascii() and length.isdigit()):
            message = f"Content-Length {length!r} is not a whole number"
            raise _RefusedError(GuardRefusal(400, "bad_request", message))
        if length is not None and int(length) > MAX_BODY_BYTES:
            raise _RefusedError(_body_too_large())

    def _check_request_line(self) -> None:
        """Refuses methods, targets and HTTP versions that the ports do not support."""
        assert self._parser is not None
        method = self._parser.get_method().decode("latin-1")
        if method not in ALLOWED_METHODS:
            message = f"method {method!r} is not supported"
            raise _RefusedError(GuardRefusal(405, "method_not_allowed", message))
        target = self._url.decode("latin-1")
        if not _TARGET.fullmatch(target) or "/../" in target + "/" or "/./" in target + "/":
            message = f"request target {target[:80]!r} is not a plain path"
            raise _RefusedError(GuardRefusal(400, "bad_request", message))
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            raise _RefusedError(
                GuardRefusal(505, "http_version", "only HTTP/1.0 and 1.1 are spoken")
            )

    def _canonical(self, keep_alive: bool) -> bytes:
        """Returns the request in canonical form: HTTP/1.1, known headers and an exact length."""
        assert self._parser is not None
        body = self._body
        method = self._parser.get_method().decode("latin-1")
        lines = [f"{method} {self._url.decode('latin-1')} HTTP/1.1"]
        for key, value in self._headers.items():
            if key not in FORWARDED_HEADERS or key in ("connection", "host"):
                continue
            lines.append(f"{key}: {value}")
        lines.append("host: node")
        lines.append("connection: keep-alive" if keep_alive else "connection: close")
        lines.append(f"content-length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body

    def _refuse(self, refusal: GuardRefusal) -> None:
        """Outputs a refusal; later bytes are ignored."""
        self._outputs.append(refusal)
        self.discard()

    def _refusal_from(self, exc: HttpParserError) -> GuardRefusal:
        """Returns the refusal raised in a callback, or one for malformed HTTP."""
        cause = exc.__context__
        if isinstance(cause, _RefusedError):
            return cause.refusal
        return GuardRefusal(400, "bad_request", f"malformed HTTP: {exc}")


def _header_too_large() -> GuardRefusal:
    """Returns the refusal of oversized headers."""
    return GuardRefusal(431, "header_too_large", f"headers exceed {MAX_HEADER_BYTES} bytes")


def _body_too_large() -> GuardRefusal:
    """Returns the refusal of an oversized body."""
    return GuardRefusal(413, "body_too_large", f"body exceeds {MAX_BODY_BYTES} bytes")
