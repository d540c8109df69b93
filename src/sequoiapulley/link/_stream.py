"""One open bidirectional stream, as either end sees it."""

from __future__ import annotations

from asyncio import Event
from collections import deque
from time import monotonic
from typing import Any, Final, Protocol

from sequoiapulley.ids import Incarnation, NodeId
from sequoiapulley.link.messages import LinkHello, LinkPing, StreamMessage

SILENCE_BEFORE_PING_S: Final = 1.0
PONG_TIMEOUT_S: Final = 1.0


class StreamCall(Protocol):
    """The part of a grpc call that both ends share."""

    async def read(self) -> Any:
        """Waits for one frame; returns grpc's end marker at the end."""

    async def write(self, frame: bytes) -> Any:
        """Sends one frame, waiting while the flow control is closed."""


class Stream:
    """State of one stream."""

    def __init__(self, call: StreamCall, hello: LinkHello) -> None:
        """Initialise the state of a stream whose hellos were exchanged.

        Args:
            call: The grpc call.
            hello: What the peer said of itself.
        """
        self.call = call
        self.node: NodeId = hello.node
        self.incarnation: Incarnation = hello.incarnation
        self.wake = Event()
        self.control: deque[StreamMessage] = deque()
        self.closing = False
        """Set to end the stream after what is queued."""
        self.silent = Event()
        """Set to give the stream up at once."""
        self._unanswered_since: float | None = None
        self._ping_sent_at: float | None = None
        self._pings = 0

    def note_write(self) -> None:
        """Records that messages left which deserve a sign of life."""
        if self._unanswered_since is None:
            self._unanswered_since = monotonic()

    def note_read(self) -> None:
        """Records that a frame arrived."""
        self._unanswered_since = None
        self._ping_sent_at = None

    def check_silence(self) -> bool:
        """Sends a ping when the peer owes a sign of life.

        Returns:
            Whether the stream must be given up, because the ping was not answered.
        """
        if self._unanswered_since is None:
            return False
        now = monotonic()
        if self._ping_sent_at is not None:
            return now - self._ping_sent_at > PONG_TIMEOUT_S
        if now - self._unanswered_since < SILENCE_BEFORE_PING_S:
            return False
        self._pings += 1
        self._ping_sent_at = now
        self.control.append(LinkPing(self._pings))
        self.wake.set()
        return False
