"""Tests of the ring buffer of log events."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.observe.event_ring import MAX_EVENTS_PER_RESPONSE, MAX_FIELD_CHARS, EventRing
from sequoiapulley.observe.log_event import LogEvent, MemoryLog, Severity
from sequoiapulley.runtime import PausedClock

EVENT = LogEvent(8999, "sample", Severity.INFO, "A test logs it.", "Nothing.")


class EventRingTest(TestCase):
    """A reader that requests the events after its last one gets every stored event."""

    @given(st.integers(1, 30), st.lists(st.integers(0, 20), max_size=10))
    def test_reader_gets_each_event_once_or_the_number_dropped(
        self, capacity: int, bursts: list[int]
    ) -> None:
        inner = MemoryLog()
        ring = EventRing(inner, PausedClock(), capacity)
        seen: list[int] = []
        last = lost = 0
        for burst in bursts:
            for _ in range(burst):
                ring.log(EVENT)
            recent = ring.events_after(last)
            lost += recent.dropped
            seen.extend(record.sequence for record in recent.events)
            last = seen[-1] if seen else last
        self.assertEqual(seen, sorted(set(seen)))
        self.assertEqual(len(seen) + lost, sum(bursts))
        self.assertEqual(len(inner.entries), sum(bursts))

    def test_answers_and_fields_are_bounded(self) -> None:
        ring = EventRing(MemoryLog(), PausedClock())
        for _ in range(2_000):
            ring.log(EVENT, text="x" * 10_000)
        recent = ring.events_after(0)
        self.assertEqual((len(recent.events), recent.dropped), (MAX_EVENTS_PER_RESPONSE, 1_000))
        self.assertEqual(len(recent.events[0].fields["text"]), MAX_FIELD_CHARS)
        self.assertEqual(len(ring.events_after(5_000).events), MAX_EVENTS_PER_RESPONSE)
