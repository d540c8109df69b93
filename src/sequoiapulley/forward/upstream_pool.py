"""The connections of this node to one upstream, and the exchanges on them."""

from __future__ import annotations

from collections import deque
from typing import Final

from sequoiapulley.forward.contract import WireContract
from sequoiapulley.forward.exchange import Exchange, ExchangeState
from sequoiapulley.forward.messages import (
    ExchangeEnd,
    ExchangeReply,
    UpstreamRecord,
)
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.http_connection import (
    CloseReason,
    ConnectionState,
    HttpConnection,
    ReplyBounds,
)
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reply_parser import ParsedReply

MAX_IDLE_S: Final = 25.0
"""Longest idle time of a connection whose upstream names none."""
IDLE_MARGIN_S: Final = 1.0
"""Time before the upstream's own idle timeout, told in whole seconds, at which a connection is
no longer used."""
NON_IDEMPOTENT_IDLE_S: Final = 1.0
"""Longest idle time of a connection that gets a request which may run only once: the upstream may
be closing an older one, and then nobody could tell whether the request ran."""
ABANDONED_TIMEOUT_S: Final = 0.3
"""Time that an abandoned exchange may take to end and so to save its connection. Callers' contracts
allow half a second of work after a caller has left."""
CONNECT_TIMEOUT_S: Final = 0.5
"""Longest time to open a connection; several round trips between regions."""
MALFORMED_REASONS: Final = frozenset(
    {CloseReason.TRUNCATED, CloseReason.MALFORMED, CloseReason.TOO_LARGE}
)
KEEP_ALIVE: Final = b"keep-alive"
TIMEOUT_FIELD: Final = b"timeout="


