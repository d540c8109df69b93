"""Stores the claims of keys that callers chose in the platform's store."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.ids import Incarnation, NodeId, Revision
from sequoiapulley.observe import LogSink
from sequoiapulley.platform.store import Store
from sequoiapulley.requests.claim_acquirer import ClaimAcquirer, ClaimHeld, ClaimResult
from sequoiapulley.requests.claim_expiry import ClaimExpiry
from sequoiapulley.requests.claim_record import ClaimRecord
from sequoiapulley.requests.messages import KeyedRequest
from sequoiapulley.requests.outcome_writer import OutcomeWriter
from sequoiapulley.requests.retention_lease import RetentionLease
from sequoiapulley.runtime import Clock


class StoreClaimRegistry:
    """Implements `ClaimRegistry` by compare-and-swap in the store, which all nodes can read."""

    def __init__(
        self, store: Store, node: NodeId, incarnation: Incarnation, clock: Clock, log: LogSink
    ) -> None:
        """Initialise without claims.

        Args:
            store: The platform's store.
            node: Id of this node.
            incarnation: Incarnation of this node.
            clock: Source of time.
            log: Receives the log events.
        """
        self._store = store
        lease = RetentionLease(store, clock)
        self._writer = OutcomeWriter(store, clock.now, lease.current, log)
        self._expiry = ClaimExpiry(store, node, incarnation, clock.wall, lease.current, log)

    def acquire(
        self,
        request: KeyedRequest,
        key: str,
        record: ClaimRecord,
        done: Callable[[ClaimResult], None],
    ) -> None:
        """Claims the key of a request."""
        ClaimAcquirer(self._store, key, record, done).start()

    def record_outcome(
        self,
        key: str,
        record: ClaimRecord,
        revision: Revision | None,
        done: Callable[[], None] | None = None,
    ) -> None:
        """Writes an outcome and retries until the store confirms it."""
        self._writer.record_outcome(key, record, revision, done)

    def resolve(self, key: str, held: ClaimHeld, done: Callable[[ClaimRecord], None]) -> None:
        """Returns the current claim through `done`; closes it first if it has expired."""
        self._expiry.resolve(key, held, done)

    def tick(self) -> None:
        """Retries the writes that are due."""
        self._writer.tick()

    def next_due(self) -> float | None:
        """Returns the clock reading of the next retry, or None."""
        return self._writer.next_due()

    def pending(self) -> int:
        """Returns the number of outcomes that the store has not confirmed."""
        return self._writer.pending()
