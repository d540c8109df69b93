"""Keeps the claims of tickets: keys that this node gave out and that run here alone."""

from __future__ import annotations

from collections.abc import Callable
from secrets import token_hex
from typing import Final

from msgspec import Struct
from msgspec.structs import replace
from sortedcontainers import SortedDict

from sequoiapulley.ids import IdempotencyKey, Incarnation, NodeId, Revision
from sequoiapulley.requests.claim_acquirer import (
    ClaimElsewhere,
    ClaimHeld,
    ClaimResult,
    ClaimWon,
)
from sequoiapulley.requests.claim_record import ClaimRecord, ClaimState
from sequoiapulley.requests.messages import KeyedRequest

TICKET_PREFIX: Final = "ticket."
SECRET_BYTES: Final = 8
MAX_TICKETS: Final = 16_384
MAX_BODY_BYTES: Final = 8_388_608
IN_MEMORY: Final = Revision(1)
"""Stands for the revision of a claim that no store holds."""


def is_ticket(key: IdempotencyKey) -> bool:
    """Returns whether a key has the form of a ticket."""
    return key.startswith(TICKET_PREFIX)


class _Use(Struct, frozen=True):
    """The use of one ticket."""

    key: str
    """Store key that the request would have, which names its service."""
    record: ClaimRecord


class TicketKeeper:
    """Implements `KeyKeeper` from memory.

    A ticket is bound to this process by a random part. Used tickets are remembered in bounded
    space; one whose number is so low that its use may be forgotten never runs.
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
            node: This node.
            incarnation: Its incarnation.
            max_tickets: Largest number of used tickets remembered.
            max_body_bytes: Largest sum of the outcomes remembered.
        """
        self._prefix = f"{TICKET_PREFIX}{node}.{incarnation:x}.{token_hex(SECRET_BYTES)}."
        self._max_tickets = max_tickets
        self._max_body_bytes = max_body_bytes
        self._issued = 0
        self._floor = 0
        self._body_bytes = 0
        self._uses: SortedDict[int, _Use] = SortedDict()
        self._number_of: dict[str, int] = {}

    def issue(self) -> IdempotencyKey:
        """Gives out a ticket."""
        self._issued += 1
        return IdempotencyKey(f"{self._prefix}{self._issued:x}")

    def acquire(
        self,
        request: KeyedRequest,
        key: str,
        record: ClaimRecord,
        done: Callable[[ClaimResult], None],
    ) -> None:
        """Claims a ticket of this process at once; any other is known elsewhere, if at all."""
        number = self._number(request.key)
        if number is None:
            done(ClaimElsewhere())
            return
        use = self._uses.get(number)
        if use is None or self._may_run_again(use, key, record):
            self._keep(number, _Use(key, record))
            done(ClaimWon(IN_MEMORY))
            return
        held = use.record if use.key == key else replace(use.record, digest="")
        done(ClaimHeld(held, IN_MEMORY))

    def settle(
        self,
        key: str,
        record: ClaimRecord,
        revision: Revision | None,
        done: Callable[[], None] | None = None,
    ) -> None:
        """Remembers an outcome."""
        number = self._number_of.get(key)
        if number is not None and self._uses[number].record.claim_id == record.claim_id:
            self._keep(number, _Use(key, record))
        if done is not None:
            done()

    def resolve(self, key: str, held: ClaimHeld, done: Callable[[ClaimRecord], None]) -> None:
        """Returns the claim as it stands; its holder is this process."""
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

    def _may_run_again(self, use: _Use, key: str, record: ClaimRecord) -> bool:
        earlier = use.record
        if use.key != key or earlier.state is not ClaimState.RELEASED:
            return False
        return earlier.digest == record.digest and earlier.caller == record.caller

    def _keep(self, number: int, use: _Use) -> None:
        earlier = self._uses.get(number)
        if earlier is not None:
            self._body_bytes -= len(earlier.record.body)
        self._uses[number] = use
        self._number_of[use.key] = number
        self._body_bytes += len(use.record.body)
        while len(self._uses) > self._max_tickets or self._body_bytes > self._max_body_bytes:
            self._forget_lowest()

    def _forget_lowest(self) -> None:
        number, use = self._uses.popitem(0)
        self._floor = number
        del self._number_of[use.key]
        self._body_bytes -= len(use.record.body)
