"""One attempt of this node to run a non-idempotent request."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.ids import NodeId, Revision
from sequoiapulley.requests.claim_record import ClaimRecord
from sequoiapulley.requests.messages import KeyedRequest


class AttemptState(Enum):
    """How far an attempt has come."""

    CLAIMING = "claiming"
    """The claim is being written; nothing may run."""
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
