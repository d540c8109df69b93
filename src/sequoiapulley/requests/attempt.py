"""An attempt of this node to run a non-idempotent request."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.ids import InstanceName, NodeId, Revision
from sequoiapulley.requests.claim_record import ClaimRecord
from sequoiapulley.requests.claim_registry import ClaimRegistry
from sequoiapulley.requests.messages import KeyedRequest, RunOrder


class AttemptState(Enum):
    """Progress of an attempt."""

    CLAIMING = "claiming"
    """The claim is being written; the request must not run yet."""
    RESOLVING = "resolving"
    """An earlier attempt holds the key; its outcome is being determined."""
    ABANDONED = "abandoned"
    """The caller has received `not_run`; if the claim is won, it is released."""
    RUNNING = "running"
    """The run order was sent to a home node."""
    RECORDING = "recording"
    """The request ran; its outcome is being recorded."""
    LATE = "late"
    """The caller has received `unknown`; a late report is still recorded."""
    CLOSED = "closed"
    """The attempt has ended."""


class Attempt(Struct):
    """State of one attempt, from the claim to the outcome."""

    request: KeyedRequest
    run_id: int
    store_key: str
    """Key of the claim in the store, unlike `request.key`, the caller's idempotency key."""
    record: ClaimRecord
    started_wall: float
    """Epoch seconds."""
    registry: ClaimRegistry
    """Registry that stores the claim."""
    state: AttemptState = AttemptState.CLAIMING
    revision: Revision | None = None
    """Revision of the claim, or None until it is won."""
    home: NodeId | None = None
    """Home node that the run order was sent to."""
    answer: str = ""
    """The upstream's answer once the home has reported that the request ran."""
    closes_at: float = 0.0
    """Clock reading until which a late report is accepted."""
    answered: bool = False
    """Whether the caller has received its outcome."""

    def make_run_order(self, instance: InstanceName, time_left: float) -> RunOrder:
        """Builds the order that a home node runs once.

        Args:
            instance: The instance whose upstreams run it.
            time_left: Seconds until the deadline, less the network margin.

        Returns:
            The run order.
        """
        request = self.request
        return RunOrder(
            run_id=self.run_id,
            caller=request.caller,
            service=request.service,
            instance=instance,
            body=request.body,
            fingerprint=request.fingerprint,
            key=request.key,
            time_left=time_left,
            incarnation=self.record.incarnation,
        )
