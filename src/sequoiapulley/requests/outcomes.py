"""Builds the outcomes of non-idempotent requests that callers receive."""

from __future__ import annotations

from sequoiapulley.requests.claim_record import ClaimRecord, ClaimState
from sequoiapulley.requests.messages import KeyedRequest, RefusalReason, RequestOutcome, RunState
from sequoiapulley.requests.retry_after import retry_after_ms

RETRYABLE_REASONS = frozenset(
    {RefusalReason.IN_PROGRESS, RefusalReason.DEADLINE, RefusalReason.STORE_UNAVAILABLE}
)
"""Reasons for an unknown outcome that a later retry with the same key may resolve."""


def refused_outcome(
    request: KeyedRequest, reason: RefusalReason, key_checked: bool = True
) -> RequestOutcome:
    """Builds the outcome of an attempt that did not run.

    Args:
        request: The request that did not run.
        reason: Why it did not run.
        key_checked: Whether the key was looked up; see `RequestOutcome.key_checked`.

    Returns:
        The outcome, with a retry delay if a retry may succeed.
    """
    return RequestOutcome(
        request_id=request.request_id,
        state=RunState.NOT_RUN,
        reason=reason,
        retry_after_ms=retry_after_ms(reason),
        key_checked=key_checked,
    )


def unknown_outcome(request: KeyedRequest, reason: RefusalReason | None) -> RequestOutcome:
    """Builds the outcome of a request that may have run.

    Args:
        request: The request that may have run.
        reason: Why the outcome is unknown.

    Returns:
        The outcome, with a retry delay if a retry may resolve it.
    """
    return RequestOutcome(
        request_id=request.request_id,
        state=RunState.UNKNOWN,
        reason=reason,
        retry_after_ms=retry_after_ms(reason) if reason in RETRYABLE_REASONS else None,
    )


def done_outcome(request: KeyedRequest, body: str) -> RequestOutcome:
    """Builds the outcome of a request that ran."""
    return RequestOutcome(request_id=request.request_id, state=RunState.DONE, body=body)


def earlier_outcome(
    request: KeyedRequest, new_claim: ClaimRecord, existing: ClaimRecord
) -> RequestOutcome:
    """Builds the outcome of a request whose key an earlier attempt holds or has used.

    Args:
        request: The retry.
        new_claim: The claim that the retry would have written.
        existing: The claim of the earlier attempt.

    Returns:
        The first outcome for the same caller and body, or `in_progress` if it is not known yet; a
        refusal for another body. The same body from another caller may be the same request, so that
        caller gets an unknown outcome: neither the first outcome nor "not run".
    """
    if existing.digest != new_claim.digest:
        return refused_outcome(request, RefusalReason.KEY_REUSED)
    if existing.caller != new_claim.caller:
        return unknown_outcome(request, RefusalReason.KEY_REUSED)
    if existing.state is ClaimState.CLAIMED:
        # The earlier attempt may be running, so the outcome must not be "not run".
        reason = RefusalReason.IN_PROGRESS
        return RequestOutcome(
            request_id=request.request_id,
            state=RunState.UNKNOWN,
            reason=reason,
            repeated=True,
            retry_after_ms=retry_after_ms(reason),
        )
    is_done = existing.state is ClaimState.DONE
    return RequestOutcome(
        request_id=request.request_id,
        state=RunState.DONE if is_done else RunState.UNKNOWN,
        reason=existing.reason,
        body=existing.body,
        repeated=True,
    )
