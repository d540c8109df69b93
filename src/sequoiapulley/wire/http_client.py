"""HTTP client of the platform adapters: few servers, few calls, connections reused."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final

from msgspec import Struct
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
from sequoiapulley.wire.reply_parser import ParsedReply

CONNECTIONS_PER_SERVER: Final = 8
MAX_IDLE_S: Final = 20.0
"""An idle connection older than this is closed."""
SWEEP_S: Final = 5.0


class HttpCall(Struct, frozen=True):
    """One request."""

    host: str
    """IP address."""
    port: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout: float = 2.0
    """Longest wait for the whole reply, in seconds, queueing included."""
    ack_timeout: float | None = None
    """Longest wait for the other end's kernel to confirm the request, in seconds; None for no such
    bound. It tells a machine that is gone long before a reply is overdue. The other end must
    confirm at once, see `HttpServer`."""


class HttpReply(Struct, frozen=True):
    """One whole reply."""

    status: int
    headers: list[tuple[bytes, bytes]]
    """Names in lower case."""
    body: bytes


class HttpFailureKind(Enum):
    """How a call failed."""

    CONNECT = "connect"
    TIMEOUT = "timeout"
    NOT_CONFIRMED = "not_confirmed"
    """The other end's kernel did not confirm the request in time."""
    CLOSED = "closed"
    """The connection closed before the whole reply."""
    BAD_REPLY = "bad_reply"
    """The reply broke HTTP or the bounds."""


class HttpFailure(Struct, frozen=True):
    """A call without a reply."""

    kind: HttpFailureKind
    sent: bool
    """Whether any byte left, so that the request may have taken effect."""
    detail: str


HttpResult = Result[HttpReply, HttpFailure]

_KIND_OF_REASON: Final = {
    CloseReason.CONNECT_FAILED: HttpFailureKind.CONNECT,
    CloseReason.PEER_CLOSED: HttpFailureKind.CLOSED,
    CloseReason.PATH_LOST: HttpFailureKind.CLOSED,
    CloseReason.TRUNCATED: HttpFailureKind.CLOSED,
    CloseReason.MALFORMED: HttpFailureKind.BAD_REPLY,
    CloseReason.TOO_LARGE: HttpFailureKind.BAD_REPLY,
    CloseReason.LOCAL: HttpFailureKind.CLOSED,
}


class _Exchange:
    """One call on its way."""

    __slots__ = ("ack_timer", "call", "conn", "done", "timer")

    def __init__(self, call: HttpCall, done: Callable[[HttpResult], None]) -> None:
        """Initialise a call that waits for a connection."""
        self.call = call
        self.done: Callable[[HttpResult], None] | None = done
        self.conn: HttpConnection | None = None
        self.timer: TimerHandle | None = None
        self.ack_timer: TimerHandle | None = None

    def finish(self, outcome: HttpResult) -> None:
        """Calls back, once."""
        done, self.done = self.done, None
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()
        if done is not None:
            done(outcome)


class _Server:
    """Connections and waiting calls of one address."""

    def __init__(self) -> None:
        """Initialise without connections."""
        self.idle: list[HttpConnection] = []
        self.open: set[HttpConnection] = set()
        self.waiting: deque[_Exchange] = deque()


