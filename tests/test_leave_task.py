"""Tests of the graceful shutdown, with a paused clock."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.daemon.leave_task import DRAIN_TIMEOUT_S, LeaveTask
from sequoiapulley.daemon.log_events import LEAVE_TIMED_OUT
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue

ENTRY_LIFETIME_S = 30.0


class LeaveTaskTest(TestCase):
    """A node serves until callers' cached addresses have expired and nothing is in flight."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.log = MemoryLog()
        self.done: list[str] = []
        self.in_flight = 1
        self.task = LeaveTask(
            self.timers,
            self.log,
            ENTRY_LIFETIME_S,
            lambda: self.done.append("announced"),
            lambda: self.done.append("closed"),
            lambda: self.in_flight,
            lambda: self.done.append("finished"),
        )

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.timers.run_due()

    def test_serves_for_the_entry_lifetime_then_drains(self) -> None:
        self.task.start()
        self.task.start()
        self.run_for(ENTRY_LIFETIME_S - 1)
        self.assertEqual(self.done, ["announced"])
        self.run_for(10)
        self.assertEqual(self.done, ["announced", "closed"])
        self.in_flight = 0
        self.run_for(1)
        self.assertEqual(self.done, ["announced", "closed", "finished"])

    def test_drain_timeout_stops_the_node_and_is_logged(self) -> None:
        self.task.start()
        self.run_for(ENTRY_LIFETIME_S + DRAIN_TIMEOUT_S + 1)
        self.assertEqual(self.done[-1], "finished")
        self.assertIn(LEAVE_TIMED_OUT, [event for event, _ in self.log.entries])
