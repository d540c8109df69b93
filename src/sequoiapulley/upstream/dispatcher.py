"""Decides which upstream serves each sub-request of a home, when, and how often."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Final

from sequoiapulley.ids import ExchangeId, Fingerprint, UpstreamName
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.search.messages import LackReason, ShardReply
from sequoiapulley.upstream.codec import ExchangeCodec
from sequoiapulley.upstream.directory import Directory, InstanceState
from sequoiapulley.upstream.messages import (
    Action,
    CancelExchange,
    CloseUpstream,
    FinishSearch,
    LossKind,
    ReplyKind,
    SendExchange,
    SubRun,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.upstream.outcomes import (
    LACK_BY_LOSS,
    LACK_BY_REPLY,
    NOT_SENT_LOSSES,
    REFUSAL_BY_LACK,
    classify_search_reply,
    lacking,
    not_run,
    run_outcome,
    unknown,
)
from sequoiapulley.upstream.upstream_state import UpstreamState
from sequoiapulley.upstream.work import Exchange, Work, WorkState
from sequoiapulley.upstream.work_timers import WorkTimers

MAX_TRIES: Final = 2


class Dispatcher:
    """Dispatch decisions of one home; every method returns orders for its surroundings."""

    def __init__(self, codec: ExchangeCodec, log: LogSink, seed: int = 0) -> None:
        """Initialise a dispatcher without upstreams.

        Args:
            codec: Encodes requests and decodes replies.
            log: Sink of numbered events.
            seed: Seed of the random choices.
        """
        self._codec = codec
        self._log = log
        self._random = Random(seed)
        self._directory = Directory()
        self._timers = WorkTimers()
        self._work: dict[int, Work] = {}
        self._exchanges: dict[ExchangeId, Exchange] = {}
        self._exchange_ids = count(1)

    def configure(
        self,
        configuration: Configuration,
        now: float,
        connections: Callable[[UpstreamName], int],
        slots: Callable[[UpstreamName], int],
    ) -> list[Action]:
        """Takes over an accepted configuration.

        Args:
            configuration: The configuration in force.
            now: Clock reading in seconds.
            connections: This home's share of the connections of an upstream.
            slots: This home's share of the slots of an upstream.

        Returns:
            Orders; work of instances that left is finished.
        """
        left, gone = self._directory.apply(configuration, connections, slots)
        actions: list[Action] = [CloseUpstream(state.name) for state in left]
        for state in left:
            state.draining_configured = True
        for instance in gone:
            for work in instance.queue.drain():
                self._give_up(work, LackReason.NO_REPLICA, actions)
        for instance in self._directory.instances():
            self._send_queued(instance, now, actions)
        return actions

    def submit_search(self, sub: SubSearch, now: float) -> list[Action]:
        """Accepts one shard's part of a search."""
        return self._submit(Work(sub), now)

    def submit_run(self, sub: SubRun, now: float) -> list[Action]:
        """Accepts one non-idempotent request, which is sent at most once."""
        return self._submit(Work(sub), now)

    def cancel(self, sub_id: int, now: float) -> list[Action]:
        """Drops work that nobody waits for.

        A search gets no outcome. A queued run is finished as not run; a run in flight goes on,
        because its outcome is kept for repeats of its key.

        Args:
            sub_id: The id of the sub-request; unknown ids are ignored.
            now: Clock reading in seconds.

        Returns:
            Orders.
        """
        work = self._work.get(sub_id)
        if work is None:
            return []
        if work.is_run and work.exchanges:
            return []
        actions: list[Action] = []
        instance = self._directory.instance(work.service, work.instance)
        self._close(work, actions)
        if isinstance(work.sub, SubRun):
            actions.append(not_run(work.sub, None))
        if instance is not None:
            self._send_queued(instance, now, actions)
        return actions

    def on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply, now: float) -> list[Action]:
        """Takes the reply to an exchange; replies to unknown exchanges are ignored."""
        exchange = self._release(exchange_id)
        if exchange is None:
            return []
        upstream = exchange.upstream
        if reply.draining or reply.kind is ReplyKind.DRAINING:
            upstream.draining_reported = True
        if reply.available:
            upstream.available = reply.available
        actions: list[Action] = []
        work = exchange.work
        if isinstance(work.sub, SubRun):
            self._close(work, actions)
            actions.append(run_outcome(work.sub, reply, self._codec))
        else:
            self._on_search_reply(work, work.sub, reply, now, actions)
        self._after_release(work, now, actions)
        return actions

    def on_lost(self, exchange_id: ExchangeId, loss: LossKind, now: float) -> list[Action]:
        """Takes the news that an exchange ended without a reply."""
        exchange = self._release(exchange_id)
        if exchange is None:
            return []
        actions: list[Action] = []
        work = exchange.work
        if isinstance(work.sub, SubRun) and loss not in NOT_SENT_LOSSES:
            self._close(work, actions)
            actions.append(unknown(work.sub))
        else:
            self._try_again(work, LACK_BY_LOSS[loss], now, actions)
        self._after_release(work, now, actions)
        return actions

    def on_load_report(
        self,
        upstream: UpstreamName,
        load: float | None,
        draining: bool,
        available: tuple[Snapshot, ...],
        now: float,
    ) -> list[Action]:
        """Takes an upstream's own report, which may lag or mislead.

        Args:
            upstream: Name of the upstream.
            load: Reported load, 0 to 1.
            draining: Whether the upstream asks for no new work.
            available: Snapshots that it serves.
            now: Clock reading in seconds.

        Returns:
            Orders.
        """
        state = self._directory.upstreams.get(upstream)
        if state is None:
            return []
        state.draining_reported = draining
        state.available = available or state.available
        actions: list[Action] = []
        instance = self._directory.instance(state.service, state.instance)
        if instance is not None:
            self._send_queued(instance, now, actions)
        return actions

    def on_strike(
        self, fingerprint: Fingerprint, upstream: UpstreamName, now: float
    ) -> list[Action]:
        """Takes a strike that another node saw."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Finishes work whose deadline has passed."""
        actions: list[Action] = []
        for work in self._timers.take_due(now):
            if work.state is WorkState.FINISHED:
                continue
            instance = self._directory.instance(work.service, work.instance)
            self._on_deadline(work, actions)
            if instance is not None:
                self._send_queued(instance, now, actions)
        return actions

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` is next needed, or None."""
        return self._timers.next_due()

    def sub_of(self, exchange_id: ExchangeId) -> SubSearch | SubRun | None:
        """Returns the sub-request that an open exchange serves, or None."""
        exchange = self._exchanges.get(exchange_id)
        return exchange.work.sub if exchange is not None else None

    def _submit(self, work: Work, now: float) -> list[Action]:
        actions: list[Action] = []
        self._work[work.sub_id] = work
        instance = self._directory.instance(work.service, work.instance)
        if instance is None:
            self._give_up(work, LackReason.NO_REPLICA, actions)
            return actions
        if work.deadline <= now:
            self._give_up(work, LackReason.DEADLINE, actions)
            return actions
        self._timers.arm(work.deadline, work)
        self._send_or_queue(instance, work, now, actions)
        return actions

    def _send_or_queue(
        self, instance: InstanceState, work: Work, now: float, actions: list[Action]
    ) -> None:
        if self._usable(instance, work):
            instance.queue.push(work)
            self._send_queued(instance, now, actions)
            return
        self._give_up(work, work.reason or LackReason.NO_REPLICA, actions)

    def _usable(self, instance: InstanceState, work: Work) -> list[UpstreamState]:
        return [
            replica
            for replica in instance.replicas
            if replica.name not in work.tried and not replica.draining and replica.limit > 0
        ]

    def _send_queued(self, instance: InstanceState, now: float, actions: list[Action]) -> None:
        kept: list[Work] = []
        while any(replica.has_room for replica in instance.replicas):
            work = instance.queue.pop()
            if work is None:
                break
            if work.deadline <= now:
                self._on_deadline(work, actions)
                continue
            usable = self._usable(instance, work)
            if not usable:
                self._give_up(work, work.reason or LackReason.NO_REPLICA, actions)
                continue
            free = [replica for replica in usable if replica.has_room]
            if not free:
                kept.append(work)
                continue
            self._send(work, self._choose(free), now, actions)
        for work in kept:
            instance.queue.push(work)

    def _choose(self, free: list[UpstreamState]) -> UpstreamState:
        least = min(replica.in_flight for replica in free)
        return self._random.choice([replica for replica in free if replica.in_flight == least])

    def _send(self, work: Work, upstream: UpstreamState, now: float, actions: list[Action]) -> None:
        exchange_id = ExchangeId(next(self._exchange_ids))
        exchange = Exchange(exchange_id, work, upstream, now)
        self._exchanges[exchange_id] = exchange
        work.exchanges.append(exchange)
        work.tried.add(upstream.name)
        work.state = WorkState.IN_FLIGHT
        upstream.in_flight += 1
        if isinstance(work.sub, SubRun):
            encoded = self._codec.encode_run(exchange_id, work.sub, now)
        else:
            encoded = self._codec.encode_search(exchange_id, work.sub, now)
        actions.append(
            SendExchange(
                exchange_id,
                upstream.name,
                encoded.path,
                encoded.headers,
                encoded.body,
                work.deadline,
            )
        )

    def _release(self, exchange_id: ExchangeId) -> Exchange | None:
        exchange = self._exchanges.pop(exchange_id, None)
        if exchange is None:
            return None
        exchange.upstream.in_flight -= 1
        exchange.work.exchanges.remove(exchange)
        return exchange

    def _after_release(self, work: Work, now: float, actions: list[Action]) -> None:
        instance = self._directory.instance(work.service, work.instance)
        if instance is not None:
            self._send_queued(instance, now, actions)

    def _on_search_reply(
        self,
        work: Work,
        sub: SubSearch,
        reply: UpstreamReply,
        now: float,
        actions: list[Action],
    ) -> None:
        kind = classify_search_reply(sub, reply)
        if kind is not ReplyKind.OK:
            self._try_again(work, LACK_BY_REPLY[kind], now, actions)
            return
        try:
            hits = self._codec.decode_search(reply.body, sub.target.shard)
        except ValueError:
            self._try_again(work, LackReason.TRUNCATED, now, actions)
            return
        self._close(work, actions)
        shard_reply = ShardReply(shard=sub.target.shard, snapshot=reply.snapshot, hits=hits)
        actions.append(FinishSearch(sub.sub_id, shard_reply))

    def _try_again(self, work: Work, reason: LackReason, now: float, actions: list[Action]) -> None:
        work.reason = reason
        if work.exchanges:
            return
        instance = self._directory.instance(work.service, work.instance)
        if instance is None or len(work.tried) >= MAX_TRIES or work.deadline <= now:
            self._give_up(work, reason, actions)
            return
        work.state = WorkState.QUEUED
        self._send_or_queue(instance, work, now, actions)

    def _on_deadline(self, work: Work, actions: list[Action]) -> None:
        if not work.tried:
            self._give_up(work, LackReason.OVERLOAD, actions)
            return
        if isinstance(work.sub, SubRun) and work.exchanges:
            self._close(work, actions)
            actions.append(unknown(work.sub))
            return
        self._give_up(work, LackReason.DEADLINE, actions)

    def _give_up(self, work: Work, reason: LackReason, actions: list[Action]) -> None:
        self._close(work, actions)
        if isinstance(work.sub, SubRun):
            actions.append(not_run(work.sub, REFUSAL_BY_LACK[reason]))
            return
        available = self._available(work)
        actions.append(lacking(work.sub, reason, available))

    def _available(self, work: Work) -> tuple[Snapshot, ...]:
        instance = self._directory.instance(work.service, work.instance)
        if instance is None:
            return ()
        found = {snapshot for replica in instance.replicas for snapshot in replica.available}
        return tuple(sorted(found))

    def _close(self, work: Work, actions: list[Action]) -> None:
        work.state = WorkState.FINISHED
        self._work.pop(work.sub_id, None)
        for exchange in list(work.exchanges):
            self._release(exchange.exchange_id)
            actions.append(CancelExchange(exchange.exchange_id, exchange.upstream.name))
