"""State of an open bidirectional stream, for both ends."""

from __future__ import annotations

from asyncio import Event
from collections import deque
from time import monotonic
from typing import Any, Final, Protocol

from sequoiapulley.ids import Incarnation, NodeId
from sequoiapulley.link.messages import LinkHello, LinkPing, StreamMessage

PING_DELAY_S: Final = 1.0
"""Time without a received frame after which a ping is sent.

Counted from the first write of messages after the last received frame.
"""
PONG_TIMEOUT_S: Final = 1.0
"""Time without a received frame, counted from a ping, after which the stream is closed."""


class StreamCall(Protocol):
    """The methods of a gRPC call that both ends have."""

    async def read(self) -> Any:
        """Waits for one frame; returns the EOF marker of gRPC at the end of the stream."""

    async def write(self, frame: bytes) -> Any:
        """Sends one frame; waits while flow control blocks the stream."""


class Stream:
    """State of one stream, including its liveness check.

    If the peer sends nothing for `PING_DELAY_S` after a write, it is sent a ping; if it then sends
    nothing for `PONG_TIMEOUT_S`, the stream is closed. A stream without unanswered writes is idle
    and is not checked.
    """

    def __init__(self, call: StreamCall, hello: LinkHello) -> None:
        """Initialise a stream after the exchange of hellos.

        Args:
            call: The gRPC call.
            hello: The hello received from the peer.
        """
        self.call = call
        self.node: NodeId = hello.node
        self.incarnation: Incarnation = hello.incarnation
        self.wake = Event()
        """Set when there is something to write."""
        self.control: deque[StreamMessage] = deque()
        """Pings and pongs to write, ahead of the queue of the peer."""
        self.closing = False
        """Set to close the stream once the queued messages are written."""
        self.aborted = Event()
        """Set to close the stream at once."""
        self._unanswered_since: float | None = None
        self._ping_sent_at: float | None = None
        self._pings = 0

    def record_write(self) -> None:
        """Starts the wait for a frame of the peer, unless it is running.

        Called before messages are written, as flow control may block the write. Pings and pongs do
        not count as a write.
        """
        if self._unanswered_since is None:
            self._unanswered_since = monotonic()

    def record_read(self) -> None:
        """Ends the wait for a frame, as one was received."""
        self._unanswered_since = None
        self._ping_sent_at = None

    def check_liveness(self) -> bool:
        """Queues a ping if the peer has sent nothing for `PING_DELAY_S` after a write.

        Returns:
            Whether the stream must be closed, as nothing was received for `PONG_TIMEOUT_S` after a
            ping.
        """
        if self._unanswered_since is None:
            return False
        now = monotonic()
        if self._ping_sent_at is not None:
            return now - self._ping_sent_at > PONG_TIMEOUT_S
        if now - self._unanswered_since < PING_DELAY_S:
            return False
        self._pings += 1
        self._ping_sent_at = now
        self.control.append(LinkPing(self._pings))
        self.wake.set()
        return False
