"""The latest log events of a process, for operators who ask over HTTP."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import Final

from msgspec import Struct

from sequoiapulley.observe.log_event import LogEvent, LogSink
from sequoiapulley.runtime import Clock

KEPT_EVENTS: Final = 1_000
LONGEST_FIELD: Final = 200
"""Characters of one field that are kept."""
LARGEST_ANSWER: Final = 500
"""Events in one answer; the next is asked for after the last."""


class EventRecord(Struct, frozen=True):
    """One log event that a node kept."""

    sequence: int
    """Rises by one with each event of the process."""
    at: float
    """Seconds since the Unix epoch."""
    code: str
    name: str
    severity: str
    fields: dict[str, str]


class RecentEvents(Struct, frozen=True):
    """Events after a sequence number, oldest first."""

    events: tuple[EventRecord, ...]
    dropped: int
    """Events after the number that are no longer kept."""


class EventRing:
    """Keeps the latest events and hands each one on."""

    def __init__(self, inner: LogSink, clock: Clock, capacity: int = KEPT_EVENTS) -> None:
        """Initialise an empty ring.

        Args:
            inner: Sink that also gets every event.
            clock: Clock of the process.
            capacity: Events to keep.
        """
        self._inner = inner
        self._clock = clock
        self._kept: deque[EventRecord] = deque(maxlen=capacity)
        self._sequence = 0

    def log(self, event: LogEvent, **fields: object) -> None:
        """Keeps one event and hands it on."""
        self._sequence += 1
        kept = {key: str(value)[:LONGEST_FIELD] for key, value in fields.items()}
        record = EventRecord(
            sequence=self._sequence,
            at=self._clock.wall(),
            code=event.code,
            name=event.name,
            severity=event.severity.value,
            fields=kept,
        )
        self._kept.append(record)
        self._inner.log(event, **fields)

    def after(self, sequence: int) -> RecentEvents:
        """Returns what was logged after a sequence number.

        Args:
            sequence: Number of the last event the asker has; 0 for none. A number from before a
                restart may exceed the latest one; everything kept is returned then.

        Returns:
            The events, at most `LARGEST_ANSWER`.
        """
        if sequence > self._sequence:
            sequence = 0
        oldest = self._sequence - len(self._kept) + 1
        dropped = max(oldest - sequence - 1, 0)
        start = max(sequence + 1 - oldest, 0)
        return RecentEvents(tuple(islice(self._kept, start, start + LARGEST_ANSWER)), dropped)
