"""Interface of the platform's key-value store."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final, Protocol

from msgspec import Struct
from result import Result

from sequoiapulley.ids import LeaseId, Revision

ABSENT: Final = Revision(0)
"""The revision of a key that does not exist."""


class StoreErrorKind(Enum):
    """Kind of a failed call to the store."""

    CONFLICT = "conflict"
    """The key does not have the expected revision; nothing was written."""
    UNAVAILABLE = "unavailable"
    """The call could not be sent, or the store turned it away unstarted; nothing was written."""
    NO_REPLY = "no_reply"
    """No valid reply was received; a write may have taken effect."""
    REFUSED = "refused"
    """The store rejected the call as invalid; nothing was written."""


class StoreError(Struct, frozen=True):
    """A failed call to the store."""

    kind: StoreErrorKind
    detail: str
    current: StoreValue | None = None
    """Current value of the key on a conflict, if the store reported it."""


class StoreValue(Struct, frozen=True):
    """Value and revision of a key; a missing key has revision `ABSENT` and an empty value."""

    key: str
    value: bytes
    revision: Revision


StoreReply = Result[StoreValue, StoreError]
LeaseReply = Result[LeaseId, StoreError]


class Store(Protocol):
    """The platform's key-value store.

    Every call returns at once; its callback runs once, later, on the event loop.
    """

    def get(self, key: str, done: Callable[[StoreReply], None]) -> None:
        """Reads a key."""

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        done: Callable[[StoreReply], None],
        lease: LeaseId | None = None,
    ) -> None:
        """Writes a key if its revision is `expected`; `ABSENT` creates it."""

    def delete(self, key: str, expected: Revision, done: Callable[[StoreReply], None]) -> None:
        """Removes a key if its revision is `expected`."""

    def watch(
        self, key: str, after: Revision, wait: float, done: Callable[[StoreReply], None]
    ) -> None:
        """Waits up to `wait` seconds for a revision above `after`, then reads the key.

        The value read may be unchanged: at the end of the wait, or if the watch ended early.
        """

    def grant_lease(self, ttl: float, done: Callable[[LeaseReply], None]) -> None:
        """Creates a lease of `ttl` seconds; the store removes its keys when it expires."""
