"""The accepted connections of one HTTP port, each with a request guard."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from gc import collect
from socket import SO_RCVBUF, SOL_SOCKET, socket
from typing import Any, Final, Protocol

from circuits import BaseComponent, Event, handler
from circuits.net.events import close, disconnect, read, write
from msgspec import json

from sequoiapulley.entry.error_messages import ErrorBody, ErrorDetail
from sequoiapulley.entry.http_guard import (
    MAX_PIPELINED,
    ContinueExpected,
    GuardedRequest,
    GuardRefusal,
    RequestGuard,
)
from sequoiapulley.runtime import TimerHandle, TimerQueue
from sequoiapulley.wire.connection_budget import ConnectionBudget, EndReason

REQUEST_TIMEOUT_S: Final = 10.0
"""Maximum time to receive one complete request."""
IDLE_TIMEOUT_S: Final = 75.0
"""Maximum time that a connection stays open without a request."""
STOP_GRACE_S: Final = 0.25
"""Time in which requests that arrived before the port stopped are read: many turns of the event
loop."""
CONNECTION_BYTES: Final = 16_384
"""Approximate memory of a connection without a request."""
MEMORY_IN_SERVICE: Final = 4
"""Memory of a request that is being answered, relative to its size: circuits.web parses it again,
and its body is decoded."""
EVENT_BYTES: Final = 16_384
"""Approximate memory of the events and objects of a request in addition to its bytes."""
GARBAGE_SHARE: Final = 0.125
"""Share of the memory limit for the bytes of events that wait for the garbage collector."""
LINGER_S: Final = 1.0
"""Time within which a caller should read the answer that refuses its request."""


class TcpConnections(Protocol):
    """The TCP server's connections."""

    def abort(self, sock: socket) -> None:
        """Closes a connection at once, with the answers that were not sent."""

    def unsent_bytes(self, sock: socket) -> int:
        """Returns the size of the answers that were not sent."""


