"""Writes the outcomes of claims to the store and retries until each write is confirmed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import LeaseId, Revision
from sequoiapulley.observe import LogSink
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
from sequoiapulley.requests.log_events import OUTCOME_NOT_RECORDED

MAX_PENDING_WRITES: Final = 1024
MAX_RETRIES_PER_TICK: Final = 8
MIN_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 5.0

_Done = Callable[[], None]


class _PendingWrite(Struct):
    """An outcome whose write the store has not confirmed yet."""

    key: str
    record: ClaimRecord
    revision: Revision | None
    """Revision of the claim, or None if it must be read first."""
    done: _Done | None
    retry_delay: float = MIN_RETRY_DELAY_S
    due: float | None = None
    """Clock reading of the next store call, or None while a call is in flight."""


class OutcomeWriter:
    """Writes outcomes to the store; at most `MAX_PENDING_WRITES` are pending.

    An outcome replaces only the claim of the same attempt. If another node has recorded that claim
    as `ClaimState.UNKNOWN` in the meantime, only `ClaimState.DONE` replaces it.
    """

    def __init__(
        self,
        store: Store,
        now: Callable[[], float],
        lease: Callable[[], LeaseId | None],
        log: LogSink,
    ) -> None:
        """Initialise without pending writes.

        Args:
            store: The platform's store.
            now: Returns the clock reading in seconds.
            lease: Returns the lease under which outcomes are written, or None.
            log: Receives the log events.
        """
        self._store = store
        self._now = now
        self._lease = lease
        self._log = log
        self._writes: OrderedDict[str, _PendingWrite] = OrderedDict()

    def record_outcome(
        self, key: str, record: ClaimRecord, revision: Revision | None, done: _Done | None = None
    ) -> None:
        """Starts to write an outcome.

        If too many writes are pending, the oldest one is dropped and logged.

        Args:
            key: Store key of the claim.
            record: The outcome, with the claim id of the attempt.
            revision: Revision of the claim, or None if the claim's write got no reply.
            done: Called once when the first try to write has succeeded or failed.
        """
        write = _PendingWrite(key, record, revision, done)
        self._writes[record.claim_id] = write
        if len(self._writes) > MAX_PENDING_WRITES:
            oldest = self._writes.popitem(last=False)[1]
            self._log.log(OUTCOME_NOT_RECORDED, key=oldest.key, state=oldest.record.state.value)
        self._send(write)

    def tick(self) -> None:
        """Retries the writes that are due, at most `MAX_RETRIES_PER_TICK` in one call."""
        now = self._now()
        tries = 0
        for write in list(self._writes.values()):
            if write.due is None or write.due > now:
                continue
            self._send(write)
            tries += 1
            if tries >= MAX_RETRIES_PER_TICK:
                return

    def next_due(self) -> float | None:
        """Returns the clock reading of the next retry, or None."""
        due = [each.due for each in self._writes.values() if each.due is not None]
        return min(due, default=None)

    def pending(self) -> int:
        """Returns the number of outcomes that the store has not confirmed."""
        return len(self._writes)

    def _send(self, write: _PendingWrite) -> None:
        write.due = None
        if write.revision is None:
            self._store.get(write.key, lambda reply: self._on_get(write, reply))
            return
        self._put(write, write.revision)

    def _put(self, write: _PendingWrite, expected: Revision) -> None:
        self._store.put(
            write.key,
            encode_claim(write.record),
            expected,
            lambda reply: self._on_put(write, reply),
            self._lease(),
        )

    def _on_put(self, write: _PendingWrite, reply: StoreReply) -> None:
        if reply.is_ok():
            self._close(write)
            return
        write.revision = None
        error = reply.unwrap_err()
        if error.kind is StoreErrorKind.CONFLICT and error.current is not None:
            self._on_existing(write, error.current)
            return
        self._retry(write)

    def _on_get(self, write: _PendingWrite, reply: StoreReply) -> None:
        if reply.is_err():
            self._retry(write)
            return
        self._on_existing(write, reply.unwrap())

    def _on_existing(self, write: _PendingWrite, value: StoreValue) -> None:
        if value.revision == ABSENT:
            # The write of the claim may still be in flight. It conflicts once the outcome exists.
            self._put(write, ABSENT)
            return
        present = decode_claim(value.value)
        if present is None or present.claim_id != write.record.claim_id:
            self._close(write)
            return
        final = write.record.state
        upgrade = present.state is ClaimState.UNKNOWN and final is ClaimState.DONE
        if present.state is ClaimState.CLAIMED or upgrade:
            self._put(write, value.revision)
            return
        self._close(write)

    def _retry(self, write: _PendingWrite) -> None:
        write.due = self._now() + write.retry_delay
        write.retry_delay = min(2 * write.retry_delay, MAX_RETRY_DELAY_S)
        self._call_done(write)

    def _close(self, write: _PendingWrite) -> None:
        if self._writes.get(write.record.claim_id) is write:
            del self._writes[write.record.claim_id]
        self._call_done(write)

    def _call_done(self, write: _PendingWrite) -> None:
        done = write.done
        write.done = None
        if done is not None:
            done()
