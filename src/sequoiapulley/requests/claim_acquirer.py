"""Claims a request's key in the store before the request may run."""

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
    """How an attempt to claim a key ended."""


class ClaimWon(ClaimResult, frozen=True):
    """The key is claimed by this attempt."""

    revision: Revision


class ClaimHeld(ClaimResult, frozen=True):
    """Another attempt holds or has used the key."""

    record: ClaimRecord
    revision: Revision


class ClaimFailed(ClaimResult, frozen=True):
    """The store did not decide."""

    may_exist: bool
    """Whether a claim write may have taken effect, or may yet."""


class ClaimUnreadable(ClaimResult, frozen=True):
    """The store holds a value that is no claim record."""


class ClaimElsewhere(ClaimResult, frozen=True):
    """The key is a ticket that only another process can know of."""


class ClaimAcquirer:
    """One attempt to claim one key.

    After a lost reply it reads the key again and looks for its own claim id.
    """

    def __init__(
        self, store: Store, key: str, record: ClaimRecord, done: Callable[[ClaimResult], None]
    ) -> None:
        """Initialise without a call.

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
        """Makes the first write."""
        self._put(ABSENT)

    def _put(self, expected: Revision) -> None:
        if not self._may_call():
            return
        self._store.put(self._key, self._value, expected, self._on_put)

    def _get(self) -> None:
        if not self._may_call():
            return
        self._store.get(self._key, self._on_get)

    def _may_call(self) -> bool:
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
        self._judge(error.current)

    def _on_get(self, reply: StoreReply) -> None:
        if reply.is_ok():
            self._judge(reply.unwrap())
            return
        if reply.unwrap_err().kind is StoreErrorKind.NO_REPLY:
            self._get()
            return
        self._done(ClaimFailed(self._may_exist))

    def _judge(self, value: StoreValue) -> None:
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
