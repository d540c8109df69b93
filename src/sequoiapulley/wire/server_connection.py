"""One caller's HTTP/1.1 connection: pipelining, bounds, and an orderly end."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from socket import (
    IPPROTO_TCP,
    SHUT_WR,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_NODELAY,
    TCP_QUICKACK,
    TCP_USER_TIMEOUT,
    socket,
)
from typing import Final, Protocol

from msgspec import Struct

from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.http_connection import USER_TIMEOUT_MS
from sequoiapulley.wire.reactor import READABLE, WRITABLE, Reactor
from sequoiapulley.wire.request_parser import ParsedRequest, RequestError, RequestParser

RECEIVE_BYTES: Final = 65_536
MOST_PIPELINED: Final = 64
"""Requests of one connection that wait for their turn; reading pauses beyond them."""
LINGER_S: Final = 1.0
"""Time for a caller to close its end after the last answer."""
REQUEST_TIMEOUT_STATUS: Final = 408
INTERIM_ANSWER: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS: Final = {status.value: status.phrase.encode() for status in HTTPStatus}


class ServerLimits(Struct, frozen=True):
    """Bounds on what a caller may send."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: float = 3.0
    """Longest time from the first byte of a request to its last, in seconds."""
    idle_timeout: float = 15.0
    """Time without a request after which a connection is closed, in seconds."""
    quick_acks: bool = False
    """Whether each request is confirmed at once, for callers that watch for it."""


class ServerRequest:
    """One whole request and the way to answer it."""

    __slots__ = ("_conn", "answered", "on_left", "parsed")

    def __init__(self, parsed: ParsedRequest, conn: ServerConnection) -> None:
        """Initialise a request without an answer."""
        self.parsed = parsed
        self._conn = conn
        self.answered = False
        self.on_left: Callable[[], None] | None = None
        """Called once if the caller closes its connection before the answer."""

    def answer(self, status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes) -> None:
        """Answers the request, once; without effect if the caller has left.

        Args:
            status: Status code.
            headers: All headers but the length and those of the connection.
            body: The whole body.
        """
        if not self.answered:
            self.answered = True
            self._conn.send_answer(self, status, headers, body)


RequestHandler = Callable[[ServerRequest], None]
"""Serves a whole request, now or later."""


class ConnectionHost(Protocol):
    """The server that accepted a connection."""

    reactor: Reactor
    timers: TimerQueue
    handler: RequestHandler
    limits: ServerLimits
    leaving: bool
    connections: set[ServerConnection]


