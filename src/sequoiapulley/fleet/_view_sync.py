"""Anti-entropy: exchanges complete views when digests differ or members join or rejoin."""

from __future__ import annotations

from typing import Final

from sequoiapulley.fleet._datagram import Datagram, DatagramKind
from sequoiapulley.fleet._datagram_builder import DatagramBuilder
from sequoiapulley.fleet._fleet_view import FleetView
from sequoiapulley.fleet.actions import MembershipAction
from sequoiapulley.fleet.member import NodeAddress

MIN_REQUEST_INTERVAL_S: Final = 1.0
MIN_ANSWER_INTERVAL_S: Final = 0.25
MAX_DIGEST_MISMATCH_S: Final = 10.0
"""Time for gossip to resolve a difference before a view is requested."""
NEVER: Final = float("-inf")


class ViewSync:
    """Requests and sends complete views, both at a limited rate."""

    def __init__(self, view: FleetView, builder: DatagramBuilder) -> None:
        """Initialise without earlier exchanges.

        Args:
            view: View to compare and send.
            builder: Builds the datagrams.
        """
        self._view = view
        self._builder = builder
        self.reset()

    def reset(self) -> None:
        """Clears the times of earlier exchanges, so that the next one is not delayed."""
        self._requested_at = NEVER
        self._answered_at = NEVER
        self._mismatch_since: float | None = None

    def compare(
        self, address: NodeAddress, ack: Datagram, now: float, actions: list[MembershipAction]
    ) -> None:
        """Requests a peer's view if digests have differed for `MAX_DIGEST_MISMATCH_S`.

        The time runs from the first mismatch since an acknowledgement of any peer had the same
        digest.
        """
        if ack.digest == self._view.digest:
            self._mismatch_since = None
            return
        if self._mismatch_since is None:
            self._mismatch_since = now
        if now - self._mismatch_since < MAX_DIGEST_MISMATCH_S:
            return
        self._mismatch_since = now
        self.request(address, now, actions)

    def request(self, address: NodeAddress, now: float, actions: list[MembershipAction]) -> None:
        """Requests the view of a peer, unless another request was sent recently."""
        if now - self._requested_at < MIN_REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        actions.append(
            self._builder.build(address, DatagramKind.SYNC, members=(self._view.local_member,))
        )

    def answer(
        self, address: NodeAddress, request: Datagram, now: float, actions: list[MembershipAction]
    ) -> None:
        """Sends the local view if the digests differ, and requests the peer's view in return."""
        if request.digest == self._view.digest or now - self._answered_at < MIN_ANSWER_INTERVAL_S:
            return
        self._answered_at = now
        actions.extend(self._builder.build_view(address))
        self.request(address, now, actions)
