"""What follows when an exchange ends: the answer, another try, or the reason there is none."""

from __future__ import annotations

from typing import Final

from sequoiapulley.search.messages import LackReason, ShardReply
from sequoiapulley.upstream._dispatch_core import DispatchCore
from sequoiapulley.upstream._queue_pump import QueuePump
from sequoiapulley.upstream._work import Exchange, Work, WorkState
from sequoiapulley.upstream.hedging import MAX_TRIES
from sequoiapulley.upstream.log_events import (
    REQUEST_SUSPECTED,
    UPSTREAM_LEAVING,
    UPSTREAM_RESTORED,
)
from sequoiapulley.upstream.messages import (
    Action,
    FinishSearch,
    LossKind,
    ReplyKind,
    SubRun,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.upstream.outcomes import (
    LACK_BY_LOSS,
    LACK_BY_REPLY,
    NOT_SENT_LOSSES,
    classify_search_reply,
    run_outcome,
    unknown,
)
from sequoiapulley.upstream.quarantine import STRIKES_TO_REFUSE
from sequoiapulley.upstream.upstream_state import UpstreamState

ERROR_WEIGHT: Final = 1
LOST_WEIGHT: Final = 2
CONNECT_FAILED_WEIGHT: Final = 3
RESTART_WEIGHT: Final = 4
"""Weight of failures in a row that shows a restart."""
UNPAID_REPLIES: Final = frozenset({ReplyKind.DRAINING, ReplyKind.WRONG_SNAPSHOT})
"""Refusals that cost the upstream nothing; each teaches not to ask again."""


class Recovery:
    """Ends exchanges."""

    def __init__(self, core: DispatchCore, pump: QueuePump) -> None:
        """Initialise the policy.

        Args:
            core: Shared state.
            pump: Receives work for another try.
        """
        self._core = core
        self._pump = pump

    def on_reply(
        self, exchange: Exchange, reply: UpstreamReply, now: float, actions: list[Action]
    ) -> None:
        """Takes the reply to an exchange that was just released."""
        work = exchange.work
        upstream = exchange.upstream
        if reply.kind is not ReplyKind.OK or reply.draining:
            work.instance.troubled = True
        self._take_signs(upstream, reply, now)
        sub = work.sub
        if isinstance(sub, SubRun):
            self._observe(exchange, reply.kind, now)
            actions.append(run_outcome(sub, reply, self._core.codec))
            self._core.ledger.close(work, now, actions)
            return
        kind = self._answer(work, sub, reply, actions)
        self._observe(exchange, kind, now)
        if kind is ReplyKind.OK:
            self._core.ledger.close(work, now, actions)
            return
        self._try_again(work, LACK_BY_REPLY[kind], kind in UNPAID_REPLIES, now, actions)

    def on_lost(
        self, exchange: Exchange, loss: LossKind, now: float, actions: list[Action]
    ) -> None:
        """Takes the loss of an exchange that was just released."""
        work = exchange.work
        upstream = exchange.upstream
        unsent = loss in NOT_SENT_LOSSES
        if isinstance(work.sub, SubRun) and not unsent:
            actions.append(unknown(work.sub))
            self._core.ledger.close(work, now, actions)
        if loss is LossKind.CONNECTION_LOST:
            self._on_connection_lost(exchange, now, actions)
        elif loss is LossKind.CONNECT_FAILED:
            upstream.on_failure(CONNECT_FAILED_WEIGHT, True, now)
        elif loss is LossKind.DISCARDED:
            upstream.unanswered += 1
        elif loss is LossKind.NOT_SENT:
            work.tried.discard(upstream.name)
        if work.state is WorkState.FINISHED:
            return
        self._try_again(work, LACK_BY_LOSS[loss], unsent, now, actions)

    def _answer(
        self, work: Work, sub: SubSearch, reply: UpstreamReply, actions: list[Action]
    ) -> ReplyKind:
        """Hands over the hits of a good reply; returns what the reply is worth."""
        kind = classify_search_reply(sub, reply)
        if kind is not ReplyKind.OK:
            return kind
        try:
            hits = self._core.codec.decode_search(reply.body, sub.target.shard)
        except ValueError:
            return ReplyKind.MALFORMED
        # One snapshot is the one that was read; only several tell the entry of a newer one.
        available = reply.available if len(reply.available) > 1 else ()
        answer = ShardReply(sub.target.shard, reply.snapshot, hits, available=available)
        actions.append(FinishSearch(sub.sub_id, answer))
        return kind

    def _take_signs(self, upstream: UpstreamState, reply: UpstreamReply, now: float) -> None:
        leaves = reply.draining or reply.kind is ReplyKind.DRAINING
        if leaves and upstream.drain.on_sign(now):
            self._core.log.log(UPSTREAM_LEAVING, upstream=upstream.name)
        if reply.load is not None:
            upstream.reported_load = reply.load
        if reply.available:
            upstream.on_available(reply.available, now)

    def _observe(self, exchange: Exchange, kind: ReplyKind, now: float) -> None:
        """Learns from a reply about the upstream and the request."""
        upstream = exchange.upstream
        work = exchange.work
        instance = work.instance
        if kind is ReplyKind.OK:
            if upstream.health.failures or upstream.unanswered:
                self._on_alive(upstream, now)
            if not work.is_run:
                latency = now - exchange.sent_at
                upstream.on_good_reply(latency, instance.proven_typical, now)
                instance.latency.record(latency, now)
            quarantine = self._core.quarantine
            if quarantine.has_suspects:
                quarantine.on_answered(work.fingerprint, instance.key, exchange.sent_at, now)
            return
        instance.troubled = True
        if kind in (ReplyKind.ERROR, ReplyKind.MALFORMED):
            upstream.on_failure(ERROR_WEIGHT, False, now)
            return
        if kind is ReplyKind.SHED:
            upstream.limit.on_shed(now)
        self._on_alive(upstream, now)

    def _on_alive(self, upstream: UpstreamState, now: float) -> None:
        if upstream.on_alive(now):
            self._core.log.log(UPSTREAM_RESTORED, upstream=upstream.name)

    def _on_connection_lost(self, exchange: Exchange, now: float, actions: list[Action]) -> None:
        work = exchange.work
        upstream = exchange.upstream
        upstream.on_failure(LOST_WEIGHT, True, now)
        if upstream.health.failures >= RESTART_WEIGHT:
            upstream.on_restart(now)
        alone = exchange.alone and exchange.fresh
        strike = self._core.quarantine.on_lost(
            work.fingerprint, upstream.name, work.instance.key, alone, now
        )
        if strike is None:
            return
        actions.append(strike)
        if strike.strikes >= STRIKES_TO_REFUSE:
            self._core.refuse_everywhere(work.fingerprint, now, actions)
            return
        self._core.log.log(REQUEST_SUSPECTED, fingerprint=work.fingerprint, upstream=upstream.name)

    def _try_again(
        self, work: Work, reason: LackReason, unpaid: bool, now: float, actions: list[Action]
    ) -> None:
        """Sends work to another replica, or finishes it with the reason of the failed try."""
        work.reason = reason
        if not unpaid:
            self._core.budget(work.instance.service).on_fault()
        if work.exchanges:
            return
        hopeless = work.instance.gone or work.deadline <= now or reason is LackReason.DEADLINE
        if hopeless or work.tries >= MAX_TRIES or not self._pump.usable(work, now):
            self._core.give_up(work, work.reason, now, actions)
            return
        if not unpaid and not self._core.pay(work, now):
            self._core.give_up(work, reason, now, actions)
            return
        self._core.counts.retries += 1
        self._pump.resubmit(work, now, actions)
