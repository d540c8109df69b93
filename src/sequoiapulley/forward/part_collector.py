"""Calls shards on behalf of another node and merges the parts that arrive in time."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.forward.aggregators import PartsReply, PartsRequest
from sequoiapulley.forward.call_result import CallEnd, CallResult
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.log_events import PARTS_LACKING
from sequoiapulley.forward.messages import CallerRequest
from sequoiapulley.forward.record_merge import merge_greatest, shorten_part
from sequoiapulley.forward.route_table import GatherPlan, Route
from sequoiapulley.forward.service_call import ServiceCall
from sequoiapulley.forward.shard_progress import ShardProgress
from sequoiapulley.ids import ServiceName, UpstreamName


class PartCollector:
    """Serves one request of another node for the parts of some shards."""

    def __init__(
        self, ctx: ForwardContext, request: PartsRequest, on_done: Callable[[PartsReply], None]
    ) -> None:
        """Initialise a collector that has sent nothing.

        Args:
            ctx: Shared components of the node.
            request: The other node's request.
            on_done: Called once with the reply.
        """
        self._ctx = ctx
        self._request = request
        self._on_done: Callable[[PartsReply], None] | None = on_done
        self._bodies: list[bytes] = []
        self._seals: dict[int, bytes] = {}
        self._failures: dict[ServiceName, str] = {}
        now = ctx.clock.now()
        req = _caller_request(request, now)
        route = _route(request)
        deadline = now + request.time_left
        self._progress = ShardProgress(decides=False)
        self._calls: list[ServiceCall] = []
        for task in request.tasks:
            call = ServiceCall(
                ctx, req, route, task.service, deadline, self._on_call, self._progress
            )
            call.allow(frozenset(task.upstreams))
            self._calls.append(call)
        self._started_at = now
        self._timer = ctx.timers.call_at(now + request.due_in, self._finish)

    def start(self) -> None:
        """Calls every shard."""
        for call in self._calls:
            call.start()

    def stop(self) -> None:
        """Cancels the request, as the other node has disconnected."""
        self._on_done = None
        self._timer.cancel()
        for call in self._calls:
            if not call.done:
                call.stop()
        self._progress.close()

    def _on_call(self, call: ServiceCall, result: CallResult) -> None:
        """Handles the result of one shard's call."""
        if self._on_done is None:
            return
        reply = result.reply
        if result.end is CallEnd.REPLY and reply is not None and reply.reply is not None:
            self._seals[self._calls.index(call)] = reply.seal or b""
            self._bodies.append(shorten_part(reply.reply.body, self._request.top_k))
            self._progress.record_reply()
        else:
            self._failures[call.service] = result.reason.value if result.reason else "failed"
        if all(call.done for call in self._calls):
            self._finish()

    def _finish(self) -> None:
        """Replies with the parts that have arrived."""
        on_done = self._on_done
        if on_done is None:
            return
        if len(self._seals) < len(self._calls):
            reasons = {
                call.service: call.describe_pending() for call in self._calls if not call.done
            }
            reasons.update(self._failures)
            self._ctx.log.log(
                PARTS_LACKING, id=self._request.id, parts=len(self._seals), lacking=reasons
            )
        self.stop()
        body = merge_greatest(self._bodies, self._request.top_k)
        elapsed = self._ctx.clock.now() - self._started_at
        crashed = {
            number: self._progress.crashed[task.service]
            for number, task in enumerate(self._request.tasks)
            if task.service in self._progress.crashed
        }
        on_done(PartsReply(self._seals, body, elapsed, self._leaving(), self._request.id, crashed))

    def _leaving(self) -> tuple[UpstreamName, ...]:
        """Returns the requested upstreams that have announced their shutdown."""
        leaving: list[UpstreamName] = []
        for task in self._request.tasks:
            for name in task.upstreams:
                upstream = self._ctx.directory.find(name)
                if upstream is not None and upstream.leaving_since is not None:
                    leaving.append(name)
        return tuple(leaving)


def _caller_request(request: PartsRequest, now: float) -> CallerRequest:
    """Returns the caller's request that the other node forwarded."""
    return CallerRequest(
        id=request.id,
        method=request.method,
        target=request.target,
        host=request.host,
        headers=request.headers,
        body=request.body,
        time_left=request.time_left,
        arrived=now,
    )


def _route(request: PartsRequest) -> Route:
    """Returns a route with the fields that the calls use."""
    shards = tuple(task.service for task in request.tasks)
    return Route(
        name=request.route,
        host=request.host,
        prefix="/",
        idempotent=True,
        timeout=request.time_left,
        goal=request.goal,
        priority=0,
        max_upstreams=request.max_upstreams,
        gather=GatherPlan(shards, request.top_k, 0.0),
    )
