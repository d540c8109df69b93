"""Runs non-idempotent requests: executes the actions of the entry and of the home.

The entry is the node that the caller sent the request to; the home is the node that runs it on an
upstream. One node may be both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from circuits import BaseComponent, handler

from sequoiapulley.daemon.message_router import MessageRouter
from sequoiapulley.daemon.upstream_task import UpstreamTask
from sequoiapulley.ids import IdempotencyKey, Incarnation, NodeId, RequestId
from sequoiapulley.link.messages import LinkMessage
from sequoiapulley.model import Configuration
from sequoiapulley.requests.actions import RunServiceAction, SendRunReport, SubmitRun
from sequoiapulley.requests.coordinator import RequestCoordinator
from sequoiapulley.requests.messages import (
    KeyedRequest,
    RefusalReason,
    RequestOutcome,
    RunOrder,
    RunReport,
    RunState,
)
from sequoiapulley.requests.run_service import RunService
from sequoiapulley.runtime import Clock, TimerQueue, WakeUpTimer
from sequoiapulley.upstream.messages import FinishRun


class RequestTask(BaseComponent):
    """Owns the requests that this node answers and the run orders that it executes as a home."""

    channel = "node"

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        message_router: MessageRouter,
        upstreams: UpstreamTask,
        make_coordinator: Callable[[Callable[[RequestOutcome], None]], RequestCoordinator],
        runs: RunService,
    ) -> None:
        """Initialise without requests.

        Args:
            clock: Clock of the process.
            timers: Timers of the process.
            message_router: Sends messages to nodes.
            upstreams: Sends runs to upstreams.
            make_coordinator: Creates the entry's coordinator; receives the callback for outcomes.
            runs: The home's state machine.
        """
        super().__init__()
        self._clock = clock
        self._message_router = message_router
        self._upstreams = upstreams
        self._runs = runs
        self._callbacks: dict[RequestId, Callable[[RequestOutcome], None]] = {}
        self._coordinator = make_coordinator(self._finish)
        self._wake_up = WakeUpTimer(timers, self._coordinator.next_due, self._tick)
        upstreams.on_run_finished = self._on_run_finished

    def start(self, request: KeyedRequest, done: Callable[[RequestOutcome], None]) -> None:
        """Starts a request.

        Args:
            request: The request.
            done: Called once with the outcome.
        """
        self._callbacks[request.request_id] = done
        self._coordinator.start(request)
        self._wake_up.rearm()

    def issue_ticket(self) -> IdempotencyKey:
        """Returns a new idempotency key that only this node accepts."""
        return self._coordinator.issue_ticket()

    def begin_shutdown(self) -> None:
        """Refuses new requests from now on."""
        self._coordinator.begin_shutdown()

    def in_flight(self) -> int:
        """Returns the number of requests and run orders in flight."""
        return self._coordinator.in_flight() + self._runs.in_flight()

    def unrecorded_outcomes(self) -> int:
        """Returns the number of outcomes that are not yet recorded in the store."""
        return self._coordinator.unrecorded_outcomes()

    @handler("ConfigurationApplied")
    def _on_configuration_applied(self, configuration: Configuration) -> None:
        """Applies a configuration."""
        self._coordinator.configure(configuration)

    @handler("MessageArrived")
    def _on_message_arrived(self, node: NodeId, _: Incarnation, message: LinkMessage) -> None:
        """Handles run orders and run reports."""
        if isinstance(message, RunOrder):
            self._execute(self._runs.on_run_order(node, message, self._clock.now()))
        elif isinstance(message, RunReport):
            self._coordinator.on_report(node, message)
            self._wake_up.rearm()

    @handler("MessageUnsent")
    def _on_message_unsent(self, node: NodeId, message: LinkMessage) -> None:
        """Tells the coordinator that an order did not run, as it was never sent."""
        if isinstance(message, RunOrder):
            report = RunReport(message.run_id, RunState.NOT_RUN, RefusalReason.HOME_UNREACHABLE)
            self._coordinator.on_report(node, report)
            self._wake_up.rearm()

    @handler("NodeLost")
    def _on_node_lost(self, node: NodeId) -> None:
        """Records the outcome of the requests at a lost node as unknown."""
        self._coordinator.on_node_lost(node)
        self._wake_up.rearm()

    def _on_run_finished(self, action: FinishRun) -> None:
        """Handles the outcome of a run."""
        now = self._clock.now()
        self._execute(self._runs.on_run_finished(action.sub_id, action.report, now))

    def _finish(self, outcome: RequestOutcome) -> None:
        """Delivers the outcome to the caller."""
        done = self._callbacks.pop(outcome.request_id, None)
        if done is not None:
            done(outcome)

    def _tick(self) -> None:
        """Runs the coordinator's steps that are due."""
        self._coordinator.tick()

    def _execute(self, actions: Iterable[RunServiceAction]) -> None:
        """Executes the home's actions."""
        for action in actions:
            if isinstance(action, SubmitRun):
                self._upstreams.submit_run(action.run)
            elif isinstance(action, SendRunReport):
                self._message_router.send(action.node, action.message)
