"""Tests of nodes to which the store no longer replies: they must not miss a newer configuration.

Two failure domains have three nodes each. The store stops replying to some nodes of the first one,
and some time later an operator writes a newer configuration. The affected nodes must read it from
peers, and an affected store reader must not delay the other nodes of its failure domain.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from unittest import TestCase

from result import Err, Ok

from sequoiapulley.daemon.feed_sources import FeedSourceSelector
from sequoiapulley.daemon.peer_source import PeerPort
from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.peer_table import (
    LOCAL_HEARTBEAT_INTERVAL_S,
    REMOTE_HEARTBEAT_INTERVAL_S,
    PeerTable,
)
from sequoiapulley.forward.state import ChangeSet, ChangesReply, NodeRecord, TableChange
from sequoiapulley.forward.state_feed import StateFeed
from sequoiapulley.ids import ConfigVersion, Revision
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from sequoiapulley.wire.http_client import (
    HttpCall,
    HttpFailure,
    HttpFailureKind,
    HttpReply,
    HttpResult,
)
from tests.state_fixtures import changes, heartbeat, history_compacted, node, table, unavailable

MAX_APPLY_S = 3.0
"""Required bound on the time from the store's acknowledgement of a configuration to its activation
on the last node."""
MAX_RECOVERY_S = 4.0
"""Required bound on the time from the end of a store outage until the other bounds hold again."""
REPLY_S = 0.004
WRITES_PER_S = 20
"""Writes of upstreams to the store; because of them, a waiting read returns at once."""
START_S = 4.0


class FakeStore:
    """Implements `StateSource` for one node; all nodes read the same data."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        self._answer(lambda: Ok(self.fleet.changes_after(Revision(0))), timeout, done)

    def read_changes(
        self, after: Revision, wait: float, timeout: float, done: Callable[[ChangesReply], None]
    ) -> None:
        def read() -> ChangesReply:
            compacted = after < self.fleet.history_from
            return history_compacted() if compacted else Ok(self.fleet.changes_after(after))

        self._answer(read, wait + timeout, done)

    def _answer(
        self, read: Callable[[], ChangesReply], timeout: float, done: Callable[[ChangesReply], None]
    ) -> None:
        """Answers after a short delay, or lets the call time out for an affected node."""
        timers = self.fleet.timers
        if self.name in self.fleet.unresponsive_for:
            timers.call_later(timeout, lambda: done(unavailable()))
            return
        timers.call_later(REPLY_S, lambda: done(read()))


class FakeRequest:
    """One request to a node's port."""

    def __init__(self, path: str, done: Callable[[HttpResult], None]) -> None:
        self.parsed = SimpleNamespace(target=path.encode())
        self._done: Callable[[HttpResult], None] | None = done

    def answer(self, status: int, headers: object, body: bytes) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(Ok(HttpReply(status, [], body)))

    def expire(self) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(Err(HttpFailure(HttpFailureKind.TIMEOUT, True, "no reply")))


class FleetNode:
    """The components of one node that read and serve the shared state.

    It also replaces the node's forwarder, of which the sources read the version and the table.
    """

    def __init__(self, fleet: Fleet, record: NodeRecord, random: Random) -> None:
        self.record = record
        self.version = ConfigVersion(0)
        self.table = None
        self.peers = PeerTable(record, MemoryLog())
        self.log = ChangeLog()
        store = FakeStore(fleet, record.name)
        clock = fleet.timers.clock
        self.sources = FeedSourceSelector(store, fleet, self.peers, self, (), random, clock)
        self.feed = StateFeed(self.sources, fleet.timers, MemoryLog(), random, self.apply_changes)
        self.port = PeerPort(self.log, fleet.timers, self.full_state, lambda: self.feed.age)

    def apply_changes(self, changes_read: ChangeSet, after_outage: bool) -> None:
        for change in changes_read.changes:
            self.log.append(change, changes_read.revision)
            self.version = max(self.version, change.table.version)
        self.log.advance(changes_read.revision)
        self.sources.revision = changes_read.revision
        self.port.wake()

    def full_state(self, age: float) -> ChangeSet:
        return changes(self.log.revision, TableChange(table(self.version)), whole=True, age=age)


