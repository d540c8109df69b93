"""What keeps the claims of idempotency keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from sequoiapulley.ids import Revision
from sequoiapulley.requests.claim_acquirer import ClaimHeld, ClaimResult
from sequoiapulley.requests.claim_record import ClaimRecord
from sequoiapulley.requests.messages import KeyedRequest


class KeyKeeper(Protocol):
    """Claims keys before requests run and keeps what became of them."""

    def acquire(
        self,
        request: KeyedRequest,
        key: str,
        record: ClaimRecord,
        done: Callable[[ClaimResult], None],
    ) -> None:
        """Claims the key of a request.

        Args:
            request: The request.
            key: Store key of the claim.
            record: The claim.
            done: Called once with the result.
        """

    def settle(
        self,
        key: str,
        record: ClaimRecord,
        revision: Revision | None,
        done: Callable[[], None] | None = None,
    ) -> None:
        """Keeps an outcome, or releases the claim.

        Args:
            key: Store key of the claim.
            record: The outcome, with the claim id of the attempt.
            revision: Revision of the claim, or None when its write got no reply.
            done: Called once when the first try has ended in any way.
        """

    def resolve(self, key: str, held: ClaimHeld, done: Callable[[ClaimRecord], None]) -> None:
        """Finds what a repeat is told about the claim that it met.

        Args:
            key: Store key of the claim.
            held: The claim.
            done: Called once with the claim as it stands.
        """
