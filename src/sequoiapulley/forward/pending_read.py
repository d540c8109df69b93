"""A read of a source that always ends, so that the next one follows."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from result import Err

from sequoiapulley.forward.state import ChangesReply, SourceError, SourceErrorKind
from sequoiapulley.runtime import TimerQueue

READ_LIMIT_S: Final = 60.0
"""Time after which a read without a result is given up. Sources end theirs much earlier, also one
of ten pages; only an unexpected error leaves a read without a result."""


class PendingRead:
    """Passes on the first result of a read, or an error if there is none in time."""

    def __init__(self, timers: TimerQueue, on_result: Callable[[ChangesReply], None]) -> None:
        """Starts the time limit.

        Args:
            timers: Timers of the event loop.
            on_result: Receives the result, once.
        """
        self._on_result = on_result
        self._ended = False
        self._limit = timers.call_later(READ_LIMIT_S, self._give_up)

    def finish(self, reply: ChangesReply) -> None:
        """Passes on the result, unless the read has ended."""
        if self._ended:
            return
        self.cancel()
        self._on_result(reply)

    def cancel(self) -> None:
        """Ends the read; its result is ignored."""
        self._ended = True
        self._limit.cancel()

    def _give_up(self) -> None:
        """Ends the read with an error."""
        detail = f"the read has no result after {READ_LIMIT_S:g} s"
        self.finish(Err(SourceError(SourceErrorKind.UNAVAILABLE, detail)))
