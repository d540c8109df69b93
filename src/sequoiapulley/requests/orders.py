"""Orders that the home's decisions for non-idempotent requests give to their surroundings."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import NodeId
from sequoiapulley.requests.messages import RunReport
from sequoiapulley.upstream.messages import SubRun


class RunServiceOrder(Struct, frozen=True, tag=True):
    """An order of the home's request decisions."""


class SubmitRun(RunServiceOrder, frozen=True):
    """Submit a request to the dispatcher, once."""

    run: SubRun


class SendRunReport(RunServiceOrder, frozen=True):
    """Tell an entry what became of its run order."""

    node: NodeId
    message: RunReport
