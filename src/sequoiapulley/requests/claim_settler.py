"""Writes the outcomes of claims to the store, again and again until one is known to be there."""

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

MAX_SETTLEMENTS: Final = 1024
MAX_PARALLEL_RETRIES: Final = 8
FIRST_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 5.0

_Done = Callable[[], None]


class _Settlement(Struct):
    """One outcome that is not yet known to be in the store."""

    key: str
    record: ClaimRecord
    revision: Revision | None
    """Revision of the claim, or None when it must be read first."""
    done: _Done | None
    retry_delay: float = FIRST_RETRY_S
    due: float | None = None
    """Clock reading of the next try, or None while a call is out."""


class ClaimSettler:
    """Outcomes on their way to the store, in bounded number.

    An outcome replaces only this attempt's own claim. One that another node recorded as unknown
    in the meantime is replaced by `done`, and by nothing else.
    """

    def __init__(
        self,
        store: Store,
        now: Callable[[], float],
        lease: Callable[[], LeaseId | None],
        log: LogSink,
    ) -> None:
        """Initialise without outcomes.

        Args:
            store: The platform's store.
            now: Returns the clock reading in seconds.
            lease: Returns the lease under which finished outcomes are kept, or None.
            log: Where events go.
        """
        self._store = store
        self._now = now
        self._lease = lease
        self._log = log
        self._settlements: OrderedDict[str, _Settlement] = OrderedDict()

    def settle(
        self, key: str, record: ClaimRecord, revision: Revision | None, done: _Done | None = None
    ) -> None:
        """Starts to write an outcome.

        Args:
            key: Store key of the claim.
            record: The outcome, with the claim id of the attempt.
            revision: Revision of the claim, or None when its write got no reply.
            done: Called once, when the first call to the store has ended in any way.
        """
        settlement = _Settlement(key, record, revision, done)
        self._settlements[record.claim_id] = settlement
        if len(self._settlements) > MAX_SETTLEMENTS:
            oldest = self._settlements.popitem(last=False)[1]
            self._log.log(OUTCOME_NOT_RECORDED, key=oldest.key, state=oldest.record.state.value)
        self._try(settlement)

    def tick(self) -> None:
        """Repeats the writes that are due, a few at a time."""
        now = self._now()
        tries = 0
        for settlement in list(self._settlements.values()):
            if settlement.due is None or settlement.due > now:
                continue
            self._try(settlement)
            tries += 1
            if tries >= MAX_PARALLEL_RETRIES:
                return

    def next_due(self) -> float | None:
        """Returns the clock reading of the next write, or None."""
        due = [each.due for each in self._settlements.values() if each.due is not None]
        return min(due, default=None)

    def pending(self) -> int:
        """Returns the number of outcomes not yet known to be in the store."""
        return len(self._settlements)

    def _try(self, settlement: _Settlement) -> None:
        settlement.due = None
        if settlement.revision is None:
            self._store.get(settlement.key, lambda reply: self._on_get(settlement, reply))
            return
        self._put(settlement, settlement.revision)

    def _put(self, settlement: _Settlement, expected: Revision) -> None:
        self._store.put(
            settlement.key,
            encode_claim(settlement.record),
            expected,
            lambda reply: self._on_put(settlement, reply),
            self._lease(),
        )

    def _on_put(self, settlement: _Settlement, reply: StoreReply) -> None:
        if reply.is_ok():
            self._close(settlement)
            return
        settlement.revision = None
        error = reply.unwrap_err()
        if error.kind is StoreErrorKind.CONFLICT and error.current is not None:
            self._judge(settlement, error.current)
            return
        self._retry(settlement)

    def _on_get(self, settlement: _Settlement, reply: StoreReply) -> None:
        if reply.is_err():
            self._retry(settlement)
            return
        self._judge(settlement, reply.unwrap())

    def _judge(self, settlement: _Settlement, value: StoreValue) -> None:
        if value.revision == ABSENT:
            # The record fences a claim write that is still on its way to the store.
            self._put(settlement, ABSENT)
            return
        present = decode_claim(value.value)
        if present is None or present.claim_id != settlement.record.claim_id:
            self._close(settlement)
            return
        final = settlement.record.state
        upgrade = present.state is ClaimState.UNKNOWN and final is ClaimState.DONE
        if present.state is ClaimState.CLAIMED or upgrade:
            self._put(settlement, value.revision)
            return
        self._close(settlement)

    def _retry(self, settlement: _Settlement) -> None:
        settlement.due = self._now() + settlement.retry_delay
        settlement.retry_delay = min(2 * settlement.retry_delay, MAX_RETRY_S)
        self._tell(settlement)

    def _close(self, settlement: _Settlement) -> None:
        if self._settlements.get(settlement.record.claim_id) is settlement:
            del self._settlements[settlement.record.claim_id]
        self._tell(settlement)

    def _tell(self, settlement: _Settlement) -> None:
        done = settlement.done
        settlement.done = None
        if done is not None:
            done()
