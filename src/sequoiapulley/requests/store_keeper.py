"""Keeps the claims of callers' own keys in the platform's store."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.ids import Incarnation, NodeId, Revision
from sequoiapulley.observe import LogSink
from sequoiapulley.platform.store import Store
from sequoiapulley.requests.claim_acquirer import ClaimAcquirer, ClaimHeld, ClaimResult
from sequoiapulley.requests.claim_expiry import ClaimExpiry
from sequoiapulley.requests.claim_record import ClaimRecord
from sequoiapulley.requests.claim_settler import ClaimSettler
from sequoiapulley.requests.messages import KeyedRequest
from sequoiapulley.requests.retention_lease import RetentionLease
from sequoiapulley.runtime import Clock


class StoreKeeper:
    """Implements `KeyKeeper` by compare-and-swap; any node can read what became of a key."""

    def __init__(
        self, store: Store, node: NodeId, incarnation: Incarnation, clock: Clock, log: LogSink
    ) -> None:
        """Initialise without claims.

        Args:
            store: The platform's store.
            node: This node.
            incarnation: Its incarnation.
            clock: Source of time.
            log: Where events go.
        """
        self._store = store
        lease = RetentionLease(store, clock)
        self._settler = ClaimSettler(store, clock.now, lease.current, log)
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

    def settle(
        self,
        key: str,
        record: ClaimRecord,
        revision: Revision | None,
        done: Callable[[], None] | None = None,
    ) -> None:
        """Writes an outcome until it is known to be there."""
        self._settler.settle(key, record, revision, done)

    def resolve(self, key: str, held: ClaimHeld, done: Callable[[ClaimRecord], None]) -> None:
        """Closes the claim if its holder had its time to report."""
        self._expiry.resolve(key, held, done)

    def tick(self) -> None:
        """Repeats the writes that are due."""
        self._settler.tick()

    def next_due(self) -> float | None:
        """Returns the clock reading of the next write, or None."""
        return self._settler.next_due()

    def pending(self) -> int:
        """Returns the number of outcomes not yet known to be in the store."""
        return self._settler.pending()
