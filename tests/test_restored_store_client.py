"""Tests of the store client against a store that comes back from a copy."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from msgspec import json
from msgspec.structs import replace
from result import Ok

from sequoiapulley.forward.state import ChangesReply, NodeRecord, RegisteredReply
from sequoiapulley.ids import LeaseId
from sequoiapulley.platform.kv_source import KvSource
from sequoiapulley.wire.http_client import HttpClient
from standins.store import PAGE_ITEMS, StoreStandIn
from tests.state_fixtures import node
from tests.test_platform_documents import UPSTREAM
from tests.wire_support import Loop

TIMEOUT_S = 10.0


class RestoredStoreClientTest(TestCase):
    """The store client against a stand-in that is restored."""

    def setUp(self) -> None:
        self.server = StoreStandIn()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.loop = Loop()
        client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(client.close)
        self.source = KvSource(client, self.server.host, self.server.port)
        self.replies: list[ChangesReply] = []

    def next_reply(self) -> ChangesReply:
        self.loop.until(lambda: bool(self.replies))
        return self.replies.pop(0)

    def read_all(self) -> ChangesReply:
        self.source.read_all(True, TIMEOUT_S, self.replies.append)
        return self.next_reply()

    def put_upstreams(self, count: int) -> None:
        for number in range(count):
            self.server.put(f"servers/u{number:04}", json.encode(UPSTREAM))

    def test_restoration_shows_in_reads_and_in_the_refusal_of_a_watch(self) -> None:
        self.server.save()
        self.put_upstreams(3)
        before = self.read_all().unwrap()
        self.server.restore()
        self.source.read_changes(before.position, 1.0, TIMEOUT_S, self.replies.append)
        self.assertEqual(self.next_reply().unwrap_err().era, before.era + 1)
        after = self.read_all().unwrap()
        self.assertEqual((after.era, after.changes), (before.era + 1, ()))
        self.assertLess(after.revision, before.revision)

    def test_read_of_several_pages_starts_again_when_the_store_is_restored(self) -> None:
        self.put_upstreams(PAGE_ITEMS + 1)
        self.server.save()
        self.put_upstreams(2 * PAGE_ITEMS + 1)
        restores: list[Callable[[], None]] = [self.server.restore]
        page = self.server.service._range

        def answer_page(request: object) -> object:
            response = page(request)  # type: ignore[arg-type]
            if restores:
                self.server.service.state.restore()
                restores.clear()
            return response

        self.server.service._range = answer_page  # type: ignore[assignment, method-assign]
        found = self.read_all().unwrap()
        self.assertEqual((found.era, len(found.changes)), (2, PAGE_ITEMS + 1))

    def test_reply_with_a_malformed_era_is_an_error_and_one_without_has_the_latest(self) -> None:
        self.server.save()
        self.server.restore()
        latest = self.read_all().unwrap().era
        for text in ("x", "-1", "1.5", "9" * 30):
            self.server.faults.era_text = text
            self.assertIn("not a number", self.read_all().unwrap_err().detail)
        self.server.faults.era_text = "omit"
        self.assertEqual(self.read_all().unwrap().era, latest)

    def test_record_that_the_copy_lacks_is_reported_although_its_lease_is_assigned_again(
        self,
    ) -> None:
        registered: list[RegisteredReply] = []
        leases: list[LeaseId] = []

        def record(name: str) -> NodeRecord:
            return replace(node(name), host="127.0.0.1")

        def announce(name: str) -> LeaseId:
            self.source.announce(record(name), 60.0, lambda reply: leases.append(reply.unwrap()))
            self.loop.until(lambda: bool(leases))
            return leases.pop()

        def is_registered(name: str, lease: LeaseId) -> RegisteredReply:
            self.source.is_registered(record(name), lease, registered.append)
            self.loop.until(lambda: bool(registered))
            return registered.pop()

        kept = announce("kept")
        self.server.save()
        lost = announce("lost")
        self.server.restore()
        self.assertEqual(announce("other"), lost, "the lease's id is not assigned again")
        self.assertEqual(is_registered("kept", kept), Ok(True))
        self.assertEqual(is_registered("lost", lost), Ok(False))
