"""Tests of applying shared state: versions only increase, expired entries may return."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.log_events import (
    CRASHING_REQUEST_REFUSED,
    CRASHING_REQUEST_SUSPECTED,
)
from sequoiapulley.forward.messages import ExchangeReply
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.shared_state import REREGISTRATION_S, SharedState
from sequoiapulley.forward.state import (
    Change,
    NodeChange,
    RequestRefusal,
    TableChange,
    UnreadableEntry,
    UpstreamChange,
)
from sequoiapulley.forward.table_history import TableHistory
from sequoiapulley.ids import ServiceName, UpstreamName
from tests.simulated_upstreams import SimulatedNet, success
from tests.state_fixtures import changes, node, position, removal, table, upstream, upstream_change


def reply(*_args: object) -> tuple[float, ExchangeReply]:
    return 0.001, success()


class SharedStateTest(TestCase):
    """Shared state of one node."""

    def setUp(self) -> None:
        self.net = SimulatedNet(reply)
        self.log = ChangeLog()
        self.peers = PeerTable(node("me"), self.net.log)
        self.state = SharedState(
            self.net.forwarder,
            self.net.directory,
            self.peers,
            self.net.ctx.crash_guard,
            self.log,
            TableHistory(),
            self.net.timers,
            self.net.log,
        )

    def apply(
        self, revision: int, *items: Change, whole: bool = False, outage: bool = False
    ) -> None:
        self.state.apply_changes(changes(revision, *items, whole=whole), outage)

    def names(self) -> set[str]:
        return {str(name) for name in self.net.directory.names()}

    # Guards against issue 28 after a restart of all nodes, which had forgotten what they refused.
    def test_kept_refusal_is_applied_and_told(self) -> None:
        guard = self.net.ctx.crash_guard
        req = self.net.request("/p/crash")
        expires_ms = round((self.net.clock.wall() + 300.0) * 1000)
        self.apply(1, RequestRefusal(req.fingerprint, 3, expires_ms))
        self.assertAlmostEqual(guard.refused_for(req), 300.0, places=2)
        self.assertEqual([news.strike.fingerprint for news in guard.news()], [req.fingerprint])
        suspect = self.net.request("/p/suspect")
        self.apply(2, RequestRefusal(suspect.fingerprint, 2, expires_ms))
        self.assertEqual(guard.refused_for(suspect), 0.0)
        self.assertTrue(guard.must_probe(suspect, ServiceName("s")))
        events = [event for event, _ in self.net.log.entries]
        self.assertEqual(events, [CRASHING_REQUEST_REFUSED, CRASHING_REQUEST_SUSPECTED])

    def test_kept_refusal_that_has_expired_is_ignored(self) -> None:
        req = self.net.request("/p/crash")
        now_ms = round(self.net.clock.wall() * 1000)
        self.apply(1, RequestRefusal(req.fingerprint, 3, now_ms - 1))
        self.assertEqual(self.net.ctx.crash_guard.refused_for(req), 0.0)

    def test_removed_entry_takes_effect_at_once(self) -> None:
        self.apply(1, upstream_change("a"), upstream_change("b"))
        self.apply(2, removal("a"))
        self.assertEqual(self.names(), {"b"})

    def test_entry_that_lapsed_in_an_outage_may_return(self) -> None:
        self.apply(1, upstream_change("a"), upstream_change("b"))
        self.apply(2, removal("a"), removal("b"), outage=True)
        self.assertEqual(self.names(), {"a", "b"})
        self.net.run(REREGISTRATION_S / 2)
        self.apply(3, upstream_change("a"))
        self.net.run(REREGISTRATION_S)
        self.assertEqual(self.names(), {"a"})

    def test_full_state_removes_unlisted_upstreams(self) -> None:
        self.apply(1, upstream_change("a"), upstream_change("b"))
        self.apply(2, upstream_change("b"), whole=True)
        self.assertEqual(self.names(), {"b"})

    def test_draining_upstream_is_no_candidate(self) -> None:
        self.apply(1, upstream_change("a"), upstream_change("b"))
        self.apply(2, upstream_change("a", draining=True))
        names = [str(u.record.name) for u in self.net.directory.candidates(upstream_service())]
        self.assertEqual(names, ["b"])

    def test_earlier_start_of_an_upstream_is_ignored(self) -> None:
        self.apply(1, upstream_change("a", start=5))
        self.apply(2, upstream_change("a", start=4, draining=True))
        self.assertEqual(len(self.net.directory.candidates(upstream_service())), 1)
        self.apply(3, upstream_change("a", start=6))
        self.assertEqual(len(self.net.pools), 1)

    def test_unreadable_entry_removes_only_its_upstream(self) -> None:
        self.apply(1, upstream_change("a"), upstream_change("b"))
        self.apply(2, UnreadableEntry("k", "not an object", UpstreamName("a")))
        self.assertEqual(self.names(), {"b"})

    @given(st.lists(st.integers(1, 20), min_size=1, max_size=12))
    def test_active_version_never_decreases(self, versions: list[int]) -> None:
        self.setUp()
        highest = 0
        for revision, version in enumerate(versions, start=1):
            self.apply(revision, TableChange(table(version)))
            highest = max(highest, version)
            in_force = self.net.forwarder.table
            self.assertEqual(in_force.version if in_force else 0, highest)

    def test_change_log_and_full_state_contain_applied_changes(self) -> None:
        self.apply(5, upstream_change("a"), TableChange(table(2)), whole=True)
        self.apply(6, upstream_change("b"), NodeChange(node("n")))
        self.apply(7, removal("a"))
        self.assertIsNone(self.log.changes_after(position(4)))
        since = self.log.changes_after(position(5))
        assert since is not None
        self.assertEqual(since, (upstream_change("b"), NodeChange(node("n")), removal("a")))
        image = self.state.full_state(0.0)
        self.assertEqual((image.revision, image.whole), (7, True))
        self.assertIn(upstream_change("b"), image.changes)

    def test_follower_that_read_a_removal_itself_learns_that_the_entry_returned(self) -> None:
        """All entries lapse in an outage and are written again.

        The follower reaches the store between the two, its store reader only after both, so that
        nothing has changed for the reader.
        """
        follower = self.make_follower()
        for member in (self, follower):
            member.apply(5, upstream_change("a"), upstream_change("b"), whole=True)
        follower.apply(6, removal("a"), removal("b"), outage=True)
        returned = UpstreamChange(upstream("a"), returned=True)
        self.apply(8, returned, upstream_change("b"), outage=True)
        found = self.log.changes_after(position(6))
        self.assertEqual(found, (returned,))
        assert found is not None
        follower.apply(8, *found)
        follower.net.run(REREGISTRATION_S + 0.1)
        self.assertEqual(follower.names(), {"a"})

    def test_follower_that_registered_an_upstream_itself_learns_that_it_was_removed(self) -> None:
        follower = self.make_follower()
        for member in (self, follower):
            member.apply(5, upstream_change("b"), whole=True)
        follower.apply(6, upstream_change("a"))
        self.apply(8, removal("a"))
        found = self.log.changes_after(position(6))
        assert found is not None
        follower.apply(8, *found)
        self.assertEqual(follower.names(), {"b"})

    # Guards against DRAIN of issue 25: a follower went on using an upstream that had left, as its
    # reader had lost the upstream in an outage and did not pass the removal on.
    def test_follower_learns_of_a_removal_that_its_reader_holds_back(self) -> None:
        follower = self.make_follower()
        for member in (self, follower):
            member.apply(5, upstream_change("a"), upstream_change("b"), whole=True)
            member.apply(6, removal("a"), outage=True)
        follower.apply(7, upstream_change("a"))
        self.apply(8, removal("a"))
        found = self.log.changes_after(position(7))
        self.assertEqual(found, (removal("a"),))
        assert found is not None
        follower.apply(8, *found)
        self.assertEqual(follower.names(), {"b"})

    def test_followers_get_the_full_state_after_a_full_read(self) -> None:
        """A full read does not tell which entries were removed and written again meanwhile."""
        self.apply(5, upstream_change("a"), whole=True)
        self.apply(8, upstream_change("a"), whole=True)
        self.assertIsNone(self.log.changes_after(position(6)))
        self.assertEqual(self.log.changes_after(position(8)), ())

    def make_follower(self) -> SharedStateTest:
        follower = SharedStateTest()
        follower.setUp()
        return follower

    def test_full_state_marks_entries_that_may_return(self) -> None:
        self.apply(5, upstream_change("a"), whole=True)
        self.apply(6, removal("a"), outage=True)
        other = SharedStateTest()
        other.setUp()
        other.state.apply_changes(self.state.full_state(0.0), False)
        self.assertEqual(other.names(), {"a"})
        other.net.run(REREGISTRATION_S + 0.1)
        self.assertEqual(other.names(), set())


def upstream_service() -> ServiceName:
    """Returns the service of the upstream records in these tests."""
    return upstream_change("a").record.service
