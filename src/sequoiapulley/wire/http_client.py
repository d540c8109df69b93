"""HTTP client of the platform adapters, for few servers and few calls; reuses connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final

from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from sequoiapulley.runtime import Clock, TimerHandle, TimerQueue
from sequoiapulley.wire.http_connection import (
    CloseReason,
    ConnectionState,
    HttpConnection,
    ReplyBounds,
    host_header,
)
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.receive_budget import ReceiveBudget
from sequoiapulley.wire.reply_parser import ParsedReply

MAX_CONNECTIONS_PER_SERVER: Final = 8
MAX_IDLE_S: Final = 20.0
"""Time without use after which an idle connection is closed."""
STALL_TIMEOUT_S: Final = 0.6
"""Time without a byte after which a transfer beyond the call's timeout is given up: eight windows
of 64 KB on a link of 7 Mbit/s."""
SWEEP_INTERVAL_S: Final = 5.0
"""Interval between the removals of stale connections."""


class HttpCall(Struct, frozen=True):
    """One request and its timeouts."""

    host: str
    """IP address."""
    port: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout: float = 2.0
    """Timeout for the complete reply, in seconds; includes the wait for a connection."""
    transfer_timeout: float | None = None
    """Timeout for the complete reply while its bytes keep arriving, in seconds; None for the same
    as `timeout`. A large reply on a narrow link is then not cut off and requested again."""
    ack_timeout: float | None = None
    """Timeout for the TCP acknowledgement of the request, in seconds; None for no such timeout. It
    detects an unreachable VM long before a reply is overdue. The server must acknowledge without
    delay, see `ServerLimits.quick_acks`."""


class HttpReply(Struct, frozen=True):
    """One complete reply."""

    status: int
    headers: list[tuple[bytes, bytes]]
    """Headers in the order of arrival, with names in lower case."""
    body: bytes


class HttpFailureKind(Enum):
    """Kind of a failed call."""

    CONNECT = "connect"
    TIMEOUT = "timeout"
    NOT_ACKNOWLEDGED = "not_confirmed"
    """The server's kernel did not acknowledge the request within `ack_timeout`."""
    CLOSED = "closed"
    """The connection closed before the reply was complete."""
    BAD_REPLY = "bad_reply"
    """The reply was not valid HTTP."""
    TOO_LARGE = "too_large"
    """The reply exceeded a size limit."""


class HttpFailure(Struct, frozen=True):
    """A call that failed without a reply."""

    kind: HttpFailureKind
    sent: bool
    """Whether any byte of the request was sent; if so, it may have taken effect."""
    detail: str


HttpResult = Result[HttpReply, HttpFailure]

_FAILURE_KINDS: Final = {
    CloseReason.CONNECT_FAILED: HttpFailureKind.CONNECT,
    CloseReason.PEER_CLOSED: HttpFailureKind.CLOSED,
    CloseReason.PATH_LOST: HttpFailureKind.CLOSED,
    CloseReason.TRUNCATED: HttpFailureKind.CLOSED,
    CloseReason.MALFORMED: HttpFailureKind.BAD_REPLY,
    CloseReason.TOO_LARGE: HttpFailureKind.TOO_LARGE,
    CloseReason.LOCAL: HttpFailureKind.CLOSED,
}


class _Exchange:
    """One call that waits for a connection or a reply."""

    __slots__ = ("ack_timer", "call", "conn", "done", "started_at", "timer")

    def __init__(
        self, call: HttpCall, done: Callable[[HttpResult], None], started_at: float
    ) -> None:
        self.call = call
        self.started_at = started_at
        self.done: Callable[[HttpResult], None] | None = done
        self.conn: HttpConnection | None = None
        self.timer: TimerHandle | None = None
        self.ack_timer: TimerHandle | None = None

    def finish(self, outcome: HttpResult) -> None:
        """Cancels the timers and runs the callback, at most once."""
        done, self.done = self.done, None
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()
        if done is not None:
            done(outcome)


class _Server:
    """Connections to one address and the calls that wait for one."""

    def __init__(self) -> None:
        self.idle: list[HttpConnection] = []
        self.open: set[HttpConnection] = set()
        self.waiting: deque[_Exchange] = deque()


