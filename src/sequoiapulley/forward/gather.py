"""Merges the answer to a request from one reply of each shard."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, isfinite
from typing import Final

from sequoiapulley.forward.call_result import CallEnd, CallResult
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.late_shards import expected_late
from sequoiapulley.forward.log_events import ANSWER_PARTIAL, SHARDS_LIMITED
from sequoiapulley.forward.messages import Answer, CallerRequest
from sequoiapulley.forward.record_merge import merge_greatest, shorten_part
from sequoiapulley.forward.refusal import Reason, error_answer
from sequoiapulley.forward.remote_parts import RemoteParts, remote_groups
from sequoiapulley.forward.route_table import GatherPlan, Route
from sequoiapulley.forward.service_call import ServiceCall
from sequoiapulley.forward.shard_progress import ShardProgress
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import ServiceName

ROUNDING_TOLERANCE: Final = 1e-9
"""Subtracted before rounding up the minimum number of parts, as decimal shares are inexact."""
MIN_LIMITED_CALL_SHARE: Final = 0.5
"""Minimum time that a limited call gets, as a share of the route's goal. With less time until the
answer is due, as after an earlier attempt of the caller, the request is treated as late, and no
call is limited."""


class Gather:
    """One request that is sent to all shards of its route."""

    def __init__(
        self,
        ctx: ForwardContext,
        req: CallerRequest,
        route: Route,
        plan: GatherPlan,
        due: float,
        deadline: float,
        on_done: Callable[[Answer, Reason | None], None],
    ) -> None:
        """Initialise a gather that has sent nothing.

        Args:
            ctx: Shared components of the node.
            req: The request.
            route: Route of the request.
            plan: The shards of the route, from one configuration version.
            due: Clock reading at which an answer is due even if parts are missing.
            deadline: Clock reading at which the caller's deadline passes.
            on_done: Called once with the answer, and with a reason if the node generated it.
        """
        self._ctx = ctx
        self._req = req
        self._route = route
        self._deadline = deadline
        self._plan = plan
        self._due = due
        self._on_done: Callable[[Answer, Reason | None], None] | None = on_done
        self._min_parts = max(1, ceil(plan.least_share * len(plan.shards) - ROUNDING_TOLERANCE))
        self._seals: list[bytes] = []
        self._bodies: list[bytes] = []
        self._missing: dict[ServiceName, str] = {}
        self._optional_calls: list[ServiceCall] = []
        """Calls without a reply that the answer does not wait for. These are limited calls, which
        end when the answer is due, and stopped calls whose parts a remote node did not return. They
        are resumed if their parts become required."""
        self._may_have_run = False
        self._last_reason = Reason.FAILED
        self._progress = ShardProgress()
        self._calls = [
            ServiceCall(ctx, req, route, shard, deadline, self._on_call, self._progress)
            for shard in plan.shards
        ]
        self._timer = ctx.timers.call_at(due, self._on_due)

    def start(self) -> None:
        """Calls every shard, or refuses the request if too few of them have an upstream."""
        pause = self._pause_left()
        if pause > 0.0:
            self._ctx.timers.call_later(0.0, lambda: self._refuse(pause))
            return
        now = self._ctx.clock.now()
        choices = [
            self._ctx.directory.choose_timed(call.service, self._route, [], now)
            for call in self._calls
        ]
        late = self._late_shards([expected for _, expected in choices], self._due - now)
        self._optional_calls = [call for number, call in enumerate(self._calls) if number in late]
        if self._optional_calls:
            self._log_limited([choices[number][1] for number in sorted(late)], now)
        first = {call: choice[0] for call, choice in zip(self._calls, choices, strict=True)}
        delegated = self._delegate(first, now)
        for call in self._start_order():
            upstream = first[call]
            if call not in delegated:
                call.start_at(upstream, self._due if call in self._optional_calls else None)

    def _start_order(self) -> list[ServiceCall]:
        """Returns the calls in the order in which they start.

        A request that may crash upstreams is first sent where most upstreams are left.
        """
        if not self._ctx.crash_guard.is_suspected(self._req):
            return self._calls
        directory = self._ctx.directory
        return sorted(self._calls, key=lambda call: -len(directory.candidates(call.service)))

    def _pause_left(self) -> float:
        """Returns the time until enough shards have an upstream that accepts requests.

        Returns:
            0 if they have now; infinite if too few of the others are paused.
        """
        directory = self._ctx.directory
        pauses = sorted(directory.pause_left(shard) for shard in self._plan.shards)
        return pauses[self._min_parts - 1] if self._min_parts <= len(pauses) else float("inf")

    def _delegate(self, first: dict[ServiceCall, Upstream | None], now: float) -> set[ServiceCall]:
        """Delegates calls to nodes in the failure domains of the upstreams; returns these calls.

        A request that may crash upstreams is not delegated: only this node sends it, one at a time.
        """
        if self._ctx.crash_guard.is_suspected(self._req):
            return set()
        in_time = {
            call: upstream
            for call, upstream in first.items()
            if upstream is not None and call not in self._optional_calls
        }
        delegated: set[ServiceCall] = set()
        for node, calls in remote_groups(self._ctx, in_time, self._route, self._due - now):
            assert self._ctx.aggregators is not None
            parts = RemoteParts(
                self._ctx,
                self._ctx.aggregators,
                node,
                calls,
                self._on_parts,
                self._on_missing_parts,
            )
            parts.send(self._req, self._route, self._due, self._deadline)
            delegated.update(calls)
        return delegated

    def _late_shards(self, expected: list[float], time_until_due: float) -> frozenset[int]:
        """Returns the positions of the shards whose calls are limited to the time until due."""
        if time_until_due < MIN_LIMITED_CALL_SHARE * self._route.goal:
            return frozenset()
        return expected_late(expected, time_until_due, len(self._calls) - self._min_parts)

    def stop(self) -> bool:
        """Cancels the request; returns whether an upstream may have run it."""
        may_have_run = self._may_have_run or any(call.may_have_run for call in self._calls)
        self._on_done = None
        self._timer.cancel()
        for call in self._calls:
            if not call.done:
                call.stop()
        self._progress.close()
        return may_have_run

    def _on_call(self, call: ServiceCall, result: CallResult) -> None:
        """Handles the result of one shard's call."""
        self._may_have_run = self._may_have_run or call.may_have_run
        if self._on_done is None:
            return
        reply = result.reply
        if result.end is CallEnd.REPLY and reply is not None and reply.reply is not None:
            if call in self._optional_calls:
                self._optional_calls.remove(call)
            self._add_parts([call], [reply.seal or b""], reply.reply.body)
        elif call not in self._optional_calls:
            self._last_reason = result.reason or Reason.FAILED
            self._missing[call.service] = self._last_reason.value
        self._answer_if_ready()

    def _on_parts(self, calls: list[ServiceCall], seals: list[bytes], body: bytes) -> None:
        """Handles the merged parts from a remote node."""
        if self._on_done is None:
            return
        for call in calls:
            call.stop()
        self._add_parts(calls, seals, body)
        self._answer_if_ready()

    def _on_missing_parts(self, calls: list[ServiceCall], was_sent: bool) -> None:
        """Calls shards directly whose parts a remote node did not return, if time allows."""
        if self._on_done is None:
            return
        now = self._ctx.clock.now()
        for call in calls:
            upstream, expected = self._ctx.directory.choose_timed(
                call.service, self._route, [], now
            )
            if not was_sent:
                call.cancel_delegation()
                call.start_at(upstream, None)
            elif now + expected < self._due:
                call.resume(self._on_call)
            else:
                call.stop()
                self._optional_calls.append(call)
        self._answer_if_ready()

    def _add_parts(self, calls: list[ServiceCall], seals: list[bytes], body: bytes) -> None:
        """Adds parts that arrived together, unless one of their seals is already present."""
        if len({*self._seals, *seals}) < len(self._seals) + len(seals):
            self._missing.update((call.service, "repeated_seal") for call in calls)
            return
        self._seals.extend(seals)
        self._bodies.append(shorten_part(body, self._plan.top_k))
        self._progress.record_reply()

    def _answer_if_ready(self) -> None:
        """Answers once all calls have ended, or when due if enough parts have arrived."""
        shards = len(self._plan.shards)
        if shards - len(self._missing) < self._min_parts:
            self._fail()
            return
        ended = all(call.done for call in self._calls)
        overdue = self._ctx.clock.now() >= self._due
        if len(self._seals) >= self._min_parts and (ended or overdue):
            self._answer()
            return
        required = sum(not call.done and call not in self._optional_calls for call in self._calls)
        if len(self._seals) + required < self._min_parts:
            self._resume_optional_calls()

    def _on_due(self) -> None:
        """Answers with the parts that have arrived, if there are enough."""
        if self._on_done is not None:
            self._answer_if_ready()

    def _resume_optional_calls(self) -> None:
        """Resumes the optional calls without a limit, as their parts are now required."""
        optional_calls, self._optional_calls = self._optional_calls, []
        for call in optional_calls:
            call.resume(self._on_call)

    def _answer(self) -> None:
        """Sends the merged answer."""
        missing = len(self._plan.shards) - len(self._seals)
        if missing:
            self._ctx.tally.parts_lacking += missing
            self._log_missing()
        body = merge_greatest(self._bodies, self._plan.top_k)
        self._finish(self._ctx.contract.merged_answer(self._seals, missing, body), None)

    def _fail(self) -> None:
        """Answers with an error at once, as too many shards have failed."""
        may_have_run = self._may_have_run or any(call.may_have_run for call in self._calls)
        self._log_missing()
        pause = self._pause_left()
        retry_after = pause if isfinite(pause) else 0.0
        answer = error_answer(self._last_reason, may_have_run, retry_after)
        self._finish(answer, self._last_reason)

    def _refuse(self, pause: float) -> None:
        """Answers a request with an error before anything was sent to an upstream.

        Args:
            pause: Time until enough upstreams accept requests, in seconds; infinite if unknown.
        """
        reason = Reason.PAUSED if isfinite(pause) else Reason.NO_UPSTREAM
        retry_after = pause if isfinite(pause) else 0.0
        self._finish(error_answer(reason, may_have_run=False, retry_after=retry_after), reason)

    def _log_missing(self) -> None:
        """Logs the shards whose parts are missing from the answer."""
        reasons = {call.service: call.describe_pending() for call in self._calls if not call.done}
        reasons.update(
            {call.service: _missing_reason(call) for call in self._optional_calls if call.done}
        )
        reasons.update(self._missing)
        self._ctx.log.log(ANSWER_PARTIAL, id=self._req.id, parts=len(self._seals), lacking=reasons)

    def _log_limited(self, expected: list[float], now: float) -> None:
        """Logs the shards whose calls are limited."""
        expected_ms = {
            call.service: round(time * 1000) if isfinite(time) else "no upstream"
            for call, time in zip(self._optional_calls, expected, strict=True)
        }
        time_left_ms = round((self._due - now) * 1000)
        self._ctx.log.log(
            SHARDS_LIMITED, id=self._req.id, expected_ms=expected_ms, time_left_ms=time_left_ms
        )

    def _finish(self, answer: Answer, reason: Reason | None) -> None:
        """Reports the answer and cancels the calls in flight."""
        on_done = self._on_done
        self.stop()
        if on_done is not None:
            on_done(answer, reason)


def _missing_reason(call: ServiceCall) -> str:
    """Returns why the part of a shard is missing, for the log."""
    return "expected_late" if call.delegate is None else f"lacking at node {call.delegate}"
