"""Actions that the request state machine of a home node returns."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import NodeId
from sequoiapulley.requests.messages import RunReport
from sequoiapulley.upstream.messages import SubRun


class RunServiceAction(Struct, frozen=True, tag=True):
    """An action returned by `RunService`."""


class SubmitRun(RunServiceAction, frozen=True):
    """Submit a request to the dispatcher once."""

    run: SubRun


class SendRunReport(RunServiceAction, frozen=True):
    """Send the result of a run order to the entry node."""

    node: NodeId
    message: RunReport