class HttpClient:
    """Sends calls and runs each callback once, never from within `request`."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        timers: TimerQueue,
        bounds: ReplyBounds | None = None,
        max_connections: int = MAX_CONNECTIONS_PER_SERVER,
    ) -> None:
        """Creates a client without connections.

        Args:
            reactor: Reports readiness of the sockets.
            clock: Clock of the event loop.
            timers: Timers of the same event loop.
            bounds: Size limits of a reply; None for the defaults, with a budget of the client's
                own. `unframed` has no effect: a reply with neither a length nor chunks fails.
            max_connections: Maximum number of connections to one server.
        """
        self._reactor = reactor
        self._max_connections = max_connections
        self._clock = clock
        self._timers = timers
        # The servers state a length or send chunks: a reply without either has broken off.
        self._bounds = replace(bounds or ReplyBounds(budget=ReceiveBudget()), unframed=False)
        self._servers: dict[tuple[str, int], _Server] = {}
        self._sweep_timer: TimerHandle | None = None

    def request(self, call: HttpCall, done: Callable[[HttpResult], None]) -> Callable[[], None]:
        """Sends one request.

        Args:
            call: The request; its path and headers must not contain line breaks.
            done: Receives the reply or the failure, once.

        Returns:
            Cancels the call: its connection is closed, and `done` is not called.
        """
        exchange = _Exchange(call, done, self._clock.now())
        exchange.timer = self._timers.call_later(call.timeout, lambda: self._expire(exchange))
        if call.ack_timeout is not None:
            exchange.ack_timer = self._timers.call_later(
                call.ack_timeout, lambda: self._check_acknowledged(exchange)
            )
        server = self._servers.setdefault((call.host, call.port), _Server())
        server.waiting.append(exchange)
        self._dispatch(server, call.host, call.port)
        if self._sweep_timer is None:
            self._sweep_timer = self._timers.call_later(SWEEP_INTERVAL_S, self._sweep)
        return lambda: self._cancel(exchange)

    def prepare(self, host: str, port: int) -> bool:
        """Opens a connection in advance unless one is idle or being opened.

        Returns:
            Whether an idle connection exists, so that a request would be sent at once.
        """
        server = self._servers.setdefault((host, port), _Server())
        conn = self._pop_idle(server)
        if conn is not None:
            server.idle.append(conn)
            return True
        opening = any(conn.state is ConnectionState.CONNECTING for conn in server.open)
        if not opening and len(server.open) < self._max_connections:
            self._connect(server, host, port)
        return False

    def connections(self) -> int:
        """Returns the number of connections that are not closed."""
        return sum(len(server.open) for server in self._servers.values())

    def is_receiving(self, host: str, port: int) -> bool:
        """Returns whether a part of a reply of a server has arrived."""
        server = self._servers.get((host, port))
        return server is not None and any(conn.reply_begun for conn in server.open)

    def close_idle(self, host: str, port: int) -> None:
        """Closes the idle connections to a server, so that the next call opens a new one."""
        server = self._servers.get((host, port))
        if server is None:
            return
        for conn in server.idle:
            server.open.discard(conn)
            conn.close()
        server.idle.clear()

    def has_unacknowledged(self) -> bool:
        """Returns whether a server has not yet acknowledged all bytes sent to it."""
        conns = [conn for server in self._servers.values() for conn in server.open]
        return any(conn.unacknowledged for conn in conns)

    def close(self) -> None:
        """Closes every connection; callbacks of calls in flight are not run."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for server in self._servers.values():
            for conn in server.open:
                conn.close()
        self._servers.clear()

    def on_open(self, conn: HttpConnection) -> None:
        """Makes a new connection available to waiting calls."""
        server, host, port = self._server_of(conn)
        server.idle.append(conn)
        self._dispatch(server, host, port)

    def on_reply(self, conn: HttpConnection, reply: ParsedReply) -> None:
        """Finishes the call on a connection and reuses the connection if possible."""
        server, host, port = self._server_of(conn)
        exchange = _exchange_of(conn)
        _detach(conn)
        if conn.state is ConnectionState.IDLE:
            server.idle.append(conn)
        else:
            server.open.discard(conn)
        if exchange is not None:
            exchange.finish(Ok(HttpReply(reply.status, reply.headers, reply.body)))
        self._dispatch(server, host, port)

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Fails the call on a connection, or one waiting call if the connect failed."""
        server, host, port = self._server_of(conn)
        server.open.discard(conn)
        if conn in server.idle:
            server.idle.remove(conn)
        exchange = _exchange_of(conn)
        _detach(conn)
        if exchange is None and reason is CloseReason.CONNECT_FAILED and server.waiting:
            exchange = server.waiting.popleft()
        if exchange is not None:
            kind = _FAILURE_KINDS[reason]
            detail = f"{host}:{port}: {conn.failure or reason.value}"
            exchange.finish(Err(HttpFailure(kind, conn.any_bytes_sent, detail)))
        self._dispatch(server, host, port)

    def _dispatch(self, server: _Server, host: str, port: int) -> None:
        """Sends waiting calls on idle connections and opens connections for the others."""
        while server.waiting:
            conn = self._pop_idle(server)
            if conn is None:
                break
            exchange = server.waiting.popleft()
            exchange.conn = conn
            conn.tag = (host, port, exchange)
            conn.send(_encode(exchange.call))
        opening = sum(1 for conn in server.open if conn.state is ConnectionState.CONNECTING)
        available = self._max_connections - len(server.open)
        for _ in range(min(available, len(server.waiting) - opening)):
            self._connect(server, host, port)

    def _pop_idle(self, server: _Server) -> HttpConnection | None:
        """Removes and returns the most recently used idle connection, or None.

        Connections that it finds stale or with unread bytes are closed.
        """
        while server.idle:
            conn = server.idle.pop()
            if not self._is_stale(conn) and not conn.has_input:
                return conn
            server.open.discard(conn)
            conn.close()
        return None

    def _is_stale(self, conn: HttpConnection) -> bool:
        """Returns whether a connection has been idle for longer than `MAX_IDLE_S`."""
        return self._clock.now() - conn.last_used > MAX_IDLE_S

    def _sweep(self) -> None:
        """Closes stale idle connections and removes servers without connections or calls."""
        # The next sweep is scheduled first, so that an unexpected error does not end the series.
        next_sweep = self._sweep_timer = self._timers.call_later(SWEEP_INTERVAL_S, self._sweep)
        for address, server in tuple(self._servers.items()):
            for conn in [conn for conn in server.idle if self._is_stale(conn)]:
                server.idle.remove(conn)
                server.open.discard(conn)
                conn.close()
            if not server.open and not server.waiting:
                del self._servers[address]
        if not self._servers:
            next_sweep.cancel()
            self._sweep_timer = None

    def _connect(self, server: _Server, host: str, port: int) -> None:
        """Opens a connection; if that fails at once, fails one waiting call by a timer."""
        try:
            conn = HttpConnection(self._reactor, host, port, self, self._bounds)
        except OSError as exc:
            if not server.waiting:
                return
            exchange = server.waiting.popleft()
            failure = HttpFailure(HttpFailureKind.CONNECT, False, f"{host}:{port}: {exc}")
            self._timers.call_later(0.0, lambda: exchange.finish(Err(failure)))
            return
        conn.tag = (host, port, None)
        server.open.add(conn)

    def _check_acknowledged(self, exchange: _Exchange) -> None:
        """Fails a call whose request is not sent or not acknowledged."""
        conn = exchange.conn
        if conn is None or conn.unacknowledged:
            self._abort(exchange, HttpFailureKind.NOT_ACKNOWLEDGED, "request not acknowledged")

    def _expire(self, exchange: _Exchange) -> None:
        """Fails a call that has reached its timeout, unless its reply keeps arriving."""
        now = self._clock.now()
        limit = _transfer_limit(exchange)
        if now < limit:
            exchange.timer = self._timers.call_at(limit, lambda: self._expire(exchange))
            return
        progress = exchange.conn.progress if exchange.conn is not None else "no reply"
        waited = max(exchange.call.timeout, round(now - exchange.started_at, 3))
        detail = f"{progress} within {waited} s"
        self._abort(exchange, HttpFailureKind.TIMEOUT, detail)

    def _abort(self, exchange: _Exchange, kind: HttpFailureKind, detail: str) -> None:
        """Fails a call, and closes its connection and the idle ones to the same server."""
        call = exchange.call
        server = self._servers.get((call.host, call.port))
        conn = exchange.conn
        sent = False
        if conn is not None:
            sent = conn.any_bytes_sent
            conn.close()
            _detach(conn)
            if server is not None:
                server.open.discard(conn)
                # They may be broken like the one that timed out.
                self.close_idle(call.host, call.port)
        elif server is not None and exchange in server.waiting:
            server.waiting.remove(exchange)
        exchange.finish(Err(HttpFailure(kind, sent, f"{call.host}:{call.port}: {detail}")))
        if server is not None:
            self._dispatch(server, call.host, call.port)

    def _cancel(self, exchange: _Exchange) -> None:
        """Ends a call without a result, unless it has ended."""
        if exchange.done is not None:
            exchange.done = _ignore_result
            self._abort(exchange, HttpFailureKind.CLOSED, "cancelled")

    def _server_of(self, conn: HttpConnection) -> tuple[_Server, str, int]:
        """Returns the server of a connection with its host and port."""
        host, port, _ = _tag(conn)
        return self._servers.setdefault((host, port), _Server()), host, port


def _ignore_result(_result: HttpResult) -> None:
    """Receives the result of a cancelled call."""


def _transfer_limit(exchange: _Exchange) -> float:
    """Returns the clock reading until which a call may go on because its reply is arriving."""
    conn, limit = exchange.conn, exchange.call.transfer_timeout
    if conn is None or limit is None or not conn.reply_begun:
        return float("-inf")
    return min(exchange.started_at + limit, conn.received_at + STALL_TIMEOUT_S)


def _tag(conn: HttpConnection) -> tuple[str, int, _Exchange | None]:
    """Returns the host, port and exchange of a connection."""
    tag = conn.tag
    assert isinstance(tag, tuple)
    return tag


def _exchange_of(conn: HttpConnection) -> _Exchange | None:
    """Returns the exchange in flight on a connection, if any."""
    return _tag(conn)[2]


def _detach(conn: HttpConnection) -> None:
    """Removes the exchange from a connection: they refer to each other."""
    host, port, _ = _tag(conn)
    conn.tag = (host, port, None)


def _encode(call: HttpCall) -> bytes:
    """Encodes a request."""
    lines = [f"{call.method} {call.path} HTTP/1.1", f"host: {host_header(call.host, call.port)}"]
    lines.extend(f"{name}: {value}" for name, value in call.headers)
    lines.append(f"content-length: {len(call.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + call.body
