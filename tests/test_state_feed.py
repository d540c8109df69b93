"""Tests of reading shared state: outages, compacted history, stale full state, other sources."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sequoiapulley.forward.log_events import STORE_LOST, STORE_REGAINED
from sequoiapulley.forward.state import ChangeSet
from sequoiapulley.forward.state_feed import MAX_RETRY_S, ReadPlan, StateFeed
from sequoiapulley.forward.store_availability import StoreAvailability
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.state_fixtures import (
    ScriptedSource,
    changes,
    history_compacted,
    read,
    removal,
    unavailable,
    upstream_change,
)


class StateFeedTest(TestCase):
    """One feed that reads from a store or a peer."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.log = MemoryLog()
        self.store = ScriptedSource()
        self.peer = ScriptedSource("peer")
        self.use_peer = False
        self.peer_always = False
        self.availability = StoreAvailability()
        self.taken: list[tuple[ChangeSet, bool]] = []
        self.feed = StateFeed(
            self.choose,
            self.timers,
            self.log,
            Random(1),
            lambda found, gap: self.taken.append((found, gap)),
            self.availability,
        )
        self.feed.start()

    def choose(self, failures: int) -> ReadPlan:
        if self.use_peer and (failures == 0 or self.peer_always):
            return ReadPlan(self.peer, False, 0.5, 0.1)
        return ReadPlan(self.store, True, 2.0, 1.0)

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.timers.run_due()

    def start_with(self, revision: int) -> None:
        self.store.reply(read(changes(revision, whole=True)))
        self.run_for(0.05)

    def test_full_read_may_be_stale_and_changes_are_read_at_once(self) -> None:
        self.start_with(7)
        self.assertEqual(self.store.asked, ["stale", "after 7"])

    def test_reads_keep_the_minimum_interval(self) -> None:
        self.start_with(7)
        for revision in range(8, 13):
            self.store.reply(read(changes(revision, upstream_change("a"))))
            self.run_for(1.2)
        self.assertEqual(len(self.store.asked), 7)

    # Guards against CONFIG of review case 10: after open connections went silent, a read waited for
    # its whole time limit on another one that had been idle.
    def test_read_after_a_failed_one_uses_no_idle_connection(self) -> None:
        self.start_with(7)
        self.use_peer = True
        self.store.reply(read(changes(8, upstream_change("a"))))
        self.run_for(1.2)
        self.peer.reply(unavailable())
        self.run_for(0.1)
        self.store.reply(unavailable())
        self.run_for(0.2)
        self.store.reply(read(changes(9, upstream_change("a"))))
        self.run_for(1.2)
        self.assertEqual(self.peer.idle_closed_before, [])
        self.assertEqual(self.store.asked, ["stale", "after 7", "after 8", "after 8"])
        self.assertEqual(self.store.idle_closed_before, [3, 4])

    # Guards against a version that a peer has and this node reads up to a second later.
    def test_read_that_is_wanted_soon_does_not_wait_for_the_interval(self) -> None:
        self.start_with(7)
        self.store.reply(read(changes(8, upstream_change("a"))))
        self.run_for(0.1)
        asked = len(self.store.asked)
        self.feed.read_soon()
        self.run_for(0.05)
        self.assertEqual(len(self.store.asked), asked + 1)

    # Guards against a version that was written just after the store had answered a read.
    def test_read_that_is_wanted_during_another_one_follows_it_once(self) -> None:
        self.start_with(7)
        asked = len(self.store.asked)
        self.feed.read_soon()
        self.run_for(0.05)
        self.assertEqual(len(self.store.asked), asked)
        for revision in (8, 9):
            self.store.reply(read(changes(revision, upstream_change("a"))))
            self.run_for(0.1)
        self.assertEqual(len(self.store.asked), asked + 1)

    # Guards against calls to a store in an outage for each version that peers state.
    def test_read_that_is_wanted_soon_keeps_the_delay_after_a_failure(self) -> None:
        self.start_with(7)
        self.feed.read_soon()
        for _ in range(4):
            self.store.reply(unavailable())
            self.run_for(MAX_RETRY_S * 2)
        self.store.reply(unavailable())
        self.run_for(0.05)
        asked = len(self.store.asked)
        self.feed.read_soon()
        self.run_for(0.05)
        self.assertEqual(len(self.store.asked), asked)

    def test_compacted_history_causes_an_exact_read(self) -> None:
        self.start_with(7)
        self.store.reply(history_compacted())
        self.run_for(0.05)
        self.assertEqual(self.store.asked[-1], "exact")
        self.store.reply(read(changes(30, whole=True)))
        self.run_for(0.05)
        self.assertEqual(self.store.asked[-1], "after 30")

    def test_first_state_is_applied_together_with_the_changes_since_then(self) -> None:
        """It may be stale, and list an upstream that has left before the process started."""
        first = changes(7, upstream_change("a"), upstream_change("gone"), whole=True)
        self.store.reply(read(first))
        self.run_for(0.05)
        self.assertEqual((self.taken, self.store.waited), ([], [0.0]))
        since = changes(9, removal("gone"))
        self.store.reply(read(since))
        self.assertEqual([found for found, _ in self.taken], [first, since])
        self.run_for(1.2)
        self.assertEqual(self.store.asked, ["stale", "after 7", "after 9"])
        self.assertEqual(self.store.waited, [0.0, 2.0])

    def test_first_state_is_applied_if_the_changes_since_then_cannot_be_read(self) -> None:
        self.start_with(7)
        self.assertEqual(self.taken, [])
        self.store.reply(unavailable())
        self.assertEqual([found.revision for found, _ in self.taken], [7])

    def test_first_state_is_applied_if_no_full_state_can_be_read_either(self) -> None:
        """The store loses its history and goes away while a process starts."""
        self.start_with(7)
        self.store.reply(history_compacted())
        self.run_for(0.05)
        self.assertEqual((self.store.asked[-1], self.taken), ("exact", []))
        self.store.reply(unavailable())
        self.assertEqual([found.revision for found, _ in self.taken], [7])

    def test_first_state_is_applied_if_the_store_is_being_restored(self) -> None:
        self.start_with(7)
        self.store.reply(unavailable(era=1))
        self.assertEqual([found.revision for found, _ in self.taken], [7])
        self.run_for(1.0)
        self.assertEqual(self.store.asked[-1], "exact")

    def test_first_state_is_dropped_if_the_history_since_then_is_compacted(self) -> None:
        self.start_with(7)
        self.store.reply(history_compacted())
        self.run_for(0.05)
        self.store.reply(read(changes(30, whole=True)))
        self.assertEqual([found.revision for found, _ in self.taken], [30])

    def test_full_state_older_than_known_revision_is_not_applied(self) -> None:
        self.start_with(7)
        self.store.reply(read(changes(7)))
        self.run_for(1.3)
        self.store.reply(history_compacted())
        self.run_for(0.05)
        self.store.reply(read(changes(5, whole=True)))
        self.run_for(1.3)
        self.assertEqual(len(self.taken), 2)
        self.assertEqual(self.store.asked[-1], "exact")

    def test_outage_is_logged_once_and_marks_the_changes_after_it(self) -> None:
        self.start_with(7)
        for _ in range(4):
            self.store.reply(unavailable())
            self.run_for(MAX_RETRY_S * 1.2)
        self.store.reply(read(changes(8)))
        self.run_for(1.2)
        self.store.reply(read(changes(9)))
        self.assertEqual([gap for _, gap in self.taken], [False, True, False])
        events = [event for event, _ in self.log.entries]
        self.assertEqual((events.count(STORE_LOST), events.count(STORE_REGAINED)), (1, 1))

    def test_store_unreachable_from_one_node_alone_is_no_outage(self) -> None:
        self.start_with(7)
        self.peer_always = self.use_peer = True
        self.store.reply(unavailable())
        for revision in range(8, 28):
            self.run_for(0.4)
            if self.peer.waits:
                self.peer.reply(read(changes(revision)))
        self.use_peer = False
        for _ in range(4):
            self.run_for(0.4)
            for source in (self.peer, self.store):
                if source.waits:
                    source.reply(read(changes(30)))
        self.assertGreater(self.store.asked.count("after 30"), 0)
        self.assertEqual({gap for _, gap in self.taken}, {False})

    def follow_peer(self, seconds: float) -> None:
        """Reads from the peer, whose state is current, for some time."""
        for _ in range(round(seconds / 0.4)):
            self.run_for(0.4)
            if self.peer.waits:
                self.peer.reply(read(changes(30)))

    # Guards against DRAIN of issue 25: an upstream that had left got requests for 2.2 s more, as an
    # outage of the store long before was taken for the cause of its removal.
    def test_removal_long_after_an_outage_is_not_held_back(self) -> None:
        self.start_with(7)
        self.peer_always = self.use_peer = True
        self.store.reply(unavailable())
        self.follow_peer(8.0)
        self.use_peer = False
        self.run_for(3.0)
        self.store.reply(read(changes(31, removal("a"))))
        self.assertEqual(self.taken[-1], (changes(31, removal("a")), False))

    # Guards against DRAIN of issue 25: a store that did not answer one node was taken for a store
    # that had served none, although peers had read it meanwhile.
    def test_removal_is_not_held_back_if_peers_read_the_store_meanwhile(self) -> None:
        for peers_read, held in ((False, True), (True, False)):
            with self.subTest(peers_read=peers_read):
                self.setUp()
                self.start_with(7)
                for _ in range(4):
                    self.store.reply(unavailable())
                    self.run_for(MAX_RETRY_S * 1.2)
                    if peers_read:
                        self.availability.record(self.clock.now() - 1.0)
                self.store.reply(read(changes(8, removal("a"))))
                self.assertEqual(self.taken[-1], (changes(8, removal("a")), held))

    def test_return_of_the_store_that_a_peer_noticed_first_ends_an_outage(self) -> None:
        self.start_with(7)
        for _ in range(4):
            self.store.reply(unavailable())
            self.run_for(MAX_RETRY_S * 1.2)
        self.availability.record(self.clock.now())
        self.run_for(0.5)
        self.store.reply(read(changes(8, removal("a"))))
        self.assertEqual(self.taken[-1], (changes(8, removal("a")), True))

    def test_retries_slow_down_but_go_on(self) -> None:
        self.start_with(7)
        self.store.reply(unavailable())
        for _ in range(200):
            self.run_for(0.05)
            if self.store.waits:
                self.store.reply(unavailable())
        self.assertGreater(len(self.store.asked), 10)
        self.assertLess(len(self.store.asked), 24)

    def test_failed_peer_is_replaced_by_the_store_from_the_same_revision(self) -> None:
        self.use_peer = True
        self.start_by_peer(7)
        self.peer.reply(unavailable())
        self.run_for(0.1)
        self.assertEqual(self.store.asked, ["stale", "after 7"])

    def test_age_includes_the_age_of_peer_state(self) -> None:
        self.use_peer = True
        self.start_by_peer(7, age=1.5)
        self.assertAlmostEqual(self.feed.age, 1.6, delta=0.11)

    def start_by_peer(self, revision: int, age: float = 0.0) -> None:
        """Completes a full read from the store, then a read of changes from the peer."""
        self.store.reply(read(changes(revision - 1, whole=True)))
        self.run_for(0.05)
        self.peer.reply(read(changes(revision, age=age)))
        self.run_for(0.15)
