"""One attempt of this node to run a non-idempotent request."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.ids import InstanceName, NodeId, Revision
from sequoiapulley.requests.claim_record import ClaimRecord
from sequoiapulley.requests.key_keeper import KeyKeeper
from sequoiapulley.requests.messages import KeyedRequest, RunOrder


class AttemptState(Enum):
    """How far an attempt has come."""

    CLAIMING = "claiming"
    """The claim is being written; nothing may run."""
    RESOLVING = "resolving"
    """An earlier attempt holds the key; what became of it is being settled."""
    ABANDONED = "abandoned"
    """The caller was told that nothing ran; a claim that comes through is released."""
    RUNNING = "running"
    """The order went to a home."""
    RECORDING = "recording"
    """The request ran; its outcome is being written."""
    LATE = "late"
    """The caller was told that the outcome is unknown; a report may still come."""
    CLOSED = "closed"
    """Nothing more happens."""


class Attempt(Struct):
    """One attempt, from the claim to the outcome."""

    request: KeyedRequest
    run_id: int
    key: str
    """Store key of the claim."""
    record: ClaimRecord
    started_wall: float
    """Epoch seconds."""
    keeper: KeyKeeper
    """Where the claim is kept."""
    state: AttemptState = AttemptState.CLAIMING
    revision: Revision | None = None
    """Revision of the claim once it is won."""
    home: NodeId | None = None
    """Node that received the run order."""
    answer: str = ""
    """The upstream's answer once the request is known to have run."""
    closes_at: float = 0.0
    """Clock reading after which a late report is not waited for any more."""
    answered: bool = False
    """Whether the caller has its outcome."""

    def run_order(self, instance: InstanceName, time_left: float) -> RunOrder:
        """Makes the order that a home runs once.

        Args:
            instance: The instance whose upstreams run it.
            time_left: Seconds until the deadline, less the way to the home.

        Returns:
            The order.
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
