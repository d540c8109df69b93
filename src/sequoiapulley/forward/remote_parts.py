"""Delegates calls to shards to a node of another failure domain."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from result import Err

from sequoiapulley.forward.aggregators import (
    Aggregators,
    PartsRequest,
    PartsResult,
    PartsTimeouts,
    ShardTask,
    cover_failure_domains,
)
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.learning import record_leaving
from sequoiapulley.forward.messages import CallerRequest
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.service_call import ServiceCall
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import FailureDomainName, UpstreamName

MIN_DELEGATED_SHARDS: Final = 2
"""Minimum number of shards to delegate: a single one saves no exchange between failure domains."""
MERGE_OVERHEAD_S: Final = 0.004
"""Processing time of both nodes, in addition to the round trip and the upstreams."""
EQUAL_ROUND_TRIP_S: Final = 0.005
"""Difference of round trips up to which failure domains count as equally distant. It is a
millisecond between two of the same region, and ten or more between regions."""
CONFIRMATION_MARGIN_S: Final = 0.01
"""Time in addition to the round trip within which the kernel of a node acknowledges a request. It
does so at once, while a lost packet is retransmitted only after 200 ms."""
MIN_DUE_S: Final = 0.02
"""Minimum time that a node must have to call its shards."""

OnParts = Callable[[list[ServiceCall], list[bytes], bytes], None]
"""Called with the calls whose parts arrived, the seals of these parts and the merged body."""
OnMissing = Callable[[list[ServiceCall], bool], None]
"""Called with the calls without a part, and whether the node may have called their shards."""


class RemoteParts:
    """One request to a remote node for the parts of some shards."""

    def __init__(
        self,
        ctx: ForwardContext,
        aggregators: Aggregators,
        node: NodeRecord,
        calls: list[ServiceCall],
        on_parts: OnParts,
        on_missing: OnMissing,
    ) -> None:
        """Initialise a request that has not been sent.

        Args:
            ctx: Shared components of the node.
            aggregators: Sends the request.
            node: The remote node.
            calls: Calls to delegate; none has started.
            on_parts: Called with the parts that arrived.
            on_missing: Called with the calls without a part.
        """
        self._ctx = ctx
        self._aggregators = aggregators
        self._node = node
        self._calls = calls
        self._on_parts = on_parts
        self._on_missing = on_missing
        self._sent_at = 0.0

    def send(self, req: CallerRequest, route: Route, due: float, deadline: float) -> None:
        """Sends the request.

        Args:
            req: The caller's request.
            route: Route of the request, a gather.
            due: Clock reading at which the caller's answer is due.
            deadline: Clock reading at which the caller's deadline passes.
        """
        assert route.gather is not None
        now = self._ctx.clock.now()
        tasks: list[ShardTask] = []
        for call in self._calls:
            names = _best_upstreams(self._ctx, call, route, self._node.failure_domain, now)
            call.delegate_to(self._node.name, frozenset(names))
            tasks.append(ShardTask(call.service, names))
        round_trip = self._ctx.model.round_trip(self._node.failure_domain)
        request = PartsRequest(
            id=req.id,
            method=req.method,
            target=req.target,
            host=req.host,
            headers=req.headers,
            body=req.body,
            time_left=deadline - now,
            due_in=due - now - round_trip - MERGE_OVERHEAD_S,
            route=route.name,
            goal=route.goal,
            max_upstreams=route.max_upstreams,
            top_k=route.gather.top_k,
            tasks=tuple(tasks),
        )
        self._sent_at = now
        measured = self._ctx.model.has_measured_round_trip(self._node.failure_domain)
        timeouts = PartsTimeouts(
            due - now + round_trip, round_trip + CONFIRMATION_MARGIN_S if measured else None
        )
        self._aggregators.request_parts(self._node, request, timeouts, self._on_result)

    def _on_result(self, result: PartsResult) -> None:
        """Reports the parts that arrived and the calls without one."""
        if isinstance(result, Err):
            self._ctx.tally.delegated["failed"] += 1
            self._on_missing(self._calls, result.err_value.sent)
            return
        reply = result.ok_value
        now = self._ctx.clock.now()
        for name in reply.leaving:
            upstream = self._ctx.directory.find(name)
            if upstream is not None:
                record_leaving(self._ctx, upstream, f"announced to {self._node.name}")
        self._ctx.model.record_round_trip(
            self._node.failure_domain, now - self._sent_at - reply.elapsed, now
        )
        for number, name in reply.crashed.items():
            if 0 <= number < len(self._calls):
                self._calls[number].record_remote_crash(name)
        served = [call for number, call in enumerate(self._calls) if number in reply.seals]
        seals = [reply.seals[number] for number in range(len(self._calls)) if number in reply.seals]
        missing = [call for call in self._calls if call not in served]
        self._ctx.tally.delegated["partial" if missing else "whole"] += 1
        if served:
            self._on_parts(served, seals, reply.body)
        if missing:
            self._on_missing(missing, True)


def remote_groups(
    ctx: ForwardContext,
    calls: dict[ServiceCall, Upstream],
    route: Route,
    time_until_due: float,
) -> list[tuple[NodeRecord, list[ServiceCall]]]:
    """Returns the remote nodes to use, each with the calls to delegate to it.

    Args:
        ctx: Shared components of the node.
        calls: Calls whose replies are expected in time, each with its best upstream.
        route: Route of the request.
        time_until_due: Time until the caller's answer is due, in seconds.
    """
    aggregators = ctx.aggregators
    if aggregators is None:
        return []
    now = ctx.clock.now()
    order = list(calls)
    domains_of: dict[int, list[FailureDomainName]] = {}
    for position, call in enumerate(order):
        if not aggregators.is_remote(calls[call].record.failure_domain):
            continue
        if aggregators.may_delegate(call.service):
            domains_of[position] = _nearest_failure_domains(
                ctx, aggregators, call, route, time_until_due, now
            )
    groups: list[tuple[NodeRecord, list[ServiceCall]]] = []
    for domain, positions in cover_failure_domains(domains_of).items():
        node = aggregators.next_node(domain) if len(positions) >= MIN_DELEGATED_SHARDS else None
        if (
            node is None
            or time_until_due - ctx.model.round_trip(node.failure_domain) - MERGE_OVERHEAD_S
            < MIN_DUE_S
        ):
            continue
        groups.append((node, [order[position] for position in positions]))
    return groups


def _nearest_failure_domains(
    ctx: ForwardContext,
    aggregators: Aggregators,
    call: ServiceCall,
    route: Route,
    time_until_due: float,
    now: float,
) -> list[FailureDomainName]:
    """Returns the closest remote failure domains with an upstream expected to reply in time."""
    round_trips: dict[FailureDomainName, float] = {}
    for upstream in ctx.directory.candidates(call.service):
        domain = upstream.record.failure_domain
        if not aggregators.is_remote(domain):
            continue
        if ctx.directory.expected_time(upstream, route, now) < time_until_due:
            round_trips[domain] = ctx.model.round_trip(domain)
    nearest = min(round_trips.values(), default=0.0)
    return [
        domain
        for domain, round_trip in round_trips.items()
        if round_trip <= nearest + EQUAL_ROUND_TRIP_S
    ]


def _best_upstreams(
    ctx: ForwardContext,
    call: ServiceCall,
    route: Route,
    failure_domain: FailureDomainName,
    now: float,
) -> tuple[UpstreamName, ...]:
    """Returns the upstreams of a shard that a node may call: its local ones first, then by time."""

    def rank(upstream: Upstream) -> tuple[bool, float]:
        remote = upstream.record.failure_domain != failure_domain
        return remote, ctx.directory.expected_time(upstream, route, now)

    best = sorted(ctx.directory.candidates(call.service), key=rank)
    return tuple(upstream.record.name for upstream in best[: route.max_upstreams])
