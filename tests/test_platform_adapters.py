"""Tests of the platform adapters against the stand-ins, over real sockets."""

from __future__ import annotations

from unittest import TestCase

from result import Err, Ok

from sequoiapulley.ids import Revision
from sequoiapulley.platform.http_store import HttpStore
from sequoiapulley.platform.http_vm_list import HttpVmList
from sequoiapulley.platform.store import ABSENT, LeaseReply, StoreErrorKind, StoreReply
from sequoiapulley.platform.vm_list import VmListReply, VmState
from sequoiapulley.wire.http_client import HttpClient
from standins.store import StoreStandIn
from standins.vm_list import VmListStandIn
from tests.wire_support import Loop


class HttpStoreTest(TestCase):
    """Compare-and-swap, watches, leases and each kind of failure."""

    def setUp(self) -> None:
        self.server = StoreStandIn()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.loop = Loop()
        client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.store = HttpStore(client, self.server.host, self.server.port, timeout=5.0)
        self.replies: list[StoreReply] = []

    def next_reply(self) -> StoreReply:
        self.loop.until(lambda: bool(self.replies))
        return self.replies.pop(0)

    def put(self, value: bytes, expected: Revision) -> StoreReply:
        self.store.put("a/b", value, expected, self.replies.append)
        self.assertEqual(self.replies, [], "the callback ran inside the call")
        return self.next_reply()

    def error_kind(self, reply: StoreReply) -> StoreErrorKind:
        self.assertIsInstance(reply, Err)
        return reply.unwrap_err().kind

    def test_compare_and_swap(self) -> None:
        first = self.put(b"\x00one", ABSENT).unwrap()
        refused = self.put(b"two", ABSENT)
        self.assertEqual(self.error_kind(refused), StoreErrorKind.CONFLICT)
        self.assertEqual(refused.unwrap_err().current, first)
        second = self.put(b"two", first.revision).unwrap()
        self.store.delete("a/b", second.revision, self.replies.append)
        self.assertEqual(self.next_reply().unwrap().revision, ABSENT)

    def test_watch_returns_at_the_change(self) -> None:
        first = self.put(b"one", ABSENT).unwrap()
        self.store.watch("a/b", first.revision, 30.0, self.replies.append)
        changed: list[StoreReply] = []
        self.store.put("a/b", b"two", first.revision, changed.append)
        self.assertEqual(self.next_reply().unwrap().value, b"two")

    def test_lost_reply_is_reported_as_no_reply(self) -> None:
        self.server.faults.lose_replies = 1
        self.assertEqual(self.error_kind(self.put(b"one", ABSENT)), StoreErrorKind.NO_REPLY)
        self.store.get("a/b", self.replies.append)
        self.assertEqual(self.next_reply().unwrap().value, b"one")

    def test_outages(self) -> None:
        self.server.faults.down = True
        self.assertEqual(self.error_kind(self.put(b"one", ABSENT)), StoreErrorKind.UNAVAILABLE)
        self.server.faults.down = False
        self.server.faults.slow_ms = 60_000.0
        client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        short_timeout_store = HttpStore(client, self.server.host, self.server.port, timeout=0.05)
        short_timeout_store.put("a/b", b"one", ABSENT, self.replies.append)
        self.assertEqual(self.error_kind(self.next_reply()), StoreErrorKind.NO_REPLY)

    def test_unreachable_server_is_unavailable(self) -> None:
        client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        stopped = StoreStandIn()
        stopped.start()
        stopped.stop()
        HttpStore(client, stopped.host, stopped.port).get("a", self.replies.append)
        self.assertEqual(self.error_kind(self.next_reply()), StoreErrorKind.UNAVAILABLE)

    def test_expired_lease_removes_its_keys(self) -> None:
        leases: list[LeaseReply] = []
        self.store.grant_lease(0.2, leases.append)
        self.loop.until(lambda: bool(leases))
        self.store.put("a/b", b"one", ABSENT, self.replies.append, leases[0].unwrap())
        written = self.next_reply().unwrap()
        self.store.watch("a/b", written.revision, 0.4, self.replies.append)
        self.assertEqual(self.next_reply().unwrap().revision, ABSENT)


class HttpVmListTest(TestCase):
    """The adapter decodes the list of VMs."""

    def test_reads_records(self) -> None:
        vm = {"name": "v", "host": "127.0.0.1", "port": 7, "place": "p", "state": "leaving"}
        server = VmListStandIn(vms=[vm])
        server.start()
        self.addCleanup(server.stop)
        loop = Loop()
        replies: list[VmListReply] = []
        vm_list = HttpVmList(
            HttpClient(loop.reactor, loop.clock, loop.timers), server.host, server.port
        )
        vm_list.fetch(replies.append)
        loop.until(lambda: bool(replies))
        assert isinstance(replies[0], Ok)
        self.assertEqual(replies[0].ok_value.vms[0].state, VmState.LEAVING)

    # Guards against a list that is followed no longer, and against sends to a port out of range.
    def test_odd_records_leave_the_others_in_force(self) -> None:
        vm = {"name": "v", "host": "127.0.0.1", "port": 7, "place": "p", "state": "live"}
        nested: object = 1
        for _ in range(200):
            nested = [nested]
        odd: list[object] = [
            {**vm, "port": 65_536},
            {**vm, "port": 0},
            {**vm, "port": 10**18},
            {**vm, "port": "7"},
            {**vm, "host": "example"},
            {**vm, "host": "0.0.0.0"},
            {**vm, "state": "gone"},
            {"name": "v"},
            {**vm, "name": nested},
            nested,
        ]
        server = VmListStandIn(vms=[*odd, vm])  # type: ignore[list-item]
        server.start()
        self.addCleanup(server.stop)
        loop = Loop()
        replies: list[VmListReply] = []
        client = HttpClient(loop.reactor, loop.clock, loop.timers)
        self.addCleanup(client.close)
        HttpVmList(client, server.host, server.port).fetch(replies.append)
        loop.until(lambda: bool(replies))
        listing = replies[0].unwrap()
        self.assertEqual([record.port for record in listing.vms], [7])
        self.assertEqual(len(listing.unreadable), len(odd))
