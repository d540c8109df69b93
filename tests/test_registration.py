"""Tests of a node's record in the store: written, renewed, kept by the next process."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from unittest import TestCase

from result import Err, Ok

from sequoiapulley.daemon.registration import (
    LEASE_TTL_S,
    RENEWAL_INTERVAL_S,
    RESTORE_SPREAD_S,
    Registration,
)
from sequoiapulley.forward.state import (
    AnnounceReply,
    FoundLeaseReply,
    NodeRecord,
    RegisteredReply,
    SourceError,
    SourceErrorKind,
)
from sequoiapulley.ids import LeaseId
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.state_fixtures import node


class ScriptedRegistry:
    """Implements `NodeRegistry`; records the calls and returns the reply that a test has set."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.reply: AnnounceReply = Ok(LeaseId("7"))
        self.registered: RegisteredReply = Ok(True)
        self.found: FoundLeaseReply = Ok(None)

    def announce(
        self, record: NodeRecord, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        self.calls.append("announce")
        done(self.reply)

    def renew(self, lease: LeaseId, done: Callable[[AnnounceReply], None]) -> None:
        self.calls.append(f"renew {lease}")
        done(self.reply)

    def is_registered(
        self, record: NodeRecord, lease: LeaseId, done: Callable[[RegisteredReply], None]
    ) -> None:
        self.calls.append(f"read {lease}")
        done(self.registered)

    def find_lease(self, record: NodeRecord, done: Callable[[FoundLeaseReply], None]) -> None:
        self.calls.append("find")
        done(self.found)


class RegistrationTest(TestCase):
    """The registration of one node over several minutes."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.registry = ScriptedRegistry()
        self.registration = Registration(self.registry, self.timers, Random(1), node("n"))
        self.registration.start(first_start=True)

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

    def test_restored_store_is_asked_for_the_record_and_nothing_is_written_if_it_has_it(
        self,
    ) -> None:
        self.registration.check_after_restore()
        self.run_for(RESTORE_SPREAD_S)
        self.assertEqual(self.registry.calls, ["announce", "read 7"])

    def test_record_that_a_restored_store_lacks_is_written_again(self) -> None:
        self.registry.registered = Ok(False)
        self.registry.reply = Ok(LeaseId("8"))
        self.registration.check_after_restore()
        self.run_for(RESTORE_SPREAD_S)
        self.assertEqual(self.registry.calls, ["announce", "read 7", "announce"])
        self.run_for(3 * RENEWAL_INTERVAL_S)
        renewals = [call for call in self.registry.calls if call.startswith("renew")]
        self.assertEqual(set(renewals), {"renew 8"})
        self.assertLessEqual(len(renewals), 4, "two chains of renewals run side by side")

    def test_check_is_repeated_while_the_store_is_away_and_restarted_by_a_second_restoration(
        self,
    ) -> None:
        self.registry.registered = Err(SourceError(SourceErrorKind.UNAVAILABLE, "down"))
        self.registration.check_after_restore()
        self.run_for(RESTORE_SPREAD_S + 3.0)
        self.assertGreater(self.registry.calls.count("read 7"), 1)
        self.registry.registered = Ok(True)
        self.registration.check_after_restore()
        before = len(self.registry.calls)
        self.run_for(RESTORE_SPREAD_S + 3.0)
        self.assertEqual(self.registry.calls[before:], ["read 7"])

    def test_checks_of_a_large_fleet_are_spread(self) -> None:
        times: list[float] = []
        for seed in range(200):
            registry = ScriptedRegistry()
            timers = TimerQueue(PausedClock())
            registration = Registration(registry, timers, Random(seed), node("n"))
            registration.start(first_start=True)
            registration.check_after_restore()
            due = timers.next_due()
            assert due is not None
            times.append(due - timers.clock.now())
        for start in range(round(RESTORE_SPREAD_S)):
            within = [time for time in times if start <= time < start + 1]
            self.assertLess(len(within), 80)

    def start_again(self) -> Registration:
        """Starts the registration of a further process of the node; forgets earlier calls."""
        self.registration.stop()
        self.registry.calls.clear()
        registration = Registration(self.registry, self.timers, Random(1), node("n"))
        registration.start(first_start=False)
        return registration

    def test_process_that_starts_again_renews_the_lease_of_its_record(self) -> None:
        """A rolling restart or a herd of killed processes costs the store few calls."""
        self.registry.found = Ok(LeaseId("7"))
        self.start_again()
        self.run_for(3 * RENEWAL_INTERVAL_S)
        self.assertEqual(self.registry.calls[0], "find")
        self.assertEqual(set(self.registry.calls[1:]), {"renew 7"})

    def test_process_whose_record_is_missing_or_has_expired_writes_it(self) -> None:
        self.start_again()
        self.assertEqual(self.registry.calls, ["find", "announce"])
        self.registry.found = Ok(LeaseId("7"))
        self.registry.reply = Err(SourceError(SourceErrorKind.HISTORY_COMPACTED, "ended"))
        self.start_again()
        self.assertEqual(self.registry.calls, ["find", "renew 7", "announce"])

    def test_process_that_starts_in_an_outage_looks_for_its_record_until_the_store_is_back(
        self,
    ) -> None:
        self.registry.found = Err(SourceError(SourceErrorKind.UNAVAILABLE, "down"))
        self.start_again()
        self.run_for(5.0)
        self.assertEqual(set(self.registry.calls), {"find"})
        self.assertLess(len(self.registry.calls), 9)
        self.registry.found = Ok(LeaseId("7"))
        self.run_for(2.0)
        self.assertEqual(self.registry.calls[-1], "renew 7")

    def test_record_written_while_the_node_shuts_down_is_not_renewed(self) -> None:
        """The reply to the write arrives after the shutdown has begun."""
        delayed: list[Callable[[], None]] = []
        announce = self.registry.announce
        self.registry.announce = lambda record, ttl, done: delayed.append(  # type: ignore[method-assign]
            lambda: announce(record, ttl, done)
        )
        registration = self.start_again()
        registration.stop()
        delayed.pop()()
        self.run_for(5 * RENEWAL_INTERVAL_S)
        self.assertEqual(self.registry.calls, ["find", "announce"])

    def test_leaving_node_leaves_its_record_to_the_next_process(self) -> None:
        self.registration.stop()
        self.run_for(5 * RENEWAL_INTERVAL_S)
        self.assertEqual(self.registry.calls, ["announce"])
