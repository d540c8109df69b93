"""Sends the dispatcher's exchanges to upstreams over pooled connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import ExchangeId, UpstreamName
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.runtime import Clock, TimerQueue
from sequoiapulley.upstream.connection_pool import Callbacks, ConnectionPool, PoolSettings
from sequoiapulley.upstream.http_contract import HttpContract, UpstreamContract
from sequoiapulley.upstream.messages import (
    Action,
    CancelExchange,
    CloseUpstream,
    LossKind,
    SendExchange,
    UpstreamReply,
)
from sequoiapulley.wire.http_connection import ReplyBounds
from sequoiapulley.wire.reactor import Reactor

SWEEP_S: Final = 0.25
MS_PER_S: Final = 1000.0


class TransportCounts(Struct, frozen=True):
    """State of all connections, for metrics and status."""

    connections: int
    idle: int
    in_flight: int


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
        """
        self._reactor = reactor
        self._clock = clock
        self._timers = timers
        self._callbacks = Callbacks(on_reply, on_lost)
        self._contract = contract or HttpContract()
        self._bounds = bounds or ReplyBounds()
        self._pools: dict[UpstreamName, ConnectionPool] = {}
        self._retired: list[ConnectionPool] = []
        self._timers.call_later(SWEEP_S, self._sweep)

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
                    settings = PoolSettings(upstream.host, upstream.port, share, open_s)
                    self._apply(upstream.name, settings)
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

    def counts(self) -> TransportCounts:
        """Returns the state of all connections."""
        pools = [*self._pools.values(), *self._retired]
        return TransportCounts(
            connections=sum(len(pool.conns) for pool in pools),
            idle=sum(len(pool.idle) for pool in pools),
            in_flight=sum(len(pool.flights) for pool in pools),
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

    def _apply(self, name: UpstreamName, settings: PoolSettings) -> None:
        """Creates or changes the pool of one upstream."""
        pool = self._pools.get(name)
        if pool is not None:
            known = pool.settings
            if (known.host, known.port) == (settings.host, settings.port):
                pool.settings = settings
                return
            self._retire(name)
        self._pools[name] = ConnectionPool(
            self._reactor,
            self._timers,
            self._contract,
            settings,
            self._callbacks,
            self._bounds,
        )

    def _retire(self, name: UpstreamName) -> None:
        """Closes an upstream's idle connections; the busy ones finish."""
        pool = self._pools.pop(name, None)
        if pool is None:
            return
        pool.close_idle()
        if pool.flights or pool.conns:
            self._retired.append(pool)

    def _sweep(self) -> None:
        """Tidies every pool, now and again."""
        for pool in self._pools.values():
            pool.sweep()
        for pool in tuple(self._retired):
            pool.close_idle()
            pool.sweep()
            if not pool.flights and not pool.conns:
                self._retired.remove(pool)
        self._timers.call_later(SWEEP_S, self._sweep)
