"""Records the outcome of an expired claim as unknown."""

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
    """Closes claims whose holder has not reported an outcome in time.

    Recording `unknown` is safe at any time and needs no synchronised clocks: the key never runs
    again, and a holder that later learns that the request ran replaces the outcome by `done`.
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
            node: Id of this node.
            incarnation: This node's incarnation; claims of earlier ones count as expired.
            wall: Returns the wall clock in epoch seconds.
            lease: Returns the lease under which outcomes are written, or None.
            log: Receives the log events.
        """
        self._store = store
        self._node = node
        self._incarnation = incarnation
        self._wall = wall
        self._lease = lease
        self._log = log

    def resolve(self, key: str, held: ClaimHeld, done: Callable[[ClaimRecord], None]) -> None:
        """Determines the state of a claim that a retry found; closes the claim if it has expired.

        Args:
            key: Store key of the claim.
            held: The claim that was found.
            done: Called once with the current claim.
        """
        record = held.record
        if record.state is not ClaimState.CLAIMED or not self._is_expired(record):
            done(record)
            return
        expired = replace(record, state=ClaimState.UNKNOWN)
        self._log.log(CLAIM_EXPIRED, key=key, holder=record.node)

        def on_put(reply: StoreReply) -> None:
            done(expired if reply.is_ok() else record)

        self._store.put(key, encode_claim(expired), held.revision, on_put, self._lease())

    def _is_expired(self, record: ClaimRecord) -> bool:
        earlier_incarnation = record.node == self._node and record.incarnation < self._incarnation
        return earlier_incarnation or self._wall() > record.expires
