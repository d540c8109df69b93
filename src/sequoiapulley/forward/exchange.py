"""Exchanges (one request and its reply) and the interface of connection pools."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from sequoiapulley.forward.messages import (
    CallerRequest,
    ExchangeCallback,
    ExchangeReply,
    UpstreamRecord,
)


class ExchangeState(Enum):
    """State of an exchange."""

    WAITING = "waiting"
    SENT = "sent"
    ENDED = "ended"


class Exchange:
    """One request to one upstream, and its reply."""

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
        """Initialise an exchange that has not been sent.

        Args:
            req: The caller's request.
            deadline: Clock reading at which the deadline of the upstream passes.
            may_reuse_idle: Whether any idle connection may be used; otherwise only one that has not
                been idle for long, as `NON_IDEMPOTENT_IDLE_S` states.
            done: Called with the outcome.
        """
        self.req = req
        self.deadline = deadline
        self.may_reuse_idle = may_reuse_idle
        self.done: ExchangeCallback | None = done
        self.state = ExchangeState.WAITING
        self.conn: object = None
        """The connection in use; its type is private to the pool."""
        self.pool: Pool | None = None
        self.sent_at = 0.0

    def finish(self, reply: ExchangeReply) -> None:
        """Reports the outcome, once."""
        self.state = ExchangeState.ENDED
        done, self.done = self.done, None
        if done is not None:
            done(reply)


class Pool(Protocol):
    """Connection pool of one upstream."""

    record: UpstreamRecord
    connection_limit: int
    """Maximum number of connections of this node, its share of what the upstream accepts."""
    opened: int
    """Number of connections opened since the start."""

    @property
    def has_room(self) -> bool:
        """Whether a request could be sent without waiting for another one to end."""

    @property
    def busy(self) -> int:
        """Number of requests in flight or waiting for a connection."""

    def submit(self, exchange: Exchange) -> None:
        """Sends a request as soon as a connection is free; never calls back synchronously."""

    def cancel(self, exchange: Exchange) -> None:
        """Cancels an exchange at once; its outcome is not reported."""

    def abandon(self, exchange: Exchange) -> None:
        """Abandons an exchange; its outcome is reported only if it ends shortly afterwards."""

    def check_alive(self, done: Callable[[bool], None]) -> None:
        """Opens a connection; `done` is called later with whether the upstream accepted it."""

    def refuse_waiting(self) -> None:
        """Ends the requests that wait for a connection as not sent, for a paused upstream."""

    def close_idle(self) -> None:
        """Closes idle connections, for an upstream that drains or was removed."""

    def sweep(self, now: float) -> None:
        """Closes connections that were idle, or still connecting, for too long."""
