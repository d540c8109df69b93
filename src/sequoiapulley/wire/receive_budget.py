"""Limit on the memory that incomplete replies occupy at the same time."""

from __future__ import annotations

from typing import Final

SMALL_BODY_BYTES: Final = 65_536
"""Size up to which a body is small: one read from a socket."""
DEFAULT_LARGE_BYTES: Final = 33_554_432
"""Memory for incomplete replies with large bodies."""
DEFAULT_SMALL_BYTES: Final = 8_388_608
"""Memory for incomplete replies with small bodies: 128 of the largest ones."""


class ReceiveBudget:
    """Memory that the incomplete replies of all connections may occupy.

    A server that sends bytes without end, or stops within a reply, fills a connection up to the
    limits on one reply. The budget keeps several such connections from using the memory of the
    process. Large bodies have a part of their own, so that they cannot cause a small one to be
    refused.
    """

    def __init__(
        self, limit: int = DEFAULT_LARGE_BYTES, small_limit: int = DEFAULT_SMALL_BYTES
    ) -> None:
        """Creates an unused budget.

        Args:
            limit: Maximum number of bytes in use by large bodies.
            small_limit: Maximum number of bytes in use by replies with small bodies.
        """
        self._limit = limit
        self._small_limit = small_limit
        self.used = 0
        """Number of bytes in use by large bodies."""
        self.small_used = 0
        """Number of bytes in use by replies with small bodies."""

    def take(self, count: int) -> bool:
        """Takes bytes of a large body; returns False, and takes none, if too few are left."""
        if self.used + count > self._limit:
            return False
        self.used += count
        return True

    def take_small(self, count: int) -> bool:
        """Takes bytes of a reply with a small body; returns False if too few are left."""
        if self.small_used + count > self._small_limit:
            return False
        self.small_used += count
        return True

    def release(self, count: int, small_count: int) -> None:
        """Returns bytes of a large body and of a reply with a small one to the budget."""
        self.used -= count
        self.small_used -= small_count
