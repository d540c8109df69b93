"""Messages of non-idempotent requests between callers, entry nodes and home nodes."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.ids import (
    CallerId,
    Fingerprint,
    IdempotencyKey,
    Incarnation,
    InstanceName,
    RequestId,
    ServiceName,
)


class RunState(Enum):
    """Outcome of a non-idempotent request."""

    DONE = "done"
    """The request ran once and the upstream answered."""
    NOT_RUN = "not_run"
    """The request provably did not run, and this attempt will never run it."""
    UNKNOWN = "unknown"
    """The request may have run; no node will run it again under the same key."""


class RefusalReason(Enum):
    """Why a request did not run, or why its outcome is unknown."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_REPLICA = "no_replica"
    QUARANTINED = "quarantined"
    KEY_REUSED = "key_reused"
    """The key was used before with another body or by another caller."""
    IN_PROGRESS = "in_progress"
    """An earlier attempt, at this or another node, holds the key and has not finished."""
    SHUTTING_DOWN = "shutting_down"
    HOME_UNREACHABLE = "home_unreachable"
    REFUSED_BY_UPSTREAM = "refused_by_upstream"
    TICKET_ELSEWHERE = "ticket_elsewhere"
    """The key is a ticket that this process did not issue or has already evicted."""


class KeyedRequest(Struct, frozen=True):
    """One non-idempotent request as the entry node accepted it."""

    request_id: RequestId
    caller: CallerId
    service: ServiceName
    key: IdempotencyKey
    body: str
    """Canonical JSON text for the upstream."""
    fingerprint: Fingerprint
    """Hash of service and body."""
    deadline: float
    """Clock reading in seconds."""


class RunOrder(Struct, frozen=True, tag="run_order"):
    """Asks a home node to run a claimed request once."""

    run_id: int
    """Unique within the sending node's incarnation."""
    caller: CallerId
    service: ServiceName
    instance: InstanceName
    body: str
    fingerprint: Fingerprint
    key: IdempotencyKey
    time_left: float
    """Seconds until the deadline when the message was sent."""
    incarnation: Incarnation = Incarnation(0)
    """Incarnation of the sending node; a home drops orders of an earlier one."""


class RunReport(Struct, frozen=True, tag="run_report"):
    """Result of a run order."""

    run_id: int
    state: RunState
    reason: RefusalReason | None = None
    body: str = ""
    """The upstream's answer as JSON text if `state` is done."""


class RequestOutcome(Struct, frozen=True):
    """The answer to the caller; each request has exactly one."""

    request_id: RequestId
    state: RunState
    reason: RefusalReason | None = None
    body: str = ""
    repeated: bool = False
    """Whether this is the outcome of an earlier request with the same key.

    If the earlier request may still be running, it is `unknown` with the reason `in_progress`.
    """
    retry_after_ms: int | None = None
    """Milliseconds after which to retry with the same key; None if a retry is of no use."""
    key_checked: bool = True
    """Whether the key was looked up.

    If not, `not_run` refers to this attempt only; an earlier one with the same key may have run.
    """
