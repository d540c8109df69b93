"""Tests of a store that comes back from a copy that is some seconds old.

The store then lacks its last writes, assigns their revisions again and reports a higher era. No
node may return to an older configuration, miss the next one, or use an upstream that has left.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.log_events import ENTRY_OUTDATED, STATE_OUTDATED, STORE_RESTORED
from sequoiapulley.forward.messages import ExchangeReply
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.shared_state import REREGISTRATION_S, SharedState
from sequoiapulley.forward.state import (
    Change,
    ChangeSet,
    TableChange,
)
from sequoiapulley.forward.state_feed import ReadPlan, StateFeed
from sequoiapulley.forward.store_availability import StoreAvailability
from sequoiapulley.forward.table_history import TableHistory
from sequoiapulley.ids import ServiceName, UpstreamName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.simulated_upstreams import SimulatedNet, success
from tests.state_fixtures import (
    ScriptedSource,
    changes,
    history_compacted,
    node,
    position,
    read,
    removal,
    table,
    unavailable,
    upstream_change,
)
from tests.state_fleet import Fleet

MAX_APPLY_S = 3.0
"""Required bound on the time from the acknowledgement of a configuration to its activation."""
START_S = 4.0
SERVICE = ServiceName("s")


class RestoredFeedTest(TestCase):
    """One feed whose store is restored."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.log = MemoryLog()
        self.store = ScriptedSource()
        self.peer = ScriptedSource("peer")
        self.plan = ReadPlan(self.store, True, 2.0, 1.0)
        self.taken: list[tuple[ChangeSet, bool]] = []
        self.feed = StateFeed(
            lambda _failures: self.plan,
            self.timers,
            self.log,
            Random(1),
            lambda found, gap: self.taken.append((found, gap)),
            StoreAvailability(),
        )
        self.feed.start()
        self.reply(changes(110, whole=True, era=1))
        self.reply(changes(110, era=1))
        self.taken.clear()

    def reply(self, found: ChangeSet) -> None:
        """Replies to the pending read of the store and starts the next one."""
        self.store.reply(read(found))
        self.run_for(1.3)

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.timers.run_due()

    def events(self, event: object) -> int:
        return sum(found is event for found, _ in self.log.entries)

    def test_changes_of_a_later_era_lead_to_an_exact_read(self) -> None:
        self.reply(changes(130, upstream_change("other"), era=2))
        self.assertEqual(self.store.asked[-1], "exact")
        self.assertEqual(self.taken, [], "changes after a revision of another era were applied")
        restored = changes(105, upstream_change("a"), whole=True, era=2)
        self.reply(restored)
        self.assertEqual(self.taken[-1], (restored, True))
        self.assertEqual(self.feed.position, position(105, 2))
        self.assertEqual(self.store.asked[-1], "after 105 of era 2")
        self.assertEqual(self.events(STORE_RESTORED), 1)

    def test_unknown_revision_and_refusals_of_a_later_era_lead_to_an_exact_read(self) -> None:
        for error in (history_compacted(era=2), unavailable(era=2)):
            with self.subTest(error=error):
                self.setUp()
                self.store.reply(error)
                self.run_for(1.3)
                self.assertEqual(self.store.asked[-1], "exact")
                self.reply(changes(105, whole=True, era=2))
                self.assertEqual(self.feed.position, position(105, 2))

    def test_revision_that_was_assigned_again_is_read_again(self) -> None:
        self.reply(changes(110, era=2))
        self.reply(changes(110, TableChange(table(30)), whole=True, era=2))
        self.assertEqual(self.taken[-1][0].changes, (TableChange(table(30)),))

    def test_state_of_an_earlier_era_is_ignored_except_for_its_configuration(self) -> None:
        self.reply(changes(105, era=2))
        self.reply(changes(105, whole=True, era=2))
        self.plan = ReadPlan(self.peer, False, 0.5, 0.1)
        self.reply(changes(106, era=2))
        old = changes(120, upstream_change("gone"), TableChange(table(20)), whole=True, era=1)
        self.peer.reply(read(old))
        self.run_for(0.2)
        self.assertEqual(self.taken[-1][0].changes, (TableChange(table(20)),))
        self.assertEqual(self.feed.position, position(106, 2))
        self.peer.reply(read(changes(121, upstream_change("gone"), era=1)))
        self.assertEqual(self.taken[-1][0].changes, (TableChange(table(20)),))
        self.assertEqual(self.events(STATE_OUTDATED), 2)

    def test_full_state_of_a_peer_that_still_has_the_earlier_era_does_not_suffice(self) -> None:
        self.plan = ReadPlan(self.peer, False, 0.5, 0.1)
        self.reply(changes(105, era=2))
        self.peer.reply(read(changes(112, upstream_change("gone"), whole=True, era=1)))
        self.run_for(0.3)
        self.assertEqual(self.taken, [])
        self.assertEqual(self.peer.asked[-1], "exact")
        self.peer.reply(read(changes(106, whole=True, era=2)))
        self.assertEqual(self.feed.position, position(106, 2))

    def test_full_state_of_a_peer_in_the_later_era_is_taken(self) -> None:
        self.plan = ReadPlan(self.peer, False, 0.5, 0.1)
        self.reply(changes(111, era=1))
        self.peer.reply(read(changes(106, upstream_change("a"), whole=True, era=2)))
        self.assertEqual(self.taken[-1][1], True)
        self.assertEqual(self.feed.position, position(106, 2))

    def test_two_restorations_in_a_row(self) -> None:
        self.reply(changes(105, era=2))
        self.store.reply(unavailable(era=3))
        self.run_for(1.3)
        self.reply(changes(104, whole=True, era=2))
        self.assertEqual(self.taken, [], "state of the era between was applied")
        self.reply(changes(103, whole=True, era=3))
        self.assertEqual(self.feed.position, position(103, 3))
        self.assertEqual(self.events(STORE_RESTORED), 2)


