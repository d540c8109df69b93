"""The lease under which finished outcomes are kept in the store."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import LeaseId
from sequoiapulley.platform.store import LeaseReply, Store
from sequoiapulley.runtime import Clock

RETENTION_S: Final = 86_400.0
ROTATION_S: Final = 21_600.0
GRANT_RETRY_S: Final = 60.0


class RetentionLease:
    """One lease for all outcomes of a few hours, so that retention costs no write per request.

    A claim that may still run is never written under a lease.
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
        self._granted = 0.0
        self._next_grant = clock.now()

    def current(self) -> LeaseId | None:
        """Returns a lease with `RETENTION_S` left, or None when none was granted in time.

        A value written without a lease stays in the store for good, which is safe.
        """
        now = self._clock.now()
        if now >= self._next_grant:
            self._next_grant = now + GRANT_RETRY_S
            self._store.grant_lease(RETENTION_S + ROTATION_S, self._on_granted)
        if self._lease is None or now - self._granted > ROTATION_S:
            return None
        return self._lease

    def _on_granted(self, reply: LeaseReply) -> None:
        if reply.is_err():
            return
        now = self._clock.now()
        self._lease = reply.unwrap()
        self._granted = now
        self._next_grant = now + ROTATION_S - GRANT_RETRY_S
