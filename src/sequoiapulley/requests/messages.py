"""Messages of the path of non-idempotent requests."""

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
    """What is known about a non-idempotent request."""

    DONE = "done"
    """It ran once and the upstream answered."""
    NOT_RUN = "not_run"
    """It is proved not to have run, and this attempt never will."""
    UNKNOWN = "unknown"
    """It may have run; no node will run it again under the same key."""


class RefusalReason(Enum):
    """Why a request did not run."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_REPLICA = "no_replica"
    QUARANTINED = "quarantined"
    KEY_REUSED = "key_reused"
    """The same key came before with another body."""
    IN_PROGRESS = "in_progress"
    """Another node or an earlier attempt holds the key and has not finished."""
    SHUTTING_DOWN = "shutting_down"
    HOME_UNREACHABLE = "home_unreachable"
    REFUSED_BY_UPSTREAM = "refused_by_upstream"
    TICKET_ELSEWHERE = "ticket_elsewhere"
    """Only the process that gave the ticket out knows of it, and this is another one."""


class KeyedRequest(Struct, frozen=True):
    """One non-idempotent request as the entry accepted it."""

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
    """Asks a home to run a claimed request once."""

    run_id: int
    """Unique within the sending node's incarnation."""
    caller: CallerId
    service: ServiceName
    instance: InstanceName
    body: str
    fingerprint: Fingerprint
    key: IdempotencyKey
    time_left: float
    """Seconds until the deadline, measured when the message was sent."""
    incarnation: Incarnation = Incarnation(0)
    """Incarnation of the sending node; a home refuses orders of an earlier one."""


class RunReport(Struct, frozen=True, tag="run_report"):
    """What became of a run order."""

    run_id: int
    state: RunState
    reason: RefusalReason | None = None
    body: str = ""
    """The upstream's answer, JSON text, when `state` is done."""


class RequestOutcome(Struct, frozen=True):
    """The final word to the caller."""

    request_id: RequestId
    state: RunState
    reason: RefusalReason | None = None
    body: str = ""
    repeated: bool = False
    """Whether this is the stored outcome of an earlier request with the same key."""
    retry_after_ms: int | None = None
    """When a caller may ask again with the same key, if that makes sense."""
    key_checked: bool = True
    """Whether the key was looked up; if not, `not_run` speaks of this attempt alone, and an
    earlier one with the same key may have run."""
