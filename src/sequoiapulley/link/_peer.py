"""State of the way to one node, and what the transport reports to."""

from __future__ import annotations

from asyncio import Task
from collections import deque
from time import monotonic
from typing import Protocol

from sequoiapulley.ids import Incarnation, NodeId
from sequoiapulley.link._stream import Stream
from sequoiapulley.link.messages import LinkMessage, StreamMessage


class Peer:
    """What is known of the way to one node."""

    def __init__(self, node: NodeId) -> None:
        """Initialise a peer without address and stream."""
        self.node = node
        self.address: tuple[str, int] | None = None
        self.queue: deque[StreamMessage] = deque()
        self.streams: list[Stream] = []
        self.dialing: Task[None] | None = None
        self.retry_at = 0.0
        self.refusals = 0

    @property
    def idle(self) -> bool:
        """Whether nothing is under way with the node."""
        return not self.streams and not self.queue and self.dialing is None

    def accepts(self, limit: int) -> bool:
        """Whether a message may be queued now."""
        if len(self.queue) >= limit:
            self.refusals += 1
            return False
        if self.streams or self.dialing is not None:
            return True
        return self.address is not None and monotonic() >= self.retry_at


class Counters(Protocol):
    """Totals that the transport adds to."""

    messages_sent: int
    frames_sent: int
    frames_received: int
    bytes_sent: int
    bytes_received: int
    unknown_messages: int
    refused_frames: int
    refused_peers: int


class TransportOwner(Protocol):
    """What the transport reports to, from its own thread."""

    @property
    def counters(self) -> Counters:
        """Totals since the start."""

    def peer_of(self, node: NodeId) -> Peer:
        """Returns the state of a node, which is made if it is not known."""

    def queue_length(self) -> int:
        """Returns how many calls wait for the event loop's thread."""

    def received(self, node: NodeId, incarnation: Incarnation, messages: list[LinkMessage]) -> None:
        """Takes the messages of one frame."""

    def unsent(self, node: NodeId, messages: list[LinkMessage]) -> None:
        """Takes back messages that never left."""

    def lost(self, node: NodeId) -> None:
        """Takes the news that what a node had not answered may be lost."""