class HttpClient:
    """Sends calls and reports each outcome once, never from inside `request`."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        timers: TimerQueue,
        bounds: ReplyBounds | None = None,
    ) -> None:
        """Initialise without connections.

        Args:
            reactor: Owner of the sockets.
            clock: Source of time.
            timers: Timers of the same event loop.
            bounds: Largest reply that is read.
        """
        self._reactor = reactor
        self._clock = clock
        self._timers = timers
        self._bounds = bounds or ReplyBounds()
        self._servers: dict[tuple[str, int], _Server] = {}
        self._sweep_timer: TimerHandle | None = None

    def request(self, call: HttpCall, done: Callable[[HttpResult], None]) -> None:
        """Sends one request.

        Args:
            call: The request; its path and headers hold no line breaks.
            done: Called once with the reply or the failure.
        """
        exchange = _Exchange(call, done)
        exchange.timer = self._timers.call_later(call.timeout, lambda: self._expire(exchange))
        if call.ack_timeout is not None:
            exchange.ack_timer = self._timers.call_later(
                call.ack_timeout, lambda: self._check_confirmed(exchange)
            )
        server = self._servers.setdefault((call.host, call.port), _Server())
        server.waiting.append(exchange)
        self._pump(server, call.host, call.port)
        if self._sweep_timer is None:
            self._sweep_timer = self._timers.call_later(SWEEP_S, self._sweep)

    def prepare(self, host: str, port: int) -> bool:
        """Opens a connection ahead unless one is idle or being opened.

        Returns:
            Whether a request would leave at once.
        """
        server = self._servers.setdefault((host, port), _Server())
        conn = self._take_idle(server)
        if conn is not None:
            server.idle.append(conn)
            return True
        opening = any(conn.state is ConnectionState.CONNECTING for conn in server.open)
        if not opening and len(server.open) < CONNECTIONS_PER_SERVER:
            self._connect(server, host, port)
        return False

    def connections(self) -> int:
        """Returns the number of connections that are not closed."""
        return sum(len(server.open) for server in self._servers.values())

    def has_unconfirmed(self) -> bool:
        """Returns whether bytes of a request are not confirmed by the other end's kernel."""
        conns = [conn for server in self._servers.values() for conn in server.open]
        return any(conn.unacknowledged for conn in conns)

    def close(self) -> None:
        """Closes every connection; calls in flight are not called back."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for server in self._servers.values():
            for conn in server.open:
                conn.close()
        self._servers.clear()

    def on_open(self, conn: HttpConnection) -> None:
        """Uses a new connection."""
        server, host, port = self._place(conn)
        server.idle.append(conn)
        self._pump(server, host, port)

    def on_reply(self, conn: HttpConnection, reply: ParsedReply) -> None:
        """Finishes the call of a connection."""
        server, host, port = self._place(conn)
        exchange = _exchange_of(conn)
        _detach(conn)
        if conn.state is ConnectionState.IDLE:
            server.idle.append(conn)
        else:
            server.open.discard(conn)
        if exchange is not None:
            exchange.finish(Ok(HttpReply(reply.status, reply.headers, reply.body)))
        self._pump(server, host, port)

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Fails the call of a connection, or one that waits for it to open."""
        server, host, port = self._place(conn)
        server.open.discard(conn)
        if conn in server.idle:
            server.idle.remove(conn)
        exchange = _exchange_of(conn)
        if exchange is None and reason is CloseReason.CONNECT_FAILED and server.waiting:
            exchange = server.waiting.popleft()
        if exchange is not None:
            kind = _KIND_OF_REASON[reason]
            detail = f"{host}:{port}: {reason.value}"
            exchange.finish(Err(HttpFailure(kind, conn.bytes_left, detail)))
        self._pump(server, host, port)

    def _pump(self, server: _Server, host: str, port: int) -> None:
        """Sends waiting calls while connections allow."""
        while server.waiting:
            conn = self._take_idle(server)
            if conn is None:
                break
            exchange = server.waiting.popleft()
            exchange.conn = conn
            conn.tag = (host, port, exchange)
            conn.send(_encode(exchange.call))
        opening = sum(1 for conn in server.open if conn.state is ConnectionState.CONNECTING)
        room = CONNECTIONS_PER_SERVER - len(server.open)
        for _ in range(min(room, len(server.waiting) - opening)):
            self._connect(server, host, port)

    def _take_idle(self, server: _Server) -> HttpConnection | None:
        """Takes the idle connection used last, dropping those idle for too long."""
        while server.idle:
            conn = server.idle.pop()
            if not self._is_stale(conn):
                return conn
            server.open.discard(conn)
            conn.close()
        return None

    def _is_stale(self, conn: HttpConnection) -> bool:
        """Returns whether an idle connection is too old to be used."""
        return self._clock.now() - conn.last_used > MAX_IDLE_S

    def _sweep(self) -> None:
        """Closes idle connections that are too old, and forgets servers without any."""
        for address, server in tuple(self._servers.items()):
            for conn in [conn for conn in server.idle if self._is_stale(conn)]:
                server.idle.remove(conn)
                server.open.discard(conn)
                conn.close()
            if not server.open and not server.waiting:
                del self._servers[address]
        self._sweep_timer = None
        if self._servers:
            self._sweep_timer = self._timers.call_later(SWEEP_S, self._sweep)

    def _connect(self, server: _Server, host: str, port: int) -> None:
        """Opens one more connection; an immediate failure fails one waiting call, later."""
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

    def _check_confirmed(self, exchange: _Exchange) -> None:
        """Gives a call up if the other end has not confirmed it."""
        conn = exchange.conn
        if conn is None or conn.unacknowledged:
            self._give_up(exchange, HttpFailureKind.NOT_CONFIRMED, "request not confirmed")

    def _expire(self, exchange: _Exchange) -> None:
        """Gives a call up at its timeout."""
        detail = f"no reply within {exchange.call.timeout} s"
        self._give_up(exchange, HttpFailureKind.TIMEOUT, detail)

    def _give_up(self, exchange: _Exchange, kind: HttpFailureKind, detail: str) -> None:
        """Fails a call and closes its connection and the idle ones of the same server."""
        call = exchange.call
        server = self._servers.get((call.host, call.port))
        conn = exchange.conn
        sent = False
        if conn is not None:
            sent = conn.bytes_left
            conn.close()
            if server is not None:
                server.open.discard(conn)
                _drop_idle(server)
        elif server is not None and exchange in server.waiting:
            server.waiting.remove(exchange)
        exchange.finish(Err(HttpFailure(kind, sent, f"{call.host}:{call.port}: {detail}")))
        if server is not None:
            self._pump(server, call.host, call.port)

    def _place(self, conn: HttpConnection) -> tuple[_Server, str, int]:
        """Returns the server of a connection and its address."""
        host, port, _ = _tag(conn)
        return self._servers.setdefault((host, port), _Server()), host, port


def _drop_idle(server: _Server) -> None:
    """Closes idle connections, which may have gone silent like the one that timed out."""
    for conn in server.idle:
        server.open.discard(conn)
        conn.close()
    server.idle.clear()


def _tag(conn: HttpConnection) -> tuple[str, int, _Exchange | None]:
    """Returns the address and exchange of a connection."""
    tag = conn.tag
    assert isinstance(tag, tuple)
    return tag


def _exchange_of(conn: HttpConnection) -> _Exchange | None:
    """Returns the exchange in flight on a connection, if any."""
    return _tag(conn)[2]


def _detach(conn: HttpConnection) -> None:
    """Marks a connection as carrying no exchange."""
    host, port, _ = _tag(conn)
    conn.tag = (host, port, None)


def _encode(call: HttpCall) -> bytes:
    """Encodes a whole request."""
    lines = [f"{call.method} {call.path} HTTP/1.1", f"host: {host_header(call.host, call.port)}"]
    lines.extend(f"{name}: {value}" for name, value in call.headers)
    lines.append(f"content-length: {len(call.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + call.body
