"""The accepted connections of one HTTP port, each with a request guard."""

from __future__ import annotations

from collections import deque
from socket import socket
from typing import Any, Final

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

REQUEST_TIMEOUT_S: Final = 10.0
"""Maximum time to receive one complete request."""
IDLE_TIMEOUT_S: Final = 75.0
"""Maximum time that a connection stays open without a request."""
STOP_GRACE_S: Final = 0.25
"""Time in which requests that arrived before the port stopped are read: many turns of the event
loop."""
MAX_CONNECTIONS: Final = 4_000


class _Connection:
    """State of one accepted connection."""

    def __init__(self) -> None:
        self.guard = RequestGuard()
        self.pipelined: deque[GuardedRequest] = deque()
        """Complete requests queued behind the one being answered."""
        self.answering = False
        """Set while a forwarded request has no complete answer yet."""
        self.refusal: GuardRefusal | None = None
        """Sent after the answers to all earlier requests."""
        self.closing = False
        self.timer: TimerHandle | None = None
        """Closes the connection when it expires."""

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

    def __init__(self, tcp_channel: str, http_channel: str, timers: TimerQueue) -> None:
        """Initialise the guard.

        Args:
            tcp_channel: Channel of the TCP server's events.
            http_channel: Channel of the HTTP protocol's events.
            timers: Timers of the process.
        """
        super().__init__(channel=tcp_channel)
        self._http_channel = http_channel
        self._timers = timers
        self._connections: dict[socket, _Connection] = {}
        self._accepting = True

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
        self._dispatch_next(sock, conn)
        self._restart_timer(sock, conn)

    @handler("connect")
    def _on_connect(self, sock: socket, *_: Any) -> None:
        """Registers a new connection, or closes it at the limit and while shutting down."""
        if len(self._connections) >= MAX_CONNECTIONS or not self._accepting:
            self.fire(close(sock))
            return
        conn = _Connection()
        self._connections[sock] = conn
        self._restart_timer(sock, conn)

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        """Removes a connection; reports the caller as disconnected if it had no answer yet."""
        conn = self._connections.pop(sock, None)
        if conn is None:
            return
        conn.cancel_timer()
        self.fire(disconnect(sock), self._http_channel)
        if conn.answering:
            self.fire(self.CallerDisconnected(sock), self._http_channel)

    @handler("read")
    def _on_read(self, sock: socket, data: bytes) -> None:
        """Passes received bytes to the request guard and handles its output."""
        conn = self._connections.get(sock)
        if conn is None or conn.closing:
            return
        was_mid_request = conn.guard.mid_request
        for output in conn.guard.feed(data):
            self._handle_output(sock, conn, output)
        self._dispatch_next(sock, conn)
        # A request that arrives in small pieces keeps its timer, so they do not extend its time.
        if not (was_mid_request and conn.guard.mid_request):
            self._restart_timer(sock, conn)

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
            self.fire(read(sock, conn.pipelined.popleft().wire), self._http_channel)
            return
        if conn.refusal is not None:
            self._write_refusal(sock, conn, conn.refusal)

    def _restart_timer(self, sock: socket, conn: _Connection) -> None:
        """Limits the time until the current request is complete or the next one arrives."""
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
        self.fire(close(sock))

    def _write_refusal(self, sock: socket, conn: _Connection, refusal: GuardRefusal) -> None:
        """Sends the error answer of a refused request and closes the connection."""
        conn.closing = True
        body = json.encode(ErrorBody(ErrorDetail(refusal.code, refusal.message)))
        head = (
            f"HTTP/1.1 {refusal.status} Refused\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body))
        self.fire(close(sock))