class _Connection:
    """State of one accepted connection; implements `BudgetedConnection`."""

    def __init__(
        self, port: int, caller: str, now: float, end: Callable[[EndReason], None]
    ) -> None:
        self.port = port
        self.caller = caller
        self.idle_since = now
        self.requests = 0
        self.memory = CONNECTION_BYTES
        self.end = end
        self.guard = RequestGuard()
        self.pipelined: deque[GuardedRequest] = deque()
        """Complete requests queued behind the one being answered."""
        self.answered_bytes = 0
        """Size of the request that is being answered."""
        self.answering = False
        """Set while a forwarded request has no complete answer yet."""
        self.refusal: GuardRefusal | None = None
        """Sent after the answers to all earlier requests."""
        self.closing = False
        self.timer: TimerHandle | None = None
        """Closes the connection when it expires."""

    @property
    def serving(self) -> bool:
        """Whether a complete request is being answered."""
        return self.answering

    @property
    def idle(self) -> bool:
        """Whether no request is being received, queued or answered."""
        return not (self.answering or self.pipelined or self.guard.mid_request)

    def cancel_timer(self) -> None:
        """Cancels the timer that closes the connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class ConnectionGuard(BaseComponent):
    """Validates the bytes that pass from a TCP server to the HTTP protocol of circuits.web.

    It handles the events of the TCP server's channel, forwards complete requests to the HTTP
    channel one at a time for each connection, and refuses input that the HTTP parser must not
    receive.
    """

    class CallerDisconnected(Event):
        """A connection closed while its request was being answered."""

    def __init__(
        self,
        tcp_channel: str,
        http_channel: str,
        timers: TimerQueue,
        tcp: TcpConnections,
        port: int,
        budget: ConnectionBudget,
    ) -> None:
        """Initialise the guard.

        Args:
            tcp_channel: Channel of the TCP server's events.
            http_channel: Channel of the HTTP protocol's events.
            timers: Timers of the process.
            tcp: The TCP server's connections.
            port: Port of the TCP server.
            budget: Limits on all connections of the process.
        """
        super().__init__(channel=tcp_channel)
        self._http_channel = http_channel
        self._timers = timers
        self._tcp = tcp
        self._port = port
        self._budget = budget
        self._connections: dict[socket, _Connection] = {}
        self._accepting = True
        self._garbage_bytes = 0
        """Bytes received, and of requests passed on, since the last collection."""

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def is_open(self, sock: socket) -> bool:
        """Returns whether a connection is still open."""
        return sock in self._connections

    def stop_accepting(self) -> None:
        """Closes idle connections shortly; the others close after their answers.

        Requests that have already arrived on an idle connection are read and answered first.
        """
        self._timers.call_later(STOP_GRACE_S, self._close_idle)

    def _close_idle(self) -> None:
        """Closes idle connections and refuses new ones."""
        self._accepting = False
        for sock, conn in list(self._connections.items()):
            if conn.idle:
                self.fire(close(sock))

    def on_response_written(self, sock: socket) -> None:
        """Forwards the next request of a connection after an answer was written."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        conn.answering = False
        conn.requests += 1
        conn.idle_since = self._timers.clock.now()
        self._dispatch_next(sock, conn)
        self._restart_timer(sock, conn)
        self._update_memory(sock, conn)
        self._budget.enforce()

    @handler("connect")
    def _on_connect(self, sock: socket, host: str = "", *_: Any) -> None:
        """Registers a new connection, or closes it without descriptors and while shutting down."""
        if not self._accepting:
            self.fire(close(sock))
            return
        admitted = self._budget.admit()
        if self._budget.receive_buffer != self._budget.small_buffer:
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, self._budget.receive_buffer)
        now = self._timers.clock.now()
        conn = _Connection(self._port, host, now, lambda reason: self._end(sock, reason))
        self._connections[sock] = conn
        self._budget.add(conn)
        self._restart_timer(sock, conn)
        if not admitted:
            self._budget.refuse(conn)

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        """Removes a connection; reports the caller as disconnected if it had no answer yet."""
        conn = self._connections.pop(sock, None)
        if conn is None:
            return
        conn.cancel_timer()
        conn.guard.discard()
        conn.pipelined.clear()
        self._budget.remove(conn)
        self.fire(disconnect(sock), self._http_channel)
        if conn.answering:
            self.fire(self.CallerDisconnected(sock), self._http_channel)

    @handler("read")
    def _on_read(self, sock: socket, data: bytes) -> None:
        """Passes received bytes to the request guard and handles its output."""
        conn = self._connections.get(sock)
        if conn is None or conn.closing:
            return
        self._collect_garbage(len(data))
        was_mid_request = conn.guard.mid_request
        for output in conn.guard.feed(data):
            self._handle_output(sock, conn, output)
        self._dispatch_next(sock, conn)
        # A request that arrives in small pieces keeps its timer, so they do not extend its time.
        if not (was_mid_request and conn.guard.mid_request):
            self._restart_timer(sock, conn)
        self._update_memory(sock, conn)
        self._budget.enforce()

    def _update_memory(self, sock: socket, conn: _Connection) -> None:
        """Updates the memory that the budget counts for a connection."""
        queued = sum(len(req.wire) for req in conn.pipelined)
        answered = MEMORY_IN_SERVICE * conn.answered_bytes if conn.answering else 0
        memory = CONNECTION_BYTES + conn.guard.memory + queued + answered
        self._budget.resize(conn, memory + self._tcp.unsent_bytes(sock))

    def _end(self, sock: socket, reason: EndReason) -> None:
        """Refuses an incomplete request, or closes the connection of any other.

        The request that is being answered may have run, so nothing is promised about it.
        """
        conn = self._connections.get(sock)
        if conn is None:
            return
        refuses = conn.guard.mid_request and not (conn.answering or conn.closing)
        if not refuses or reason is not EndReason.MEMORY or self._tcp.unsent_bytes(sock):
            # The event that reports the closed connection is handled later.
            conn.guard.discard()
            conn.pipelined.clear()
            self._budget.remove(conn)
            self._tcp.abort(sock)
            return
        conn.pipelined.clear()
        conn.guard.discard()
        message = f"all connections together need too many resources ({reason.value})"
        self._write_refusal(sock, conn, GuardRefusal(503, "connection_ended", message))
        self._update_memory(sock, conn)

    def _handle_output(
        self,
        sock: socket,
        conn: _Connection,
        output: GuardedRequest | GuardRefusal | ContinueExpected,
    ) -> None:
        """Handles one output of the request guard."""
        if isinstance(output, ContinueExpected):
            if not conn.answering:
                self.fire(write(sock, b"HTTP/1.1 100 Continue\r\n\r\n"))
            return
        if isinstance(output, GuardRefusal):
            conn.refusal = conn.refusal or output
            return
        if len(conn.pipelined) >= MAX_PIPELINED:
            message = f"more than {MAX_PIPELINED} requests wait on one connection"
            conn.refusal = conn.refusal or GuardRefusal(429, "pipeline_too_long", message)
            return
        conn.pipelined.append(output)

    def _dispatch_next(self, sock: socket, conn: _Connection) -> None:
        """Forwards the next request unless one is being answered.

        If none is left, sends the refusal, if there is one.
        """
        if conn.answering or conn.closing:
            return
        if conn.pipelined:
            conn.answering = True
            wire = conn.pipelined.popleft().wire
            conn.answered_bytes = len(wire)
            self._collect_garbage(len(wire) + EVENT_BYTES)
            self.fire(read(sock, wire), self._http_channel)
            return
        if conn.refusal is not None:
            self._write_refusal(sock, conn, conn.refusal)

    def _collect_garbage(self, size: int) -> None:
        """Collects garbage after a part of the memory limit has been received or passed on.

        The events of circuits and their values refer to each other, and keep the bytes.
        """
        self._garbage_bytes += size
        if self._garbage_bytes >= self._budget.memory_limit * GARBAGE_SHARE:
            self._garbage_bytes = 0
            collect()

    def _restart_timer(self, sock: socket, conn: _Connection) -> None:
        """Limits the time until the current request is complete or the next one arrives."""
        if conn.closing:
            return
        conn.cancel_timer()
        if conn.answering:
            return
        delay = REQUEST_TIMEOUT_S if conn.guard.mid_request else IDLE_TIMEOUT_S
        conn.timer = self._timers.call_later(delay, lambda: self._on_timeout(sock))

    def _on_timeout(self, sock: socket) -> None:
        """Closes a connection that sent no complete request in time."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        if conn.guard.mid_request:
            message = f"no whole request within {REQUEST_TIMEOUT_S:.0f} s"
            self._write_refusal(sock, conn, GuardRefusal(408, "request_timeout", message))
            return
        # Answers that the caller does not read would keep the connection open.
        self._tcp.abort(sock)

    def _write_refusal(self, sock: socket, conn: _Connection, refusal: GuardRefusal) -> None:
        """Sends the error answer of a refused request and closes the connection."""
        conn.closing = True
        conn.cancel_timer()
        conn.timer = self._timers.call_later(LINGER_S, lambda: self._tcp.abort(sock))
        body = json.encode(ErrorBody(ErrorDetail(refusal.code, refusal.message)))
        retry_after = "Retry-After: 1\r\n" if refusal.status == 503 else ""
        head = (
            f"HTTP/1.1 {refusal.status} Refused\r\nContent-Type: application/json\r\n"
            f"{retry_after}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body))
        self.fire(close(sock))
