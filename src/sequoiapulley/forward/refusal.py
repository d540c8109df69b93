"""Error answers that the node generates itself, each with its reason."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec.json import encode

from sequoiapulley.forward.messages import Answer

BUSY_RETRY_AFTER_S: Final = 0.05
"""Retry-After for callers refused by busy upstreams: the processing time of a few requests."""
STARTING_RETRY_AFTER_S: Final = 1.0
"""Retry-After for callers that reach a node without the required state: outages of the store last
seconds, and callers wait for a third of their time at most."""


class Reason(Enum):
    """Why the node answers a request with an error of its own."""

    NO_CONFIGURATION = "no_configuration"
    """The node has no configuration yet."""
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    """Too few services of the route have an upstream that accepts requests."""
    PAUSED = "upstreams_paused"
    """Too few services of the route have an upstream that has not asked this node for a pause and
    whose limit on requests allows one."""
    REFUSED = "refused_by_upstreams"
    """The upstreams refused the request before it ran."""
    FAILED = "failed_at_upstreams"
    """The upstreams failed, or their replies were lost."""
    TIMEOUT = "timeout"
    """The route's timeout or the caller's deadline passed."""
    QUOTA = "retry_quota_used_up"
    """A retry was needed, but the retry quota is exhausted."""
    EXPIRED = "deadline_passed_on_arrival"
    CUT_OFF = "cut_off"
    """The node is cut off from the upstreams, and no other node served the request."""
    CRASHES_UPSTREAMS = "quarantined"
    """The request has crashed upstreams."""
    SHUTDOWN_NEAR = "shutdown_near"
    """The request came so late in the node's shutdown that its answer may not come in time."""
    SHUTDOWN = "shutdown"
    """The node ends before the upstreams have answered."""
    RESOURCES = "connection_ended"
    """The request's connection was ended, as all connections together needed too much memory or too
    many descriptors."""


_STATUS: Final = {
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.NO_UPSTREAM: 503,
    Reason.PAUSED: 503,
    Reason.REFUSED: 503,
    Reason.FAILED: 502,
    Reason.TIMEOUT: 504,
    Reason.QUOTA: 503,
    Reason.EXPIRED: 503,
    Reason.CUT_OFF: 503,
    Reason.CRASHES_UPSTREAMS: 503,
    Reason.SHUTDOWN_NEAR: 503,
    Reason.SHUTDOWN: 503,
    Reason.RESOURCES: 503,
}
"""Statuses for requests that have not run; `error_answer` adjusts them for those that may have."""
_RETRY_AFTER: Final = {
    Reason.NO_CONFIGURATION: STARTING_RETRY_AFTER_S,
    Reason.NO_UPSTREAM: STARTING_RETRY_AFTER_S,
    Reason.PAUSED: BUSY_RETRY_AFTER_S,
    Reason.REFUSED: BUSY_RETRY_AFTER_S,
    Reason.QUOTA: BUSY_RETRY_AFTER_S,
    Reason.EXPIRED: BUSY_RETRY_AFTER_S,
    Reason.CUT_OFF: BUSY_RETRY_AFTER_S,
    Reason.CRASHES_UPSTREAMS: BUSY_RETRY_AFTER_S,
    Reason.SHUTDOWN_NEAR: 0.0,
    Reason.SHUTDOWN: 0.0,
    Reason.RESOURCES: STARTING_RETRY_AFTER_S,
}
NOT_EXECUTED_STATUS: Final = 503
BAD_GATEWAY: Final = 502


def error_answer(reason: Reason, may_have_run: bool, retry_after: float = 0.0) -> Answer:
    """Returns the error answer to a request.

    Args:
        reason: Why the request failed.
        may_have_run: Whether an upstream may have run the request; 502 then replaces 503, as 503
            states that the request was not run.
        retry_after: Time after which the request can be served, in seconds; the usual time of the
            reason applies if it is longer.
    """
    status = _STATUS[reason]
    if status == NOT_EXECUTED_STATUS and may_have_run:
        status = BAD_GATEWAY
    headers = [(b"Content-Type", b"application/json")]
    if status == NOT_EXECUTED_STATUS:
        delay = max(_RETRY_AFTER[reason], retry_after)
        headers.append((b"Retry-After", b"%g" % round(delay, 3)))
    return Answer(status, tuple(headers), encode({"error": reason.value}))
