"""Reads HTTP/1.1 replies within bounds, one at a time."""

from __future__ import annotations

from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from msgspec import Struct

FIRST_FINAL_STATUS: Final = 200
MAX_INTERIM_REPLIES: Final = 8
BODILESS_STATUSES: Final = frozenset({204, 304})


class ReplyError(Exception):
    """A reply that breaks HTTP or its bounds."""

    def __init__(self, detail: str, too_large: bool = False) -> None:
        """Initialise the error.

        Args:
            detail: What is wrong.
            too_large: Whether a bound was exceeded.
        """
        super().__init__(detail)
        self.too_large = too_large


class ParsedReply(Struct, frozen=True):
    """One whole reply."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    """Names in lower case, in the order of arrival."""
    body: bytes
    keep_alive: bool
    """Whether the connection can carry another exchange."""

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header by its lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ReplyParser:
    """Parser of one connection's replies."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_done",
        "_framed",
        "_header_bytes",
        "_headers",
        "_interim",
        "_max_body",
        "_max_header",
        "_parser",
        "_too_large",
        "in_message",
    )

    def __init__(self, max_header: int, max_body: int) -> None:
        """Initialise the parser.

        Args:
            max_header: Largest status line and headers, in bytes.
            max_body: Largest body, in bytes.
        """
        self._max_header = max_header
        self._max_body = max_body
        self._parser = HttpResponseParser(self)
        self.in_message = False
        """Whether a reply has begun and not ended."""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._interim = 0
        self._framed = False
        self._too_large = False
        self._done: ParsedReply | None = None

    def feed(self, data: bytes) -> ParsedReply | None:
        """Reads bytes of the stream.

        Args:
            data: Bytes as received.

        Returns:
            The reply that ended within `data`, or None. Bytes after it make it the last reply
            of its connection.

        Raises:
            ReplyError: If the stream breaks HTTP or a bound.
        """
        if not self._framed:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            raise ReplyError("the reply asks to change the protocol") from None
        except HttpParserError as exc:
            if self._too_large:
                raise ReplyError("the reply exceeds its bounds", too_large=True) from exc
            if self._done is None:
                raise ReplyError(f"the reply breaks HTTP: {exc}") from exc
        done = self._done
        if done is None:
            if not self._framed and self._header_bytes > self._max_header:
                raise ReplyError("the headers exceed their bound", too_large=True)
            return None
        self._done = None
        self._header_bytes = 0
        if self.in_message or not done.keep_alive:
            return ParsedReply(done.status, done.headers, done.body, False)
        return done

    def on_message_begin(self) -> None:
        """Starts a reply."""
        self.in_message = True
        self._framed = False
        if self._headers:
            self._headers = []
        if self._body:
            self._body = []
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks that the body's length is known and within its bound."""
        self._framed = True
        length: int | None = None
        chunked = False
        size = 0
        for name, value in self._headers:
            size += len(name) + len(value)
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
        if size > self._max_header or (length is not None and length > self._max_body):
            self._too_large = True
            raise ValueError("the reply exceeds its bounds")
        status = self._parser.get_status_code()
        bodiless = status < FIRST_FINAL_STATUS or status in BODILESS_STATUSES
        if length is None and not chunked and not bodiless:
            # Without a length the end of a reply and its truncation look alike.
            raise ValueError("the reply has neither a length nor chunks")

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body:
            self._too_large = True
            raise ValueError("the body exceeds its bound")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Ends a reply."""
        self.in_message = False
        self._framed = False
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._interim += 1
            self._header_bytes = 0
            if self._interim > MAX_INTERIM_REPLIES:
                raise ValueError("too many interim replies")
            return
        self._interim = 0
        if self._done is not None:
            # A second reply in one read; the first one ends the connection.
            self.in_message = True
            return
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        keep_alive = self._parser.should_keep_alive()
        self._done = ParsedReply(status, tuple(self._headers), body, keep_alive)
