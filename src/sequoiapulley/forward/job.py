"""One request of a caller in progress."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from sequoiapulley.forward.gather import Gather
from sequoiapulley.forward.handover import Handover
from sequoiapulley.forward.messages import Answer, CallerRequest
from sequoiapulley.forward.refusal import Reason, error_answer
from sequoiapulley.forward.relay import Relay
from sequoiapulley.forward.route_table import Route
from sequoiapulley.runtime import TimerHandle


class JobOwner(Protocol):
    """Records how jobs end."""

    def record_answer(self, job: Job, answer: Answer, reason: Reason | None) -> None:
        """Records that the caller is being answered."""

    def record_disconnect(self, job: Job) -> None:
        """Records that the caller has disconnected."""


class Job:
    """One request of a caller in progress."""

    __slots__ = (
        "_handler",
        "_on_answer",
        "_owner",
        "_timer",
        "deadline",
        "may_hand_over",
        "req",
        "route",
    )

    def __init__(
        self,
        owner: JobOwner,
        req: CallerRequest,
        on_answer: Callable[[Answer], None],
        may_hand_over: bool,
    ) -> None:
        """Initialise a job that has not been started.

        Args:
            owner: Records how the job ends.
            req: The request.
            on_answer: Called once with the answer.
            may_hand_over: Whether another node may serve the request.
        """
        self._owner = owner
        self.deadline = 0.0
        """Clock reading at which the request ends, once its route is selected."""
        self.req = req
        self.route: Route | None = None
        """Route of the request, once it is selected."""
        self._on_answer: Callable[[Answer], None] | None = on_answer
        self._handler: Gather | Relay | Handover | None = None
        self.may_hand_over = may_hand_over
        self._timer: TimerHandle | None = None

    @property
    def done(self) -> bool:
        """Whether the request was answered or cancelled."""
        return self._on_answer is None

    def set_timer(self, timer: TimerHandle) -> None:
        """Sets the timer that ends the request."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = timer

    def begin(self, handler: Gather | Relay | Handover) -> None:
        """Starts to process the request.

        Args:
            handler: Calls the upstreams.
        """
        self._handler = handler
        handler.start()

    @property
    def handed_over(self) -> bool:
        """Whether another node serves the request."""
        return isinstance(self._handler, Handover)

    def stop_calls(self) -> bool:
        """Cancels the calls; returns whether an upstream may have run the request."""
        return self._handler.stop() if self._handler is not None else False

    def disconnect(self) -> None:
        """Cancels the request, as its caller has disconnected."""
        if self._on_answer is None:
            return
        self._on_answer = None
        self._stop()
        self._owner.record_disconnect(self)

    def time_out(self) -> None:
        """Answers with a timeout error."""
        self.give_up(Reason.TIMEOUT)

    def give_up(self, reason: Reason) -> None:
        """Cancels the calls and answers with an error."""
        may_have_run = self._stop()
        self.finish(error_answer(reason, may_have_run), reason)

    def finish(self, answer: Answer, reason: Reason | None) -> None:
        """Answers the caller, once.

        Args:
            answer: The answer.
            reason: Why the node generated the answer itself; None for an upstream's answer.
        """
        on_answer, self._on_answer = self._on_answer, None
        if self._timer is not None:
            self._timer.cancel()
        if on_answer is None:
            return
        self._owner.record_answer(self, answer, reason)
        on_answer(answer)

    def _stop(self) -> bool:
        """Cancels the calls and the timer; returns whether an upstream may have run the request."""
        if self._timer is not None:
            self._timer.cancel()
        return self.stop_calls()
