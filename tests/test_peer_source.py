"""Tests of the replication of state between nodes, over sockets."""

from __future__ import annotations

from random import Random
from string import ascii_letters
from unittest import TestCase

from msgspec.msgpack import decode

from sequoiapulley.daemon.peer_source import (
    LARGE_REPLY_BYTES,
    MAX_RECEIVING_AGE_S,
    MAX_STATE_AGE_S,
    PeerPort,
    PeerSource,
)
from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.log_events import STATE_SENT
from sequoiapulley.forward.node_settings import Address
from sequoiapulley.forward.route_table import RouteTable
from sequoiapulley.forward.state import ChangeSet, ChangesReply, TableChange
from sequoiapulley.forward.table_history import TableHistory
from sequoiapulley.forward.tally import Tally
from sequoiapulley.ids import Revision
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.http_server import HttpServer
from sequoiapulley.wire.server_connection import ServerLimits
from tests.state_fixtures import (
    changes,
    large_table,
    position,
    removal,
    table,
    upstream_change,
)
from tests.wire_support import Loop


class PeerSourceTest(TestCase):
    """One node reads the state of another."""

    def setUp(self) -> None:
        self.loop = Loop(PausedClock())
        self.log = ChangeLog()
        self.age = 0.0
        self.receiving = False
        self.full_state = changes(
            7, TableChange(table(3)), upstream_change("a"), removal("a", True), whole=True
        )
        self.tally = Tally()
        self.history = TableHistory()
        self.table: RouteTable | None = None
        self.events = MemoryLog()
        self.port = PeerPort(
            self.log,
            self.loop.timers,
            lambda _age: self.full_state,
            self.history.delta_after,
            lambda: self.age,
            lambda: self.receiving,
            self.tally,
            self.events,
        )
        server = HttpServer(
            self.loop.reactor, self.loop.timers, "127.0.0.1", 0, self.port.serve, ServerLimits()
        )
        self.addCleanup(server.close)
        self.client = client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(client.close)
        address = Address("127.0.0.1", server.port)
        self.source = PeerSource(client, address, lambda: self.table)
        self.replies: list[ChangesReply] = []
        self.log.advance(position(7))

    def read(self, after: int) -> list[ChangesReply]:
        self.source.read_changes(position(after), 0.5, 1.0, self.replies.append)
        self.loop.settle()
        replies = list(self.replies)
        self.replies.clear()
        return replies

    def test_full_state_reaches_a_peer_unchanged(self) -> None:
        self.source.read_all(False, 1.0, self.replies.append)
        self.loop.settle()
        self.assertEqual(self.replies[0].unwrap(), self.full_state)

    def test_peer_behind_the_change_log_gets_the_full_state(self) -> None:
        self.assertEqual(self.read(5)[0].unwrap(), self.full_state)

    def test_change_ends_the_wait(self) -> None:
        self.assertEqual(self.read(7), [])
        self.log.append(upstream_change("b"), Revision(8))
        self.log.advance(position(8))
        self.port.wake()
        self.loop.settle()
        self.assertEqual(self.replies[0].unwrap(), changes(8, upstream_change("b")))

    def test_wait_ends_without_a_change(self) -> None:
        self.assertEqual(self.read(7), [])
        self.age = 0.4
        self.loop.advance(0.6)
        self.assertEqual(self.replies[0].unwrap(), changes(7, age=0.4))

    def test_request_for_a_later_revision_waits(self) -> None:
        self.assertEqual(self.read(9), [])
        self.port.wake()
        self.loop.settle()
        self.assertEqual(self.replies, [])

    def test_stale_state_is_served_only_to_a_peer_without_state(self) -> None:
        self.age = MAX_STATE_AGE_S + 0.1
        self.assertTrue(self.read(5)[0].is_err())
        self.source.read_all(False, 1.0, self.replies.append)
        self.loop.settle()
        self.assertTrue(self.replies[0].is_ok())

    def test_state_is_served_longer_while_newer_state_is_arriving(self) -> None:
        self.age = MAX_RECEIVING_AGE_S - 0.1
        self.assertTrue(self.read(5)[0].is_err())
        self.receiving = True
        self.assertTrue(self.read(5)[0].is_ok())
        self.age = MAX_RECEIVING_AGE_S + 0.1
        self.assertTrue(self.read(5)[0].is_err())

    def read_large_table(self, own: RouteTable | None) -> tuple[ChangesReply, int]:
        """Reads a change from version 2 to version 3, with one route more than 1,000."""
        for version, routes in ((2, 1000), (3, 1001)):
            latest = large_table(version, routes)
            self.history.record(latest)
        self.log.append(TableChange(latest), Revision(8))
        self.log.advance(position(8))
        self.table = own
        [reply] = self.read(7)
        return reply, self.tally.state_reply_bytes

    # Guards against CONFIG of issue 25: a change of one route sent all routes to every follower.
    def test_peer_with_the_previous_configuration_gets_the_difference(self) -> None:
        reply, sent = self.read_large_table(large_table(2, 1000))
        self.assertEqual(reply.unwrap(), changes(8, TableChange(large_table(3, 1001))))
        self.assertLess(sent, 600)

    def test_whole_configuration_is_compressed(self) -> None:
        reply, sent = self.read_large_table(large_table(1, 5))
        self.assertEqual(reply.unwrap(), changes(8, TableChange(large_table(3, 1001))))
        self.assertLess(sent, 30_000)

    def test_difference_that_does_not_fit_is_read_again_as_a_whole(self) -> None:
        reply, _ = self.read_large_table(large_table(2, 999))
        self.assertIn("does not fit", reply.unwrap_err().detail)
        self.assertEqual(self.read(7)[0].unwrap(), changes(8, TableChange(large_table(3, 1001))))

    def test_node_of_an_earlier_version_gets_plain_changes(self) -> None:
        results: list[HttpResult] = []
        self.read_large_table(None)
        call = HttpCall("127.0.0.1", self.source.address.port, "GET", "/v1/changes?after=7")
        self.client.request(call, results.append)
        self.loop.settle()
        sent = decode(results[0].unwrap().body, type=ChangeSet)
        self.assertEqual(sent, changes(8, TableChange(large_table(3, 1001))))

    def test_superseded_configuration_is_not_sent(self) -> None:
        for version in (4, 5):
            self.log.append(TableChange(table(version)), Revision(4 + version))
        self.log.append(upstream_change("b"), Revision(9))
        self.log.advance(position(9))
        self.assertEqual(
            self.read(7)[0].unwrap(), changes(9, TableChange(table(5)), upstream_change("b"))
        )

    def test_replies_are_counted_and_large_ones_logged(self) -> None:
        self.read(5)
        self.assertEqual(self.events.entries, [])
        for number in range(LARGE_REPLY_BYTES // 50):
            name = "".join(Random(number).choices(ascii_letters, k=100))
            self.log.append(upstream_change(name), Revision(8))
        self.log.advance(position(8))
        self.read(7)
        self.assertEqual(self.tally.state_replies, {"full": 1, "changes": 1})
        [(event, fields)] = self.events.entries
        self.assertIs(event, STATE_SENT)
        self.assertEqual(fields["replies"], 1)
        self.assertGreaterEqual(fields["bytes"], LARGE_REPLY_BYTES)

    def test_node_without_state_refuses(self) -> None:
        self.log.position = position(0)
        self.source.read_all(False, 1.0, self.replies.append)
        self.loop.settle()
        self.assertTrue(self.replies[0].is_err())
