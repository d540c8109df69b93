"""Parses the HTTP/1.1 requests of a connection within size limits."""

from __future__ import annotations

from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from msgspec import Struct

MAX_BYTES_PER_BODY_BYTE: Final = 8
"""Received bytes permitted per byte of the body, in addition to the header limit: the byte itself
and its chunk framing."""
BYTES_PER_HEADER: Final = 160
"""Approximate memory of a header in addition to its bytes: two `bytes` objects in a tuple."""
BAD_REQUEST: Final = 400
BODY_TOO_LARGE: Final = 413
HEADERS_TOO_LARGE: Final = 431


class RequestError(Exception):
    """A request that is not valid HTTP or exceeds a size limit."""

    def __init__(self, status: int, detail: str) -> None:
        """Creates the error.

        Args:
            status: Status code of the answer, after which the connection is closed.
            detail: Description of the error.
        """
        super().__init__(detail)
        self.status = status


class ParsedRequest(Struct, frozen=True):
    """One complete request."""

    method: bytes
    target: bytes
    """Path and query as received."""
    headers: tuple[tuple[bytes, bytes], ...]
    """Headers in the order of arrival, with names as received."""
    body: bytes
    keep_alive: bool
    """Whether the caller permits further requests on the connection."""
    memory: int = 0
    """Approximate memory that the request occupies, in bytes."""


class RequestParser:
    """Incremental parser for the requests of one connection."""

    __slots__ = (
        "_body",
        "_done",
        "_head_complete",
        "_headers",
        "_length",
        "_max_body_bytes",
        "_max_header_bytes",
        "_message_bytes",
        "_parser",
        "_target",
        "_too_large",
        "expects_continue",
        "in_message",
    )

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        """Creates a parser for a new connection.

        Args:
            max_header_bytes: Maximum size of request line and headers.
            max_body_bytes: Maximum size of a body.
        """
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._target = b""
        self._head_complete = False
        """Whether the headers have ended, so that further ones are trailers."""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        """The body so far. Its chunks are not kept as objects, which would be many times as large
        as a chunk of a few bytes."""
        self._length = b""
        """Value of the Content-Length header; empty without one."""
        self._message_bytes = 0
        self._too_large = False
        self._done: list[ParsedRequest] = []
        self.in_message = False
        """Whether a request has begun and is not complete."""
        self.expects_continue = False
        """Whether the caller waits for a `100 Continue` answer before it sends the body."""

    @property
    def memory(self) -> int:
        """Approximate memory that the current request occupies, in bytes."""
        if not self.in_message:
            return 0
        head = min(self._message_bytes, self._max_header_bytes)
        return head + BYTES_PER_HEADER * len(self._headers) + len(self._body)

    def discard(self) -> None:
        """Frees the memory of the current request; bytes that are fed afterwards are ignored."""
        # The parser refers to this object, and the collector would free the cycle much later.
        self._parser = None
        self._headers = []
        self._body = bytearray()
        self._done = []
        self._message_bytes = 0

    def set_limits(self, max_header_bytes: int, max_body_bytes: int) -> None:
        """Sets the size limits of the next request; the current one may use higher limits, too.

        Args:
            max_header_bytes: Maximum size of request line and headers.
            max_body_bytes: Maximum size of a body.
        """
        if self.in_message:
            max_header_bytes = max(max_header_bytes, self._max_header_bytes)
            max_body_bytes = max(max_body_bytes, self._max_body_bytes)
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes

    def feed(self, data: bytes) -> list[ParsedRequest]:
        """Parses received bytes.

        Args:
            data: The next bytes of the stream.

        Returns:
            The requests that ended within `data`, in order.

        Raises:
            RequestError: If the stream is not valid HTTP or exceeds a size limit. Complete
                requests in `data` before the error are discarded.
        """
        if self._parser is None:
            return []
        self._message_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            raise RequestError(BAD_REQUEST, "the request requests a protocol upgrade") from None
        except HttpParserError as exc:
            if self._too_large:
                raise RequestError(BODY_TOO_LARGE, "the body exceeds its size limit") from None
            raise RequestError(BAD_REQUEST, f"the request is not valid HTTP: {exc}") from exc
        done, self._done = self._done, []
        body_bytes = len(self._body)
        allowed = self._max_header_bytes + MAX_BYTES_PER_BODY_BYTE * body_bytes
        # Once the body has begun, the latest read is not counted.
        if (
            self.in_message
            and not done
            and self._message_bytes > allowed + len(data) * bool(body_bytes)
        ):
            raise RequestError(HEADERS_TOO_LARGE, "the headers exceed their size limit")
        return done

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self.in_message = True
        self._target = b""
        self._head_complete = False
        self._headers = []
        self._body = bytearray()
        self._length = b""
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Stores a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header; drops a trailer, which must not replace or add to the headers."""
        if self._head_complete:
            return
        self._headers.append((name, value))
        lower = name.lower()
        if lower == b"content-length":
            # The parser has checked that it is a number.
            self._length = value
        elif lower == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True

    def on_headers_complete(self) -> None:
        """Ends the headers; refuses a body that is announced to exceed its limit."""
        self._head_complete = True
        if self._length and int(self._length) > self._max_body_bytes:
            self._refuse_body()

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body."""
        self.expects_continue = False
        self._body += body
        if len(self._body) > self._max_body_bytes:
            self._refuse_body()

    def on_message_complete(self) -> None:
        """Completes a request."""
        assert self._parser is not None
        memory = self.memory
        self.in_message = False
        self.expects_continue = False
        self._message_bytes = 0
        self._done.append(
            ParsedRequest(
                self._parser.get_method(),
                self._target,
                tuple(self._headers),
                bytes(self._body),
                self._parser.should_keep_alive(),
                memory,
            )
        )
        self._headers = []
        self._body = bytearray()

    def _refuse_body(self) -> None:
        """Refuses the request.

        Raises:
            ValueError: Always; it ends the parsing of the request.
        """
        self._too_large = True
        raise ValueError("the body exceeds its size limit")
