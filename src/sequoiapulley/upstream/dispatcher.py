"""Dispatcher of a home node: decides which upstream serves each sub-request, and when."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.ids import ExchangeId, FailureDomainName, Fingerprint, UpstreamName
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.quarantine import REFUSED_TTL_S
from sequoiapulley.requests.messages import RefusalReason
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream._dispatch_core import DispatchCore
from sequoiapulley.upstream._queue_pump import QueuePump
from sequoiapulley.upstream._recovery import Recovery
from sequoiapulley.upstream._work import Work, WorkState
from sequoiapulley.upstream.codec import ExchangeCodec
from sequoiapulley.upstream.directory import InstanceState
from sequoiapulley.upstream.dispatch_counts import DispatchCounts
from sequoiapulley.upstream.hedging import Hedging
from sequoiapulley.upstream.log_events import UPSTREAM_LEAVING, UPSTREAM_STAYS
from sequoiapulley.upstream.messages import (
    Action,
    CloseUpstream,
    LossKind,
    NewStrike,
    SubRun,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.upstream.outcomes import missing_outcome, not_run_outcome
from sequoiapulley.upstream.upstream_state import UpstreamState


class Dispatcher:
    """Sans-I/O dispatcher of one home node; its methods return actions for the caller."""

    def __init__(
        self,
        codec: ExchangeCodec,
        log: LogSink,
        seed: int = 0,
        failure_domain: FailureDomainName | None = None,
    ) -> None:
        """Creates a dispatcher without upstreams.

        Args:
            codec: Encodes requests and decodes replies.
            log: Sink of numbered events.
            seed: Seed of the random choices.
            failure_domain: Failure domain of this home node, whose upstreams are preferred.
        """
        self._core = DispatchCore(codec, log, seed)
        self._core.selector.failure_domain = failure_domain
        self._pump = QueuePump(self._core)
        self._hedging = Hedging(self._core, self._pump)
        self._recovery = Recovery(self._core, self._pump)

    def configure(
        self,
        configuration: Configuration,
        now: float,
        connections: Callable[[UpstreamName], int],
        slots: Callable[[UpstreamName], int],
    ) -> list[Action]:
        """Applies a configuration.

        Args:
            configuration: The active configuration.
            now: Clock reading in seconds.
            connections: This home node's share of the connections of an upstream.
            slots: This home node's share of the slots of an upstream.

        Returns:
            Actions; queued work of removed instances is finished.
        """
        core = self._core
        domain = (
            configuration.failure_domains.get(core.selector.failure_domain)
            if core.selector.failure_domain
            else None
        )
        core.selector.region = domain.region if domain else None
        core.registry.shares.configure(configuration)
        removed_upstreams, removed_instances = core.directory.apply(
            configuration, now, connections, slots
        )
        actions: list[Action] = [CloseUpstream(state.name) for state in removed_upstreams]
        for state in removed_upstreams:
            # Its exchanges in flight complete, but it must receive no new work.
            state.drain.configure(True)
            self._free_reservation(state)
        for instance in removed_instances:
            for work in instance.queue.drain():
                core.fail_work(work, MissingReason.NO_REPLICA, now, actions)
        for instance in core.directory.instances():
            self._pump.pump(instance, now, actions)
        return actions

    def submit_search(self, sub: SubSearch, now: float) -> list[Action]:
        """Submits the part of a search that concerns one shard."""
        instance = self._core.directory.instance(sub.target.service, sub.target.instance)
        if instance is None:
            return [missing_outcome(sub, MissingReason.NO_REPLICA)]
        return self._submit(sub, instance, now)

    def submit_run(self, sub: SubRun, now: float) -> list[Action]:
        """Submits one non-idempotent request, of which at most one copy is sent."""
        instance = self._core.directory.instance(sub.service, sub.instance)
        if instance is None:
            return [not_run_outcome(sub, RefusalReason.NO_REPLICA)]
        return self._submit(sub, instance, now)

    def cancel(self, sub_id: int, now: float) -> list[Action]:
        """Cancels a search whose result is no longer needed; it has no outcome.

        Runs are not cancelled, because their outcome is stored for retries with the same key.

        Args:
            sub_id: The id of the sub-search; unknown ids are ignored.
            now: Clock reading in seconds.

        Returns:
            Actions.
        """
        work = self._core.registry.searches.get(sub_id)
        if work is None:
            return []
        actions: list[Action] = []
        self._core.registry.close(work, now, actions)
        self._pump.pump(work.instance, now, actions)
        return actions

    def on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply, now: float) -> list[Action]:
        """Processes the reply to an exchange; replies to unknown exchanges are ignored."""
        exchange = self._core.registry.release(exchange_id)
        if exchange is None:
            return []
        actions: list[Action] = []
        self._recovery.on_reply(exchange, reply, now, actions)
        self._pump.pump(exchange.work.instance, now, actions)
        return actions

    def on_lost(self, exchange_id: ExchangeId, loss: LossKind, now: float) -> list[Action]:
        """Processes the end of an exchange without a reply."""
        exchange = self._core.registry.release(exchange_id)
        if exchange is None:
            return []
        actions: list[Action] = []
        exchange.work.instance.degraded = True
        self._recovery.on_lost(exchange, loss, now, actions)
        self._pump.pump(exchange.work.instance, now, actions)
        return actions

    def on_load_report(
        self,
        upstream: UpstreamName,
        load: float | None,
        draining: bool,
        available: tuple[Snapshot, ...],
        now: float,
    ) -> list[Action]:
        """Processes a report of an upstream about itself, which may be stale or wrong.

        Args:
            upstream: Name of the upstream.
            load: Reported load, 0 to 1; a hint that alone shifts no traffic.
            draining: Whether the upstream is draining and accepts no new work.
            available: Snapshots that it serves; only added to the outcome of searches whose shard
                is missing.
            now: Clock reading in seconds.

        Returns:
            Actions.
        """
        core = self._core
        state = core.directory.upstreams.get(upstream)
        if state is None:
            return []
        state.reported_load = load
        state.reported_available = available
        if draining and state.drain.on_signal(now):
            core.log.log(UPSTREAM_LEAVING, upstream=upstream)
        if not draining and state.drain.on_report_without_drain(now):
            state.begin_slow_start(now)
            core.log.log(UPSTREAM_STAYS, upstream=upstream)
        actions: list[Action] = []
        instance = core.directory.instance(state.service, state.instance)
        if instance is not None:
            instance.degraded = True
            self._pump.pump(instance, now, actions)
        return actions

    def refusals(self, now: float) -> list[NewStrike]:
        """Returns the requests that this node refuses, for a node that starts later."""
        quarantine = self._core.quarantine
        return [
            NewStrike(
                strike.fingerprint,
                strike.upstream,
                strike.strikes,
                quarantine.refused_for(strike.fingerprint, now),
            )
            for strike in quarantine.refusals(now)
        ]

    def on_strike(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamName,
        now: float,
        strikes: int = 1,
        refused_for: float = REFUSED_TTL_S,
    ) -> list[Action]:
        """Processes a strike that another node reported.

        Args:
            fingerprint: Fingerprint of the request.
            upstream: The upstream that closed its connection.
            now: Clock reading in seconds.
            strikes: Strikes counted by the other node; with two the request is refused here too.
            refused_for: Time for which it is refused then, in seconds.

        Returns:
            Actions; all work with a refused fingerprint is finished.
        """
        core = self._core
        state = core.directory.upstreams.get(upstream)
        key = (state.service, state.instance) if state else None
        actions: list[Action] = []
        if core.quarantine.on_strike(fingerprint, upstream, key, strikes, now, refused_for):
            core.fail_quarantined(fingerprint, now, actions)
            for instance in core.directory.instances():
                self._pump.pump(instance, now, actions)
        return actions

    def tick(self, now: float) -> list[Action]:
        """Processes expired timers: deadlines, hedging delays and queues to be processed again."""
        core = self._core
        actions: list[Action] = []
        due = core.registry.timers.pop_due(now)
        for work in due:
            if work.state is not WorkState.FINISHED:
                self._hedging.on_due(work, now, actions)
        instances = {work.instance: None for work in due}
        for instance in core.wake_timers.pop_due(now):
            instances[instance] = None
        for instance in instances:
            self._pump.pump(instance, now, actions)
        return actions

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` must be called next, or None."""
        work_due = self._core.registry.timers.next_due()
        wake_due = self._core.wake_timers.next_due()
        if work_due is None or wake_due is None:
            return work_due if wake_due is None else wake_due
        return min(work_due, wake_due)

    def sub_of(self, exchange_id: ExchangeId) -> SubSearch | SubRun | None:
        """Returns the sub-request of an open exchange, or None."""
        exchange = self._core.registry.exchanges.get(exchange_id)
        return exchange.work.sub if exchange is not None else None

    def counts(self) -> DispatchCounts:
        """Returns the counters, for metrics and status."""
        return self._core.counts

    def upstream_states(self) -> tuple[UpstreamState, ...]:
        """Returns the state of every upstream, for metrics and status; do not modify it."""
        return tuple(self._core.directory.upstreams.values())

    def _submit(self, sub: SubSearch | SubRun, instance: InstanceState, now: float) -> list[Action]:
        actions: list[Action] = []
        self._pump.submit(Work(sub, instance), now, actions)
        return actions

    def _free_reservation(self, upstream: UpstreamState) -> None:
        """Queues suspected work again if it waits for an upstream that was removed."""
        work = upstream.reserved_for
        if work is None or work.state is not WorkState.RESERVED:
            return
        self._core.registry.unreserve(work)
        work.instance.queue.push(work)
