"""The connections of this node to one upstream, and the exchanges that use them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import ExchangeId
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.upstream.http_contract import RUN_PATH, UpstreamContract
from sequoiapulley.upstream.messages import LossKind, ReplyKind, SendExchange, UpstreamReply
from sequoiapulley.wire.http_connection import (
    CloseReason,
    ConnectionState,
    HttpConnection,
    ReplyBounds,
)
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reply_parser import ParsedReply

SLOW_OPEN_S: Final = 0.003
"""Opening slower than this is done ahead of need."""
OPEN_AHEAD: Final = 2
"""Idle connections kept to an upstream that opens slowly."""
MAX_IDLE_S: Final = 30.0
"""An idle connection beyond those kept is closed after this time."""
REOPEN_DELAY_S: Final = 1.0
"""Pause of opening ahead after a connect failed."""


class PoolSettings(Struct, frozen=True):
    """What one upstream's pool keeps to."""

    host: str
    port: int
    allowance: int
    """Connections this node may hold, those being opened included."""
    open_s: float
    """Usual time to open a connection."""


class Callbacks(Struct, frozen=True):
    """Where outcomes go; each exchange has one, unless it was cancelled."""

    on_reply: Callable[[ExchangeId, UpstreamReply], None]
    on_lost: Callable[[ExchangeId, LossKind], None]


class Flight:
    """One exchange on its way."""

    __slots__ = ("conn", "order", "ordered_at", "suspect")

    def __init__(self, order: SendExchange, now: float) -> None:
        """Initialise an exchange that waits for a connection."""
        self.order = order
        self.ordered_at = now
        self.conn: HttpConnection | None = None
        self.suspect: HttpConnection | None = None
        """The connection that may be silent, when a fresh one was ordered."""


