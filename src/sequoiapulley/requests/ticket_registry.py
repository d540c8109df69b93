"""Stores the claims of tickets: keys that this process issued and that only run here."""

from __future__ import annotations

from collections.abc import Callable
from secrets import token_hex
from typing import Final

from msgspec import Struct
from msgspec.structs import replace
from sortedcontainers import SortedDict

from sequoiapulley.ids import IdempotencyKey, Incarnation, NodeId, Revision
from sequoiapulley.requests.claim_acquirer import (
    ClaimHeld,
    ClaimNotLocal,
    ClaimResult,
    ClaimWon,
)
from sequoiapulley.requests.claim_record import ClaimRecord, ClaimState
from sequoiapulley.requests.messages import KeyedRequest

TICKET_PREFIX: Final = "ticket."
SECRET_BYTES: Final = 8
MAX_TICKETS: Final = 16_384
MAX_BODY_BYTES: Final = 8_388_608
IN_MEMORY_REVISION: Final = Revision(1)
"""Placeholder for the revision of a claim that is not in the store."""


def is_ticket(key: IdempotencyKey) -> bool:
    """Returns whether a key has the form of a ticket."""
    return key.startswith(TICKET_PREFIX)


class _TicketUse(Struct, frozen=True):
    """A used ticket."""

    store_key: str
    """Store key that the request would have; it contains the service name."""
    record: ClaimRecord


class TicketRegistry:
    """Implements `ClaimRegistry` in memory.

    A random part binds a ticket to this process. Used tickets are stored in bounded space: those
    with the lowest numbers are evicted, and a ticket whose number is not above the evicted ones
    never runs.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        max_tickets: int = MAX_TICKETS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Initialise without tickets.

        Args:
            node: Id of this node.
            incarnation: Incarnation of this node.
            max_tickets: Maximum number of used tickets stored.
            max_body_bytes: Maximum total length of the stored answers, in characters.
        """
        self._prefix = f"{TICKET_PREFIX}{node}.{incarnation:x}.{token_hex(SECRET_BYTES)}."
        self._max_tickets = max_tickets
        self._max_body_bytes = max_body_bytes
        self._issued = 0
        self._floor = 0
        self._body_bytes = 0
        self._uses: SortedDict[int, _TicketUse] = SortedDict()
        self._number_by_key: dict[str, int] = {}

    def issue(self) -> IdempotencyKey:
        """Issues a new ticket."""
        self._issued += 1
        return IdempotencyKey(f"{self._prefix}{self._issued:x}")

    def acquire(
        self,
        request: KeyedRequest,
        key: str,
        record: ClaimRecord,
        done: Callable[[ClaimResult], None],
    ) -> None:
        """Claims a ticket at once; one that this process cannot verify gives `ClaimNotLocal`."""
        number = self._number(request.key)
        if number is None:
            done(ClaimNotLocal())
            return
        use = self._uses.get(number)
        if use is None or self._may_retry(use, key, record):
            self._store_use(number, _TicketUse(key, record))
            done(ClaimWon(IN_MEMORY_REVISION))
            return
        # A ticket that was used for another service has another store key. The empty digest matches
        # no body, so the request is refused with `KEY_REUSED`.
        held = use.record if use.store_key == key else replace(use.record, digest="")
        done(ClaimHeld(held, IN_MEMORY_REVISION))

    def record_outcome(
        self,
        key: str,
        record: ClaimRecord,
        revision: Revision | None,
        done: Callable[[], None] | None = None,
    ) -> None:
        """Stores an outcome."""
        number = self._number_by_key.get(key)
        if number is not None and self._uses[number].record.claim_id == record.claim_id:
            self._store_use(number, _TicketUse(key, record))
        if done is not None:
            done()

    def resolve(self, key: str, held: ClaimHeld, done: Callable[[ClaimRecord], None]) -> None:
        """Passes the claim to `done` unchanged, as its holder is this process."""
        done(held.record)

    def _number(self, key: IdempotencyKey) -> int | None:
        if not key.startswith(self._prefix):
            return None
        digits = key.removeprefix(self._prefix)
        try:
            number = int(digits, 16)
        except ValueError:
            return None
        if f"{number:x}" != digits:
            return None
        return number if self._floor < number <= self._issued else None

    def _may_retry(self, use: _TicketUse, key: str, record: ClaimRecord) -> bool:
        earlier = use.record
        if use.store_key != key or earlier.state is not ClaimState.RELEASED:
            return False
        return earlier.digest == record.digest and earlier.caller == record.caller

    def _store_use(self, number: int, use: _TicketUse) -> None:
        earlier = self._uses.get(number)
        if earlier is not None:
            self._body_bytes -= len(earlier.record.body)
        self._uses[number] = use
        self._number_by_key[use.store_key] = number
        self._body_bytes += len(use.record.body)
        while len(self._uses) > self._max_tickets or self._body_bytes > self._max_body_bytes:
            self._evict_lowest()

    def _evict_lowest(self) -> None:
        number, use = self._uses.popitem(0)
        self._floor = number
        del self._number_by_key[use.store_key]
        self._body_bytes -= len(use.record.body)
