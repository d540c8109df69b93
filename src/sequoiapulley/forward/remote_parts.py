"""The shards of one request that a node of another place is asked for."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from result import Err

from sequoiapulley.forward.aggregators import (
    Aggregators,
    PartsBounds,
    PartsRequest,
    PartsResult,
    ShardTask,
    cover_places,
)
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.messages import CallerRequest
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.service_call import ServiceCall
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import PlaceName, UpstreamName

LEAST_SHARDS: Final = 2
"""Shards below which a node of another place saves nothing."""
MERGE_S: Final = 0.004
"""Time for the work of both nodes beside the way and the upstreams."""
SAME_WAY_S: Final = 0.005
"""Difference of round trips within which places are equally far: between two places of a region it
is a millisecond, between regions ten and more."""
CONFIRM_S: Final = 0.01
"""Time beyond the way for the kernel of a node to confirm a request. It does so at once; a packet
that is lost is sent again after two hundred milliseconds only."""
LEAST_DUE_S: Final = 0.02
"""Least time that a node gets to ask its shards."""

OnParts = Callable[[list[ServiceCall], list[bytes], bytes], None]
"""Receives the calls whose parts came, the seals of these and the merged body."""
OnLacking = Callable[[list[ServiceCall], bool], None]
"""Receives the calls without a part, and whether the node may have asked their shards."""


class RemoteParts:
    """One request to one node for the parts of some shards."""

    def __init__(
        self,
        ctx: ForwardContext,
        aggregators: Aggregators,
        node: NodeRecord,
        calls: list[ServiceCall],
        on_parts: OnParts,
        on_lacking: OnLacking,
    ) -> None:
        """Initialise a request that is not sent.

        Args:
            ctx: Collaborators.
            aggregators: Ask the node.
            node: Whom to ask.
            calls: Calls that it makes; none has started.
            on_parts: Receives the parts.
            on_lacking: Receives the calls without one.
        """
        self._ctx = ctx
        self._aggregators = aggregators
        self._node = node
        self._calls = calls
        self._on_parts = on_parts
        self._on_lacking = on_lacking
        self._sent_at = 0.0

    def send(self, req: CallerRequest, route: Route, due: float, deadline: float) -> None:
        """Sends the request.

        Args:
            req: The caller's request.
            route: Its route, a gather.
            due: Clock reading at which the caller's answer is due.
            deadline: Clock reading after which the caller no longer waits.
        """
        assert route.gather is not None
        now = self._ctx.clock.now()
        tasks: list[ShardTask] = []
        for call in self._calls:
            names = _best_upstreams(self._ctx, call, route, self._node.place, now)
            call.delegate_to(self._node.name, frozenset(names))
            tasks.append(ShardTask(call.service, names))
        way = self._ctx.model.way(self._node.place)
        request = PartsRequest(
            id=req.id,
            method=req.method,
            target=req.target,
            host=req.host,
            headers=req.headers,
            body=req.body,
            time_left=deadline - now,
            due_in=due - now - way - MERGE_S,
            route=route.name,
            goal=route.goal,
            max_upstreams=route.max_upstreams,
            top_k=route.gather.top_k,
            tasks=tuple(tasks),
        )
        self._sent_at = now
        known = self._ctx.model.knows_way(self._node.place)
        bounds = PartsBounds(due - now + way, way + CONFIRM_S if known else None)
        self._aggregators.ask(self._node, request, bounds, self._on_result)

    def _on_result(self, result: PartsResult) -> None:
        """Passes on what came."""
        if isinstance(result, Err):
            self._ctx.tally.delegated["failed"] += 1
            self._on_lacking(self._calls, result.err_value.sent)
            return
        reply = result.ok_value
        now = self._ctx.clock.now()
        self._ctx.model.record_way(self._node.place, now - self._sent_at - reply.spent, now)
        served = [call for number, call in enumerate(self._calls) if number in reply.seals]
        seals = [reply.seals[number] for number in range(len(self._calls)) if number in reply.seals]
        lacking = [call for call in self._calls if call not in served]
        self._ctx.tally.delegated["partial" if lacking else "whole"] += 1
        if served:
            self._on_parts(served, seals, reply.body)
        if lacking:
            self._on_lacking(lacking, True)


def far_groups(
    ctx: ForwardContext,
    calls: dict[ServiceCall, Upstream],
    route: Route,
    time_left: float,
) -> list[tuple[NodeRecord, list[ServiceCall]]]:
    """Returns the nodes of other places to ask, each with the calls that it makes.

    Args:
        ctx: Collaborators.
        calls: Calls that are expected in time, each with its best upstream.
        route: Route of the request.
        time_left: Time until the caller's answer is due, in seconds.
    """
    aggregators = ctx.aggregators
    if aggregators is None:
        return []
    now = ctx.clock.now()
    order = list(calls)
    places_of: dict[int, list[PlaceName]] = {}
    for position, call in enumerate(order):
        if not aggregators.is_far(calls[call].record.place):
            continue
        if aggregators.may_ask_for(call.service):
            places_of[position] = _good_places(ctx, aggregators, call, route, time_left, now)
    groups: list[tuple[NodeRecord, list[ServiceCall]]] = []
    for place, positions in cover_places(places_of).items():
        node = aggregators.node_in(place) if len(positions) >= LEAST_SHARDS else None
        if node is None or time_left - ctx.model.way(node.place) - MERGE_S < LEAST_DUE_S:
            continue
        groups.append((node, [order[position] for position in positions]))
    return groups


def _good_places(
    ctx: ForwardContext,
    aggregators: Aggregators,
    call: ServiceCall,
    route: Route,
    time_left: float,
    now: float,
) -> list[PlaceName]:
    """Returns the nearest other places with an upstream of a shard that replies in time."""
    ways: dict[PlaceName, float] = {}
    for upstream in ctx.directory.candidates(call.service):
        place = upstream.record.place
        if not aggregators.is_far(place):
            continue
        if ctx.directory.expected_time(upstream, route, now) < time_left:
            ways[place] = ctx.model.way(place)
    nearest = min(ways.values(), default=0.0)
    return [place for place, way in ways.items() if way <= nearest + SAME_WAY_S]


def _best_upstreams(
    ctx: ForwardContext, call: ServiceCall, route: Route, place: PlaceName, now: float
) -> tuple[UpstreamName, ...]:
    """Returns the upstreams of a shard that a node may ask: the near and quick ones first."""

    def rank(upstream: Upstream) -> tuple[bool, float]:
        far = upstream.record.place != place
        return far, ctx.directory.expected_time(upstream, route, now)

    best = sorted(ctx.directory.candidates(call.service), key=rank)
    return tuple(upstream.record.name for upstream in best[: route.max_upstreams])
