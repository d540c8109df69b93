"""Tests of keeping refused requests in the store."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from result import Ok

from sequoiapulley.daemon.refusal_task import RETRY_INTERVAL_S, RefusalTask
from sequoiapulley.forward.log_events import REFUSAL_NOT_KEPT
from sequoiapulley.forward.state import AnnounceReply, RequestRefusal
from sequoiapulley.ids import Fingerprint, LeaseId
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.state_fixtures import unavailable

FINGERPRINT = Fingerprint("f")
TTL_S = 300.0


class RefusalTaskTest(TestCase):
    """Implements `RefusalStore`; each test replies explicitly."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.log = MemoryLog()
        self.task = RefusalTask(self, self.timers, self.log)
        self.written: list[tuple[int, float]] = []
        """Strikes and time to live of each write."""
        self.done: list[Callable[[AnnounceReply], None]] = []

    def keep_refusal(
        self, refusal: RequestRefusal, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        self.written.append((refusal.strikes, round(ttl, 3)))
        self.done.append(done)

    def refuse(self, strikes: int) -> None:
        expires_ms = round((self.clock.wall() + TTL_S) * 1000)
        self.task.keep(RequestRefusal(FINGERPRINT, strikes, expires_ms))

    def reply(self, reply: AnnounceReply) -> None:
        self.done.pop(0)(reply)

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.timers.run_due()

    def test_refusal_is_written_once(self) -> None:
        self.refuse(2)
        self.reply(Ok(LeaseId("1")))
        self.advance(RETRY_INTERVAL_S)
        self.assertEqual(self.written, [(2, TTL_S)])

    # Guards against a refusal that is lost because the store was away when it was written.
    def test_refusal_is_written_again_after_an_outage(self) -> None:
        self.refuse(2)
        self.reply(unavailable())
        self.advance(RETRY_INTERVAL_S)
        self.assertEqual(self.written, [(2, TTL_S), (2, TTL_S - RETRY_INTERVAL_S)])
        self.assertEqual([event for event, _ in self.log.entries], [REFUSAL_NOT_KEPT])

    def test_later_strike_replaces_the_one_that_is_being_written(self) -> None:
        self.refuse(2)
        self.refuse(3)
        self.reply(Ok(LeaseId("1")))
        self.reply(Ok(LeaseId("2")))
        self.assertEqual([strikes for strikes, _ in self.written], [2, 3])
        self.assertEqual(self.done, [])

    def test_writes_end_when_the_refusal_expires(self) -> None:
        self.refuse(2)
        self.reply(unavailable())
        self.advance(TTL_S)
        self.assertEqual(len(self.written), 1)
