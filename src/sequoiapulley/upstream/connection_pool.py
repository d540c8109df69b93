"""Connection pool of this node for one upstream."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import ExchangeId
from sequoiapulley.observe import LogEvent
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.upstream.event_limiter import EventLimiter
from sequoiapulley.upstream.http_contract import RUN_PATH, UpstreamContract
from sequoiapulley.upstream.messages import LossKind, ReplyKind, SendExchange, UpstreamReply
from sequoiapulley.upstream.pending_exchange import PendingExchange, WaitingQueue
from sequoiapulley.upstream.pool_settings import (
    PoolCallbacks,
    PoolPolicy,
    PoolSettings,
    TransportCounts,
)
from sequoiapulley.upstream.silence import SilenceTracker, longest_unanswered
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

# Module-level aliases: on this hot path, enum member access costs more than the comparison.
_MALFORMED: Final = ReplyKind.MALFORMED
_CLOSED: Final = ConnectionState.CLOSED
_LOSS_OF_REASON: Final = {
    CloseReason.PEER_CLOSED: LossKind.CONNECTION_LOST,
    CloseReason.PATH_LOST: LossKind.DISCARDED,
}


class ConnectionPool:
    """Owns the connections to one upstream and assigns exchanges to them."""

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
        """Creates a pool without connections.

        Args:
            reactor: Reactor that polls the sockets.
            timers: Timers of the same event loop.
            contract: The upstream's wire contract.
            settings: Address and limits.
            policy: Connection handling.
            callbacks: Receivers of outcomes and log events.
            bounds: Size limits of replies.
            totals: Counters shared by all pools.
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
        """All connections that are not closed."""
        self.idle: list[HttpConnection] = []
        """Connections without an exchange; the last one in the list is used first."""
        self.exchanges: dict[ExchangeId, PendingExchange] = {}
        """Exchanges without an outcome."""
        self.queue = WaitingQueue()
        self._connecting: set[HttpConnection] = set()
        self._reopen_at = 0.0
        self._silence = SilenceTracker()
        self._log_limiter = EventLimiter(policy.log_interval_s)
        self._retired = False
        self._spare_target = 0
        self.configure(settings)

    def configure(self, settings: PoolSettings) -> None:
        """Applies new limits; the address must not change."""
        self.settings = settings
        slow = settings.connect_time_s >= self._policy.slow_connect_s and not self._retired
        self._spare_target = self._policy.spare_connections if slow else 0
        self.pump()

    def submit(self, request: SendExchange) -> None:
        """Sends a request on an idle connection, or queues it until one is available."""
        pending = PendingExchange(request)
        self.exchanges[request.exchange_id] = pending
        if request.fresh_connection:
            pending.submitted_at = self._clock.now()
            pending.suspect = longest_unanswered(self.conns)
            self.queue.fresh.append(pending)
        elif self.queue.normal or not self._drop_unusable_idle():
            self.queue.normal.append(pending)
        elif request.path == RUN_PATH and not self._was_recently_used(self.idle[-1]):
            # The upstream may be closing the connection; it would then be unknown whether the
            # request ran.
            self.queue.fresh.append(pending)
        else:
            self._start(pending, self.idle.pop())
            if len(self.idle) >= self._spare_target:
                return
        self.pump()

    def cancel(self, exchange_id: ExchangeId) -> None:
        """Cancels an exchange; it has no outcome.

        Closing the connection makes the upstream stop its work. If the exchange completes within
        the grace period of the policy, the connection is kept.
        """
        pending = self.exchanges.pop(exchange_id, None)
        if pending is None:
            return
        conn = pending.conn
        if conn is None:
            self.queue.remove(pending)
            return
        grace = self._policy.cancel_grace * self.settings.connect_time_s
        if grace > 0 and not self._retired:
            self._timers.call_later(grace, lambda: self._close_cancelled(conn, pending))
        else:
            self._close_cancelled(conn, pending)

    def retire(self) -> None:
        """Closes idle connections now, and the others when their exchange ends."""
        self._retired = True
        self._spare_target = 0
        for conn in tuple(self.idle):
            self._discard(conn)

    def sweep(self) -> None:
        """Discards overdue exchanges and closes connections that connect or idle for too long."""
        now = self._clock.now()
        for pending in self.queue.pop_expired(now):
            self._report_lost(pending, LossKind.NOT_SENT)
        for pending in tuple(self.exchanges.values()):
            if (
                pending.conn is not None
                and pending.request.deadline + self._policy.overdue_s <= now
            ):
                self._abandon(pending.conn)
                self._report_lost(pending, LossKind.DISCARDED)
        for conn in tuple(self._connecting):
            if now - conn.opened_at >= self._policy.connect_timeout_s:
                conn.close()
                self.on_closed(conn, CloseReason.CONNECT_FAILED)
        for conn in tuple(self.idle):
            excess = len(self.conns) > self.settings.allowance
            if excess or now - conn.last_used >= self._policy.max_idle_s:
                self._discard(conn)
        self.pump()

    def on_open(self, conn: HttpConnection) -> None:
        """Assigns a queued exchange to a new connection, or adds it to the idle ones."""
        self._connecting.discard(conn)
        if pending := self.queue.pop_next():
            self._start(pending, conn)
        elif self._retired:
            self._discard(conn)
        else:
            # Connections that have had a reply are known to work, so they are used first.
            self.idle.insert(0, conn)

    def on_reply(self, conn: HttpConnection, parsed: ParsedReply) -> None:
        """Reports the reply to the exchange on a connection and reuses the connection."""
        pending = conn.tag
        assert isinstance(pending, PendingExchange)
        conn.tag = None
        exchange_id = pending.request.exchange_id
        reply = self._contract.decode(exchange_id, parsed)
        self._reuse(conn, reply)
        if pending.request.fresh_connection:
            self._close_silent(pending)
        if self.exchanges.pop(exchange_id, None) is not None:
            self._callbacks.on_reply(exchange_id, reply)

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Reports the loss of the exchange on a connection, or of a queued one if connect failed.

        Args:
            conn: The closed connection.
            reason: Why it was closed.
        """
        pending = conn.tag
        self._remove(conn)
        if conn.replies == 0:
            self._reopen_at = self._clock.now() + self._policy.reopen_delay_s
        if reason is CloseReason.CONNECT_FAILED:
            self._on_connect_failed()
        elif isinstance(pending, PendingExchange):
            self._on_broken(pending, conn, reason)
        self.pump()

    def pump(self) -> None:
        """Sends queued requests on idle connections and opens connections for the others."""
        queue = self.queue
        while queue.normal and self._drop_unusable_idle():
            self._start(queue.normal.popleft(), self.idle.pop())
        for _ in range(len(queue) - len(self._connecting)):
            if len(self.conns) >= self.settings.allowance and not self._free_connection_slot():
                return
            if not self._open():
                return
        if len(self.idle) < self._spare_target:
            self._open_spares()

    def _reuse(self, conn: HttpConnection, reply: UpstreamReply) -> None:
        """Assigns the next exchange to a connection whose reply is complete, or makes it idle."""
        if reply.kind is _MALFORMED:
            self._on_malformed()
        if not reply.identified or conn.has_input:
            # The reply may be a copy, and the one to this request may follow it.
            conn.close()
        if conn.state is _CLOSED:
            self._remove(conn)
            self.pump()
            return
        pending = self.queue.pop_next() if self.queue else None
        if pending is not None:
            self._start(pending, conn)
        elif self._retired or len(self.conns) > self.settings.allowance:
            self._discard(conn)
        else:
            self.idle.append(conn)

    def _on_broken(
        self, pending: PendingExchange, conn: HttpConnection, reason: CloseReason
    ) -> None:
        """Reports the exchange of a connection that closed before the reply was complete."""
        kind = _LOSS_OF_REASON.get(reason)
        if kind is not None:
            self._report_lost(pending, kind if conn.any_bytes_sent else LossKind.NOT_SENT)
            return
        self._on_malformed()
        if self.exchanges.pop(pending.request.exchange_id, None) is not None:
            self._callbacks.on_reply(pending.request.exchange_id, UpstreamReply(_MALFORMED))

    def _start(self, pending: PendingExchange, conn: HttpConnection) -> None:
        """Sends a request on an idle or a new connection."""
        pending.conn = conn
        conn.tag = pending
        conn.send(self._contract.encode(pending.request, self.settings.host, self.settings.port))

    def _open_spares(self) -> None:
        """Opens spare connections up to the configured number."""
        wanted = self._spare_target - len(self.idle) - len(self._connecting)
        if wanted <= 0 or self._clock.now() < self._reopen_at:
            return
        for _ in range(min(wanted, self.settings.allowance - len(self.conns))):
            if not self._open():
                return

    def _open(self) -> bool:
        """Opens a connection; an immediate failure is reported from the next timer run."""
        try:
            conn = HttpConnection(
                self._reactor, self.settings.host, self.settings.port, self, self._bounds
            )
        except OSError:
            self._reopen_at = self._clock.now() + self._policy.reopen_delay_s
            self._timers.call_later(0.0, self._on_connect_failed)
            return False
        self._totals.opened += 1
        self.conns.add(conn)
        self._connecting.add(conn)
        return True

    def _free_connection_slot(self) -> bool:
        """Closes a connection that may be silent, so that a new one fits the allowance."""
        if not self.queue.fresh or len(self._connecting) >= len(self.queue.fresh):
            return False
        if self.idle:
            self._discard(self.idle[0])
            return True
        suspect = self.queue.fresh[0].suspect
        if suspect is None or suspect not in self.conns or suspect.reply_begun:
            return False
        pending = suspect.tag
        if not isinstance(pending, PendingExchange) or pending.request.path == RUN_PATH:
            return False
        self._totals.silent_closed += 1
        self._discard(suspect)
        self._timers.call_later(0.0, lambda: self._report_lost(pending, LossKind.DISCARDED))
        return True

    def _on_connect_failed(self) -> None:
        """Reports the loss of one queued exchange, or of all if no connection is left."""
        self._totals.connect_failures += 1
        self._log(UPSTREAM_UNREACHABLE)
        failed = self.queue.pop_next()
        while failed is not None:
            self._report_lost(failed, LossKind.CONNECT_FAILED)
            failed = None if self.conns else self.queue.pop_next()

    def _on_malformed(self) -> None:
        """Counts and logs a reply that violates the contract."""
        self._totals.malformed += 1
        self._log(REPLY_MALFORMED)

    def _close_cancelled(self, conn: HttpConnection, pending: PendingExchange) -> None:
        """Closes the connection of a cancelled exchange, unless the exchange has ended."""
        if conn.tag is not pending or conn.state is not ConnectionState.BUSY:
            return
        self._totals.cancelled_closed += 1
        self._abandon(conn)
        self.pump()

    def _close_silent(self, fresh: PendingExchange) -> None:
        """Closes idle connections that may be silent, after a reply on a new connection."""
        latest_unanswered_at = self._silence.latest_unanswered_at(fresh)
        for conn in [conn for conn in self.idle if conn.last_used < latest_unanswered_at]:
            self._discard(conn)
            self._totals.silent_closed += 1
        if latest_unanswered_at > 0.0:
            self._log(SILENT_CONNECTIONS_CLOSED)

    def _abandon(self, conn: HttpConnection) -> None:
        """Closes a busy connection whose exchange was cancelled or is overdue."""
        self._silence.on_abandoned(conn)
        self._discard(conn)

    def _drop_unusable_idle(self) -> bool:
        """Discards the idle connections in front of the next one that can carry a request.

        Returns:
            Whether there is one; it is the last one in `idle`.
        """
        while self.idle:
            if not self.idle[-1].has_input:
                return True
            self._discard(self.idle[-1])
        return False

    def _was_recently_used(self, conn: HttpConnection) -> bool:
        """Returns whether an idle connection was used within `run_max_idle_s`."""
        return self._clock.now() - conn.last_used <= self._policy.run_max_idle_s

    def _discard(self, conn: HttpConnection) -> None:
        """Removes a connection from the pool and closes it."""
        self._remove(conn)
        conn.close()

    def _remove(self, conn: HttpConnection) -> None:
        """Removes a connection from the pool."""
        # It and its exchange refer to each other, which would leave both to the collector.
        conn.tag = None
        self.conns.discard(conn)
        self._connecting.discard(conn)
        if conn in self.idle:
            self.idle.remove(conn)

    def _report_lost(self, pending: PendingExchange, kind: LossKind) -> None:
        """Reports the loss of an exchange, unless it already has an outcome or was cancelled."""
        exchange_id = pending.request.exchange_id
        if self.exchanges.pop(exchange_id, None) is not None:
            self._callbacks.on_lost(exchange_id, kind)

    def _log(self, event: LogEvent) -> None:
        """Logs an event of this upstream, limited in rate."""
        if self._log_limiter.allows(event, self._clock.now()):
            self._callbacks.on_event(event, self.settings.name)
