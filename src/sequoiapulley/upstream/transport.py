"""Sends the dispatcher's exchanges to upstreams over pooled connections."""

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

SWEEP_S: Final = 0.25
DRAIN_CHECK_S: Final = 0.01
MS_PER_S: Final = 1000.0


class UpstreamTransport:
    """Owns every connection of this node to upstreams.

    Each exchange ends in one call of `on_reply` or `on_lost`, unless it was cancelled. No
    callback runs inside `execute`.
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
        """Initialise without upstreams.

        Args:
            reactor: Owner of the sockets.
            clock: Source of time.
            timers: Timers of the same event loop.
            on_reply: Receiver of replies.
            on_lost: Receiver of losses.
            contract: The upstreams' wire contract, HTTP with JSON unless given.
            bounds: Largest reply that is read.
            policy: How connections are kept.
            log: Where log events go, if anywhere.
        """
        self._reactor = reactor
        self._clock = clock
        self._timers = timers
        self._log = log
        self._callbacks = PoolCallbacks(on_reply, on_lost, self._on_event)
        self._contract = contract or HttpContract()
        self._bounds = bounds or ReplyBounds()
        self._policy = policy or PoolPolicy()
        self._totals = TransportCounts()
        self._draining = False
        self._drained: Callable[[], None] | None = None
        self._pools: dict[UpstreamName, ConnectionPool] = {}
        self._retired: list[ConnectionPool] = []
        self._sweep_timer = timers.call_later(SWEEP_S, self._sweep)

    def configure(
        self, configuration: Configuration, allowance: Callable[[UpstreamName], int]
    ) -> None:
        """Applies a configuration and this node's share of connections.

        Exchanges in flight finish. Upstreams that left, or whose address changed, keep their
        busy connections until these are idle.

        Args:
            configuration: The configuration in force.
            allowance: Connections that this node may hold to an upstream; 0 for none.
        """
        named: set[UpstreamName] = set()
        for service in configuration.services.values():
            open_s = configuration.contract_of(service).open_ms / MS_PER_S
            for instance in service.instances:
                for upstream in instance.upstreams:
                    share = allowance(upstream.name)
                    if share <= 0:
                        continue
                    named.add(upstream.name)
                    self._apply(
                        PoolSettings(upstream.name, upstream.host, upstream.port, share, open_s)
                    )
        for name in [name for name in self._pools if name not in named]:
            self._retire(name)

    def execute(self, action: Action) -> None:
        """Carries out an order of the dispatcher; other actions are ignored.

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
        """Finishes what is in flight, closing each connection as it becomes idle.

        Exchanges sent meanwhile are served too. Waiting ones end by their deadline at the latest.

        Args:
            done: Called once, when nothing is in flight and every connection is closed.
        """
        self._draining = True
        self._drained = done
        for pool in self._pools.values():
            pool.retire()
        self._check_drained()

    def close(self) -> None:
        """Closes every connection at once; exchanges in flight have no outcome."""
        for pool in (*self._pools.values(), *self._retired):
            pool.retire()
            for conn in tuple(pool.conns):
                conn.close()
        self._pools.clear()
        self._retired.clear()
        self._sweep_timer.cancel()

    def counts(self) -> TransportCounts:
        """Returns the state of all connections and the totals since the start."""
        pools = [*self._pools.values(), *self._retired]
        return replace(
            self._totals,
            connections=sum(len(pool.conns) for pool in pools),
            idle=sum(len(pool.idle) for pool in pools),
            in_flight=sum(len(pool.flights) for pool in pools),
            waiting=sum(len(pool.queue) for pool in pools),
        )

    def _send(self, order: SendExchange) -> None:
        """Submits an exchange, or reports at the next timer run that it has no upstream."""
        pool = self._pools.get(order.upstream)
        if pool is not None:
            pool.submit(order)
            return
        lost = self._callbacks.on_lost
        self._timers.call_later(0.0, lambda: lost(order.exchange_id, LossKind.NOT_SENT))

    def _cancel(self, order: CancelExchange) -> None:
        """Gives an exchange up, wherever it is."""
        pool = self._pools.get(order.upstream)
        if pool is not None and order.exchange_id in pool.flights:
            pool.cancel(order.exchange_id)
            return
        for retired in self._retired:
            retired.cancel(order.exchange_id)

    def _apply(self, settings: PoolSettings) -> None:
        """Creates or changes the pool of one upstream."""
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
        """Closes an upstream's idle connections; the busy ones finish."""
        pool = self._pools.pop(name, None)
        if pool is None:
            return
        pool.retire()
        if pool.flights or pool.conns:
            self._retired.append(pool)

    def _sweep(self) -> None:
        """Tidies every pool, now and again."""
        for pool in (*self._pools.values(), *self._retired):
            pool.sweep()
        self._retired = [pool for pool in self._retired if pool.flights or pool.conns]
        self._sweep_timer = self._timers.call_later(SWEEP_S, self._sweep)

    def _check_drained(self) -> None:
        """Reports the end of a drain, and looks again soon while it lasts."""
        if self._drained is None:
            return
        pools = (*self._pools.values(), *self._retired)
        if any(pool.flights or pool.conns for pool in pools):
            self._timers.call_later(DRAIN_CHECK_S, self._check_drained)
            return
        done, self._drained = self._drained, None
        self._timers.call_later(0.0, done)

    def _on_event(self, event: LogEvent, upstream: UpstreamName) -> None:
        """Logs an event of one upstream."""
        if self._log is not None:
            self._log.log(event, upstream=upstream)
