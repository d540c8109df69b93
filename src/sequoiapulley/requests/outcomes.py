"""Outcomes of non-idempotent requests, as callers get them."""

from __future__ import annotations

from sequoiapulley.requests.claim_record import ClaimRecord, ClaimState
from sequoiapulley.requests.messages import KeyedRequest, RefusalReason, RequestOutcome, RunState
from sequoiapulley.requests.refusals import retry_after_ms

REPEATABLE = frozenset(
    {RefusalReason.IN_PROGRESS, RefusalReason.DEADLINE, RefusalReason.STORE_UNAVAILABLE}
)
"""Reasons for an unknown outcome that a repeat of the key may find out later."""


def refused(
    request: KeyedRequest, reason: RefusalReason, key_checked: bool = True
) -> RequestOutcome:
    """Makes the outcome of an attempt that did not run.

    Args:
        request: The request.
        reason: Why it did not run.
        key_checked: Whether the store confirmed that no earlier attempt ran either.

    Returns:
        The outcome, with the time to come back if that makes sense.
    """
    return RequestOutcome(
        request_id=request.request_id,
        state=RunState.NOT_RUN,
        reason=reason,
        retry_after_ms=retry_after_ms(reason),
        key_checked=key_checked,
    )


def unknown(request: KeyedRequest, reason: RefusalReason | None) -> RequestOutcome:
    """Makes the outcome of a request that may have run.

    Args:
        request: The request.
        reason: What is in the way of a better answer.

    Returns:
        The outcome, with the time to come back if a repeat may learn more.
    """
    return RequestOutcome(
        request_id=request.request_id,
        state=RunState.UNKNOWN,
        reason=reason,
        retry_after_ms=retry_after_ms(reason) if reason in REPEATABLE else None,
    )


def done(request: KeyedRequest, body: str) -> RequestOutcome:
    """Makes the outcome of a request that ran."""
    return RequestOutcome(request_id=request.request_id, state=RunState.DONE, body=body)


def of_earlier(request: KeyedRequest, asked: ClaimRecord, held: ClaimRecord) -> RequestOutcome:
    """Makes the outcome of a request whose key an earlier attempt holds or has used.

    Args:
        request: The repeat.
        asked: The claim that the repeat would have made.
        held: The claim of the earlier attempt.

    Returns:
        The first outcome for the same caller and body, a refusal for another body. The same body
        from another caller may be the same request, so it is neither told the outcome nor that
        nothing ran.
    """
    if held.digest != asked.digest:
        return refused(request, RefusalReason.KEY_REUSED)
    if held.caller != asked.caller:
        return unknown(request, RefusalReason.KEY_REUSED)
    if held.state is ClaimState.CLAIMED:
        # The earlier attempt may be running, so this is not a "not run".
        reason = RefusalReason.IN_PROGRESS
        return RequestOutcome(
            request_id=request.request_id,
            state=RunState.UNKNOWN,
            reason=reason,
            repeated=True,
            retry_after_ms=retry_after_ms(reason),
        )
    is_done = held.state is ClaimState.DONE
    return RequestOutcome(
        request_id=request.request_id,
        state=RunState.DONE if is_done else RunState.UNKNOWN,
        reason=held.reason,
        body=held.body,
        repeated=True,
    )
