"""Claims the idempotency key of a request in the store before the request may run."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import Revision
from sequoiapulley.platform.store import (
    ABSENT,
    Store,
    StoreErrorKind,
    StoreReply,
    StoreValue,
)
from sequoiapulley.requests.claim_record import (
    ClaimRecord,
    ClaimState,
    decode_claim,
    encode_claim,
)

MAX_STORE_CALLS: Final = 8


class ClaimResult(Struct, frozen=True, tag=True):
    """Result of claiming a key."""


class ClaimWon(ClaimResult, frozen=True):
    """The claim is held by this attempt."""

    revision: Revision


class ClaimHeld(ClaimResult, frozen=True):
    """Another attempt holds the key or has used it."""

    record: ClaimRecord
    revision: Revision


class ClaimFailed(ClaimResult, frozen=True):
    """The store could not be read or written, so it is unknown who holds the key."""

    may_exist: bool
    """Whether a claim write may have taken effect or may still do so."""


class ClaimUnreadable(ClaimResult, frozen=True):
    """The value in the store is not a claim record."""


class ClaimNotLocal(ClaimResult, frozen=True):
    """The key is a ticket that this process did not issue or has already evicted."""


class ClaimAcquirer:
    """Claims one key by compare-and-swap.

    If a reply is lost, it reads the key and compares the claim id with its own.
    """

    def __init__(
        self, store: Store, key: str, record: ClaimRecord, done: Callable[[ClaimResult], None]
    ) -> None:
        """Initialise without calling the store.

        Args:
            store: The platform's store.
            key: Store key of the claim.
            record: The claim to write.
            done: Called once with the result.
        """
        self._store = store
        self._key = key
        self._record = record
        self._value = encode_claim(record)
        self._done = done
        self._calls = 0
        self._may_exist = False

    def start(self) -> None:
        """Sends the first write to the store."""
        self._put(ABSENT)

    def _put(self, expected: Revision) -> None:
        if not self._allow_call():
            return
        self._store.put(self._key, self._value, expected, self._on_put)

    def _get(self) -> None:
        if not self._allow_call():
            return
        self._store.get(self._key, self._on_get)

    def _allow_call(self) -> bool:
        self._calls += 1
        if self._calls <= MAX_STORE_CALLS:
            return True
        self._done(ClaimFailed(self._may_exist))
        return False

    def _on_put(self, reply: StoreReply) -> None:
        if reply.is_ok():
            self._done(ClaimWon(reply.unwrap().revision))
            return
        error = reply.unwrap_err()
        if error.kind is StoreErrorKind.NO_REPLY:
            self._may_exist = True
            self._get()
            return
        if error.kind is not StoreErrorKind.CONFLICT:
            self._done(ClaimFailed(self._may_exist))
            return
        if error.current is None:
            self._get()
            return
        self._on_existing(error.current)

    def _on_get(self, reply: StoreReply) -> None:
        if reply.is_ok():
            self._on_existing(reply.unwrap())
            return
        if reply.unwrap_err().kind is StoreErrorKind.NO_REPLY:
            self._get()
            return
        self._done(ClaimFailed(self._may_exist))

    def _on_existing(self, value: StoreValue) -> None:
        if value.revision == ABSENT:
            self._put(ABSENT)
            return
        record = decode_claim(value.value)
        if record is None:
            self._done(ClaimUnreadable())
            return
        if record.claim_id == self._record.claim_id and record.state is ClaimState.CLAIMED:
            self._done(ClaimWon(value.revision))
            return
        reusable = record.state is ClaimState.RELEASED and record.digest == self._record.digest
        if reusable and record.caller == self._record.caller:
            self._put(value.revision)
            return
        self._done(ClaimHeld(record, value.revision))
