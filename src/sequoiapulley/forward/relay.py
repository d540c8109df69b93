"""Passes a request on to one service and its answer back."""

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
    """One request to one service."""

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
            ctx: Collaborators.
            req: The request.
            route: Its route.
            service: The service that serves it.
            deadline: Clock reading after which the caller no longer waits.
            on_done: Receives the answer, and the reason if it is the node's own, once.
        """
        self._ctx = ctx
        self._on_done: Callable[[Answer, Reason | None], None] | None = on_done
        self._call = ServiceCall(ctx, req, route, service, deadline, self._on_call)

    def start(self) -> None:
        """Sends the request."""
        self._call.start()

    def stop(self) -> bool:
        """Gives the request up; returns whether an upstream may have run it."""
        may_have_run = self._call.may_have_run
        self._on_done = None
        if not self._call.done:
            self._call.stop()
        return may_have_run

    def _on_call(self, call: ServiceCall, result: CallResult) -> None:
        """Passes the reply on, or answers why there is none."""
        on_done, self._on_done = self._on_done, None
        if on_done is None:
            return
        if result.reply is not None:
            on_done(self._ctx.contract.forwarded_answer(result.reply), None)
            return
        reason = result.reason or Reason.FAILED
        on_done(error_answer(reason, result.end is CallEnd.FAILED or call.may_have_run), reason)
