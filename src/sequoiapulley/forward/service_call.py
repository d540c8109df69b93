"""The tries of one request at one service."""

from __future__ import annotations

from collections.abc import Callable
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
from sequoiapulley.forward.tried_upstreams import TriedUpstreams
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import NodeId, ServiceName, UpstreamName

MAX_SENDS: Final = 5
"""Sends of one request to one service, those included that were refused before they ran."""
SAME_UPSTREAM_PAUSE_S: Final = 0.02
"""Pause before a request goes to an upstream that has just failed it, as no other is left."""
FIRST_FAILURE_STATUS: Final = 500
FIRST_SUCCESS_STATUS: Final = 200
FIRST_REDIRECT_STATUS: Final = 300


class ServiceCall:
    """Sends one request to upstreams of one service until one has answered it."""

    __slots__ = (
        "_ctx",
        "_deadline",
        "_limit",
        "_may_have_run",
        "_on_done",
        "_out_of_quota",
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
    ) -> None:
        """Initialise a call without tries.

        Args:
            ctx: Collaborators.
            req: The request.
            route: Its route.
            service: The service to ask.
            deadline: Clock reading after which the caller no longer waits.
            on_done: Receives the result, once, never from inside `start`.
        """
        self._ctx = ctx
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
        self._limit: float | None = None
        self.delegate: NodeId | None = None
        """Node that makes this call for this one, if any."""
        self.last_failure: ExchangeReply | None = None
        """Last reply of an upstream that ran the request and failed."""

    @property
    def done(self) -> bool:
        """Whether the result was reported or is no longer wanted."""
        return self._on_done is None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request or may still do so."""
        if self._may_have_run or self.delegate is not None:
            return True
        return any(not sent_try.ended for sent_try in self._tries)

    def describe_pending(self) -> str:
        """Returns which upstreams have not replied, and for how long, for the log."""
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
        """Whether the call makes one try that must end by its limit."""
        return self._limit is not None

    def start(self) -> None:
        """Sends the first try; without an upstream, reports so in the loop's next turn."""
        self.start_at(self._tried.first(self._ctx.clock.now()), None)

    def start_at(self, upstream: Upstream | None, limit: float | None) -> None:
        """Sends the first try to an upstream that was chosen before.

        Args:
            upstream: The upstream, or None if there is none.
            limit: Clock reading after which a reply is not needed. With a limit the upstream is
                told to stop then, and the call makes one try only until `resume`.
        """
        self._limit = limit
        self._ctx.quota.record_request(self.service, self._ctx.clock.now())
        if upstream is None:
            self._ctx.timers.call_later(0.0, self._fail_without_upstream)
            return
        self._send(upstream, False)

    def allow(self, upstreams: frozenset[UpstreamName]) -> None:
        """Restricts the call to some upstreams of the service."""
        self._tried.allowed = upstreams

    def delegate_to(self, node: NodeId, upstreams: frozenset[UpstreamName]) -> None:
        """Leaves the call to another node, until `resume`.

        Args:
            node: The node.
            upstreams: Upstreams that it may ask. This node asks no others later, so that both
                together keep the bound on upstreams.
        """
        self.delegate = node
        self.allow(upstreams)

    def cancel_delegation(self) -> None:
        """Ends the delegation to a node that was not reached."""
        self.delegate = None
        self._tried.allowed = None

    def resume(self, on_done: Callable[[ServiceCall, CallResult], None]) -> None:
        """Goes on without a limit and without another node, as the reply is needed after all.

        Args:
            on_done: Receives the result, once, later.
        """
        if self.delegate is not None:
            self._was_sent = True
            self._may_have_run = True
        self._limit = None
        self._on_done = on_done
        self._ctx.timers.call_later(0.0, self._continue)

    def _continue(self) -> None:
        """Makes another try after a limited one has ended or while it is overdue."""
        if self.done:
            return
        for sent_try in self._open_tries():
            self._on_overdue(sent_try)
            return
        self._try_again(self._ctx.clock.now())

    def stop(self) -> None:
        """Gives the tries up, as the result is no longer wanted."""
        self._on_done = None
        self._abandon_tries()

    def _send(self, upstream: Upstream, uses_quota: bool) -> None:
        """Sends one try and watches its time."""
        ctx = self._ctx
        sent_try = SendTry(upstream, uses_quota)
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
        """Asks another upstream too when a reply takes longer than usual."""
        ctx = self._ctx
        now = ctx.clock.now()
        if not sent_try.overdue:
            sent_try.overdue = True
            sent_try.upstream.overdue += 1
        if self.done:
            return
        outcome, other = self._hedge(now)
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
        """Asks another upstream while one is overdue; returns what was done and where."""
        if not self._route.idempotent:
            return HedgeOutcome.NOT_IDEMPOTENT, None
        if self.limited:
            return HedgeOutcome.LIMITED, None
        upstream = self._next_upstream(now, hedge=True)
        if upstream is None:
            return HedgeOutcome.NO_UPSTREAM, None
        if not self._acquire_quota(now, hedge=True):
            return HedgeOutcome.QUOTA, None
        self._send(upstream, True)
        return HedgeOutcome.HEDGED, upstream

    def _on_end(self, sent_try: SendTry, reply: ExchangeReply) -> None:
        """Takes the end of one try: passes the reply on, or tries again."""
        now = self._ctx.clock.now()
        self._close_try(sent_try)
        failed = reply.end is not ExchangeEnd.REPLY or not self._is_final(reply)
        record_try_end(self._ctx, self._route, sent_try.upstream, sent_try.exchange, reply, failed)
        self._ctx.tally.ends[reply.end.value] += 1
        if self.done:
            return
        self._tried.record_try(sent_try.upstream, reply.end)
        if reply.end is not ExchangeEnd.NOT_SENT:
            self._was_sent = True
        elif sent_try.uses_quota:
            self._ctx.quota.refund(self.service)
        if reply.end not in NEVER_RAN:
            self._may_have_run = True
        if reply.end is ExchangeEnd.REPLY and self._is_final(reply):
            self._finish(CallResult(CallEnd.REPLY, reply))
            return
        if reply.end is ExchangeEnd.REPLY:
            self.last_failure = reply
        self._ctx.log.log(
            TRY_FAILED,
            id=self._req.id,
            service=self.service,
            upstream=sent_try.upstream.record.name,
            end=reply.end.value,
            status=reply.reply.status if reply.reply is not None else 0,
            sends=self._sends,
        )
        self._try_again(now)

    def _try_again(self, now: float) -> None:
        """Sends another try after a failure, or ends the call when none is possible."""
        if self._open_tries():
            return
        if self.limited or not self._may_retry():
            self._fail()
            return
        upstream = self._next_upstream(now, hedge=False)
        if upstream is not None:
            self._retry(upstream)
            return
        if self._tried.retry_candidate(now) is None:
            self._fail()
            return
        self._ctx.timers.call_later(SAME_UPSTREAM_PAUSE_S, self._retry_at_failed)

    def _retry_at_failed(self) -> None:
        """Sends another try to an upstream that failed the request before."""
        if self.done or self._open_tries():
            return
        upstream = self._tried.retry_candidate(self._ctx.clock.now())
        if upstream is None:
            self._fail()
            return
        self._retry(upstream)

    def _retry(self, upstream: Upstream) -> None:
        """Sends another try within the quota."""
        now = self._ctx.clock.now()
        if self._was_sent:
            if not self._acquire_quota(now, hedge=False):
                self._fail()
                return
            self._send(upstream, True)
            return
        self._send(upstream, False)

    def _acquire_quota(self, now: float, hedge: bool) -> bool:
        """Returns whether the quota allows one more send, and counts it if so."""
        allowed = self._ctx.quota.try_acquire(self.service, now, hedge)
        self._out_of_quota = self._out_of_quota or not allowed
        self._ctx.tally.repeats["allowed" if allowed else "denied"] += 1
        return allowed

    def _next_upstream(self, now: float, hedge: bool) -> Upstream | None:
        """Returns an upstream for one more try that has not had the request, or None."""
        if self._sends >= MAX_SENDS:
            return None
        upstream = self._tried.next_untried(
            [sent_try.upstream for sent_try in self._open_tries()], now
        )
        if hedge and upstream is not None and upstream.overdue and not upstream.pool.has_room:
            return None
        return upstream

    def _may_retry(self) -> bool:
        """Returns whether the request may be sent once more."""
        if self._sends >= MAX_SENDS or self._ctx.clock.now() >= self._deadline:
            return False
        return self._route.idempotent or not self._may_have_run

    def _open_tries(self) -> list[SendTry]:
        """Returns the tries that have not ended."""
        return [sent_try for sent_try in self._tries if not sent_try.ended]

    def _is_final(self, reply: ExchangeReply) -> bool:
        """Returns whether a reply is passed on whatever other upstreams might say."""
        if reply.reply is None:
            return False
        status = reply.reply.status
        if self._route.gather is not None:
            return FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS and reply.seal is not None
        return status < FIRST_FAILURE_STATUS or not self._route.idempotent

    def _close_try(self, sent_try: SendTry) -> None:
        """Ends the watch over a try."""
        if sent_try.ended:
            return
        sent_try.ended = True
        if sent_try.overdue_timer is not None:
            sent_try.overdue_timer.cancel()
        if sent_try.overdue:
            sent_try.upstream.overdue -= 1

    def _abandon_tries(self) -> None:
        """Gives up the tries in flight; a late end still tells of the upstream."""
        for sent_try in self._open_tries():
            exchange = sent_try.exchange
            if exchange is None or exchange.pool is None:
                continue
            if sent_try.overdue:
                record_overdue_try(self._ctx, self._route, sent_try.upstream, exchange)
            self._close_try(sent_try)
            exchange.pool.abandon(exchange)

    def _fail_without_upstream(self) -> None:
        """Ends the call as no upstream takes requests."""
        if not self.done:
            self._finish(CallResult(CallEnd.NOT_RUN, reason=Reason.NO_UPSTREAM))

    def _fail(self) -> None:
        """Ends the call without a reply that is passed on as a success."""
        end = CallEnd.FAILED if self._may_have_run else CallEnd.NOT_RUN
        reason = Reason.FAILED if self._may_have_run else Reason.REFUSED
        if self._out_of_quota:
            reason = Reason.QUOTA
        self._finish(CallResult(end, self.last_failure, reason))

    def _finish(self, result: CallResult) -> None:
        """Reports the result and gives up what is in flight."""
        on_done, self._on_done = self._on_done, None
        self._abandon_tries()
        if on_done is not None:
            on_done(self, result)
