"""Log sink that writes JSON Lines to standard output, rate-limited and non-blocking."""

from __future__ import annotations

from os import set_blocking, write
from typing import Final

from msgspec import json

from sequoiapulley.observe.log_event import LogEvent
from sequoiapulley.observe.log_events import LINES_LEFT_OUT
from sequoiapulley.runtime import Clock

STDOUT_FD: Final = 1
MAX_LINES_PER_SECOND: Final = 40
"""Maximum number of lines of one event per second; further lines are dropped and counted."""
MAX_BUFFERED_BYTES: Final = 65_536
"""Size of the buffer for a slow reader; lines that do not fit are dropped and counted."""


class LineLog:
    """Log sink for a process whose event loop must not block on the reader of its output."""

    def __init__(self, clock: Clock, node: str, fd: int = STDOUT_FD) -> None:
        """Initialise the log.

        Args:
            clock: Source of time.
            node: Name of the node, which is included in every line.
            fd: File descriptor to write to; it is set to non-blocking mode.
        """
        self._clock = clock
        self._node = node
        self._fd = fd
        self._buffer = b""
        self._second = 0
        self._lines_per_event: dict[int, int] = {}
        self._dropped_lines = 0
        set_blocking(fd, False)

    def log(self, event: LogEvent, **fields: object) -> None:
        """Writes one event, or drops it if it is too frequent or the buffer is full."""
        second = int(self._clock.now())
        if second != self._second:
            self._start_second(second)
        written = self._lines_per_event.get(event.number, 0)
        if written >= MAX_LINES_PER_SECOND:
            self._dropped_lines += 1
            return
        self._lines_per_event[event.number] = written + 1
        self._append(event, fields)

    def _start_second(self, second: int) -> None:
        """Resets the counts per event and logs the number of lines dropped before."""
        self._second = second
        self._lines_per_event.clear()
        dropped, self._dropped_lines = self._dropped_lines, 0
        if dropped:
            self._append(LINES_LEFT_OUT, {"lines": dropped})

    def _append(self, event: LogEvent, fields: dict[str, object]) -> None:
        """Appends one encoded line to the buffer, if it fits, and writes as much as possible."""
        record = {
            "time": round(self._clock.wall(), 3),
            "node": self._node,
            "event": event.code,
            "name": event.name,
            **fields,
        }
        line = json.encode(record, enc_hook=str) + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._write()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        self._buffer += line
        self._write()

    def _write(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        try:
            self._buffer = self._buffer[write(self._fd, self._buffer) :]
        except BlockingIOError:
            # The reader is slow: the lines stay in the buffer.
            return
        except OSError:
            # The reader has closed its end: the lines are discarded.
            self._buffer = b""