def reply(*_args: object) -> tuple[float, ExchangeReply]:
    return 0.001, success()


class RestoredStateTest(TestCase):
    """State of one node across a restoration of the store."""

    def setUp(self) -> None:
        self.net = SimulatedNet(reply)
        self.changes = ChangeLog()
        self.state = SharedState(
            self.net.forwarder,
            self.net.directory,
            PeerTable(node("me"), self.net.log),
            self.net.ctx.crash_guard,
            self.changes,
            TableHistory(),
            self.net.timers,
            self.net.log,
        )
        self.apply(110, upstream_change("a", report=9), upstream_change("b", report=9), era=1)

    def apply(self, revision: int, *items: Change, whole: bool = False, era: int = 2) -> None:
        restored = era > self.changes.position.era > 0
        self.state.apply_changes(changes(revision, *items, whole=whole, era=era), restored)

    def usable(self) -> list[str]:
        return sorted(
            str(upstream.record.name) for upstream in self.net.directory.candidates(SERVICE)
        )

    def test_older_configuration_of_the_copy_is_not_activated(self) -> None:
        self.apply(111, TableChange(table(20)), era=1)
        self.apply(105, TableChange(table(10)), whole=True)
        self.assertEqual(self.net.forwarder.version, 20)
        self.apply(112, TableChange(table(30)))
        self.assertEqual(self.net.forwarder.version, 30)

    def test_entry_that_the_copy_lacks_may_be_written_again_or_is_gone(self) -> None:
        self.apply(105, whole=True)
        self.assertEqual(self.usable(), ["a", "b"])
        self.net.run(REREGISTRATION_S / 2)
        self.apply(106, upstream_change("a", report=11))
        self.net.run(REREGISTRATION_S)
        self.assertEqual(self.usable(), ["a"])

    def test_copy_does_not_bring_back_an_upstream_that_drained(self) -> None:
        self.apply(111, upstream_change("a", draining=True, report=10), era=1)
        self.apply(105, upstream_change("a", report=5), upstream_change("b"), whole=True)
        self.assertEqual(self.usable(), ["b"])
        self.apply(106, upstream_change("a", report=10))
        self.assertEqual(self.usable(), ["b"], "a report that was written again counts as new")
        self.apply(107, upstream_change("a", start=2, report=1))
        self.assertEqual(self.usable(), ["a", "b"])
        outdated = [fields for event, fields in self.net.log.entries if event is ENTRY_OUTDATED]
        self.assertEqual([fields["upstream"] for fields in outdated], ["a"])

    def test_copy_does_not_bring_back_an_upstream_that_was_removed(self) -> None:
        self.apply(111, removal("a"), era=1)
        self.apply(105, upstream_change("a", report=5), upstream_change("b"), whole=True)
        self.assertEqual(self.usable(), ["b"])
        self.apply(106, upstream_change("a", report=10))
        self.assertEqual(self.usable(), ["a", "b"], "a later report of the same process is ignored")

    def test_older_drain_in_the_copy_does_not_hide_a_later_departure(self) -> None:
        """The copy has the drain of an earlier process, or an earlier one of the same process."""
        for start, report in ((1, 20), (2, 5)):
            with self.subTest(start=start, report=report):
                self.setUp()
                self.apply(111, upstream_change("a", start=2, report=10), era=1)
                self.apply(112, removal("a"), era=1)
                drained = upstream_change("a", start=start, draining=True, report=report)
                self.apply(105, drained, upstream_change("b"), whole=True)
                self.apply(106, upstream_change("a", start=2, report=9))
                self.assertEqual(self.usable(), ["b"])
                self.apply(107, upstream_change("a", start=3, report=1))
                self.assertEqual(self.usable(), ["a", "b"])

    def test_drain_within_an_era_may_be_withdrawn(self) -> None:
        self.apply(111, upstream_change("a", draining=True, report=10), era=1)
        self.apply(112, upstream_change("a", report=10), era=1)
        self.assertEqual(self.usable(), ["a", "b"])

    def test_announced_shutdown_holds_against_later_reports(self) -> None:
        upstream = self.net.directory.find(UpstreamName("a"))
        assert upstream is not None
        self.net.directory.mark_leaving(upstream)
        self.apply(111, upstream_change("a", report=12), era=1)
        self.apply(105, upstream_change("a", report=13), upstream_change("b"), whole=True)
        self.apply(106, removal("a"))
        self.apply(107, upstream_change("a", report=14))
        self.assertEqual(self.usable(), ["b"])
        self.apply(108, upstream_change("a", start=2))
        self.assertEqual(self.usable(), ["a", "b"])

    def test_removal_that_is_written_again_takes_effect_at_once(self) -> None:
        self.apply(105, upstream_change("a"), upstream_change("b"), whole=True)
        self.apply(106, removal("a"))
        self.assertEqual(self.usable(), ["b"])

    def test_follower_in_the_earlier_era_gets_the_full_state(self) -> None:
        self.apply(105, upstream_change("a"), whole=True)
        self.assertIsNone(self.changes.changes_after(position(110, 1)))
        self.assertEqual(self.changes.changes_after(position(105, 2)), ())
        image = self.state.full_state(0.0)
        self.assertEqual(image.position, position(105, 2))
        self.assertIn(removal("b", may_return=True), image.changes)


