"""Carries out the dispatcher's exchanges over pooled connections to upstreams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec.structs import replace

from sequoiapulley.ids import ExchangeId, UpstreamName
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.observe import LogEvent, LogSink
from sequoiapulley.runtime import Clock, TimerQueue
from sequoiapulley.upstream.connection_pool import ConnectionPool
from sequoiapulley.upstream.http_contract import HttpContract, UpstreamContract
from sequoiapulley.upstream.messages import (
    Action,
    CancelExchange,
    CloseUpstream,
    LossKind,
    SendExchange,
    UpstreamReply,
)
from sequoiapulley.upstream.pool_settings import (
    PoolCallbacks,
    PoolPolicy,
    PoolSettings,
    TransportCounts,
)
from sequoiapulley.wire.http_connection import ReplyBounds
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.receive_budget import ReceiveBudget

SWEEP_INTERVAL_S: Final = 0.25
DRAIN_CHECK_INTERVAL_S: Final = 0.01
MS_PER_S: Final = 1000.0


class UpstreamTransport:
    """Owns all connections of this node to upstreams.

    Each exchange ends with one call of `on_reply` or `on_lost`, unless it was cancelled. Callbacks
    are never called from within `execute`.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        timers: TimerQueue,
        on_reply: Callable[[ExchangeId, UpstreamReply], None],
        on_lost: Callable[[ExchangeId, LossKind], None],
        contract: UpstreamContract | None = None,
        bounds: ReplyBounds | None = None,
        policy: PoolPolicy | None = None,
        log: LogSink | None = None,
    ) -> None:
        """Creates a transport without upstreams.

        Args:
            reactor: Reactor that polls the sockets.
            clock: Source of time.
            timers: Timers of the same event loop.
            on_reply: Called with each reply.
            on_lost: Called with each loss.
            contract: The upstreams' wire contract; HTTP with JSON by default.
            bounds: Size limits of replies; the defaults have a budget of the transport's own.
            policy: Connection handling.
            log: Sink of log events, if any.
        """
        self._reactor = reactor
        self._clock = clock
        self._timers = timers
        self._log = log
        self._callbacks = PoolCallbacks(on_reply, on_lost, self._on_event)
        self._contract = contract or HttpContract()
        self._bounds = bounds or ReplyBounds(budget=ReceiveBudget())
        self._policy = policy or PoolPolicy()
        self._totals = TransportCounts()
        self._draining = False
        self._on_drained: Callable[[], None] | None = None
        self._pools: dict[UpstreamName, ConnectionPool] = {}
        self._retired: list[ConnectionPool] = []
        self._sweep_timer = timers.call_later(SWEEP_INTERVAL_S, self._sweep)

    def configure(
        self, configuration: Configuration, allowance: Callable[[UpstreamName], int]
    ) -> None:
        """Applies a configuration and this node's share of connections.

        Exchanges in flight complete. Busy connections to upstreams that were removed or whose
        address changed are closed when their exchange ends.

        Args:
            configuration: The active configuration.
            allowance: Maximum number of connections of this node to an upstream; 0 for none.
        """
        configured: set[UpstreamName] = set()
        for service in configuration.services.values():
            connect_time_s = configuration.contract_of(service).open_ms / MS_PER_S
            for instance in service.instances:
                for upstream in instance.upstreams:
                    share = allowance(upstream.name)
                    if share <= 0:
                        continue
                    configured.add(upstream.name)
                    self._apply(
                        PoolSettings(
                            upstream.name, upstream.host, upstream.port, share, connect_time_s
                        )
                    )
        for name in [name for name in self._pools if name not in configured]:
            self._retire(name)

    def execute(self, action: Action) -> None:
        """Carries out an action of the dispatcher; other kinds are ignored.

        Args:
            action: `SendExchange`, `CancelExchange` or `CloseUpstream`.
        """
        if isinstance(action, SendExchange):
            self._send(action)
            return
        if isinstance(action, CancelExchange):
            self._cancel(action)
            return
        if isinstance(action, CloseUpstream):
            self._retire(action.upstream)

    def drain(self, done: Callable[[], None]) -> None:
        """Completes the exchanges in flight and closes each connection when it becomes idle.

        Exchanges submitted in the meantime are sent too. Queued ones end at their deadline at the
        latest.

        Args:
            done: Called once, when nothing is in flight and all connections are closed.
        """
        self._draining = True
        self._on_drained = done
        for pool in self._pools.values():
            pool.retire()
        self._check_drained()

    def close(self) -> None:
        """Closes all connections immediately; exchanges in flight have no outcome."""
        for pool in (*self._pools.values(), *self._retired):
            pool.retire()
            for conn in tuple(pool.conns):
                conn.close()
        self._pools.clear()
        self._retired.clear()
        self._sweep_timer.cancel()

    def counts(self) -> TransportCounts:
        """Returns the state of all connections, and totals since the process started."""
        pools = [*self._pools.values(), *self._retired]
        return replace(
            self._totals,
            connections=sum(len(pool.conns) for pool in pools),
            idle=sum(len(pool.idle) for pool in pools),
            in_flight=sum(len(pool.exchanges) for pool in pools),
            waiting=sum(len(pool.queue) for pool in pools),
        )

    def _send(self, action: SendExchange) -> None:
        """Submits an exchange; if its upstream has no pool, the next timer run reports the loss."""
        pool = self._pools.get(action.upstream)
        if pool is not None:
            pool.submit(action)
            return
        lost = self._callbacks.on_lost
        self._timers.call_later(0.0, lambda: lost(action.exchange_id, LossKind.NOT_SENT))

    def _cancel(self, action: CancelExchange) -> None:
        """Cancels an exchange in the current pool or in a retired one."""
        pool = self._pools.get(action.upstream)
        if pool is not None and action.exchange_id in pool.exchanges:
            pool.cancel(action.exchange_id)
            return
        for retired in self._retired:
            retired.cancel(action.exchange_id)

    def _apply(self, settings: PoolSettings) -> None:
        """Creates or reconfigures the pool of one upstream; a new address needs a new pool."""
        pool = self._pools.get(settings.name)
        if pool is not None:
            known = pool.settings
            if (known.host, known.port) == (settings.host, settings.port):
                pool.configure(settings)
                return
            self._retire(settings.name)
        pool = ConnectionPool(
            self._reactor,
            self._timers,
            self._contract,
            settings,
            self._policy,
            self._callbacks,
            self._bounds,
            self._totals,
        )
        self._pools[settings.name] = pool
        if self._draining:
            pool.retire()

    def _retire(self, name: UpstreamName) -> None:
        """Retires the pool of an upstream; its busy connections close when their exchange ends."""
        pool = self._pools.pop(name, None)
        if pool is None:
            return
        pool.retire()
        if pool.exchanges or pool.conns:
            self._retired.append(pool)

    def _sweep(self) -> None:
        """Sweeps all pools periodically and drops retired ones that are empty."""
        # The next sweep is scheduled first, so that an unexpected error does not end the series.
        self._sweep_timer = self._timers.call_later(SWEEP_INTERVAL_S, self._sweep)
        for pool in (*self._pools.values(), *self._retired):
            pool.sweep()
        self._retired = [pool for pool in self._retired if pool.exchanges or pool.conns]

    def _check_drained(self) -> None:
        """Reports the end of a drain, or schedules the next check."""
        if self._on_drained is None:
            return
        pools = (*self._pools.values(), *self._retired)
        if any(pool.exchanges or pool.conns for pool in pools):
            self._timers.call_later(DRAIN_CHECK_INTERVAL_S, self._check_drained)
            return
        done, self._on_drained = self._on_drained, None
        self._timers.call_later(0.0, done)

    def _on_event(self, event: LogEvent, upstream: UpstreamName) -> None:
        """Logs an event of one upstream."""
        if self._log is not None:
            self._log.log(event, upstream=upstream)
