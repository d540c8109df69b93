"""How the tries of a request at one service ended."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.forward.messages import ExchangeReply
from sequoiapulley.forward.refusal import Reason


class CallEnd(Enum):
    """How the tries at one service ended."""

    REPLY = "reply"
    """An upstream's reply that is passed on."""
    FAILED = "failed"
    """No reply; an upstream may have run the request."""
    NOT_RUN = "not_run"
    """No upstream ran the request or will."""


class HedgeOutcome(Enum):
    """What was done about a reply that is overdue."""

    HEDGED = "hedged"
    NO_UPSTREAM = "no_upstream"
    """No other upstream may get the request or has room for it."""
    QUOTA = "quota"
    LIMITED = "limited"
    NOT_IDEMPOTENT = "not_idempotent"


class CallResult(Struct, frozen=True):
    """Result of the tries at one service."""

    end: CallEnd
    reply: ExchangeReply | None = None
    reason: Reason | None = None
