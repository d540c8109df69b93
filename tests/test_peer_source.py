"""Tests of the replication of state between nodes, over sockets."""

from __future__ import annotations

from unittest import TestCase

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
from sequoiapulley.forward.state import ChangesReply, TableChange
from sequoiapulley.forward.tally import Tally
from sequoiapulley.ids import Revision
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.http_server import HttpServer
from sequoiapulley.wire.server_connection import ServerLimits
from tests.state_fixtures import changes, position, removal, table, upstream_change
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
        self.events = MemoryLog()
        self.port = PeerPort(
            self.log,
            self.loop.timers,
            lambda _age: self.full_state,
            lambda: self.age,
            lambda: self.receiving,
            self.tally,
            self.events,
        )
        server = HttpServer(
            self.loop.reactor, self.loop.timers, "127.0.0.1", 0, self.port.serve, ServerLimits()
        )
        self.addCleanup(server.close)
        client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(client.close)
        self.source = PeerSource(client, Address("127.0.0.1", server.port))
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

    def test_replies_are_counted_and_large_ones_logged(self) -> None:
        self.read(5)
        self.assertEqual(self.events.entries, [])
        for number in range(LARGE_REPLY_BYTES // 100):
            self.log.append(upstream_change(f"u-{number}"), Revision(8))
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