class RestoredFleetTest(TestCase):
    """Six nodes in two failure domains, two of which read the store."""

    def check(self, fleet: Fleet, version: int, seed: int) -> None:
        late = [name for name, member in fleet.nodes.items() if member.version < version]
        self.assertEqual(late, [], f"seed {seed}: version {version} is not active on every node")

    def make_fleet(self, seed: int) -> Fleet:
        """Returns a fleet on which version 20 is active and was written three seconds ago."""
        fleet = Fleet(seed)
        fleet.era = 1
        fleet.run(START_S + 0.1 * (seed % 9))
        fleet.write_configuration(20)
        fleet.run(MAX_APPLY_S)
        self.check(fleet, 20, seed)
        return fleet

    def test_next_configuration_reaches_every_node(self) -> None:
        for seed in range(20):
            fleet = self.make_fleet(seed)
            fleet.restore(seconds=5.0)
            fleet.run(0.07 * seed)
            fleet.write_configuration(30)
            fleet.run(MAX_APPLY_S)
            self.check(fleet, 30, seed)

    def test_outage_before_the_restoration_and_a_second_restoration(self) -> None:
        for seed in range(20):
            fleet = self.make_fleet(seed)
            fleet.unresponsive_for = frozenset(fleet.nodes)
            fleet.run(1.0 + 0.05 * seed)
            fleet.restore(seconds=6.0)
            fleet.unresponsive_for = frozenset()
            fleet.run(0.5)
            fleet.restore(seconds=1.0)
            fleet.run(0.9)
            fleet.write_configuration(30)
            fleet.run(MAX_APPLY_S + 1.0)
            self.check(fleet, 30, seed)

    def test_store_reader_that_dies_does_not_delay_the_others(self) -> None:
        for seed in range(20):
            fleet = self.make_fleet(seed)
            fleet.restore(seconds=5.0)
            fleet.unresponsive_for = frozenset({"p3"})
            fleet.run(0.1 * seed)
            fleet.write_configuration(30)
            fleet.run(MAX_APPLY_S)
            self.check(fleet, 30, seed)

    def test_node_that_starts_on_the_copy_takes_the_configuration_from_a_peer(self) -> None:
        for seed in range(20):
            fleet = self.make_fleet(seed)
            fleet.restore(seconds=5.0)
            fleet.run(1.0)
            fleet.restart("p1")
            fleet.run(MAX_APPLY_S)
            self.check(fleet, 20, seed)
