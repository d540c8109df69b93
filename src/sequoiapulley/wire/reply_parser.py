"""Parses HTTP/1.1 replies within size limits, one at a time."""

from __future__ import annotations

from collections.abc import Callable
from re import compile as compile_pattern
from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from msgspec import Struct

from sequoiapulley.wire.receive_budget import SMALL_BODY_BYTES, ReceiveBudget

INTERIM_STATUSES: Final = frozenset({100, 102, 103})
"""Statuses of interim replies; the others below 200 are not assigned, or answer requests that this
client does not send."""
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
BODYLESS_STATUSES: Final = frozenset({204, 304})
STATUS_LINE: Final = compile_pattern(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
"""The beginning of a reply. Within a status line or a header it shows that an earlier reply broke
off there and that the lines after it belong to another reply."""
PROTOCOL: Final = b"HTTP/"
MAX_LENGTH_DIGITS: Final = 18
"""Number of digits of a stated length that are compared with the limit."""
MAX_HEADERS: Final = 256
HEADER_OVERHEAD_BYTES: Final = 160
"""Memory of the objects of one header, in addition to its bytes."""
MAX_BYTES_PER_BODY_BYTE: Final = 2
"""Received bytes permitted per byte of the body, in addition to the header limit: the byte itself
and its chunk framing."""


class ReplyError(Exception):
    """A reply that is not valid HTTP or exceeds a size limit."""

    def __init__(self, detail: str, too_large: bool = False) -> None:
        """Creates the error.

        Args:
            detail: Description of the error.
            too_large: Whether a size limit was exceeded.
        """
        super().__init__(detail)
        self.too_large = too_large


class ParsedReply(Struct, frozen=True):
    """One complete reply."""

    status: int
    headers: list[tuple[bytes, bytes]]
    """Headers in the order of arrival, with names in lower case."""
    body: bytes
    keep_alive: bool
    """Whether the connection can carry another exchange."""


class ReplyParser:
    """Incremental parser for the replies of one connection.

    A reply with neither a length nor chunks ends with its connection and is returned only by
    `end_of_stream`, because the caller must decide whether the stream ended without an error.
    """

    __slots__ = (
        "_accepts",
        "_body",
        "_body_bytes",
        "_budget",
        "_budget_taken",
        "_done",
        "_expected_body_bytes",
        "_has_extra_data",
        "_has_unaccepted_reply",
        "_head_complete",
        "_headers",
        "_max_body_bytes",
        "_max_header_bytes",
        "_message_bytes",
        "_parser",
        "_reason",
        "_small_taken",
        "_too_large",
        "_unframed",
    )

    def __init__(
        self, max_header_bytes: int, max_body_bytes: int, budget: ReceiveBudget | None = None
    ) -> None:
        """Creates a parser for a new connection.

        Args:
            max_header_bytes: Maximum size of status line and headers.
            max_body_bytes: Maximum size of a body.
            budget: Limits the memory of incomplete replies on several connections; None for no
                limit.
        """
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._parser: HttpResponseParser | None = HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self._budget = budget
        self._budget_taken = 0
        self._small_taken = 0
        self._too_large = ""
        """Which size limit the reply exceeds; empty if it exceeds none."""
        self._reason = b""
        """Reason phrase of the reply that is being received."""
        self._message_bytes = 0
        self._expected_body_bytes: int | None = None
        self._has_extra_data = False
        self._done: ParsedReply | None = None
        self._accepts: Callable[[ParsedReply], bool] | None = None
        self._has_unaccepted_reply = False
        self._head_complete = False
        """Whether the headers have ended, so that further ones are trailers."""
        self._unframed = False

    def expect(self, accepts: Callable[[ParsedReply], bool] | None) -> None:
        """Sets the check for the reply of the next exchange.

        Args:
            accepts: Returns whether a complete reply answers the exchange. Other replies are
                skipped, and the accepted reply then has `keep_alive` False, so that the
                connection is not reused. None accepts every reply.
        """
        self._accepts = accepts

    @property
    def in_message(self) -> bool:
        """Whether a reply has begun and is not complete."""
        return self._message_bytes > 0

    @property
    def progress(self) -> str:
        """How much of the body has been received, for error messages."""
        if self._expected_body_bytes is None:
            return f"got {self._body_bytes} bytes of a reply without a length"
        return f"got {self._body_bytes} of {self._expected_body_bytes} bytes"

    def feed(self, data: bytes) -> ParsedReply | None:
        """Parses received bytes.

        Args:
            data: The next bytes of the stream.

        Returns:
            The reply that ended within `data`, or None. If any byte of another message follows
            the reply, its `keep_alive` is False. Blank lines are no part of a message.

        Raises:
            ReplyError: If the stream is not valid HTTP or exceeds a size limit.
        """
        if self._parser is None:
            return None
        self._message_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            raise ReplyError("the reply requests a protocol upgrade") from None
        except HttpParserError as exc:
            if self._done is None:
                if self._too_large:
                    raise ReplyError(self._too_large, too_large=True) from None
                detail = f"the reply is not valid HTTP: {exc.__context__ or exc}"
                raise ReplyError(detail) from exc
            self._has_extra_data = True
        done = self._done
        if done is None:
            if (
                self._message_bytes
                > self._max_header_bytes + MAX_BYTES_PER_BODY_BYTE * self._body_bytes
            ):
                detail = f"headers of {self._message_bytes} bytes or more exceed their limit"
                raise ReplyError(detail, too_large=True)
            self._take_small()
            return None
        self._done = None
        # The check refers to the request, and the connection may stay idle for long.
        self._accepts = None
        self._message_bytes = 0
        self._release()
        if self._has_extra_data or self._has_unaccepted_reply:
            return ParsedReply(done.status, done.headers, done.body, False)
        return done

    def end_of_stream(self) -> ParsedReply | None:
        """Completes a reply whose body ends with the connection.

        Returns:
            The reply, or None if no reply has begun, if its length or chunks show that it is
            incomplete, or if it is not accepted.
        """
        if not self._unframed or self._parser is None:
            return None
        self._unframed = False
        self._release()
        reply = ParsedReply(self._parser.get_status_code(), self._headers, bytes(self._body), False)
        return reply if self._accepts is None or self._accepts(reply) else None

    def close(self) -> None:
        """Frees the memory of an incomplete reply, as the connection was closed.

        Bytes that are fed afterwards are ignored.
        """
        self._release()
        # The parser refers to this object, and the collector would free the cycle much later,
        # together with the request that the check refers to.
        self._parser = None
        self._accepts = None
        self._body = b""
        self._headers = []

    def _take_small(self) -> None:
        """Takes from the budget what an incomplete reply with a small body occupies.

        Raises:
            ReplyError: If too little is left.
        """
        if self._budget is None:
            return
        size = 0
        if not self._budget_taken:
            size = self._message_bytes + HEADER_OVERHEAD_BYTES * len(self._headers)
        wanted = size - self._small_taken
        if not self._budget.take_small(wanted):
            used = self._budget.small_used
            detail = f"{size} bytes of a reply exceed the budget, {used} bytes are in use"
            raise ReplyError(detail, too_large=True)
        self._small_taken = size

    def _release(self) -> None:
        """Returns to the budget what the reply has taken."""
        if self._budget is not None and (self._budget_taken or self._small_taken):
            self._budget.release(self._budget_taken, self._small_taken)
            self._budget_taken = self._small_taken = 0

    def on_message_begin(self) -> None:
        """Ends the parsing at the first byte after a complete reply.

        That byte belongs to no request; left in the parser, it would begin the next reply.

        Raises:
            ValueError: If a reply is complete; the HTTP parser passes it on.
        """
        if self._done is not None:
            raise ValueError("more bytes follow the reply")
        self._reason = b""
        self._head_complete = False

    def on_status(self, part: bytes) -> None:
        """Stores a part of the reason phrase."""
        self._reason += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header; drops a trailer, which must not replace or add to the headers."""
        if PROTOCOL in value:
            _refuse_status_line(value)
        if self._head_complete:
            return
        if len(self._headers) == MAX_HEADERS:
            self._refuse(f"the headers exceed {MAX_HEADERS}")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Records whether the body ends with the connection; refuses a length over the limit."""
        assert self._parser is not None
        self._head_complete = True
        if PROTOCOL in self._reason:
            _refuse_status_line(self._reason)
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            _refuse_interim_body(self._headers)
            return
        if not is_final_status(status):
            raise ValueError(f"status {status:03} is not one of a reply")
        if status in BODYLESS_STATUSES:
            return
        self._unframed = True
        for name, value in self._headers:
            if name == b"transfer-encoding":
                self._unframed = False
            elif name == b"content-length":
                self._unframed = False
                if not value.isdigit():
                    continue
                size = int(value[:MAX_LENGTH_DIGITS])
                self._expected_body_bytes = size
                if size > self._max_body_bytes:
                    self._refuse(f"a body of {size} bytes exceeds {self._max_body_bytes} bytes")

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            size = self._body_bytes
            self._refuse(f"{size} bytes of a body exceed {self._max_body_bytes} bytes")
        if self._budget is not None and self._body_bytes > SMALL_BODY_BYTES:
            wanted = self._body_bytes - self._budget_taken
            if not self._budget.take(wanted):
                used = self._budget.used
                self._refuse(f"{wanted} bytes of a body exceed the budget, {used} bytes are in use")
            self._budget_taken += wanted
        if not self._body:
            self._body = body
            return
        if isinstance(self._body, bytes):
            # A list of the parts would take many times the memory of a body that drips in.
            self._body = bytearray(self._body)
        self._body += body

    def _refuse(self, detail: str) -> None:
        """Ends the parsing of a reply that exceeds a limit.

        Raises:
            ValueError: Always; the HTTP parser passes it on.
        """
        self._too_large = detail
        raise ValueError(detail)

    def on_message_complete(self) -> None:
        """Completes a reply; skips an interim (1xx) reply."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        if status < FIRST_FINAL_STATUS:
            return
        body, self._body = bytes(self._body), b""
        self._body_bytes = 0
        self._expected_body_bytes = None
        reply = ParsedReply(status, headers, body, self._parser.should_keep_alive())
        self._unframed = False
        if self._accepts is None or self._accepts(reply):
            self._done = reply
        else:
            self._has_unaccepted_reply = True


def is_final_status(status: int) -> bool:
    """Returns whether HTTP has a status for a final reply."""
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS


def _refuse_status_line(text: bytes) -> None:
    """Refuses a reply that begins within another one.

    Raises:
        ValueError: If the text contains a status line; the HTTP parser passes it on.
    """
    if STATUS_LINE.search(text) is not None:
        raise ValueError("a reply begins within the head of another one")


def _refuse_interim_body(headers: list[tuple[bytes, bytes]]) -> None:
    """Refuses an interim reply that states a body, whose bytes would be read as the next reply.

    Raises:
        ValueError: If the headers state a body; the HTTP parser passes it on.
    """
    for name, value in headers:
        if name == b"transfer-encoding" or (name == b"content-length" and value != b"0"):
            raise ValueError(f"an interim reply states a body: {name.decode('latin-1')}")
