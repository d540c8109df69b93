"""Tests of `KvSource` against the stand-in of the platform's store."""

from __future__ import annotations

from random import Random

from msgspec import json
from msgspec.structs import replace
from result import Err, Ok

from sequoiapulley.forward.state import (
    AnnounceReply,
    ChangeSet,
    FoundLeaseReply,
    NodeChange,
    RequestRefusal,
    SourceErrorKind,
    TableChange,
    UnreadableEntry,
    UpstreamChange,
    UpstreamRemoval,
)
from sequoiapulley.ids import Fingerprint, Incarnation, LeaseId, NodeId, UpstreamName
from standins.store import PAGE_ITEMS
from tests.kv_source_case import KvSourceCase
from tests.state_fixtures import node
from tests.test_platform_documents import CONFIGURATION, UPSTREAM

RECORD = replace(node("n"), host="127.0.0.1")


class KvSourceTest(KvSourceCase):
    """Full reads, watches and node registrations."""

    def test_refused_request_is_kept_and_read(self) -> None:
        refusal = RequestRefusal(Fingerprint("f" * 32), 3, 1_700_000_000_000)
        done: list[AnnounceReply] = []
        self.source.keep_refusal(refusal, 300.0, done.append)
        self.loop.until(lambda: bool(done))
        self.assertIsInstance(done[0], Ok)
        self.assertIn(refusal, self.read_all().changes)

    def put_upstreams(self, count: int) -> None:
        for number in range(count):
            self.server.put(f"servers/u{number:04}", json.encode(UPSTREAM))

    def test_full_read_returns_all_pages(self) -> None:
        self.put_upstreams(2 * PAGE_ITEMS + 1)
        self.server.put("op/config", json.encode(CONFIGURATION))
        found = self.read_all()
        kinds = [type(change) for change in found.changes]
        self.assertEqual(kinds.count(UpstreamChange), 2 * PAGE_ITEMS + 1)
        self.assertEqual((kinds.count(TableChange), found.whole), (1, True))
        self.assertEqual(self.server.calls, {"kv-range": 3})

    # Guards against DRAIN of review case 4: a removal between the ages of two pages was never seen.
    def test_pages_of_different_ages_miss_no_change(self) -> None:
        random = Random(4)
        for lags in ((0, 30), (30, 0), (30, 60), (60, 30), (0, 1), (0, 0)) * 3:
            with self.subTest(lags=lags):
                self.server.faults.stale_lags = (0, 0)
                self.put_upstreams(PAGE_ITEMS + 20)
                for _ in range(80):
                    name = f"u{random.randrange(PAGE_ITEMS + 20):04}"
                    if random.random() < 0.5:
                        self.server.remove(f"servers/{name}")
                    else:
                        self.server.put(f"servers/{name}", json.encode(UPSTREAM))
                expected = self.registered(self.read_all(), set())
                self.server.faults.stale_lags = lags
                stale = self.read_all(exact=False)
                found = self.registered(stale, set())
                since = self.read_changes(stale.revision, wait=0.0).unwrap()
                self.assertEqual(self.registered(since, found), expected)

    def registered(self, found: ChangeSet, before: set[str]) -> set[str]:
        """Returns the names of the upstreams after changes."""
        names = set(before)
        for change in found.changes:
            if isinstance(change, UpstreamChange):
                names.add(str(change.record.name))
            elif isinstance(change, UpstreamRemoval):
                names.discard(str(change.name))
        return names

    def test_watch_returns_the_changes_after_a_revision(self) -> None:
        self.put_upstreams(2)
        start = self.read_all().revision
        self.server.remove("servers/u0000")
        self.server.put("servers/u0001", b"\xff")
        found = self.read_changes(start).unwrap()
        self.assertIn(UpstreamRemoval(UpstreamName("u0000")), found.changes)
        self.assertIsInstance(found.changes[1], UnreadableEntry)
        unchanged = self.read_changes(found.revision, wait=0.05).unwrap()
        self.assertEqual((unchanged.changes, unchanged.revision), ((), found.revision))

    def test_only_the_last_change_of_a_key_is_returned(self) -> None:
        self.put_upstreams(1)
        start = self.read_all().revision
        for _ in range(3):
            self.put_upstreams(1)
        self.assertEqual(len(self.read_changes(start).unwrap().changes), 1)

    def test_entry_that_was_removed_and_written_again_is_marked(self) -> None:
        self.put_upstreams(2)
        start = self.read_all().revision
        self.server.remove("servers/u0000")
        self.put_upstreams(2)
        found = self.read_changes(start).unwrap().changes
        marks = {
            str(change.record.name): change.returned
            for change in found
            if isinstance(change, UpstreamChange)
        }
        self.assertEqual(marks, {"u0000": True, "u0001": False})

    def test_compacted_history_is_reported(self) -> None:
        self.put_upstreams(3)
        self.server.compact_history()
        error = self.read_changes(1).unwrap_err()
        self.assertIs(error.kind, SourceErrorKind.HISTORY_COMPACTED)

    def test_refusals_and_resets_are_reported_as_unavailable(self) -> None:
        for status in (429, 503, 500):
            self.server.faults.refuse_with = status
            error = self.read_changes(1).unwrap_err()
            self.assertIs(error.kind, SourceErrorKind.UNAVAILABLE)
        self.server.faults.refuse_with = 0
        self.server.faults.unreachable = True
        self.assertIs(self.read_changes(1).unwrap_err().kind, SourceErrorKind.UNAVAILABLE)

    def test_node_is_registered_under_a_lease(self) -> None:
        replies: list[AnnounceReply] = []
        self.source.announce(RECORD, 60.0, replies.append)
        self.loop.until(lambda: bool(replies))
        lease = replies.pop().unwrap()
        self.assertIn(NodeChange(RECORD), self.read_all().changes)
        self.source.renew(lease, replies.append)
        self.loop.until(lambda: bool(replies))
        self.assertEqual(replies.pop().unwrap(), lease)
        start = self.read_all().revision
        self.server.end_lease(int(lease))
        self.assertEqual(len(self.read_changes(start).unwrap().changes), 1)
        self.source.renew(LeaseId(lease), replies.append)
        self.loop.until(lambda: bool(replies))
        reply = replies.pop()
        assert isinstance(reply, Err)
        self.assertIs(reply.err_value.kind, SourceErrorKind.HISTORY_COMPACTED)

    def test_lease_of_an_earlier_process_is_found_if_the_addresses_are_equal(self) -> None:
        leases: list[AnnounceReply] = []
        self.source.announce(RECORD, 60.0, leases.append)
        self.loop.until(lambda: bool(leases))
        lease = leases.pop().unwrap()
        later = replace(RECORD, incarnation=Incarnation(RECORD.incarnation + 9))
        for record, expected in (
            (later, lease),
            (replace(later, host="127.0.0.2"), None),
            (replace(later, name=NodeId("other")), None),
        ):
            found: list[FoundLeaseReply] = []
            self.source.find_lease(record, found.append)
            self.loop.until(lambda found=found: bool(found))
            self.assertEqual(found[0], Ok(expected))
        self.server.put("nodes/n", b"\xff")
        found = []
        self.source.find_lease(RECORD, found.append)
        self.loop.until(lambda: bool(found))
        self.assertEqual(found[0], Ok(None))