class UpstreamPool:
    """Implements `Pool` on sockets."""

    def __init__(
        self,
        reactor: Reactor,
        timers: TimerQueue,
        contract: WireContract,
        record: UpstreamRecord,
        bounds: ReplyBounds,
    ) -> None:
        """Initialise without connections.

        Args:
            reactor: Owner of the sockets.
            timers: Timers of the same event loop.
            contract: Form of requests and replies.
            record: The upstream.
            bounds: Largest reply that is read.
        """
        self._reactor = reactor
        self._clock = reactor.clock
        self._timers = timers
        self._contract = contract
        self._bounds = bounds
        self.record = record
        self.most_connections = 2
        """This node's share of the connections that the upstream accepts."""
        self.opened = 0
        """Connections opened since the start."""
        self._open: set[HttpConnection] = set()
        self._idle: list[HttpConnection] = []
        self._idle_timeouts: dict[HttpConnection, float] = {}
        self._connecting = 0
        self._waiting: deque[Exchange] = deque()

    @property
    def has_room(self) -> bool:
        """Whether a request would be sent without waiting for another to end."""
        return bool(self._idle) or len(self._open) < self.most_connections

    @property
    def busy(self) -> int:
        """Connections that carry a request, and requests that wait for one."""
        return len(self._open) - len(self._idle) - self._connecting + len(self._waiting)

    def submit(self, exchange: Exchange) -> None:
        """Sends a request now or as soon as a connection is free; never calls back at once."""
        exchange.pool = self
        conn = self._pop_idle(exchange.may_reuse_idle)
        if conn is not None:
            self._start(exchange, conn)
            return
        self._waiting.append(exchange)
        self._open_for_waiting()

    def cancel(self, exchange: Exchange) -> None:
        """Gives an exchange up at once; closing its connection tells the upstream to stop."""
        exchange.done = None
        if exchange.state is ExchangeState.WAITING and exchange in self._waiting:
            self._waiting.remove(exchange)
        conn = exchange.conn
        if exchange.state is ExchangeState.SENT and isinstance(conn, HttpConnection):
            self._discard(conn)
            self._open_for_waiting()
        exchange.state = ExchangeState.ENDED

    def abandon(self, exchange: Exchange) -> None:
        """Gives an exchange up that may still end by itself and so save its connection.

        Its end is reported if it comes in time, as it tells of the upstream's speed.
        """
        if exchange.state is ExchangeState.WAITING:
            self.cancel(exchange)
            return
        self._timers.call_later(ABANDONED_TIMEOUT_S, lambda: self._end_abandoned(exchange))

    def close_idle(self) -> None:
        """Closes idle connections, for an upstream that left."""
        for conn in tuple(self._idle):
            self._discard(conn)

    def sweep(self, now: float) -> None:
        """Closes connections idle for too long and connects that take too long."""
        for conn in tuple(self._idle):
            if now - conn.last_used >= self._idle_timeouts.get(conn, MAX_IDLE_S):
                self._discard(conn)
        for conn in tuple(self._open):
            overdue = now - conn.opened_at >= CONNECT_TIMEOUT_S
            if conn.state is ConnectionState.CONNECTING and overdue:
                conn.close()
                self.on_closed(conn, CloseReason.CONNECT_FAILED)

    def on_open(self, conn: HttpConnection) -> None:
        """Uses a new connection."""
        self._connecting -= 1
        if self._waiting:
            self._start(self._waiting.popleft(), conn)
            return
        self._idle.append(conn)

    def on_reply(self, conn: HttpConnection, reply: ParsedReply) -> None:
        """Ends the exchange of a connection and reuses the connection."""
        exchange = conn.tag
        assert isinstance(exchange, Exchange)
        conn.tag = None
        if conn.state is ConnectionState.CLOSED:
            self._remove_connection(conn)
        else:
            self._idle.append(conn)
            self._record_idle_timeout(conn, reply)
        outcome = self._contract.classify(reply)
        if outcome.end is ExchangeEnd.WRONG_UPSTREAM:
            self.close_idle()
        exchange.finish(outcome)
        self._send_waiting()

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Ends the exchange of a connection, or those that waited for it."""
        exchange = conn.tag
        connecting = conn.replies == 0 and conn.sent_at == conn.opened_at
        self._remove_connection(conn)
        if isinstance(exchange, Exchange):
            exchange.finish(ExchangeReply(_exchange_end(conn, reason)))
        elif reason is CloseReason.CONNECT_FAILED and connecting:
            self._connecting -= 1
            self._fail_waiting()
        self._open_for_waiting()

    def _start(self, exchange: Exchange, conn: HttpConnection) -> None:
        """Sends a request on an idle connection."""
        now = self._clock.now()
        exchange.state = ExchangeState.SENT
        exchange.conn = conn
        exchange.sent_at = now
        conn.tag = exchange
        req = exchange.req
        data = self._contract.encode_request(req, self.record, max(0.0, exchange.deadline - now))
        conn.send(data, lambda reply: self._contract.belongs(req, reply))

    def _pop_idle(self, may_reuse_idle: bool) -> HttpConnection | None:
        """Takes the idle connection used last, if it is young enough."""
        now = self._clock.now()
        while self._idle:
            conn = self._idle[-1]
            idle_for = now - conn.last_used
            if idle_for >= self._idle_timeouts.get(conn, MAX_IDLE_S):
                self._discard(conn)
                continue
            if not may_reuse_idle and idle_for >= NON_IDEMPOTENT_IDLE_S:
                if len(self._open) >= self.most_connections:
                    self._discard(conn)
                return None
            return self._idle.pop()
        return None

    def _send_waiting(self) -> None:
        """Sends waiting requests on idle connections."""
        while self._waiting and self._idle:
            self._start(self._waiting.popleft(), self._idle.pop())

    def _open_for_waiting(self) -> None:
        """Opens connections for waiting requests within this node's share."""
        wanted = len(self._waiting) - self._connecting
        room = self.most_connections - len(self._open)
        for _ in range(min(wanted, room)):
            try:
                conn = HttpConnection(
                    self._reactor, self.record.host, self.record.port, self, self._bounds
                )
            except OSError:
                self._timers.call_later(0.0, self._fail_waiting)
                return
            self.opened += 1
            self._connecting += 1
            self._open.add(conn)

    def _fail_waiting(self) -> None:
        """Ends the requests that waited for a connection that could not be opened."""
        waiting, self._waiting = self._waiting, deque()
        for exchange in waiting:
            exchange.finish(ExchangeReply(ExchangeEnd.NOT_SENT))

    def _end_abandoned(self, exchange: Exchange) -> None:
        """Closes the connection of an abandoned exchange that has not ended."""
        if exchange.state is ExchangeState.SENT:
            self.cancel(exchange)

    def _record_idle_timeout(self, conn: HttpConnection, reply: ParsedReply) -> None:
        """Keeps the idle timeout that an upstream names for a connection."""
        for name, value in reply.headers:
            if name != KEEP_ALIVE or TIMEOUT_FIELD not in value:
                continue
            digits = value.partition(TIMEOUT_FIELD)[2].partition(b",")[0].strip()
            if digits.isdigit():
                self._idle_timeouts[conn] = max(0.0, int(digits) - IDLE_MARGIN_S)

    def _discard(self, conn: HttpConnection) -> None:
        """Closes a connection of this pool."""
        if conn.state is ConnectionState.CONNECTING:
            self._connecting -= 1
        self._remove_connection(conn)
        conn.close()

    def _remove_connection(self, conn: HttpConnection) -> None:
        """Drops a connection from the lists."""
        self._open.discard(conn)
        self._idle_timeouts.pop(conn, None)
        if conn in self._idle:
            self._idle.remove(conn)


def _exchange_end(conn: HttpConnection, reason: CloseReason) -> ExchangeEnd:
    """Returns how an exchange ended whose connection closed."""
    if reason in MALFORMED_REASONS:
        return ExchangeEnd.MALFORMED
    return ExchangeEnd.LOST if conn.bytes_left else ExchangeEnd.NOT_SENT
