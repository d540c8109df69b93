"""Tests of the paused clock and the timer queue."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.runtime import PausedClock, TimerQueue


class TimerQueueTest(TestCase):
    """Timers run once, in order of due time, and not after cancellation."""

    @given(st.lists(st.integers(min_value=0, max_value=100), max_size=20))
    def test_runs_in_order_of_due_time(self, delays: list[int]) -> None:
        clock = PausedClock()
        timers = TimerQueue(clock)
        seen: list[float] = []
        for delay in delays:
            timers.call_later(delay, lambda delay=delay: seen.append(delay))  # type: ignore[misc]
        clock.advance(101)
        timers.run_due()
        self.assertEqual(seen, sorted(delays))
        self.assertIsNone(timers.next_due())

    def test_cancelled_timer_does_not_run(self) -> None:
        clock = PausedClock()
        timers = TimerQueue(clock)
        seen: list[str] = []
        timers.call_later(1, lambda: seen.append("first")).cancel()
        timers.call_later(2, lambda: seen.append("second"))
        clock.advance(2)
        self.assertEqual(timers.run_due(), 1)
        self.assertEqual(seen, ["second"])

    def test_clock_rejects_negative_advance(self) -> None:
        with self.assertRaisesRegex(ValueError, "cannot advance"):
            PausedClock().advance(-1)
