"""Calls one service for one request: tries, retries and hedged requests."""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Final

from sequoiapulley.forward.call_result import CallEnd, CallResult, HedgeOutcome
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.learning import record_overdue_try, record_try_end
from sequoiapulley.forward.log_events import TRY_FAILED, TRY_OVERDUE
from sequoiapulley.forward.messages import (
    NEVER_RAN,
    CallerRequest,
    ExchangeEnd,
    ExchangeReply,
)
from sequoiapulley.forward.refusal import Reason
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.send_try import SendTry
from sequoiapulley.forward.shard_progress import ShardProgress
from sequoiapulley.forward.tried_upstreams import TriedUpstreams
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import NodeId, ServiceName, UpstreamName

MAX_SENDS: Final = 5
"""Maximum number of sends of one request to one service, including refused ones."""
SAME_UPSTREAM_PAUSE_S: Final = 0.02
"""Delay before a request is sent again to an upstream that failed it, when no other one is
available."""
FIRST_FAILURE_STATUS: Final = 500
FIRST_SUCCESS_STATUS: Final = 200
FIRST_REDIRECT_STATUS: Final = 300


class ServiceCall:
    """Sends one request to upstreams of one service until one of them replies.

    An overdue try is hedged and a failed one retried, within the quota and the route's limits.
    """

    __slots__ = (
        "_awaits_check",
        "_ctx",
        "_deadline",
        "_limit",
        "_may_have_run",
        "_on_done",
        "_out_of_quota",
        "_progress",
        "_req",
        "_route",
        "_sends",
        "_tried",
        "_tries",
        "_was_sent",
        "delegate",
        "last_failure",
        "service",
    )

    def __init__(
        self,
        ctx: ForwardContext,
        req: CallerRequest,
        route: Route,
        service: ServiceName,
        deadline: float,
        on_done: Callable[[ServiceCall, CallResult], None],
        progress: ShardProgress | None = None,
    ) -> None:
        """Initialise a call that has sent nothing.

        Args:
            ctx: Shared components of the node.
            req: The request.
            route: Route of the request.
            service: The service to call.
            deadline: Clock reading at which the caller's deadline passes.
            on_done: Called once with the result, never from inside `start`.
            progress: Progress of the request at all its shards; None for a single service.
        """
        self._ctx = ctx
        self._progress = progress
        if progress is not None:
            progress.add_call(self)
        self._req = req
        self._route = route
        self.service = service
        self._deadline = deadline
        self._on_done: Callable[[ServiceCall, CallResult], None] | None = on_done
        self._tries: list[SendTry] = []
        self._tried = TriedUpstreams(ctx.directory, route, service)
        self._sends = 0
        self._may_have_run = False
        self._was_sent = False
        self._out_of_quota = False
        self._awaits_check = False
        """Whether the call goes on when it is known if the upstream that lost the request has
        crashed."""
        self._limit: float | None = None
        self.delegate: NodeId | None = None
        """Remote node to which this call is delegated, if any."""
        self.last_failure: ExchangeReply | None = None
        """Last failure reply that the caller may receive."""

    @property
    def done(self) -> bool:
        """Whether the result was reported or the call was stopped."""
        return self._on_done is None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request or may still run it."""
        if self._may_have_run or self.delegate is not None:
            return True
        return any(not sent_try.ended for sent_try in self._tries)

    @property
    def in_flight(self) -> bool:
        """Whether an upstream may still reply, or its crash is still being checked."""
        if self.done:
            return False
        return self._awaits_check or self.delegate is not None or bool(self._open_tries())

    def describe_pending(self) -> str:
        """Returns the upstreams that have not replied and the time since each send, for the log."""
        if self.delegate is not None and not self._tries:
            return f"pending at node {self.delegate}"
        now = self._ctx.clock.now()
        waits = []
        for sent_try in self._open_tries():
            if sent_try.exchange is None:
                continue
            sent = sent_try.exchange.sent_at
            wait = f"{(now - sent) * 1000:.0f} ms" if sent else "not sent"
            waits.append(f"{sent_try.upstream.record.name} {wait}")
        return ", ".join(["pending", *waits])

    @property
    def limited(self) -> bool:
        """Whether the call makes a single try that must end by the limit."""
        return self._limit is not None

    def start(self) -> None:
        """Sends the first try; without an upstream, fails in the next iteration of the loop."""
        self.start_at(self._tried.first(self._ctx.clock.now()), None)

    def start_at(self, upstream: Upstream | None, limit: float | None) -> None:
        """Sends the first try to a given upstream.

        Args:
            upstream: The upstream, or None if there is none.
            limit: Clock reading after which the reply is not needed. If set, it is the deadline
                that is sent to the upstream, and the call makes a single try unless `resume` is
                called.
        """
        self._limit = limit
        self._ctx.quota.record_request(self.service, self._ctx.clock.now())
        if upstream is None:
            self._ctx.timers.call_later(0.0, self._fail_without_upstream)
            return
        guard = self._ctx.crash_guard
        if guard.refused_for(self._req, self.service) or guard.must_probe(self._req, self.service):
            self._ctx.timers.call_later(0.0, self.continue_probe)
            return
        self._send(upstream, False)

    def allow(self, upstreams: frozenset[UpstreamName]) -> None:
        """Restricts the call to the given upstreams of the service."""
        self._tried.allowed = upstreams

    def delegate_to(self, node: NodeId, upstreams: frozenset[UpstreamName]) -> None:
        """Delegates the call to a remote node, until `resume`.

        Args:
            node: The remote node.
            upstreams: Upstreams that the remote node may call. The local node later calls only
                these, so that both nodes together keep the route's limit on upstreams.
        """
        self.delegate = node
        self.allow(upstreams)

    def cancel_delegation(self) -> None:
        """Cancels the delegation to a node that the request did not reach."""
        self.delegate = None
        self._tried.allowed = None

    def resume(self, on_done: Callable[[ServiceCall, CallResult], None]) -> None:
        """Continues the call on the local node without a limit, as its reply is now required.

        Args:
            on_done: Called once with the result, never from inside `resume`.
        """
        if self.delegate is not None:
            self.delegate = None
            self._was_sent = True
            self._may_have_run = True
        self._limit = None
        self._on_done = on_done
        self._ctx.timers.call_later(0.0, self._continue)

    def _continue(self) -> None:
        """Hedges the try in flight, or retries if there is none."""
        if self.done:
            return
        for sent_try in self._open_tries():
            self._on_overdue(sent_try)
            return
        self._try_again(self._ctx.clock.now())

    def stop(self) -> None:
        """Abandons the tries, as the result is no longer needed."""
        self._on_done = None
        self._abandon_tries()
        self._ctx.crash_guard.end_probe(self._req, self)
        self._update_progress()

    def record_remote_crash(self, upstream: UpstreamName) -> None:
        """Records that an upstream crashed under the request, as the remote node told."""
        if self._progress is not None:
            self._progress.record_crash(self.service, upstream)

    def continue_probe(self) -> None:
        """Sends a suspected request if no other probe of it is in flight, else waits for its end.

        If the request is not suspected any more, it is sent as usual. While other shards may still
        reply to it, the call waits for them.
        """
        if self.done or self._awaits_check or self._open_tries():
            return
        guard = self._ctx.crash_guard
        if guard.refused_for(self._req, self.service) or not self._has_time():
            self._fail()
            return
        now = self._ctx.clock.now()
        if not guard.must_probe(self._req, self.service):
            self._send_next(now)
            return
        progress = self._progress
        if progress is not None and progress.is_unproven:
            progress.wait(self.continue_probe)
            return
        if progress is not None and not progress.replied and not progress.decides:
            self._fail()
            return
        if progress is not None and progress.shows_crashes:
            guard.record_crashes(self._req, progress.crashed)
            self._fail()
            return
        if guard.start_probe(self._req, self, self._others_replied):
            self._send_next(now, probe=True)

    def _send(self, upstream: Upstream, uses_quota: bool, probe: bool = False) -> None:
        """Sends one try and starts the timer after which it is overdue."""
        ctx = self._ctx
        sent_try = SendTry(upstream, uses_quota, probe)
        self._sends += 1
        self._tries.append(sent_try)
        exchange = Exchange(
            self._req,
            self._deadline if self._limit is None else min(self._limit, self._deadline),
            self._route.idempotent,
            lambda reply: self._on_end(sent_try, reply),
        )
        sent_try.exchange = exchange
        route = self._route
        sent_try.overdue_after_s = ctx.model.overdue_after(
            route.name, route.goal, upstream.record.failure_domain
        )
        sent_try.overdue_timer = ctx.timers.call_later(
            sent_try.overdue_after_s, lambda: self._on_overdue(sent_try)
        )
        upstream.record_send(ctx.clock.now())
        upstream.pool.submit(exchange)

    def _on_overdue(self, sent_try: SendTry) -> None:
        """Marks a try as overdue and sends a hedged request if possible."""
        ctx = self._ctx
        now = ctx.clock.now()
        if not sent_try.overdue:
            sent_try.overdue = True
            sent_try.upstream.overdue_requests += 1
            ctx.contact.record_overdue(sent_try.upstream)
        if self.done:
            return
        outcome, other = self._hedge(now)
        if outcome is HedgeOutcome.NO_REPLY_YET:
            return
        self._ctx.log.log(
            TRY_OVERDUE,
            id=self._req.id,
            service=self.service,
            upstream=sent_try.upstream.record.name,
            usual_ms=round(sent_try.overdue_after_s * 1000),
            outcome=outcome.value,
            other=other.record.name if other is not None else "",
        )

    def _hedge(self, now: float) -> tuple[HedgeOutcome, Upstream | None]:
        """Sends a hedged request if allowed; returns the outcome and the upstream used."""
        if not self._route.idempotent:
            return HedgeOutcome.NOT_IDEMPOTENT, None
        if self.limited:
            return HedgeOutcome.LIMITED, None
        if self._ctx.crash_guard.must_probe(self._req, self.service):
            return HedgeOutcome.SUSPECTED, None
        progress = self._progress
        if progress is not None and not progress.may_hedge:
            progress.on_reply(self._hedge_overdue)
            return HedgeOutcome.NO_REPLY_YET, None
        upstream = self._next_upstream(now, hedge=True)
        if upstream is None:
            return HedgeOutcome.NO_UPSTREAM, None
        if not self._acquire_quota(now, hedge=True):
            return HedgeOutcome.QUOTA, None
        self._send(upstream, True)
        return HedgeOutcome.HEDGED, upstream

    def _hedge_overdue(self) -> None:
        """Hedges the try that became overdue before a shard had replied."""
        if self.done:
            return
        open_tries = self._open_tries()
        if len(open_tries) == 1 and open_tries[0].overdue:
            self._on_overdue(open_tries[0])

    def _on_end(self, sent_try: SendTry, reply: ExchangeReply) -> None:
        """Handles the end of one try: reports a final reply, or retries."""
        now = self._ctx.clock.now()
        self._close_try(sent_try)
        failed = not self._is_final(reply)
        record_try_end(self._ctx, self._route, sent_try.upstream, sent_try.exchange, reply, failed)
        self._ctx.tally.ends[reply.end.value] += 1
        self._record_survival(sent_try, reply)
        if self.done:
            return
        self._tried.record_try(sent_try.upstream, reply.end)
        if reply.end is not ExchangeEnd.NOT_SENT:
            self._was_sent = True
        elif sent_try.uses_quota:
            self._ctx.quota.refund(self.service)
        if reply.end not in NEVER_RAN:
            self._may_have_run = True
        if not failed:
            self._finish(CallResult(CallEnd.REPLY, reply))
            return
        if reply.may_be_forwarded:
            self.last_failure = reply
        lost = reply.end is ExchangeEnd.LOST
        self._ctx.log.log(
            TRY_FAILED,
            id=self._req.id,
            fingerprint=self._req.fingerprint if lost else "",
            service=self.service,
            upstream=sent_try.upstream.record.name,
            end=reply.end.value,
            status=reply.reply.status if reply.reply is not None else 0,
            detail=reply.detail,
            sends=self._sends,
        )
        if lost and self._must_await_check(sent_try):
            self._awaits_check = True
            return
        self._try_again(now)
        self._update_progress()

    @property
    def _others_replied(self) -> bool:
        """Whether other shards have replied to the request."""
        return self._progress is not None and self._progress.replied

    def _update_progress(self) -> None:
        """Lets the calls to other shards go on that wait for the end of this one."""
        if self._progress is not None:
            self._progress.update()

    def _must_await_check(self, sent_try: SendTry) -> bool:
        """Returns whether a lost try is followed by others only once its loss is explained."""
        if self._open_tries() or not self._ctx.crash_guard.must_probe(self._req, self.service):
            return False
        alone = self._progress is None or self._progress.may_hedge
        return sent_try.probe or not alone

    def _record_survival(self, sent_try: SendTry, reply: ExchangeReply) -> None:
        """Records whether the upstream has survived the request, as far as the reply tells."""
        guard = self._ctx.crash_guard
        upstream = sent_try.upstream
        if reply.end is ExchangeEnd.LOST:

            def on_checked(crashed: bool) -> None:
                self._on_loss_checked(sent_try, crashed)

            if sent_try.probe:
                guard.record_lost_probe(
                    self._req, upstream, sent_try.alone, self._others_replied, on_checked
                )
                return
            guard.record_loss(self._req, upstream, self._others_replied, on_checked)
            self._make_hedge_a_probe()
        elif reply.end is ExchangeEnd.REPLY and sent_try.exchange is not None:
            guard.record_reply(self._req, upstream, sent_try.exchange.sent_at, sent_try.probe)
        if sent_try.probe:
            guard.end_probe(self._req, self)

    def _make_hedge_a_probe(self) -> None:
        """Makes the other try in flight a probe, as its end tells what the next one would."""
        for sent_try in self._open_tries():
            sent_try.probe = self._ctx.crash_guard.start_probe(
                self._req, self, self._others_replied
            )

    def _on_loss_checked(self, sent_try: SendTry, crashed: bool) -> None:
        """Goes on after a lost try, when it is known whether the upstream has crashed."""
        if crashed and self._progress is not None:
            self._progress.record_crash(self.service, sent_try.upstream.record.name)
        if sent_try.probe:
            self._ctx.crash_guard.end_probe(self._req, self)
        if self._awaits_check and not self.done:
            self._awaits_check = False
            self._try_again(self._ctx.clock.now())
        self._update_progress()

    def _try_again(self, now: float) -> None:
        """Retries after a failure, or ends the call when no retry is possible."""
        if self._open_tries():
            return
        if self.limited or not self._may_retry():
            self._fail()
            return
        if self._ctx.crash_guard.refused_for(self._req, self.service):
            self._fail()
            return
        if self._ctx.crash_guard.must_probe(self._req, self.service):
            self.continue_probe()
            return
        self._send_next(now)

    def _send_next(self, now: float, probe: bool = False) -> None:
        """Sends a try to another upstream, or ends the call if there is none."""
        upstream = self._next_upstream(now, hedge=False, prefer_idle=probe)
        if upstream is not None:
            self._retry(upstream, probe)
            return
        self._ctx.crash_guard.end_probe(self._req, self)
        if self._tried.retry_candidate(now) is None:
            self._fail()
            return
        self._ctx.timers.call_later(SAME_UPSTREAM_PAUSE_S, self._retry_at_failed)

    def _retry_at_failed(self) -> None:
        """Retries at an upstream that already failed this request."""
        if self.done or self._open_tries():
            return
        guard = self._ctx.crash_guard
        upstream = self._tried.retry_candidate(self._ctx.clock.now())
        if upstream is None or guard.refused_for(self._req, self.service):
            self._fail()
            return
        probe = guard.must_probe(self._req, self.service)
        if not probe or guard.start_probe(self._req, self, self._others_replied):
            self._retry(upstream, probe)

    def _retry(self, upstream: Upstream, probe: bool = False) -> None:
        """Retries at an upstream; the quota applies once a try has reached an upstream."""
        now = self._ctx.clock.now()
        if self._was_sent:
            if not self._acquire_quota(now, hedge=False):
                self._fail()
                return
            self._send(upstream, True, probe)
            return
        self._send(upstream, False, probe)

    def _acquire_quota(self, now: float, hedge: bool) -> bool:
        """Consumes one retry from the quota; returns whether the quota allowed it."""
        allowed = self._ctx.quota.try_acquire(self.service, now, hedge)
        self._out_of_quota = self._out_of_quota or not allowed
        self._ctx.tally.repeats["allowed" if allowed else "denied"] += 1
        return allowed

    def _next_upstream(self, now: float, hedge: bool, prefer_idle: bool = False) -> Upstream | None:
        """Returns an upstream that has not received the request yet, or None."""
        if self._sends >= MAX_SENDS:
            return None
        in_flight = [sent_try.upstream for sent_try in self._open_tries()]
        if prefer_idle:
            upstream = self._tried.next_untried(in_flight, now, only_idle=True)
            if upstream is not None:
                return upstream
        upstream = self._tried.next_untried(in_flight, now, spare_limited=hedge)
        if (
            hedge
            and upstream is not None
            and upstream.overdue_requests
            and not upstream.pool.has_room
        ):
            return None
        return upstream

    def _may_retry(self) -> bool:
        """Returns whether the request may be sent again."""
        if self._sends >= MAX_SENDS or not self._has_time():
            return False
        return self._route.idempotent or not self._may_have_run

    def _has_time(self) -> bool:
        """Returns whether the caller's deadline has not passed yet."""
        return self._ctx.clock.now() < self._deadline

    def _open_tries(self) -> list[SendTry]:
        """Returns the tries in flight."""
        return [sent_try for sent_try in self._tries if not sent_try.ended]

    def _is_final(self, reply: ExchangeReply) -> bool:
        """Returns whether a reply ends the call regardless of other upstreams."""
        if reply.reply is None or not reply.may_be_forwarded:
            return False
        status = reply.reply.status
        if self._route.gather is not None:
            return FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS and reply.seal is not None
        return status < FIRST_FAILURE_STATUS or not self._route.idempotent

    def _close_try(self, sent_try: SendTry) -> None:
        """Marks a try as ended and cancels its timer."""
        if sent_try.ended:
            return
        sent_try.ended = True
        if sent_try.overdue_timer is not None:
            sent_try.overdue_timer.cancel()
        if sent_try.overdue:
            sent_try.upstream.overdue_requests -= 1

    def _abandon_tries(self) -> None:
        """Abandons the tries in flight; their latency is still recorded for the upstream.

        Those of a request that crashes upstreams are cancelled, which may still save some.
        """
        refused = self._ctx.crash_guard.refused_for(self._req, self.service) > 0.0
        for sent_try in self._open_tries():
            exchange = sent_try.exchange
            if exchange is None or exchange.pool is None:
                continue
            if sent_try.overdue:
                record_overdue_try(self._ctx, self._route, sent_try.upstream, exchange)
            self._close_try(sent_try)
            if refused:
                exchange.pool.cancel(exchange)
                continue
            exchange.pool.abandon(exchange)

    def _fail_without_upstream(self) -> None:
        """Ends the call, as no upstream accepts requests."""
        if self.done:
            return
        pause = self._pause_left()
        reason = Reason.PAUSED if pause else Reason.NO_UPSTREAM
        self._finish(CallResult(CallEnd.NOT_RUN, reason=reason, retry_after=pause))

    def _pause_left(self) -> float:
        """Returns the time until a paused upstream accepts requests; 0 if none is paused."""
        pause = self._ctx.directory.pause_left(self.service)
        return pause if isfinite(pause) else 0.0

    def _fail(self) -> None:
        """Ends the call as failed, with the last failure reply if there is one."""
        end = CallEnd.FAILED if self._may_have_run else CallEnd.NOT_RUN
        reason = Reason.FAILED if self._may_have_run else Reason.REFUSED
        pause = self._pause_left()
        if pause and not self._may_have_run:
            reason = Reason.PAUSED
        if self._out_of_quota:
            reason = Reason.QUOTA
        refused_for = self._ctx.crash_guard.refused_for(self._req, self.service)
        if refused_for:
            reason, pause = Reason.CRASHES_UPSTREAMS, refused_for
        self._finish(CallResult(end, self.last_failure, reason, pause))

    def _finish(self, result: CallResult) -> None:
        """Reports the result and abandons the tries in flight."""
        on_done, self._on_done = self._on_done, None
        self._abandon_tries()
        self._ctx.crash_guard.end_probe(self._req, self)
        if on_done is not None:
            on_done(self, result)
        self._update_progress()
