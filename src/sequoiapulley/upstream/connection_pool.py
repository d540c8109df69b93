"""The connections of this node to one upstream, and the exchanges that use them."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import ExchangeId
from sequoiapulley.observe import LogEvent
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.upstream.event_limiter import EventLimiter
from sequoiapulley.upstream.flight import Flight, FlightQueue
from sequoiapulley.upstream.http_contract import RUN_PATH, UpstreamContract
from sequoiapulley.upstream.messages import LossKind, ReplyKind, SendExchange, UpstreamReply
from sequoiapulley.upstream.pool_settings import (
    PoolCallbacks,
    PoolPolicy,
    PoolSettings,
    TransportCounts,
)
from sequoiapulley.upstream.silence import SilenceSigns, longest_waiting
from sequoiapulley.wire.http_connection import (
    CloseReason,
    ConnectionState,
    HttpConnection,
    ReplyBounds,
)
from sequoiapulley.wire.log_events import (
    REPLY_MALFORMED,
    SILENT_CONNECTIONS_CLOSED,
    UPSTREAM_UNREACHABLE,
)
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reply_parser import ParsedReply

# Looking a member up on its class costs more than the comparison on this path.
_MALFORMED: Final = ReplyKind.MALFORMED
_CLOSED: Final = ConnectionState.CLOSED
_LOSS_OF_REASON: Final = {
    CloseReason.PEER_CLOSED: LossKind.CONNECTION_LOST,
    CloseReason.PATH_LOST: LossKind.DISCARDED,
}


class ConnectionPool:
    """Owns the connections to one upstream."""

    def __init__(
        self,
        reactor: Reactor,
        timers: TimerQueue,
        contract: UpstreamContract,
        settings: PoolSettings,
        policy: PoolPolicy,
        callbacks: PoolCallbacks,
        bounds: ReplyBounds,
        totals: TransportCounts,
    ) -> None:
        """Initialise without connections.

        Args:
            reactor: Owner of the sockets.
            timers: Timers of the same event loop.
            contract: The upstream's wire contract.
            settings: Address and limits.
            policy: How connections are kept.
            callbacks: Receivers of outcomes.
            bounds: Largest reply that is read.
            totals: Counts of all pools, added to here.
        """
        self._reactor = reactor
        self._clock = reactor.clock
        self._timers = timers
        self._contract = contract
        self._policy = policy
        self._callbacks = callbacks
        self._bounds = bounds
        self._totals = totals
        self.conns: set[HttpConnection] = set()
        """Every connection that is not closed."""
        self.idle: list[HttpConnection] = []
        """Connections without an exchange; the last one is used first."""
        self.flights: dict[ExchangeId, Flight] = {}
        """Exchanges without an outcome."""
        self.queue = FlightQueue()
        self._connecting: set[HttpConnection] = set()
        self._reopen_at = 0.0
        self._signs = SilenceSigns()
        self._limiter = EventLimiter(policy.log_interval)
        self._retired = False
        self._spares = 0
        self.configure(settings)

    def configure(self, settings: PoolSettings) -> None:
        """Applies an address and limits; the address is the one the pool was made with."""
        self.settings = settings
        slow = settings.open_s >= self._policy.slow_open and not self._retired
        self._spares = self._policy.spares if slow else 0
        self.pump()

    def submit(self, order: SendExchange) -> None:
        """Sends a request now or when a connection is free."""
        flight = Flight(order)
        self.flights[order.exchange_id] = flight
        if order.fresh_connection:
            flight.ordered_at = self._clock.now()
            flight.suspect = longest_waiting(self.conns)
            self.queue.fresh.append(flight)
        elif not self.idle or self.queue.usual:
            self.queue.usual.append(flight)
        elif order.path == RUN_PATH and not self._is_recent(self.idle[-1]):
            # The other end may be closing it, and then nobody could tell whether the request ran.
            self.queue.fresh.append(flight)
        else:
            self._start(flight, self.idle.pop())
            if len(self.idle) >= self._spares:
                return
        self.pump()

    def cancel(self, exchange_id: ExchangeId) -> None:
        """Gives an exchange up; it has no outcome.

        Closing the connection tells the upstream to stop. Within the policy's grace the exchange
        may also end on its own, which saves the connection.
        """
        flight = self.flights.pop(exchange_id, None)
        if flight is None:
            return
        conn = flight.conn
        if conn is None:
            self.queue.remove(flight)
            return
        grace = self._policy.cancel_grace * self.settings.open_s
        if grace > 0 and not self._retired:
            self._timers.call_later(grace, lambda: self._close_cancelled(conn, flight))
        else:
            self._close_cancelled(conn, flight)

    def retire(self) -> None:
        """Closes idle connections, and the others as soon as their exchange ends."""
        self._retired = True
        self._spares = 0
        for conn in tuple(self.idle):
            self._discard(conn)

    def sweep(self) -> None:
        """Gives up what is overdue, and renews or closes idle connections."""
        now = self._clock.now()
        for flight in self.queue.take_expired(now):
            self._lose(flight, LossKind.NOT_SENT)
        for flight in tuple(self.flights.values()):
            if flight.conn is not None and flight.order.deadline + self._policy.overdue <= now:
                self._give_up(flight.conn)
                self._lose(flight, LossKind.DISCARDED)
        for conn in tuple(self._connecting):
            if now - conn.opened_at >= self._policy.max_connect:
                conn.close()
                self.on_closed(conn, CloseReason.CONNECT_FAILED)
        for conn in tuple(self.idle):
            excess = len(self.conns) > self.settings.allowance
            if excess or now - conn.last_used >= self._policy.max_idle:
                self._discard(conn)
        self.pump()

    def on_open(self, conn: HttpConnection) -> None:
        """Uses a new connection."""
        self._connecting.discard(conn)
        if flight := self.queue.take():
            self._start(flight, conn)
        elif self._retired:
            self._discard(conn)
        else:
            # Connections used before are known to be fully open, so they go first.
            self.idle.insert(0, conn)

    def on_reply(self, conn: HttpConnection, parsed: ParsedReply) -> None:
        """Reports the reply of the exchange on a connection and reuses the connection."""
        flight = conn.tag
        assert isinstance(flight, Flight)
        conn.tag = None
        exchange_id = flight.order.exchange_id
        reply = self._contract.decode(exchange_id, parsed)
        self._reuse(conn, reply)
        if flight.order.fresh_connection:
            self._close_silent(flight)
        if self.flights.pop(exchange_id, None) is not None:
            self._callbacks.on_reply(exchange_id, reply)

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Reports the loss of the exchange on a connection, or of one that waits for it."""
        self._forget(conn)
        flight = conn.tag
        if conn.replies == 0:
            self._reopen_at = self._clock.now() + self._policy.reopen_delay
        if reason is CloseReason.CONNECT_FAILED:
            self._on_connect_failed()
        elif isinstance(flight, Flight):
            self._end_broken(flight, conn, reason)
        self.pump()

    def pump(self) -> None:
        """Sends waiting requests on idle connections and opens connections for the others."""
        queue = self.queue
        while queue.usual and self.idle:
            self._start(queue.usual.popleft(), self.idle.pop())
        for _ in range(len(queue) - len(self._connecting)):
            if len(self.conns) >= self.settings.allowance and not self._make_room():
                return
            if not self._open():
                return
        if len(self.idle) < self._spares:
            self._open_ahead()

    def _reuse(self, conn: HttpConnection, reply: UpstreamReply) -> None:
        """Gives a connection that has just replied its next exchange, or lets it idle."""
        if reply.kind is _MALFORMED:
            self._on_malformed()
            conn.close()
        if conn.state is _CLOSED:
            self._forget(conn)
            self.pump()
            return
        flight = self.queue.take() if self.queue else None
        if flight is not None:
            self._start(flight, conn)
        elif self._retired or len(self.conns) > self.settings.allowance:
            self._discard(conn)
        else:
            self.idle.append(conn)

    def _end_broken(self, flight: Flight, conn: HttpConnection, reason: CloseReason) -> None:
        """Reports the exchange of a connection that broke."""
        kind = _LOSS_OF_REASON.get(reason)
        if kind is not None:
            self._lose(flight, kind if conn.bytes_left else LossKind.NOT_SENT)
            return
        self._on_malformed()
        if self.flights.pop(flight.order.exchange_id, None) is not None:
            self._callbacks.on_reply(flight.order.exchange_id, UpstreamReply(_MALFORMED))

    def _start(self, flight: Flight, conn: HttpConnection) -> None:
        """Sends a request on an idle connection."""
        flight.conn = conn
        conn.tag = flight
        conn.send(self._contract.encode(flight.order, self.settings.host, self.settings.port))

    def _open_ahead(self) -> None:
        """Opens connections before they are needed."""
        wanted = self._spares - len(self.idle) - len(self._connecting)
        if wanted <= 0 or self._clock.now() < self._reopen_at:
            return
        for _ in range(min(wanted, self.settings.allowance - len(self.conns))):
            if not self._open():
                return

    def _open(self) -> bool:
        """Opens one connection; an immediate failure is reported after the return."""
        try:
            conn = HttpConnection(
                self._reactor, self.settings.host, self.settings.port, self, self._bounds
            )
        except OSError:
            self._reopen_at = self._clock.now() + self._policy.reopen_delay
            self._timers.call_later(0.0, self._on_connect_failed)
            return False
        self._totals.opened += 1
        self.conns.add(conn)
        self._connecting.add(conn)
        return True

    def _make_room(self) -> bool:
        """Closes a connection that may be silent for an exchange that wants a fresh one."""
        if not self.queue.fresh or len(self._connecting) >= len(self.queue.fresh):
            return False
        if self.idle:
            self._discard(self.idle[0])
            return True
        suspect = self.queue.fresh[0].suspect
        if suspect is None or suspect not in self.conns or suspect.reply_begun:
            return False
        flight = suspect.tag
        if not isinstance(flight, Flight) or flight.order.path == RUN_PATH:
            return False
        self._totals.silent_closed += 1
        self._discard(suspect)
        self._timers.call_later(0.0, lambda: self._lose(flight, LossKind.DISCARDED))
        return True

    def _on_connect_failed(self) -> None:
        """Fails one waiting exchange, or all when no connection is left."""
        self._totals.connect_failures += 1
        self._log(UPSTREAM_UNREACHABLE)
        failed = self.queue.take()
        while failed is not None:
            self._lose(failed, LossKind.CONNECT_FAILED)
            failed = None if self.conns else self.queue.take()

    def _on_malformed(self) -> None:
        """Counts and logs a reply that broke the contract."""
        self._totals.malformed += 1
        self._log(REPLY_MALFORMED)

    def _close_cancelled(self, conn: HttpConnection, flight: Flight) -> None:
        """Closes the connection of a cancelled exchange, unless that has ended."""
        if conn.tag is not flight or conn.state is not ConnectionState.BUSY:
            return
        self._totals.cancelled_closed += 1
        self._give_up(conn)
        self.pump()

    def _close_silent(self, fresh: Flight) -> None:
        """Closes what may have gone silent, now that a fresh connection works."""
        silent_since = self._signs.silent_since(fresh)
        for conn in [conn for conn in self.idle if conn.last_used < silent_since]:
            self._discard(conn)
            self._totals.silent_closed += 1
        if silent_since > 0.0:
            self._log(SILENT_CONNECTIONS_CLOSED)

    def _give_up(self, conn: HttpConnection) -> None:
        """Closes a busy connection whose exchange nobody waits for."""
        self._signs.note_given_up(conn)
        self._discard(conn)

    def _is_recent(self, conn: HttpConnection) -> bool:
        """Returns whether an idle connection worked a moment ago."""
        return self._clock.now() - conn.last_used <= self._policy.run_max_idle

    def _discard(self, conn: HttpConnection) -> None:
        """Closes a connection of this pool."""
        self._forget(conn)
        conn.close()

    def _forget(self, conn: HttpConnection) -> None:
        """Drops a connection from the lists."""
        self.conns.discard(conn)
        self._connecting.discard(conn)
        if conn in self.idle:
            self.idle.remove(conn)

    def _lose(self, flight: Flight, kind: LossKind) -> None:
        """Reports a loss once."""
        exchange_id = flight.order.exchange_id
        if self.flights.pop(exchange_id, None) is not None:
            self._callbacks.on_lost(exchange_id, kind)

    def _log(self, event: LogEvent) -> None:
        """Logs an event of this upstream, now and again."""
        if self._limiter.allows(event, self._clock.now()):
            self._callbacks.on_event(event, self.settings.name)
