"""Actions that the request state machine of a home node returns."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import NodeId
from sequoiapulley.requests.messages import RunReport
from sequoiapulley.upstream.messages import SubRun


class RunServiceOrder(Struct, frozen=True, tag=True):
    """An action returned by `RunService`."""


class SubmitRun(RunServiceOrder, frozen=True):
    """Submit a request to the dispatcher once."""

    run: SubRun


class SendRunReport(RunServiceOrder, frozen=True):
    """Send the result of a run order to the entry node."""

    node: NodeId
    message: RunReport
