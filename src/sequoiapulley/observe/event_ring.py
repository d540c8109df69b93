"""Ring buffer of recent log events, which operators read over HTTP."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import Final

from msgspec import Struct

from sequoiapulley.observe.log_event import LogEvent, LogSink
from sequoiapulley.runtime import Clock

DEFAULT_CAPACITY: Final = 1_000
MAX_FIELD_CHARS: Final = 200
"""Longer field values are truncated."""
MAX_EVENTS_PER_RESPONSE: Final = 500
"""A reader requests the next page with the sequence number of the last event."""


class EventRecord(Struct, frozen=True):
    """A log event as stored in the ring buffer."""

    sequence: int
    """Incremented with each event of the process."""
    at: float
    """Time of the event, in seconds since the Unix epoch."""
    code: str
    name: str
    severity: str
    fields: dict[str, str]


class RecentEvents(Struct, frozen=True):
    """Stored events after a sequence number, oldest first."""

    events: tuple[EventRecord, ...]
    dropped: int
    """Number of events after the sequence number that the ring buffer has overwritten."""


class EventRing:
    """Log sink that stores the latest events and forwards each event to another sink."""

    def __init__(self, sink: LogSink, clock: Clock, capacity: int = DEFAULT_CAPACITY) -> None:
        """Initialise an empty ring.

        Args:
            sink: Sink that every event is forwarded to.
            clock: Clock of the process.
            capacity: Maximum number of stored events.
        """
        self._sink = sink
        self._clock = clock
        self._records: deque[EventRecord] = deque(maxlen=capacity)
        self._sequence = 0

    def log(self, event: LogEvent, **fields: object) -> None:
        """Stores one event and forwards it."""
        self._sequence += 1
        texts = {key: str(value)[:MAX_FIELD_CHARS] for key, value in fields.items()}
        record = EventRecord(
            sequence=self._sequence,
            at=self._clock.wall(),
            code=event.code,
            name=event.name,
            severity=event.severity.value,
            fields=texts,
        )
        self._records.append(record)
        self._sink.log(event, **fields)

    def events_after(self, sequence: int) -> RecentEvents:
        """Returns the stored events after a sequence number.

        Args:
            sequence: Sequence number of the last event that the reader has; 0 for none. If it is
                greater than the latest one, as after a restart of the process, the result starts
                with the oldest stored event.

        Returns:
            At most `MAX_EVENTS_PER_RESPONSE` events, and the number of events dropped.
        """
        if sequence > self._sequence:
            sequence = 0
        oldest = self._sequence - len(self._records) + 1
        dropped = max(oldest - sequence - 1, 0)
        start = max(sequence + 1 - oldest, 0)
        return RecentEvents(
            tuple(islice(self._records, start, start + MAX_EVENTS_PER_RESPONSE)), dropped
        )
