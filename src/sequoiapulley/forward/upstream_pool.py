"""Connection pool of one upstream on sockets."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from sequoiapulley.forward.attempt_history import AttemptHistory
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
"""Idle timeout of connections whose upstream states none."""
IDLE_MARGIN_S: Final = 1.0
"""Time before the upstream's own idle timeout, which is stated in whole seconds, at which a
connection is no longer used."""
NON_IDEMPOTENT_IDLE_S: Final = 1.0
"""Maximum idle time of a connection for a non-idempotent request: the upstream may be closing a
connection that was idle for longer, and it would then be unknown whether the request ran."""
ABANDONED_TIMEOUT_S: Final = 0.3
"""Time in which an abandoned exchange may end, so that its connection can be reused. The callers'
contracts allow half a second of processing after a caller has disconnected."""
MAX_ABANDONED_BYTES: Final = 16_384
"""Memory of a request up to which an abandoned exchange may go on: no limit counts it any more."""
CONNECT_TIMEOUT_S: Final = 0.5
"""Timeout of opening a connection: several round trips between regions."""
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
            reactor: Watches the sockets.
            timers: Timers of the same event loop.
            contract: Wire format of requests and replies.
            record: Record of the upstream.
            bounds: Limits on the size of a reply.
        """
        self._reactor = reactor
        self._clock = reactor.clock
        self._timers = timers
        self._contract = contract
        self._bounds = bounds
        self.record = record
        self.connection_limit = 2
        """Maximum number of connections of this node, its share of what the upstream accepts."""
        self.opened = 0
        """Number of connections opened since the start."""
        self._open: set[HttpConnection] = set()
        self._idle: list[HttpConnection] = []
        self._idle_timeouts: dict[HttpConnection, float] = {}
        self._histories: dict[HttpConnection, AttemptHistory] = {}
        """Attempts of each connection that has carried one. None is sent on a connection twice:
        a late second copy of the first reply could not be told from the second reply."""
        self._connecting = 0
        self._checks: list[Callable[[bool], None]] = []
        """Callers that wait for whether the upstream accepts a new connection."""
        self._waiting: deque[Exchange] = deque()

    @property
    def has_room(self) -> bool:
        """Whether a request could be sent without waiting for another one to end."""
        return bool(self._idle) or not self._is_full

    @property
    def _is_full(self) -> bool:
        """Whether no further connection may be opened."""
        return len(self._open) >= self.connection_limit

    @property
    def busy(self) -> int:
        """Number of requests in flight or waiting for a connection."""
        return len(self._open) - len(self._idle) - self._connecting + len(self._waiting)

    def submit(self, exchange: Exchange) -> None:
        """Sends a request as soon as a connection is free; never calls back synchronously."""
        exchange.pool = self
        conn = self._pop_idle(exchange)
        if conn is not None:
            self._start(exchange, conn)
            return
        self._waiting.append(exchange)
        self._open_for_waiting()

    def cancel(self, exchange: Exchange) -> None:
        """Cancels an exchange; closing its connection signals the upstream to stop."""
        exchange.done = None
        if exchange.state is ExchangeState.WAITING and exchange in self._waiting:
            self._waiting.remove(exchange)
        conn = exchange.conn
        if exchange.state is ExchangeState.SENT and isinstance(conn, HttpConnection):
            self._discard(conn)
            self._open_for_waiting()
        exchange.state = ExchangeState.ENDED

    def abandon(self, exchange: Exchange) -> None:
        """Abandons an exchange, which may still end shortly and leave its connection reusable.

        Its outcome is reported if it ends in time, as a latency sample of the upstream. A large one
        is cancelled, which frees the request.
        """
        waiting = exchange.state is ExchangeState.WAITING
        if waiting or exchange.req.memory > MAX_ABANDONED_BYTES:
            self.cancel(exchange)
            return
        self._timers.call_later(ABANDONED_TIMEOUT_S, lambda: self._end_abandoned(exchange))

    def check_alive(self, done: Callable[[bool], None]) -> None:
        """Opens a connection; `done` is called later with whether the upstream accepted it."""
        self._checks.append(done)
        self._timers.call_later(CONNECT_TIMEOUT_S, lambda: self._end_check(done))
        if len(self._checks) == 1 and not self._connecting and not self._open_connection():
            self._timers.call_later(0.0, lambda: self._end_checks(False))

    def refuse_waiting(self) -> None:
        """Ends the requests that wait for a connection as not sent, for a paused upstream."""
        self._fail_waiting()

    def close_idle(self) -> None:
        """Closes idle connections, for an upstream that drains or was removed."""
        for conn in tuple(self._idle):
            self._discard(conn)

    def sweep(self, now: float) -> None:
        """Closes connections that were idle, or still connecting, for too long."""
        for conn in tuple(self._idle):
            if now - conn.last_used >= self._idle_timeouts.get(conn, MAX_IDLE_S):
                self._discard(conn)
        for conn in tuple(self._open):
            timed_out = now - conn.opened_at >= CONNECT_TIMEOUT_S
            if conn.state is ConnectionState.CONNECTING and timed_out:
                conn.close()
                self.on_closed(conn, CloseReason.CONNECT_FAILED)

    def on_open(self, conn: HttpConnection) -> None:
        """Uses a new connection for a waiting request, or adds it to the idle ones."""
        self._connecting -= 1
        self._end_checks(True)
        if self._waiting:
            self._start(self._waiting.popleft(), conn)
            return
        self._idle.append(conn)

    def on_reply(self, conn: HttpConnection, reply: ParsedReply) -> None:
        """Ends the exchange of a connection and makes the connection reusable."""
        exchange = conn.tag
        assert isinstance(exchange, Exchange)
        conn.tag = None
        if conn.state is ConnectionState.CLOSED:
            self._remove_connection(conn)
        else:
            self._idle.append(conn)
            self._record_idle_timeout(conn, reply)
        outcome = self._contract.classify(reply)
        if conn in self._histories:
            self._histories[conn].record_reply(exchange.req.id, outcome.seal)
        if outcome.end is ExchangeEnd.WRONG_UPSTREAM:
            self.close_idle()
        exchange.finish(outcome)
        self._send_waiting()

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Ends the exchange of a closed connection, or those that waited for it to open."""
        exchange = conn.tag
        # Nothing was sent on a connection that did not open.
        connecting = conn.replies == 0 and conn.sent_at == conn.opened_at
        self._remove_connection(conn)
        if isinstance(exchange, Exchange):
            exchange.finish(ExchangeReply(_exchange_end(conn, reason), detail=conn.failure))
        elif reason is CloseReason.CONNECT_FAILED and connecting:
            self._connecting -= 1
            self._end_checks(False)
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
        history = self._histories.setdefault(conn, AttemptHistory())
        history.record_send(req.id)
        conn.send(data, lambda reply: self._contract.is_reply_to(req, reply, history))

    def _pop_idle(self, exchange: Exchange) -> HttpConnection | None:
        """Returns the most recently used idle connection that may carry an exchange, if any."""
        now = self._clock.now()
        for conn in reversed(tuple(self._idle)):
            idle_for = now - conn.last_used
            if idle_for >= self._idle_timeouts.get(conn, MAX_IDLE_S):
                self._discard(conn)
                continue
            if not exchange.may_reuse_idle and idle_for >= NON_IDEMPOTENT_IDLE_S:
                # Those that remain have been idle for longer.
                return None
            history = self._histories.get(conn)
            if history is not None and history.has_carried(exchange.req.id):
                continue
            if conn.has_input:
                self._discard(conn)
                continue
            self._idle.remove(conn)
            return conn
        return None

    def _send_waiting(self) -> None:
        """Sends waiting requests on idle connections that may carry them."""
        for exchange in tuple(self._waiting):
            if not self._idle:
                break
            conn = self._pop_idle(exchange)
            if conn is not None:
                self._waiting.remove(exchange)
                self._start(exchange, conn)
            elif self._idle and self._is_full and not self._will_fit(exchange):
                # Otherwise the requests behind it would keep the connections to themselves.
                self._discard(self._idle[0])
        self._open_for_waiting()

    def _will_fit(self, exchange: Exchange) -> bool:
        """Returns whether an open connection has not carried the attempt of an exchange."""
        attempt = exchange.req.id
        histories = (self._histories.get(conn) for conn in self._open)
        return not all(history and history.has_carried(attempt) for history in histories)

    def _open_for_waiting(self) -> None:
        """Opens connections for waiting requests, within the connection limit.

        Idle connections give way at the limit, as the waiting requests cannot use them.
        """
        wanted = len(self._waiting) - self._connecting
        room = self.connection_limit - len(self._open)
        while self._idle and room < wanted:
            self._discard(self._idle[0])
            room += 1
        for _ in range(min(wanted, room)):
            if not self._open_connection():
                self._timers.call_later(0.0, self._fail_waiting)
                return

    def _open_connection(self) -> bool:
        """Starts to open a connection; returns False if the system allows none."""
        try:
            conn = HttpConnection(
                self._reactor, self.record.host, self.record.port, self, self._bounds
            )
        except OSError:
            return False
        self.opened += 1
        self._connecting += 1
        self._open.add(conn)
        return True

    def _end_check(self, done: Callable[[bool], None]) -> None:
        """Reports that the upstream has not accepted a new connection in time."""
        if done in self._checks:
            self._checks.remove(done)
            done(False)

    def _end_checks(self, alive: bool) -> None:
        """Reports whether the upstream accepted a new connection."""
        checks, self._checks = self._checks, []
        for done in checks:
            done(alive)

    def _fail_waiting(self) -> None:
        """Ends the requests that waited for a connection that could not be opened."""
        waiting, self._waiting = self._waiting, deque()
        for exchange in waiting:
            exchange.finish(ExchangeReply(ExchangeEnd.NOT_SENT))

    def _end_abandoned(self, exchange: Exchange) -> None:
        """Cancels an abandoned exchange that has not ended."""
        if exchange.state is ExchangeState.SENT:
            self.cancel(exchange)

    def _record_idle_timeout(self, conn: HttpConnection, reply: ParsedReply) -> None:
        """Stores the idle timeout that an upstream states for a connection."""
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
        """Removes a connection from the pool without closing it."""
        # The exchange refers to the connection, and the collector would free the cycle much later,
        # together with the request.
        conn.tag = None
        self._open.discard(conn)
        self._idle_timeouts.pop(conn, None)
        self._histories.pop(conn, None)
        if conn in self._idle:
            self._idle.remove(conn)


def _exchange_end(conn: HttpConnection, reason: CloseReason) -> ExchangeEnd:
    """Returns the end of an exchange whose connection closed."""
    if reason in MALFORMED_REASONS:
        return ExchangeEnd.MALFORMED
    return ExchangeEnd.LOST if conn.any_bytes_sent else ExchangeEnd.NOT_SENT
