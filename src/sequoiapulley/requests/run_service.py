"""Request state machine of a home node: runs each order once and reports once."""

from __future__ import annotations

from itertools import count
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import NodeId
from sequoiapulley.observe import LogSink
from sequoiapulley.requests.actions import RunServiceAction, SendRunReport, SubmitRun
from sequoiapulley.requests.log_events import RUN_ORDER_REPEATED
from sequoiapulley.requests.messages import RefusalReason, RunOrder, RunReport, RunState
from sequoiapulley.requests.replay_window import ReplayWindow
from sequoiapulley.upstream.messages import SubRun

MAX_RUNS: Final = 4096
MIN_RUN_S: Final = 0.002
"""Minimum time left to submit a run order to the upstream dispatcher."""


class _Run(Struct, frozen=True):
    """A run order in flight at the dispatcher."""

    sender: NodeId
    run_id: int


class RunService:
    """Runs the orders that entry nodes send to this node.

    The service performs no I/O: its methods return the actions to carry out.
    """

    def __init__(self, log: LogSink) -> None:
        """Initialise without run orders.

        Args:
            log: Receives the log events.
        """
        self._log = log
        self._ids = count(1)
        self._window = ReplayWindow()
        self._runs: dict[int, _Run] = {}

    def on_run_order(self, sender: NodeId, order: RunOrder, now: float) -> list[RunServiceAction]:
        """Submits a run order that was not received before.

        A duplicate is dropped without a report, as the first one is reported.

        Args:
            sender: The entry node that sent the order.
            order: The run order.
            now: Clock reading in seconds.

        Returns:
            The submission, or a report that the order is not run.
        """
        if not self._window.admit(sender, order.incarnation, order.run_id):
            self._log.log(RUN_ORDER_REPEATED, sender=sender, run_id=order.run_id)
            return []
        if order.time_left < MIN_RUN_S:
            return [_refuse(sender, order, RefusalReason.DEADLINE)]
        if len(self._runs) >= MAX_RUNS:
            return [_refuse(sender, order, RefusalReason.OVERLOAD)]
        sub_id = next(self._ids)
        self._runs[sub_id] = _Run(sender, order.run_id)
        run = SubRun(
            sub_id=sub_id,
            run_id=order.run_id,
            service=order.service,
            instance=order.instance,
            caller=order.caller,
            body=order.body,
            key=order.key,
            fingerprint=order.fingerprint,
            deadline=now + order.time_left,
        )
        return [SubmitRun(run)]

    def on_run_finished(self, sub_id: int, report: RunReport, now: float) -> list[RunServiceAction]:
        """Forwards the dispatcher's report to the entry node.

        Args:
            sub_id: Id of the submission; an unknown or finished one is ignored.
            report: Result of the submission.
            now: Clock reading in seconds.

        Returns:
            The report to the entry node.
        """
        run = self._runs.pop(sub_id, None)
        if run is None:
            return []
        message = RunReport(run.run_id, report.state, report.reason, report.body)
        return [SendRunReport(run.sender, message)]

    def in_flight(self) -> int:
        """Returns the number of run orders without a report."""
        return len(self._runs)


def _refuse(sender: NodeId, order: RunOrder, reason: RefusalReason) -> RunServiceAction:
    return SendRunReport(sender, RunReport(order.run_id, RunState.NOT_RUN, reason))
