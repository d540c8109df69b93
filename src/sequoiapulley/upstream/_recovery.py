"""Handles the end of an exchange: delivers the answer, retries, or reports why there is none."""

from __future__ import annotations

from typing import Final

from sequoiapulley.quarantine import STRIKES_TO_REFUSE
from sequoiapulley.search.messages import MissingReason, ShardReply
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
    NewStrike,
    ReplyKind,
    SubRun,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.upstream.outcomes import (
    MISSING_BY_LOSS,
    MISSING_BY_REPLY,
    NOT_SENT_LOSSES,
    classify_search_reply,
    run_outcome,
    unknown_outcome,
)
from sequoiapulley.upstream.upstream_state import UpstreamState

ERROR_WEIGHT: Final = 1
"""Weight of an error or a malformed reply; weights add up towards `EJECTION_THRESHOLD`."""
LOST_WEIGHT: Final = 2
CONNECT_FAILED_WEIGHT: Final = 3
RESTART_THRESHOLD: Final = 4
"""Total weight of consecutive failures at which a lost connection is taken for a restart of the
upstream."""
FREE_RETRY_REPLIES: Final = frozenset({ReplyKind.DRAINING, ReplyKind.WRONG_SNAPSHOT})
"""Refusals whose retry takes no token from the budget: they cost the upstream no work, and its
state then excludes it from further tries."""


class Recovery:
    """Processes replies and losses: updates upstream state, finishes or retries the work."""

    def __init__(self, core: DispatchCore, pump: QueuePump) -> None:
        """Creates the policy.

        Args:
            core: State shared with the other components.
            pump: Queues work for a further try.
        """
        self._core = core
        self._pump = pump

    def on_reply(
        self, exchange: Exchange, reply: UpstreamReply, now: float, actions: list[Action]
    ) -> None:
        """Processes the reply to an exchange that was just released."""
        work = exchange.work
        upstream = exchange.upstream
        if reply.kind is not ReplyKind.OK or reply.draining:
            work.instance.degraded = True
        self._update_upstream(upstream, reply, now)
        sub = work.sub
        if isinstance(sub, SubRun):
            self._record_reply(exchange, reply.kind, now)
            actions.append(run_outcome(sub, reply, self._core.codec))
            self._core.registry.close(work, now, actions)
            return
        kind = self._deliver_hits(work, sub, reply, actions)
        self._record_reply(exchange, kind, now)
        if kind is ReplyKind.OK:
            self._core.registry.close(work, now, actions)
            return
        self._retry(work, MISSING_BY_REPLY[kind], kind in FREE_RETRY_REPLIES, now, actions)

    def on_lost(
        self, exchange: Exchange, loss: LossKind, now: float, actions: list[Action]
    ) -> None:
        """Processes the loss of an exchange that was just released."""
        work = exchange.work
        upstream = exchange.upstream
        unsent = loss in NOT_SENT_LOSSES
        if isinstance(work.sub, SubRun) and not unsent:
            actions.append(unknown_outcome(work.sub))
            self._core.registry.close(work, now, actions)
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
        self._retry(work, MISSING_BY_LOSS[loss], unsent, now, actions)

    def _deliver_hits(
        self, work: Work, sub: SubSearch, reply: UpstreamReply, actions: list[Action]
    ) -> ReplyKind:
        """Delivers the hits of a good reply; returns the kind of the reply after all checks."""
        kind = classify_search_reply(sub, reply)
        if kind is not ReplyKind.OK:
            return kind
        try:
            hits = self._core.codec.decode_search(reply.body, sub.target.shard)
        except ValueError:
            return ReplyKind.MALFORMED
        # A single listed snapshot is the one that was read; more may include a newer one.
        available = reply.available if len(reply.available) > 1 else ()
        answer = ShardReply(sub.target.shard, reply.snapshot, hits, available=available)
        actions.append(FinishSearch(sub.sub_id, answer))
        return kind

    def _update_upstream(self, upstream: UpstreamState, reply: UpstreamReply, now: float) -> None:
        is_draining = reply.draining or reply.kind is ReplyKind.DRAINING
        if is_draining and upstream.drain.on_signal(now):
            self._core.log.log(UPSTREAM_LEAVING, upstream=upstream.name)
        if reply.load is not None:
            upstream.reported_load = reply.load
        if reply.available:
            upstream.on_available(reply.available, now)

    def _record_reply(self, exchange: Exchange, kind: ReplyKind, now: float) -> None:
        """Updates the state of the upstream and of the quarantine after a reply."""
        upstream = exchange.upstream
        work = exchange.work
        instance = work.instance
        if kind is ReplyKind.OK:
            if upstream.health.failure_weight or upstream.unanswered:
                self._on_alive(upstream, now)
            if not work.is_run:
                latency = now - exchange.sent_at
                upstream.on_good_reply(latency, instance.median_latency_or_inf, now)
                instance.latency.record(latency, now)
            quarantine = self._core.quarantine
            if quarantine.has_suspects:
                quarantine.on_answered(work.fingerprint, instance.key, exchange.sent_at, now)
            return
        instance.degraded = True
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
        if upstream.health.failure_weight >= RESTART_THRESHOLD:
            upstream.begin_slow_start(now)
        isolated = exchange.isolated and exchange.fresh
        strike = self._core.quarantine.on_lost(
            work.fingerprint, upstream.name, work.instance.key, isolated, now
        )
        if strike is None:
            return
        actions.append(NewStrike(strike.fingerprint, strike.upstream, strike.strikes))
        if strike.strikes >= STRIKES_TO_REFUSE:
            self._core.fail_quarantined(work.fingerprint, now, actions)
            return
        self._core.log.log(REQUEST_SUSPECTED, fingerprint=work.fingerprint, upstream=upstream.name)

    def _retry(
        self, work: Work, reason: MissingReason, is_free: bool, now: float, actions: list[Action]
    ) -> None:
        """Queues work for a try at another replica, or finishes it with the reason of the failure.

        While another exchange of the work is in flight, it is neither queued nor finished.

        Args:
            work: The work.
            reason: Why the exchange that ended gave no answer.
            is_free: Whether the retry takes no token from the budget.
            now: Clock reading in seconds.
            actions: List to which actions are appended.
        """
        work.reason = reason
        if not is_free:
            self._core.budget(work.instance.service).on_fault()
        if work.exchanges:
            return
        if self._core.quarantine.is_refused(work.fingerprint, now):
            # A run stays in flight when its request is quarantined, so it may end after that.
            self._core.fail_work(work, MissingReason.QUARANTINED, now, actions)
            return
        not_retryable = (
            work.instance.removed or work.deadline <= now or reason is MissingReason.DEADLINE
        )
        if not_retryable or work.tries >= MAX_TRIES or not self._pump.usable(work, now):
            self._core.fail_work(work, work.reason, now, actions)
            return
        if not is_free and not self._core.take_retry_token(work, now):
            self._core.fail_work(work, reason, now, actions)
            return
        self._core.counts.retries += 1
        self._pump.resubmit(work, now, actions)
