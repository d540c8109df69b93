"""The home's decisions for non-idempotent requests: run an order once, report once."""

from __future__ import annotations

from itertools import count
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import NodeId
from sequoiapulley.observe import LogSink
from sequoiapulley.requests.log_events import RUN_ORDER_REPEATED
from sequoiapulley.requests.messages import RefusalReason, RunOrder, RunReport, RunState
from sequoiapulley.requests.orders import RunServiceOrder, SendRunReport, SubmitRun
from sequoiapulley.requests.run_window import RunWindow
from sequoiapulley.upstream.messages import SubRun

MAX_RUNS: Final = 4096
MIN_RUN_S: Final = 0.002


class _Run(Struct, frozen=True):
    """One order in flight at the dispatcher."""

    sender: NodeId
    run_id: int


class RunService:
    """Runs the orders that entries send to this node."""

    def __init__(self, log: LogSink) -> None:
        """Initialise without orders.

        Args:
            log: Where events go.
        """
        self._log = log
        self._ids = count(1)
        self._window = RunWindow()
        self._runs: dict[int, _Run] = {}

    def on_run_order(self, sender: NodeId, order: RunOrder, now: float) -> list[RunServiceOrder]:
        """Submits an order that was not seen before.

        A repeated order is dropped without a report: the first one is reported on.

        Args:
            sender: The entry.
            order: Its run order.
            now: Clock reading in seconds.

        Returns:
            The submission, or a report that the order does not run.
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

    def on_run_finished(self, sub_id: int, report: RunReport, now: float) -> list[RunServiceOrder]:
        """Passes the dispatcher's report on.

        Args:
            sub_id: The submission; an unknown or finished one is ignored.
            report: What became of it.
            now: Clock reading in seconds.

        Returns:
            The report to the entry.
        """
        run = self._runs.pop(sub_id, None)
        if run is None:
            return []
        message = RunReport(run.run_id, report.state, report.reason, report.body)
        return [SendRunReport(run.sender, message)]

    def in_flight(self) -> int:
        """Returns the number of orders without a report."""
        return len(self._runs)


def _refuse(sender: NodeId, order: RunOrder, reason: RefusalReason) -> RunServiceOrder:
    return SendRunReport(sender, RunReport(order.run_id, RunState.NOT_RUN, reason))
