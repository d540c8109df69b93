"""The accepted connections of one HTTP port, each behind a request guard."""

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

REQUEST_TIMEOUT: Final = 10.0
"""Seconds that a client may take to send one whole request."""
IDLE_TIMEOUT: Final = 75.0
"""Seconds that a connection may stay open without a request."""
MAX_CONNECTIONS: Final = 4_000


class _Connection:
    """State of one accepted connection."""

    def __init__(self) -> None:
        """Initialise an idle connection."""
        self.guard = RequestGuard()
        self.waiting: deque[GuardedRequest] = deque()
        self.answering = False
        self.refusal: GuardRefusal | None = None
        self.closing = False
        self.timer: TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is being received, waiting or answered."""
        return not (self.answering or self.waiting or self.guard.mid_request)

    def cancel_timer(self) -> None:
        """Stops the timer that would close the connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class ConnectionGuard(BaseComponent):
    """Guards the bytes between a TCP server and the HTTP protocol of circuits.web.

    It listens on the channel of the TCP server, hands whole requests to the HTTP channel one at a
    time for each connection, and refuses what the HTTP parser must not see.
    """

    class CallerLeft(Event):
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
        """Connections that are open now."""
        return len(self._connections)

    def is_open(self, sock: socket) -> bool:
        """Tells whether a connection is still open."""
        return sock in self._connections

    def stop_accepting(self) -> None:
        """Closes idle connections; the others close after their answers."""
        self._accepting = False
        for sock, conn in list(self._connections.items()):
            if conn.idle:
                self.fire(close(sock))

    def finish_answer(self, sock: socket) -> None:
        """Releases the next request of a connection whose answer is written."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        conn.answering = False
        self._release(sock, conn)
        self._watch(sock, conn)

    @handler("connect")
    def _on_connect(self, sock: socket, *_: Any) -> None:
        """Starts the guard of a new connection."""
        if len(self._connections) >= MAX_CONNECTIONS or not self._accepting:
            self.fire(close(sock))
            return
        conn = _Connection()
        self._connections[sock] = conn
        self._watch(sock, conn)

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        """Forgets a connection and reports the caller whose answer was due."""
        conn = self._connections.pop(sock, None)
        if conn is None:
            return
        conn.cancel_timer()
        self.fire(disconnect(sock), self._http_channel)
        if conn.answering:
            self.fire(self.CallerLeft(sock), self._http_channel)

    @handler("read")
    def _on_read(self, sock: socket, data: bytes) -> None:
        """Feeds the guard and releases what came out."""
        conn = self._connections.get(sock)
        if conn is None or conn.closing:
            return
        was_mid_request = conn.guard.mid_request
        for output in conn.guard.feed(data):
            self._take(sock, conn, output)
        self._release(sock, conn)
        if not (was_mid_request and conn.guard.mid_request):
            self._watch(sock, conn)

    def _take(
        self,
        sock: socket,
        conn: _Connection,
        output: GuardedRequest | GuardRefusal | ContinueExpected,
    ) -> None:
        """Sorts one output of the guard."""
        if isinstance(output, ContinueExpected):
            if not conn.answering:
                self.fire(write(sock, b"HTTP/1.1 100 Continue\r\n\r\n"))
            return
        if isinstance(output, GuardRefusal):
            conn.refusal = conn.refusal or output
            return
        if len(conn.waiting) >= MAX_PIPELINED:
            message = f"more than {MAX_PIPELINED} requests wait on one connection"
            conn.refusal = conn.refusal or GuardRefusal(429, "pipeline_too_long", message)
            return
        conn.waiting.append(output)

    def _release(self, sock: socket, conn: _Connection) -> None:
        """Hands the next request on when none is being answered."""
        if conn.answering or conn.closing:
            return
        if conn.waiting:
            conn.answering = True
            self.fire(read(sock, conn.waiting.popleft().wire), self._http_channel)
            return
        if conn.refusal is not None:
            self._write_refusal(sock, conn, conn.refusal)

    def _watch(self, sock: socket, conn: _Connection) -> None:
        """Bounds the time until the rest of a request or the next request arrives."""
        conn.cancel_timer()
        if conn.answering:
            return
        delay = REQUEST_TIMEOUT if conn.guard.mid_request else IDLE_TIMEOUT
        conn.timer = self._timers.call_later(delay, lambda: self._expire(sock))

    def _expire(self, sock: socket) -> None:
        """Closes a connection that sent no whole request in time."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        if conn.guard.mid_request:
            message = f"no whole request within {REQUEST_TIMEOUT:.0f} s"
            self._write_refusal(sock, conn, GuardRefusal(408, "request_timeout", message))
            return
        self.fire(close(sock))

    def _write_refusal(self, sock: socket, conn: _Connection, refusal: GuardRefusal) -> None:
        """Answers a refused request and closes the connection."""
        conn.closing = True
        body = json.encode(ErrorBody(ErrorDetail(refusal.code, refusal.message)))
        head = (
            f"HTTP/1.1 {refusal.status} Refused\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body))
        self.fire(close(sock))
