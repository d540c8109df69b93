"""Executes the dispatcher's actions on this node's connections to upstreams."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from circuits import BaseComponent, handler

from sequoiapulley.daemon.node_events import StrikeObserved
from sequoiapulley.ids import ExchangeId, UpstreamName
from sequoiapulley.model import Configuration
from sequoiapulley.observe import LogSink
from sequoiapulley.observe.upstream_metrics import UpstreamSample
from sequoiapulley.quarantine import REFUSED_TTL_S
from sequoiapulley.runtime import Clock, TimerQueue, WakeUpTimer
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.health_poller import HealthReport
from sequoiapulley.upstream.messages import (
    Action,
    CancelExchange,
    CloseUpstream,
    FinishRun,
    FinishSearch,
    LossKind,
    NewStrike,
    SendExchange,
    SubRun,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.upstream.transport import UpstreamTransport
from sequoiapulley.wire.reactor import Reactor


class UpstreamTask(BaseComponent):
    """Owns the dispatcher and the transport, and passes outcomes to the other tasks."""

    channel = "node"

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        reactor: Reactor,
        dispatcher: Dispatcher,
        log: LogSink,
    ) -> None:
        """Initialise without upstreams.

        Args:
            clock: Clock of the process.
            timers: Timers of the process.
            reactor: Owner of the client sockets.
            dispatcher: State machine that schedules work on upstreams.
            log: Receives log events.
        """
        super().__init__()
        self._clock = clock
        self._dispatcher = dispatcher
        self._transport = UpstreamTransport(
            reactor, clock, timers, self._on_reply, self._on_lost, log=log
        )
        self._wake_up = WakeUpTimer(timers, dispatcher.next_due, self._tick)
        self.on_search_finished: Callable[[FinishSearch], None] = _ignore
        self.on_run_finished: Callable[[FinishRun], None] = _ignore
        self._action_handlers: dict[type[Action], Callable[[Any], None]] = {
            SendExchange: self._transport.execute,
            CancelExchange: self._transport.execute,
            CloseUpstream: self._transport.execute,
            FinishSearch: lambda action: self.on_search_finished(action),
            FinishRun: lambda action: self.on_run_finished(action),
            NewStrike: lambda action: self.fire(StrikeObserved(action)),
        }

    def configure(
        self,
        configuration: Configuration,
        connections: Callable[[UpstreamName], int],
        slots: Callable[[UpstreamName], int],
    ) -> None:
        """Applies a configuration.

        Args:
            configuration: The active configuration.
            connections: Returns the number of connections that this node may hold to an upstream.
            slots: Returns the number of requests that this node may run on an upstream at once.
        """
        now = self._clock.now()
        self._transport.configure(configuration, connections)
        self._execute(self._dispatcher.configure(configuration, now, connections, slots))

    def submit_search(self, sub: SubSearch) -> None:
        """Submits a sub-search, one shard's part of a search."""
        self._execute(self._dispatcher.submit_search(sub, self._clock.now()))

    def submit_run(self, sub: SubRun) -> None:
        """Submits a non-idempotent request."""
        self._execute(self._dispatcher.submit_run(sub, self._clock.now()))

    def cancel(self, sub_id: int) -> None:
        """Cancels work whose outcome is no longer needed."""
        self._execute(self._dispatcher.cancel(sub_id, self._clock.now()))

    def on_health_report(self, upstream: UpstreamName, report: HealthReport) -> None:
        """Applies an upstream's report of its health and load."""
        now = self._clock.now()
        self._execute(
            self._dispatcher.on_load_report(
                upstream, report.load, report.draining, report.available, now
            )
        )

    def sample(self) -> UpstreamSample:
        """Returns the counts of the dispatcher and of the connections, for metrics."""
        counts = self._dispatcher.counts()
        connections = self._transport.counts()
        return UpstreamSample(
            first_tries=counts.first_tries,
            retries=counts.retries,
            hedges=counts.hedges,
            replacements=counts.replacements,
            cancelled=counts.cancelled,
            refused=counts.refused,
            quarantined=counts.quarantined,
            budget_denied=counts.budget_denied,
            connections=connections.connections,
            idle=connections.idle,
            waiting=connections.waiting,
            opened=connections.opened,
            connect_failures=connections.connect_failures,
            silent_closed=connections.silent_closed,
            malformed=connections.malformed,
        )

    @handler("StrikeReceived")
    def _on_strike_received(self, strike: NewStrike) -> None:
        """Applies a strike that another node reported."""
        now = self._clock.now()
        if not 0.0 < strike.refused_for <= REFUSED_TTL_S:
            return
        self._execute(
            self._dispatcher.on_strike(
                strike.fingerprint, strike.upstream, now, strike.strikes, strike.refused_for
            )
        )

    @handler("MemberStarted")
    def _on_member_started(self) -> None:
        """Tells the fleet what this node refuses, as a node has started that does not know it."""
        for strike in self._dispatcher.refusals(self._clock.now()):
            self.fire(StrikeObserved(strike))

    def _on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply) -> None:
        """Passes a reply to the dispatcher."""
        self._execute(self._dispatcher.on_reply(exchange_id, reply, self._clock.now()))

    def _on_lost(self, exchange_id: ExchangeId, loss: LossKind) -> None:
        """Passes the loss of an exchange to the dispatcher."""
        self._execute(self._dispatcher.on_lost(exchange_id, loss, self._clock.now()))

    def _tick(self) -> None:
        """Runs the dispatcher's steps that are due."""
        self._execute(self._dispatcher.tick(self._clock.now()))

    def _execute(self, actions: Iterable[Action]) -> None:
        """Executes actions in order and sets the timer of the next step."""
        try:
            for action in actions:
                self._action_handlers[type(action)](action)
        finally:
            self._wake_up.rearm()


def _ignore(_action: Action) -> None:
    """Discards an outcome; the default until a receiver is set."""
