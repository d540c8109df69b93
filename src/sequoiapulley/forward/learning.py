"""Feeds the outcome of tries into the statistics of upstreams, routes and round trips."""

from __future__ import annotations

from typing import Final

from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.log_events import (
    LIMIT_UNREADABLE,
    PAUSE_BOUNDED,
    UPSTREAM_ANSWERS,
    UPSTREAM_LEAVES,
    UPSTREAM_LIMITED,
    UPSTREAM_PAUSED,
    UPSTREAM_SILENT,
)
from sequoiapulley.forward.messages import (
    ExchangeEnd,
    ExchangeReply,
    PauseRequest,
    StatedLimit,
)
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.upstream import Upstream

WITHOUT_REPLY: Final = frozenset({ExchangeEnd.NOT_SENT, ExchangeEnd.LOST})
"""Exchange ends without any bytes from the upstream."""
STATES_LIMIT: Final = frozenset({ExchangeEnd.REPLY, ExchangeEnd.NOT_RUN})
"""Exchange ends with a complete reply of the upstream, which states a limit as long as it has
one."""
MAX_PAUSE_S: Final = 300.0
"""Maximum pause that an upstream may request, so that a wrong value does not take it out of use for
good; it is then asked once in this time."""


def record_try_end(
    ctx: ForwardContext,
    route: Route,
    upstream: Upstream,
    exchange: Exchange | None,
    reply: ExchangeReply,
    failed: bool,
) -> None:
    """Updates the statistics after a try has ended.

    Args:
        ctx: Shared components of the node.
        route: Route of the request.
        upstream: The upstream that received the request.
        exchange: Exchange of the try.
        reply: End of the exchange.
        failed: Whether the exchange ended without a reply that can be forwarded.
    """
    now = ctx.clock.now()
    upstream.record_end(failed, reply.end is ExchangeEnd.NOT_SENT, now)
    if reply.end in WITHOUT_REPLY:
        upstream.record_silence(now)
        ctx.contact.record_unreachable(upstream)
    else:
        upstream.record_received()
        ctx.contact.record_reply(upstream)
    _log_silence(ctx, upstream, now)
    if reply.end is ExchangeEnd.WRONG_UPSTREAM and not upstream.address_reassigned:
        upstream.address_reassigned = True
        name = upstream.record.name
        ctx.log.log(UPSTREAM_LEAVES, upstream=name, cause="address used by another upstream")
    if reply.leaving and record_leaving(ctx, upstream, "announced in a reply"):
        ctx.directory.announce_leaving(upstream)
    if reply.pause is not None:
        _record_pause(ctx, upstream, reply.pause, now)
    if reply.end in STATES_LIMIT:
        _record_limit(ctx, upstream, reply.limit)
    if reply.load is not None:
        upstream.record_load(reply.load, now)
    if failed or exchange is None or exchange.conn is None:
        return
    domain = upstream.record.failure_domain
    latency = now - exchange.sent_at
    upstream.record_latency(_processing_ratio(ctx, route, upstream, latency), now)
    ctx.model.record(route.name, route.goal, domain, latency, now)


def record_overdue_try(
    ctx: ForwardContext, route: Route, upstream: Upstream, exchange: Exchange
) -> None:
    """Records the elapsed time of an overdue try as a latency sample of its upstream.

    Args:
        ctx: Shared components of the node.
        route: Route of the request.
        upstream: The upstream that received the request.
        exchange: Exchange of the try.
    """
    now = ctx.clock.now()
    upstream.record_silence(now)
    _log_silence(ctx, upstream, now)
    if exchange.conn is None:
        return
    upstream.record_latency(_processing_ratio(ctx, route, upstream, now - exchange.sent_at), now)


def record_leaving(ctx: ForwardContext, upstream: Upstream, cause: str) -> bool:
    """Takes an upstream that announced its shutdown out of use; returns whether that was unknown.

    Args:
        ctx: Shared components of the node.
        upstream: The upstream.
        cause: How this node learned of it, for the log.
    """
    if not ctx.directory.mark_leaving(upstream):
        return False
    ctx.tally.leaving_upstreams += 1
    record = upstream.record
    ctx.log.log(UPSTREAM_LEAVES, upstream=record.name, service=record.service, cause=cause)
    return True


def _record_pause(ctx: ForwardContext, upstream: Upstream, pause: PauseRequest, now: float) -> None:
    """Pauses an upstream that requested it; requests that wait for a connection are not sent."""
    record = upstream.record
    length = _bounded_pause(pause)
    if length != pause.seconds:
        ctx.log.log(PAUSE_BOUNDED, upstream=record.name, requested=pause.text, pause_s=length)
    if now + length <= upstream.paused_until or length <= 0.0:
        return
    upstream.paused_until = now + length
    ctx.tally.pauses += 1
    ctx.log.log(UPSTREAM_PAUSED, upstream=record.name, service=record.service, pause_s=length)
    upstream.pool.refuse_waiting()


def _bounded_pause(pause: PauseRequest) -> float:
    """Returns the pause to keep, in seconds; 0 for a value that is no positive number."""
    if pause.seconds is None or not pause.seconds > 0.0:
        return 0.0
    return min(MAX_PAUSE_S, pause.seconds)


def _record_limit(ctx: ForwardContext, upstream: Upstream, stated: StatedLimit | None) -> None:
    """Records the limit on requests that an upstream states, or that it states none."""
    record = upstream.record
    per_second = None if stated is None else stated.per_second
    if per_second is not None and not 0.0 <= per_second < float("inf"):
        per_second = None
    if stated is not None and per_second is None:
        ctx.log.log(LIMIT_UNREADABLE, upstream=record.name, stated=stated.text)
    before = None if upstream.limit is None else upstream.limit.per_second
    if per_second == before:
        return
    ctx.directory.set_limit(upstream, per_second)
    ctx.log.log(
        UPSTREAM_LIMITED,
        upstream=record.name,
        service=record.service,
        per_s="none" if per_second is None else per_second,
    )


def _log_silence(ctx: ForwardContext, upstream: Upstream, now: float) -> None:
    """Logs an upstream that became silent (stopped replying) or replies again."""
    silent = upstream.poll_silence_change(now)
    if silent is None:
        return
    record = upstream.record
    if silent:
        silent_ms = round(upstream.silence(now) * 1000)
        ctx.log.log(
            UPSTREAM_SILENT, upstream=record.name, service=record.service, silent_ms=silent_ms
        )
        return
    ctx.log.log(UPSTREAM_ANSWERS, upstream=record.name, service=record.service)


def _processing_ratio(
    ctx: ForwardContext, route: Route, upstream: Upstream, latency: float
) -> float:
    """Returns the processing time within a latency, relative to the typical one of the route."""
    round_trip = ctx.model.round_trip(upstream.record.failure_domain)
    return max(0.0, latency - round_trip) / ctx.model.processing_time(route.name, route.goal)
