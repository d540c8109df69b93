"""Connection state of one peer, and the interface that the transport reports to."""

from __future__ import annotations

from asyncio import Task
from collections import deque
from time import monotonic
from typing import Protocol

from sequoiapulley.ids import Incarnation, NodeId
from sequoiapulley.link._stream import Stream
from sequoiapulley.link.messages import LinkMessage, StreamMessage


class Peer:
    """Address, queue and streams of one node."""

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self.address: tuple[str, int] | None = None
        """IP address and port of the link, None while unknown."""
        self.queue: deque[StreamMessage] = deque()
        self.streams: list[Stream] = []
        """Open streams; messages are written to the first one, which is the oldest."""
        self.connect_task: Task[None] | None = None
        self.retry_at = 0.0
        """Reading of the monotonic clock before which no new connection is attempted."""
        self.refused_messages = 0
        """Messages refused because of a full queue since they were last logged."""

    @property
    def idle(self) -> bool:
        """Whether the peer has no stream, no queued message and no connection attempt."""
        return not self.streams and not self.queue and self.connect_task is None

    def accepts(self, limit: int) -> bool:
        """Returns whether a message may be queued; counts it as refused if the queue is full."""
        if len(self.queue) >= limit:
            self.refused_messages += 1
            return False
        if self.streams or self.connect_task is not None:
            return True
        return self.address is not None and monotonic() >= self.retry_at


class Counters(Protocol):
    """Totals that the transport updates."""

    messages_sent: int
    frames_sent: int
    frames_received: int
    bytes_sent: int
    bytes_received: int
    unknown_messages: int
    refused_frames: int
    refused_peers: int


class TransportOwner(Protocol):
    """Interface that the transport calls on the gRPC thread."""

    @property
    def counters(self) -> Counters:
        """Returns the totals since the start."""

    def get_or_create_peer(self, node: NodeId) -> Peer:
        """Returns the peer of a node, created if it does not exist yet."""

    def pending_calls(self) -> int:
        """Returns the number of calls that wait for the node's event loop."""

    def on_messages_received(
        self, node: NodeId, incarnation: Incarnation, messages: list[LinkMessage]
    ) -> None:
        """Handles the messages of one received frame."""

    def on_messages_unsent(self, node: NodeId, messages: list[LinkMessage]) -> None:
        """Handles messages that were queued but not sent."""

    def on_stream_lost(self, node: NodeId) -> None:
        """Handles a closed stream or a failed connection; unanswered messages may be lost."""