class ConnectionPool:
    """Owns the connections to one upstream."""

    def __init__(
        self,
        reactor: Reactor,
        timers: TimerQueue,
        contract: UpstreamContract,
        settings: PoolSettings,
        callbacks: Callbacks,
        bounds: ReplyBounds,
    ) -> None:
        """Initialise without connections.

        Args:
            reactor: Owner of the sockets.
            timers: Timers of the same event loop.
            contract: The upstream's wire contract.
            settings: Address and limits.
            callbacks: Receivers of outcomes.
            bounds: Largest reply that is read.
        """
        self._reactor = reactor
        self._clock = reactor.clock
        self._timers = timers
        self._contract = contract
        self._callbacks = callbacks
        self._bounds = bounds
        self.settings = settings
        self.conns: set[HttpConnection] = set()
        """Every connection that is not closed."""
        self.idle: list[HttpConnection] = []
        """Connections without an exchange; the last one is used first."""
        self.flights: dict[ExchangeId, Flight] = {}
        """Exchanges without an outcome."""
        self._waiting: deque[Flight] = deque()
        self._waiting_fresh: deque[Flight] = deque()
        self._connecting = 0
        self._reopen_at = 0.0
        self.retired = False
        """Set when the upstream left the configuration."""

    def submit(self, order: SendExchange) -> None:
        """Sends a request now or when a connection is free."""
        flight = Flight(order, self._clock.now())
        self.flights[order.exchange_id] = flight
        if not order.fresh_connection:
            if self.idle and not self._waiting:
                self._start(flight, self.idle.pop())
                self._open_ahead()
                return
            self._waiting.append(flight)
        else:
            flight.suspect = self._oldest_busy()
            self._waiting_fresh.append(flight)
        self._pump()

    def cancel(self, exchange_id: ExchangeId) -> None:
        """Gives an exchange up; it has no outcome.

        A request that left is cancelled by closing its connection, which upstreams notice.
        """
        flight = self.flights.pop(exchange_id, None)
        if flight is None:
            return
        conn = flight.conn
        if conn is None:
            self._remove_waiting(flight)
            return
        self._discard(conn)
        self._pump()

    def close_idle(self) -> None:
        """Closes the idle connections and opens no more ahead."""
        self.retired = True
        for conn in tuple(self.idle):
            self._discard(conn)

    def sweep(self) -> None:
        """Drops waiting exchanges past their deadline and idle connections not needed."""
        now = self._clock.now()
        for queue in (self._waiting, self._waiting_fresh):
            for flight in [f for f in queue if f.order.deadline <= now]:
                queue.remove(flight)
                self._lose(flight, LossKind.NOT_SENT)
        keep = self._spares_wanted()
        while len(self.idle) > keep and now - self.idle[0].last_used > MAX_IDLE_S:
            self._discard(self.idle[0])
        while len(self.conns) > self.settings.allowance and self.idle:
            self._discard(self.idle[0])
        self._open_ahead()

    def on_open(self, conn: HttpConnection) -> None:
        """Uses a new connection, for an exchange that wants a fresh one first."""
        self._connecting -= 1
        if self._waiting_fresh:
            self._start(self._waiting_fresh.popleft(), conn)
            return
        if self._waiting:
            self._start(self._waiting.popleft(), conn)
            return
        # The connections used before are known to work, so they go first.
        self.idle.insert(0, conn)

    def on_reply(self, conn: HttpConnection, parsed: ParsedReply) -> None:
        """Reports the reply of the exchange on a connection and reuses the connection."""
        flight = conn.tag
        assert isinstance(flight, Flight)
        conn.tag = None
        order = flight.order
        reply = self._contract.decode(order.exchange_id, parsed.status, parsed.header, parsed.body)
        if conn.state is not ConnectionState.IDLE or reply.kind is ReplyKind.MALFORMED:
            self._forget(conn)
            conn.close()
            self._pump()
        elif self._waiting:
            self._start(self._waiting.popleft(), conn)
        else:
            self.idle.append(conn)
        if flight.suspect is not None:
            self._confirm_silent(flight.suspect, flight.ordered_at)
        if self.flights.pop(order.exchange_id, None) is not None:
            self._callbacks.on_reply(order.exchange_id, reply)

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Reports the loss of the exchange on a connection, or of one that waits for it."""
        self._forget(conn)
        flight = conn.tag
        if reason is CloseReason.CONNECT_FAILED:
            self._connecting -= 1
            self._on_connect_failed()
        elif isinstance(flight, Flight):
            self._fail_in_flight(flight, conn, reason)
        self._pump()

    def _fail_in_flight(self, flight: Flight, conn: HttpConnection, reason: CloseReason) -> None:
        """Reports an exchange whose connection closed."""
        if reason is CloseReason.PEER_CLOSED:
            self._lose(flight, LossKind.CONNECTION_LOST if conn.bytes_left else LossKind.NOT_SENT)
            return
        exchange_id = flight.order.exchange_id
        if self.flights.pop(exchange_id, None) is not None:
            self._callbacks.on_reply(exchange_id, UpstreamReply(ReplyKind.MALFORMED))

    def _on_connect_failed(self) -> None:
        """Fails one waiting exchange, or all when no connection is left."""
        self._reopen_at = self._clock.now() + REOPEN_DELAY_S
        failed: list[Flight] = []
        for queue in (self._waiting_fresh, self._waiting):
            while queue and (not self.conns or not failed):
                failed.append(queue.popleft())
        for flight in failed:
            self._lose(flight, LossKind.CONNECT_FAILED)

    def _start(self, flight: Flight, conn: HttpConnection) -> None:
        """Sends a request on an idle connection."""
        flight.conn = conn
        conn.tag = flight
        conn.send(self._contract.encode(flight.order, self.settings.host, self.settings.port))

    def _pump(self) -> None:
        """Sends waiting requests on idle connections and opens connections for the others."""
        while self._waiting and self.idle:
            self._start(self._waiting.popleft(), self.idle.pop())
        wanted = len(self._waiting) + len(self._waiting_fresh) - self._connecting
        for _ in range(wanted):
            if len(self.conns) >= self.settings.allowance and not self._make_room():
                return
            if not self._open():
                return
        self._open_ahead()

    def _open_ahead(self) -> None:
        """Opens connections before they are needed, where opening is slow."""
        wanted = self._spares_wanted() - len(self.idle) - self._connecting
        if wanted <= 0 or self._clock.now() < self._reopen_at:
            return
        for _ in range(min(wanted, self.settings.allowance - len(self.conns))):
            if not self._open():
                return

    def _spares_wanted(self) -> int:
        """Returns how many idle connections are kept."""
        if self.retired or self.settings.open_s < SLOW_OPEN_S:
            return 0
        return OPEN_AHEAD

    def _make_room(self) -> bool:
        """Closes a connection that may be silent for an exchange that wants a fresh one."""
        if not self._waiting_fresh or self._connecting >= len(self._waiting_fresh):
            return False
        if self.idle:
            self._discard(self.idle[0])
            return True
        suspect = self._waiting_fresh[0].suspect
        if suspect is None or suspect not in self.conns or suspect.reply_begun:
            return False
        flight = suspect.tag
        if not isinstance(flight, Flight) or flight.order.path == RUN_PATH:
            return False
        self._discard(suspect)
        self._timers.call_later(0.0, lambda: self._lose(flight, LossKind.DISCARDED))
        return True

    def _open(self) -> bool:
        """Opens one connection; an immediate failure is reported after the return."""
        host, port = self.settings.host, self.settings.port
        try:
            conn = HttpConnection(self._reactor, host, port, self, self._bounds)
        except OSError:
            self._timers.call_later(0.0, self._on_connect_failed)
            return False
        self.conns.add(conn)
        self._connecting += 1
        return True

    def _oldest_busy(self) -> HttpConnection | None:
        """Returns the connection whose exchange has waited longest without a byte."""
        oldest: HttpConnection | None = None
        for conn in self.conns:
            if conn.state is not ConnectionState.BUSY or conn.reply_begun:
                continue
            if oldest is None or conn.sent_at < oldest.sent_at:
                oldest = conn
        return oldest

    def _confirm_silent(self, suspect: HttpConnection, ordered_at: float) -> None:
        """Drops idle connections that may be silent too, as the fresh one works."""
        if suspect in self.conns and (suspect.reply_begun or suspect.sent_at > ordered_at):
            return
        for conn in tuple(self.idle):
            if conn.last_used < suspect.sent_at:
                self._discard(conn)

    def _discard(self, conn: HttpConnection) -> None:
        """Closes a connection of this pool."""
        if conn.state is ConnectionState.CONNECTING:
            self._connecting -= 1
        self._forget(conn)
        conn.close()

    def _forget(self, conn: HttpConnection) -> None:
        """Drops a connection from the lists."""
        self.conns.discard(conn)
        if conn in self.idle:
            self.idle.remove(conn)

    def _remove_waiting(self, flight: Flight) -> None:
        """Drops a waiting exchange."""
        for queue in (self._waiting, self._waiting_fresh):
            if flight in queue:
                queue.remove(flight)

    def _lose(self, flight: Flight, kind: LossKind) -> None:
        """Reports a loss once."""
        exchange_id = flight.order.exchange_id
        if self.flights.pop(exchange_id, None) is not None:
            self._callbacks.on_lost(exchange_id, kind)
