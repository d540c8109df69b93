"""Hands a caller's request over to another node, as this one is cut off from the upstreams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from msgspec import Struct
from result import Err, Result

from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.log_events import HANDOVER_FAILED
from sequoiapulley.forward.messages import NOT_RUN_STATUSES, Answer, CallerRequest
from sequoiapulley.forward.refusal import Reason, error_answer
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import NodeId

MAX_NODES: Final = 3
"""Maximum number of nodes that one request is handed over to."""


class HandoverFailure(Struct, frozen=True):
    """A node that did not answer a request."""

    sent: bool
    """Whether the request may have reached the node."""
    detail: str


HandoverResult = Result[Answer, HandoverFailure]
Cancel = Callable[[], None]


class HandoverClient(Protocol):
    """Sends callers' requests to nodes that are in contact with the upstreams."""

    @property
    def available(self) -> bool:
        """Whether any node is in contact."""

    def next_node(self, excluded: list[NodeId]) -> NodeRecord | None:
        """Returns the node to use next, in rotation, or None if none is in contact."""

    def hand_over(
        self,
        node: NodeRecord,
        req: CallerRequest,
        time_left: float,
        done: Callable[[HandoverResult], None],
    ) -> Cancel:
        """Sends a request.

        Args:
            node: The other node.
            req: The caller's request.
            time_left: Time until the caller's deadline, in seconds.
            done: Called once with the answer, asynchronously.

        Returns:
            Cancels the request at the other node, too; `done` is not called then.
        """


class Handover:
    """One request that other nodes serve; the next one is used if a node fails."""

    def __init__(
        self,
        ctx: ForwardContext,
        client: HandoverClient,
        req: CallerRequest,
        idempotent: bool,
        deadline: float,
        on_done: Callable[[Answer, Reason | None], None],
        may_have_run: bool = False,
    ) -> None:
        """Initialise a handover that has sent nothing.

        Args:
            ctx: Shared components of the node.
            client: Sends the request.
            req: The request.
            idempotent: Whether the request may run more than once.
            deadline: Clock reading at which the caller's deadline passes.
            on_done: Called once with the answer, and with a reason if this node generated it.
            may_have_run: Whether this node has sent the request to an upstream before.
        """
        self._ctx = ctx
        self._client = client
        self._req = req
        self._idempotent = idempotent
        self._deadline = deadline
        self._on_done: Callable[[Answer, Reason | None], None] | None = on_done
        self._used: list[NodeId] = []
        self._cancel: Cancel | None = None
        self._may_have_run = may_have_run

    def start(self) -> None:
        """Sends the request to the first node."""
        self._send()

    def stop(self) -> bool:
        """Cancels the request; returns whether an upstream may have run it."""
        self._on_done = None
        may_have_run = self._may_have_run or self._cancel is not None
        if self._cancel is not None:
            self._cancel()
            self._cancel = None
        return may_have_run

    def _send(self) -> None:
        """Sends the request to the next node, or gives up."""
        node = self._client.next_node(self._used) if len(self._used) < MAX_NODES else None
        if node is None:
            # Later, so that `start` never answers.
            self._ctx.timers.call_later(0.0, self._fail)
            return
        self._used.append(node.name)
        time_left = self._deadline - self._ctx.clock.now()
        self._cancel = self._client.hand_over(
            node, self._req, time_left, lambda result: self._on_result(node, result)
        )

    def _on_result(self, node: NodeRecord, result: HandoverResult) -> None:
        """Forwards the answer, or uses the next node."""
        self._cancel = None
        if self._on_done is None:
            return
        if isinstance(result, Err):
            failure = result.err_value
            self._may_have_run = self._may_have_run or failure.sent
            self._ctx.tally.handovers["failed"] += 1
            self._ctx.log.log(
                HANDOVER_FAILED, id=self._req.id, peer=node.name, error=failure.detail
            )
            if failure.sent and not self._idempotent:
                self._fail()
                return
            self._send()
            return
        self._ctx.tally.handovers["answered"] += 1
        answer = result.ok_value
        # The node that answers knows only its own tries: the status that this node passes on must
        # also be true for an earlier node, or this one, that may have run the request. Nodes of
        # earlier builds forward any status of an upstream that ran it.
        self._may_have_run = self._may_have_run or self._ctx.contract.forwards_reply(answer)
        if answer.status in NOT_RUN_STATUSES and self._may_have_run:
            detail = f"status {answer.status} for a request that may have run"
            self._ctx.log.log(HANDOVER_FAILED, id=self._req.id, peer=node.name, error=detail)
            self._fail()
            return
        self._finish(answer, None)

    def _fail(self) -> None:
        """Answers with an error of this node."""
        self._finish(error_answer(Reason.CUT_OFF, self._may_have_run), Reason.CUT_OFF)

    def _finish(self, answer: Answer, reason: Reason | None) -> None:
        """Reports the answer."""
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(answer, reason)
