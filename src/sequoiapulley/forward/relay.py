"""Forwards a request to one service and returns its answer."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.forward.call_result import CallEnd, CallResult
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.messages import Answer, CallerRequest
from sequoiapulley.forward.refusal import Reason, error_answer
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.service_call import ServiceCall
from sequoiapulley.ids import ServiceName


class Relay:
    """One request that is forwarded to one service."""

    def __init__(
        self,
        ctx: ForwardContext,
        req: CallerRequest,
        route: Route,
        service: ServiceName,
        deadline: float,
        on_done: Callable[[Answer, Reason | None], None],
    ) -> None:
        """Initialise a relay.

        Args:
            ctx: Shared components of the node.
            req: The request.
            route: Route of the request.
            service: The service to call.
            deadline: Clock reading at which the caller's deadline passes.
            on_done: Called once with the answer, and with a reason if the node generated it.
        """
        self._ctx = ctx
        self._on_done: Callable[[Answer, Reason | None], None] | None = on_done
        self._call = ServiceCall(ctx, req, route, service, deadline, self._on_call)

    def start(self) -> None:
        """Sends the request."""
        self._call.start()

    def stop(self) -> bool:
        """Cancels the request; returns whether an upstream may have run it."""
        may_have_run = self._call.may_have_run
        self._on_done = None
        if not self._call.done:
            self._call.stop()
        return may_have_run

    def _on_call(self, call: ServiceCall, result: CallResult) -> None:
        """Forwards the reply, or answers with an error if there is none."""
        on_done, self._on_done = self._on_done, None
        if on_done is None:
            return
        if result.reply is not None:
            on_done(self._ctx.contract.forwarded_answer(result.reply), None)
            return
        reason = result.reason or Reason.FAILED
        may_have_run = result.end is CallEnd.FAILED or call.may_have_run
        on_done(error_answer(reason, may_have_run, result.retry_after), reason)
