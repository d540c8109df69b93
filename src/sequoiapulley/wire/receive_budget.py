"""Limit on the memory that large replies occupy at the same time."""

from __future__ import annotations

from typing import Final

SMALL_BODY_BYTES: Final = 65_536
"""Size up to which a body is not counted: one read from a socket."""


class ReceiveBudget:
    """Memory that the incomplete bodies of all connections may occupy beyond small ones.

    A server that sends bytes without end fills a connection up to the limit on one body. The budget
    keeps several such connections from using the memory of the process. It refuses only bodies that
    are large themselves.
    """

    def __init__(self, limit: int) -> None:
        """Creates an unused budget.

        Args:
            limit: Maximum number of bytes in use.
        """
        self._limit = limit
        self.used = 0
        """Number of bytes in use."""

    def take(self, count: int) -> bool:
        """Takes bytes from the budget; returns False, and takes none, if too few are left."""
        if self.used + count > self._limit:
            return False
        self.used += count
        return True

    def release(self, count: int) -> None:
        """Returns bytes to the budget."""
        self.used -= count