class ServerConnection:
    """One caller's connection; its requests are served one after the other."""

    def __init__(self, server: ConnectionHost, sock: socket) -> None:
        """Initialise an accepted connection.

        Args:
            server: Owner.
            sock: The accepted socket.
        """
        self._server = server
        self._sock = sock
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        limits = server.limits
        self._parser = RequestParser(limits.header_bytes, limits.body_bytes)
        self._queue: deque[ParsedRequest] = deque()
        self._current: ServerRequest | None = None
        self._out = b""
        self._last_answer = False
        self._closed = False
        self._fault: RequestError | None = None
        self._since = server.reactor.clock.now()
        self._mask = READABLE
        server.reactor.register(sock.fileno(), READABLE, self)
        self._timer = server.timers.call_later(limits.idle_timeout, self._check_time)

    @property
    def busy(self) -> bool:
        """Whether a request has begun and is not answered, or an answer is not sent."""
        waiting = self._current is not None or bool(self._queue)
        return waiting or bool(self._out) or (self._parser.begun and not self._last_answer)

    def on_ready(self, events: int) -> None:
        """Handles readiness of the socket."""
        if events & WRITABLE and self._out:
            self._write(b"")
        if not self._closed and events & ~WRITABLE:
            self._read()

    def send_answer(
        self,
        req: ServerRequest,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ) -> None:
        """Sends the answer of the present request and turns to the next one."""
        if self._closed or req is not self._current:
            return
        self._current = None
        self._since = self._server.reactor.clock.now()
        keep = req.parsed.keep_alive and not self._server.leaving and self._fault is None
        self._last_answer = not keep
        if self._last_answer:
            self._queue.clear()
        self._write(_encode(status, headers, body, keep))
        if not self._closed and self._fault is not None and self._last_answer:
            return
        self._serve_next()

    def close(self) -> None:
        """Closes the connection; a request in flight is given up."""
        if self._closed:
            return
        self._closed = True
        self._timer.cancel()
        self._server.connections.discard(self)
        self._server.reactor.unregister(self._sock.fileno())
        self._sock.close()
        current, self._current = self._current, None
        if current is not None and current.on_left is not None:
            current.on_left()

    def _read(self) -> None:
        """Reads what has arrived and serves whole requests."""
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        if self._server.limits.quick_acks:
            # The kernel falls back to delayed confirmations by itself.
            self._sock.setsockopt(IPPROTO_TCP, TCP_QUICKACK, 1)
        if self._fault is not None or self._last_answer:
            return
        if not self._parser.begun and self._current is None:
            self._since = self._server.reactor.clock.now()
        try:
            self._queue.extend(self._parser.feed(data))
        except RequestError as exc:
            self._fault = exc
        if self._parser.expects_continue and self._current is None and not self._queue:
            self._parser.expects_continue = False
            self._write(INTERIM_ANSWER)
        if self._parser.begun:
            self._check_within(self._server.limits.header_timeout)
        if len(self._queue) > MOST_PIPELINED:
            self._watch(0)
        self._serve_next()

    def _serve_next(self) -> None:
        """Hands the next whole request to the handler."""
        while self._current is None and self._queue and not self._closed and not self._last_answer:
            req = ServerRequest(self._queue.popleft(), self)
            self._current = req
            self._server.handler(req)
        if self._current is None and not self._queue and self._fault is not None:
            self._answer_fault(self._fault.status)

    def _answer_fault(self, status: int) -> None:
        """Answers a broken request and closes the connection."""
        if self._closed or self._last_answer:
            return
        self._last_answer = True
        self._write(_encode(status, (), b"", False))

    def _check_time(self) -> None:
        """Closes a connection that is idle or slow for too long."""
        if self._closed:
            return
        limits = self._server.limits
        now = self._server.reactor.clock.now()
        limit = limits.header_timeout if self._parser.begun else limits.idle_timeout
        overdue = now - self._since >= limit and self._current is None
        if overdue and self._parser.begun and not self._last_answer:
            self._answer_fault(REQUEST_TIMEOUT_STATUS)
        elif overdue:
            self.close()
            return
        # A request in progress moves the limit on, so the next look is not due at once.
        wait = max(limits.header_timeout / 2, self._since + limit - now)
        self._timer = self._server.timers.call_later(wait, self._check_time)

    def _check_within(self, wait: float) -> None:
        """Brings the next look at the time forward, if it is later than `wait` seconds."""
        if self._timer.due <= self._server.reactor.clock.now() + wait:
            return
        self._timer.cancel()
        self._timer = self._server.timers.call_later(wait, self._check_time)

    def _write(self, data: bytes) -> None:
        """Writes what the socket takes and keeps the rest."""
        self._out += data
        try:
            sent = self._sock.send(self._out)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._out = self._out[sent:]
        if not self._out and self._last_answer:
            self._finish_sending()
            return
        reading = READABLE if len(self._queue) <= MOST_PIPELINED else 0
        self._watch(reading | (WRITABLE if self._out else 0))

    def _finish_sending(self) -> None:
        """Ends the stream after the last answer.

        Closing with unread bytes would reset the connection and might take the answer with it, so
        the caller closes first, within a bound.
        """
        self._timer.cancel()
        self._timer = self._server.timers.call_later(LINGER_S, self.close)
        self._watch(READABLE)
        try:
            self._sock.shutdown(SHUT_WR)
        except OSError:
            # The caller has closed or reset the connection already.
            self.close()

    def _watch(self, mask: int) -> None:
        """Sets what the reactor reports."""
        if mask != self._mask:
            self._mask = mask
            self._server.reactor.modify(self._sock.fileno(), mask)


def _encode(
    status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes, keep: bool
) -> bytes:
    """Encodes a whole answer."""
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, REASONS.get(status, b"Unknown"))]
    lines.extend(b"%b: %b\r\n" % header for header in headers)
    lines.append(b"Content-Length: %d\r\n" % len(body))
    if not keep:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines) + body