class Fleet:
    """Nodes of two failure domains; also replaces the nodes' HTTP client."""

    def __init__(self, seed: int) -> None:
        self.timers = TimerQueue(PausedClock())
        self.unresponsive_for: frozenset[str] = frozenset()
        self.versions = [(Revision(1), 1)]
        self.history_from = Revision(0)
        """Lowest revision after which the store still has all changes; the rest is compacted."""
        random = Random(seed)
        self.nodes = {
            name: FleetNode(self, node(name, domain), random)
            for domain in ("p", "q")
            for name in (f"{domain}1", f"{domain}2", f"{domain}3")
        }
        for fleet_node in self.nodes.values():
            self.timers.call_later(random.random(), fleet_node.feed.start)
            self.send_heartbeats(fleet_node, LOCAL_HEARTBEAT_INTERVAL_S, local=True)
            self.send_heartbeats(fleet_node, REMOTE_HEARTBEAT_INTERVAL_S, local=False)

    @property
    def revision(self) -> Revision:
        return Revision(int(self.timers.clock.now() * WRITES_PER_S))

    def changes_after(self, after: Revision) -> ChangeSet:
        """Returns the store's changes after a revision."""
        items = [TableChange(table(version)) for at, version in self.versions if at > after]
        return changes(self.revision, *items, whole=after == 0)

    def send_heartbeats(self, sender: FleetNode, period: float, local: bool) -> None:
        """Sends heartbeats to the nodes of the same failure domain, or to those of others."""
        now = self.timers.clock.now()
        message = heartbeat(sender.record, sender.version, sender.log.revision)
        for other in self.nodes.values():
            if (other.record.failure_domain == sender.record.failure_domain) is local:
                other.peers.record_heartbeat(message, now)
        self.timers.call_later(period, lambda: self.send_heartbeats(sender, period, local))

    def request(self, call: HttpCall, done: Callable[[HttpResult], None]) -> None:
        """Sends a request to a node's port."""
        req = FakeRequest(call.path, done)
        self.timers.call_later(call.timeout, req.expire)
        self.timers.call_later(REPLY_S, lambda: self.nodes[call.host].port.serve(req))

    def run(self, seconds: float) -> None:
        """Advances the clock and runs the timers that become due."""
        clock = self.timers.clock
        assert isinstance(clock, PausedClock)
        end = clock.now() + seconds
        while (due := self.timers.next_due()) is not None and due <= end:
            clock.advance(max(0.0, due - clock.now()))
            self.timers.run_due()
        clock.advance(max(0.0, end - clock.now()))


class UnresponsiveStoreTest(TestCase):
    """Every node applies a newer configuration in time, whenever it is written."""

    def check_versions(self, unresponsive_for: frozenset[str]) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                fleet = Fleet(seed)
                fleet.run(START_S + (seed % 7) * 0.13)
                self.assertEqual({fleet_node.version for fleet_node in fleet.nodes.values()}, {1})
                fleet.unresponsive_for = unresponsive_for
                fleet.run(0.067 * seed)
                fleet.versions.append((Revision(fleet.revision + 1), 2))
                fleet.run(MAX_APPLY_S)
                late = [name for name, fleet_node in fleet.nodes.items() if fleet_node.version < 2]
                self.assertEqual(late, [])

    def test_store_returns_with_compacted_history(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                fleet = Fleet(seed)
                fleet.run(START_S)
                fleet.unresponsive_for = frozenset(fleet.nodes)
                fleet.run(0.8 + 0.1 * seed)
                fleet.versions.append((Revision(fleet.revision + 1), 2))
                fleet.history_from = Revision(fleet.revision + 2)
                fleet.unresponsive_for = frozenset()
                fleet.run(MAX_RECOVERY_S)
                late = [name for name, fleet_node in fleet.nodes.items() if fleet_node.version < 2]
                self.assertEqual(late, [])

    def test_store_does_not_answer_the_reader(self) -> None:
        self.check_versions(frozenset({"p3"}))

    def test_store_does_not_answer_the_reader_and_an_entry_node(self) -> None:
        self.check_versions(frozenset({"p1", "p3"}))

    def test_store_does_not_answer_a_failure_domain(self) -> None:
        self.check_versions(frozenset({"p1", "p2", "p3"}))
