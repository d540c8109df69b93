"""Interface of the registries that store the claims of idempotency keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from sequoiapulley.ids import Revision
from sequoiapulley.requests.claim_acquirer import ClaimHeld, ClaimResult
from sequoiapulley.requests.claim_record import ClaimRecord
from sequoiapulley.requests.messages import KeyedRequest


class ClaimRegistry(Protocol):
    """Claims keys before their requests run and records the outcomes."""

    def acquire(
        self,
        request: KeyedRequest,
        key: str,
        record: ClaimRecord,
        done: Callable[[ClaimResult], None],
    ) -> None:
        """Claims the key of a request.

        Args:
            request: The request to claim.
            key: Store key of the claim.
            record: The claim to store.
            done: Called once with the result.
        """

    def record_outcome(
        self,
        key: str,
        record: ClaimRecord,
        revision: Revision | None,
        done: Callable[[], None] | None = None,
    ) -> None:
        """Records an outcome or releases the claim.

        Args:
            key: Store key of the claim.
            record: The outcome, with the claim id of the attempt.
            revision: Revision of the claim, or None if the claim's write got no reply.
            done: Called once when the first try to record has succeeded or failed.
        """

    def resolve(self, key: str, held: ClaimHeld, done: Callable[[ClaimRecord], None]) -> None:
        """Determines the state of a claim that a retry found.

        Args:
            key: Store key of the claim.
            held: The claim that was found.
            done: Called once with the current claim.
        """
