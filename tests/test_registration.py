"""Tests of a node's record in the store: written, renewed, written again, withdrawn."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from unittest import TestCase

from result import Err, Ok

from sequoiapulley.daemon.registration import LEASE_TTL_S, RENEWAL_INTERVAL_S, Registration
from sequoiapulley.forward.state import AnnounceReply, NodeRecord, SourceError, SourceErrorKind
from sequoiapulley.ids import LeaseId
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.state_fixtures import node


class ScriptedRegistry:
    """Implements `NodeRegistry`; records the calls and returns the reply that a test has set."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.reply: AnnounceReply = Ok(LeaseId("7"))

    def announce(
        self, record: NodeRecord, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        self.calls.append("announce")
        done(self.reply)

    def renew(self, lease: LeaseId, done: Callable[[AnnounceReply], None]) -> None:
        self.calls.append(f"renew {lease}")
        done(self.reply)

    def withdraw(self, lease: LeaseId) -> None:
        self.calls.append(f"withdraw {lease}")


class RegistrationTest(TestCase):
    """The registration of one node over several minutes."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.registry = ScriptedRegistry()
        self.registration = Registration(self.registry, self.timers, Random(1), node("n"))
        self.registration.start()

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds * 4)):
            self.clock.advance(0.25)
            self.timers.run_due()

    def test_lease_is_renewed_in_time_but_not_too_often(self) -> None:
        self.run_for(10 * RENEWAL_INTERVAL_S)
        renewals = self.registry.calls.count("renew 7")
        self.assertGreaterEqual(renewals, 7)
        self.assertLessEqual(renewals, 14)
        self.assertLess(2 * 1.25 * RENEWAL_INTERVAL_S, LEASE_TTL_S)

    def test_expired_lease_leads_to_a_new_record(self) -> None:
        self.registry.reply = Err(SourceError(SourceErrorKind.HISTORY_COMPACTED, "ended"))
        self.run_for(1.25 * RENEWAL_INTERVAL_S)
        self.registry.reply = Ok(LeaseId("8"))
        self.run_for(2 * RENEWAL_INTERVAL_S)
        self.assertGreater(self.registry.calls.count("announce"), 1)
        self.assertIn("renew 8", self.registry.calls)

    def test_renewals_resume_after_a_store_outage(self) -> None:
        self.registry.reply = Err(SourceError(SourceErrorKind.UNAVAILABLE, "down"))
        self.run_for(2 * RENEWAL_INTERVAL_S)
        self.assertLess(len(self.registry.calls), 40)
        self.registry.reply = Ok(LeaseId("7"))
        before = len(self.registry.calls)
        self.run_for(2.0)
        self.assertEqual(self.registry.calls[before:], ["renew 7"])

    def test_leaving_node_withdraws_its_record(self) -> None:
        self.registration.stop()
        self.run_for(5 * RENEWAL_INTERVAL_S)
        self.assertEqual(self.registry.calls, ["announce", "withdraw 7"])
