"""Result of a call to one service."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.forward.messages import ExchangeReply
from sequoiapulley.forward.refusal import Reason


class CallEnd(Enum):
    """How a call to one service ended."""

    REPLY = "reply"
    """An upstream sent a final reply."""
    FAILED = "failed"
    """No successful reply; an upstream may have run the request."""
    NOT_RUN = "not_run"
    """No upstream ran the request or will run it."""


class HedgeOutcome(Enum):
    """Action taken when a try became overdue."""

    HEDGED = "hedged"
    NO_UPSTREAM = "no_upstream"
    """No other upstream may receive the request, the next one has overdue requests and no free
    connection, or the maximum number of sends is reached."""
    QUOTA = "quota"
    LIMITED = "limited"
    NO_REPLY_YET = "no_reply_yet"
    """No other shard has replied to the request; it is hedged once one has."""
    SUSPECTED = "suspected"
    """The request may have crashed an upstream."""
    NOT_IDEMPOTENT = "not_idempotent"


class CallResult(Struct, frozen=True):
    """Result of a call to one service."""

    end: CallEnd
    reply: ExchangeReply | None = None
    reason: Reason | None = None
    retry_after: float = 0.0
    """Time until the end of the upstreams' pauses, in seconds; 0 if that is not why it failed."""
