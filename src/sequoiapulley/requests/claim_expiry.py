"""Records the outcome of a claim as unknown when its holder had its time to report."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from sequoiapulley.ids import Incarnation, LeaseId, NodeId
from sequoiapulley.observe import LogSink
from sequoiapulley.platform.store import Store, StoreReply
from sequoiapulley.requests.claim_acquirer import ClaimHeld
from sequoiapulley.requests.claim_record import ClaimRecord, ClaimState, encode_claim
from sequoiapulley.requests.log_events import CLAIM_EXPIRED


class ClaimExpiry:
    """Closes claims that nobody will report on.

    Recording `unknown` is safe at any time and needs no agreement on clocks: it never lets the
    key run again, and a holder that comes back with proof replaces it by `done`.
    """

    def __init__(
        self,
        store: Store,
        node: NodeId,
        incarnation: Incarnation,
        wall: Callable[[], float],
        lease: Callable[[], LeaseId | None],
        log: LogSink,
    ) -> None:
        """Initialise the expiry.

        Args:
            store: The platform's store.
            node: This node.
            incarnation: This node's incarnation; claims of earlier ones are closed at once.
            wall: Returns epoch seconds.
            lease: Returns the lease under which finished outcomes are kept, or None.
            log: Where events go.
        """
        self._store = store
        self._node = node
        self._incarnation = incarnation
        self._wall = wall
        self._lease = lease
        self._log = log

    def resolve(self, key: str, held: ClaimHeld, done: Callable[[ClaimRecord], None]) -> None:
        """Finds what a repeat is told about the claim that it met.

        Args:
            key: Store key of the claim.
            held: The claim.
            done: Called once with the claim as it stands.
        """
        record = held.record
        if record.state is not ClaimState.CLAIMED or not self._is_over(record):
            done(record)
            return
        spent = replace(record, state=ClaimState.UNKNOWN)
        self._log.log(CLAIM_EXPIRED, key=key, holder=record.node)

        def on_put(reply: StoreReply) -> None:
            done(spent if reply.is_ok() else record)

        self._store.put(key, encode_claim(spent), held.revision, on_put, self._lease())

    def _is_over(self, record: ClaimRecord) -> bool:
        earlier_life = record.node == self._node and record.incarnation < self._incarnation
        return earlier_life or self._wall() > record.expires
