"""Store lease that limits how long outcomes are retained."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import LeaseId
from sequoiapulley.platform.store import LeaseReply, Store
from sequoiapulley.runtime import Clock

RETENTION_S: Final = 86_400.0
ROTATION_S: Final = 21_600.0
GRANT_RETRY_S: Final = 60.0


class RetentionLease:
    """Lease shared by all outcomes of one rotation period.

    Sharing the lease avoids one lease grant per request. A claim whose request may still run is
    never written under a lease.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        """Initialise without a lease.

        Args:
            store: The platform's store.
            clock: Source of time.
        """
        self._store = store
        self._clock = clock
        self._lease: LeaseId | None = None
        self._granted_at = 0.0
        self._next_grant_at = clock.now()

    def current(self) -> LeaseId | None:
        """Returns a lease with at least `RETENTION_S` left, or None if none was granted in time.

        Requests a new lease when one is due. A value written without a lease is never deleted from
        the store, which is safe.
        """
        now = self._clock.now()
        if now >= self._next_grant_at:
            self._next_grant_at = now + GRANT_RETRY_S
            self._store.grant_lease(RETENTION_S + ROTATION_S, self._on_granted)
        if self._lease is None or now - self._granted_at > ROTATION_S:
            return None
        return self._lease

    def _on_granted(self, reply: LeaseReply) -> None:
        if reply.is_err():
            return
        now = self._clock.now()
        self._lease = reply.unwrap()
        self._granted_at = now
        self._next_grant_at = now + ROTATION_S - GRANT_RETRY_S
