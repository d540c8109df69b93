"""One request to one upstream, and what carries it."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from sequoiapulley.forward.messages import (
    CallerRequest,
    ExchangeCallback,
    ExchangeReply,
    UpstreamRecord,
)


class ExchangeState(Enum):
    """Life of an exchange."""

    WAITING = "waiting"
    SENT = "sent"
    ENDED = "ended"


class Exchange:
    """One request to one upstream."""

    __slots__ = (
        "conn",
        "deadline",
        "done",
        "may_reuse_idle",
        "pool",
        "req",
        "sent_at",
        "state",
    )

    def __init__(
        self, req: CallerRequest, deadline: float, may_reuse_idle: bool, done: ExchangeCallback
    ) -> None:
        """Initialise an exchange that is not sent.

        Args:
            req: The caller's request.
            deadline: Clock reading after which the upstream may stop.
            may_reuse_idle: Whether a connection that was idle for longer may be used.
            done: Receives the end.
        """
        self.req = req
        self.deadline = deadline
        self.may_reuse_idle = may_reuse_idle
        self.done: ExchangeCallback | None = done
        self.state = ExchangeState.WAITING
        self.conn: object = None
        """The connection that carries it; the pool's own."""
        self.pool: Pool | None = None
        self.sent_at = 0.0

    def finish(self, reply: ExchangeReply) -> None:
        """Reports the end, once."""
        self.state = ExchangeState.ENDED
        done, self.done = self.done, None
        if done is not None:
            done(reply)


class Pool(Protocol):
    """The connections to one upstream."""

    record: UpstreamRecord
    most_connections: int
    """This node's share of the connections that the upstream accepts."""
    opened: int
    """Connections opened since the start."""

    @property
    def has_room(self) -> bool:
        """Whether a request would be sent without waiting for another to end."""

    @property
    def busy(self) -> int:
        """Requests on connections, and requests that wait for one."""

    def submit(self, exchange: Exchange) -> None:
        """Sends a request now or as soon as a connection is free; never calls back at once."""

    def cancel(self, exchange: Exchange) -> None:
        """Gives an exchange up at once; it is not reported any more."""

    def abandon(self, exchange: Exchange) -> None:
        """Gives an exchange up that may still end by itself, and is then reported."""

    def close_idle(self) -> None:
        """Closes idle connections, for an upstream that left."""

    def sweep(self, now: float) -> None:
        """Closes connections idle for too long and connects that take too long."""
