"""One caller's HTTP/1.1 connection: pipelining, limits, timeouts and graceful close."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from fcntl import ioctl
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
from termios import TIOCOUTQ
from typing import Final, Protocol

from msgspec import Struct

from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.connection_budget import ConnectionBudget, EndReason
from sequoiapulley.wire.http_connection import USER_TIMEOUT_MS, ZERO_COUNT
from sequoiapulley.wire.reactor import READABLE, WRITABLE, Reactor
from sequoiapulley.wire.request_parser import ParsedRequest, RequestError, RequestParser

RECEIVE_BYTES: Final = 65_536
FIRST_RECEIVE_BYTES: Final = 4_096
"""Bytes that are read at first of a request; the rest of a larger one may be deferred."""
CONNECTION_BYTES: Final = 8_192
"""Approximate memory of a connection without a request."""
MEMORY_IN_SERVICE: Final = 2
"""Memory of a request that is being served, relative to that of the parsed request: it is encoded
for an upstream."""
MAX_PIPELINED_REQUESTS: Final = 64
"""Maximum number of queued requests of a connection; reading pauses above it."""
LINGER_S: Final = 1.0
"""Time within which a caller should close the connection after the last answer."""
REQUEST_TIMEOUT_STATUS: Final = 408
FAILED_STATUS: Final = 502
REFUSED_STATUS: Final = 503
REFUSED_HEADERS: Final = ((b"Retry-After", b"1"),)
"""Headers of the answer to a request that is refused for want of memory or descriptors."""
INTERIM_ANSWER: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES: Final = {status.value: status.phrase.encode() for status in HTTPStatus}


class ServerLimits(Struct, frozen=True):
    """Limits on a caller's requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: float = 3.0
    """Maximum time from the first to the last byte of a request, body included, in seconds."""
    idle_timeout: float = 15.0
    """Time without a request after which the server closes a connection, in seconds."""
    quick_acks: bool = False
    """Whether TCP acknowledgements are sent without delay, for callers with an `ack_timeout`."""


class ServerRequest:
    """One complete request and the means to answer it."""

    __slots__ = ("_conn", "answered", "on_disconnect", "on_give_up", "parsed")

    def __init__(self, parsed: ParsedRequest, conn: ServerConnection) -> None:
        self.parsed = parsed
        self._conn = conn
        self.answered = False
        self.on_disconnect: Callable[[], None] | None = None
        """Called once if the connection closes before the request is answered."""
        self.on_give_up: Callable[[], None] | None = None
        """Called if the server gives the request up; must answer it at once. Without it, the answer
        has status 502, as the request may have run."""

    def answer(self, status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes) -> None:
        """Answers the request; has no effect if it is answered or its connection is closed.

        Args:
            status: Status code.
            headers: Headers without Content-Length and Connection.
            body: The complete body.
        """
        if not self.answered:
            self.answered = True
            self._conn.send_answer(self, status, headers, body)


RequestHandler = Callable[[ServerRequest], None]
"""Serves a complete request; answers it at once or later."""


class ConnectionHost(Protocol):
    """The attributes of a server that its connections use."""

    reactor: Reactor
    timers: TimerQueue
    handler: RequestHandler
    limits: ServerLimits
    budget: ConnectionBudget
    port: int
    shutting_down: bool
    connections: set[ServerConnection]


class ServerConnection:
    """One caller's connection; serves its requests one after the other."""

    def __init__(self, server: ConnectionHost, sock: socket) -> None:
        """Configures an accepted socket and registers it with the reactor.

        Args:
            server: Server that accepted the connection.
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
        self._queued_memory = 0
        """Memory of the queued requests, in bytes."""
        self._current: ServerRequest | None = None
        self._unsent = b""
        self._closing = False
        """Whether the last answer is being sent; the connection closes after it."""
        self._closed = False
        self._error_status: int | None = None
        """Status for a request that is refused, once those before it are answered."""
        self._timeout_start = server.reactor.clock.now()
        """Clock reading from which the current timeout is measured, in seconds."""
        self.idle_since = self._timeout_start
        """Clock reading of the last answer or, before the first one, of the accept, in seconds."""
        self.requests = 0
        """Number of requests that were answered."""
        self.memory = CONNECTION_BYTES
        """Memory that the budget counts for the connection, in bytes."""
        self.port = server.port
        """Port that accepted the connection."""
        self._deferrable = False
        self._event_mask = READABLE
        server.reactor.register(sock.fileno(), READABLE, self)
        self._timer = server.timers.call_later(limits.idle_timeout, self._check_timeouts)

    @property
    def busy(self) -> bool:
        """Whether a request is incomplete or unanswered, or an answer is not completely sent."""
        waiting = self._current is not None or bool(self._queue)
        return waiting or bool(self._unsent) or (self._parser.in_message and not self._closing)

    @property
    def serving(self) -> bool:
        """Whether a complete request is being served."""
        return self._current is not None

    @property
    def caller(self) -> str:
        """IP address of the caller; empty if the connection has ended."""
        try:
            return str(self._sock.getpeername()[0])
        except OSError:
            # The caller has reset the connection.
            return ""

    @property
    def closing(self) -> bool:
        """Whether the connection closes once the caller has received the last answer."""
        return self._closing

    @property
    def undelivered(self) -> bool:
        """Whether the caller's kernel has not acknowledged everything that was written.

        False if the operating system does not provide the information.
        """
        if self._closed:
            return False
        if self._unsent:
            return True
        try:
            return ioctl(self._sock.fileno(), TIOCOUTQ, ZERO_COUNT) != ZERO_COUNT
        except OSError:
            return False

    def on_ready(self, events: int) -> None:
        """Handles readiness of the socket."""
        if events & WRITABLE and self._unsent:
            self._write(b"")
            self._serve_next()
        if not self._closed and events & ~WRITABLE:
            self._read(RECEIVE_BYTES if self._deferrable else FIRST_RECEIVE_BYTES)
        self._update_memory()
        self._server.budget.enforce()

    def on_failure(self) -> None:
        """Answers the current request with an error and closes the connection.

        The request may have run: status 502 promises nothing.
        """
        current, self._current = self._current, None
        if current is None or self._closed:
            self.close()
            return
        self._closing = True
        self._clear_queue()
        self._write(_encode(FAILED_STATUS, (), b"", False))
        if current.on_disconnect is not None:
            current.on_disconnect()

    def end(self, reason: EndReason) -> None:
        """Refuses what the caller has sent, closes the connection and frees its memory.

        A request that is being served is given up. The others, and an incomplete one, have not run.
        """
        if self._closed:
            return
        current = self._current
        self._clear_queue()
        if self._closing or self._unsent or not (current or self._parser.in_message):
            self.close()
            return
        self._parser.discard()
        self._error_status = REFUSED_STATUS
        if current is None:
            self._answer_error(REFUSED_STATUS)
        elif current.on_give_up is not None:
            current.on_give_up()
        else:
            self.on_failure()
        if reason is not EndReason.MEMORY or self._unsent or not self._closing:
            # Descriptors are needed at once, and so is memory that the answer occupies.
            self.close()
            return
        self._update_memory()

    def read_pending(self) -> None:
        """Reads and serves what has already been received."""
        if not self._closed:
            self._read(RECEIVE_BYTES)
            self._update_memory()

    def send_answer(
        self,
        req: ServerRequest,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ) -> None:
        """Sends the answer to the current request and serves the next one."""
        if self._closed or req is not self._current:
            return
        self._current = None
        self.requests += 1
        self.idle_since = self._timeout_start = self._server.reactor.clock.now()
        self._check_timeouts_within(self._server.limits.idle_timeout)
        # Requests that were received before the last answer, also in part, are answered, too.
        received = bool(self._queue) or self._parser.in_message
        last = self._server.shutting_down and not received
        persistent = req.parsed.keep_alive and not last and self._error_status is None
        self._closing = not persistent
        if self._closing:
            self._clear_queue()
        self._write(_encode(status, headers, body, persistent))
        if not self._closed and self._error_status is not None and self._closing:
            return
        self._serve_next()
        self._update_memory()
        if self._unsent and self._server.budget.exhausted:
            # Many answers at once, none of which was read, leave no time to end the largest.
            self.close()

    def close(self) -> None:
        """Closes the connection and calls `on_disconnect` of the current request."""
        if self._closed:
            return
        self._closed = True
        self._clear_queue()
        self._parser.discard()
        self._server.budget.remove(self)
        self._timer.cancel()
        self._server.connections.discard(self)
        self._server.reactor.unregister(self._sock.fileno())
        self._sock.close()
        current, self._current = self._current, None
        if current is not None and current.on_disconnect is not None:
            current.on_disconnect()

    def _read(self, size: int) -> None:
        """Reads up to `size` bytes of received data and serves complete requests."""
        try:
            data = self._sock.recv(size)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        if self._server.limits.quick_acks:
            # The kernel returns to delayed acknowledgements on its own, so set it on every read.
            self._sock.setsockopt(IPPROTO_TCP, TCP_QUICKACK, 1)
        if self._error_status is not None or self._closing:
            return
        if not self._parser.in_message and self._current is None:
            self._timeout_start = self._server.reactor.clock.now()
        limits = self._server.limits
        self._parser.set_limits(limits.header_bytes, limits.body_bytes)
        try:
            for parsed in self._parser.feed(data):
                self._queue.append(parsed)
                self._queued_memory += parsed.memory
        except RequestError as exc:
            # Not the error itself, which refers to the received bytes and to this connection.
            self._error_status = exc.status
            self._parser.discard()
        if self._parser.expects_continue and self._current is None and not self._queue:
            self._parser.expects_continue = False
            self._write(INTERIM_ANSWER)
        if self._parser.in_message:
            self._check_timeouts_within(limits.header_timeout)
        self._serve_next()
        self._update_event_mask()

    def _serve_next(self) -> None:
        """Passes the next complete request to the handler; answers a pending request error."""
        while (
            self._current is None
            and self._queue
            and not (self._unsent or self._closed or self._closing)
        ):
            parsed = self._queue.popleft()
            self._queued_memory -= parsed.memory
            req = ServerRequest(parsed, self)
            self._current = req
            self._server.handler(req)
        if self._current is None and not self._queue and self._error_status is not None:
            self._answer_error(self._error_status)

    def _answer_error(self, status: int) -> None:
        """Answers a malformed, oversized or timed-out request and closes the connection."""
        if self._closed or self._closing:
            return
        self._closing = True
        self._clear_queue()
        self._parser.discard()
        headers = REFUSED_HEADERS if status == REFUSED_STATUS else ()
        self._write(_encode(status, headers, b"", False))

    def _check_timeouts(self) -> None:
        """Closes the connection at its idle timeout, or answers 408 at the header timeout."""
        if self._closed:
            return
        limits = self._server.limits
        now = self._server.reactor.clock.now()
        limit = limits.header_timeout if self._parser.in_message else limits.idle_timeout
        overdue = now - self._timeout_start >= limit and self._current is None
        if overdue and self._parser.in_message and not self._closing:
            self._answer_error(REQUEST_TIMEOUT_STATUS)
        elif overdue:
            self.close()
            return
        # While a request is being served, the limit may have passed already: the minimum keeps the
        # check from running in every turn of the event loop.
        wait = max(limits.header_timeout / 2, self._timeout_start + limit - now)
        self._timer = self._server.timers.call_later(wait, self._check_timeouts)

    def _check_timeouts_within(self, wait: float) -> None:
        """Schedules the next check of the timeouts within `wait` seconds at the latest."""
        if self._timer.due <= self._server.reactor.clock.now() + wait:
            return
        self._timer.cancel()
        self._timer = self._server.timers.call_later(wait, self._check_timeouts)

    def _write(self, data: bytes) -> None:
        """Writes as much as the socket accepts and buffers the rest."""
        self._unsent += data
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._unsent = self._unsent[sent:]
        if not self._unsent and self._closing:
            self._finish_sending()
            return
        self._update_event_mask()

    def _finish_sending(self) -> None:
        """Ends the outgoing stream after the last answer.

        Closing a socket with unread data resets the connection, and the answer might be lost. The
        caller therefore gets `LINGER_S` to close the connection first.
        """
        self._timer.cancel()
        self._timer = self._server.timers.call_later(LINGER_S, self.close)
        self._set_event_mask(READABLE)
        try:
            self._sock.shutdown(SHUT_WR)
        except OSError:
            # The caller has already closed or reset the connection.
            self.close()

    def _clear_queue(self) -> None:
        """Discards the queued requests."""
        self._queue.clear()
        self._queued_memory = 0

    def _update_memory(self) -> None:
        """Updates the memory that the budget counts, and whether the reactor may defer reading."""
        if self._closed:
            return
        current = self._current
        memory = CONNECTION_BYTES + self._parser.memory + self._queued_memory + len(self._unsent)
        if current is not None:
            memory += MEMORY_IN_SERVICE * current.parsed.memory
        if memory != self.memory:
            self._server.budget.resize(self, memory)
        deferrable = current is not None or self._parser.in_message or bool(self._queue)
        if deferrable is not self._deferrable:
            self._deferrable = deferrable
            self._server.reactor.set_deferrable(self._sock.fileno(), deferrable)

    def _update_event_mask(self) -> None:
        """Pauses reading while enough requests are queued, and waits for room to send."""
        if self._closed:
            return
        limits = self._server.limits
        full = (
            len(self._queue) > MAX_PIPELINED_REQUESTS
            or self._queued_memory > limits.header_bytes + limits.body_bytes
        )
        self._set_event_mask((0 if full else READABLE) | (WRITABLE if self._unsent else 0))

    def _set_event_mask(self, mask: int) -> None:
        """Sets the events that the reactor reports."""
        if mask != self._event_mask:
            self._event_mask = mask
            self._server.reactor.modify(self._sock.fileno(), mask)


def _encode(
    status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes, persistent: bool
) -> bytes:
    """Encodes an answer."""
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))]
    lines.extend(b"%b: %b\r\n" % header for header in headers)
    lines.append(b"Content-Length: %d\r\n" % len(body))
    if not persistent:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines) + body
