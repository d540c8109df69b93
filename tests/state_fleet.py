"""Several nodes that read shared state from a store and from one another, on a paused clock."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Generic, TypeVar

from msgspec.structs import replace
from result import Err, Ok

from sequoiapulley.daemon.feed_sources import FeedSourceSelector
from sequoiapulley.daemon.peer_source import PeerPort
from sequoiapulley.daemon.version_news import VersionNews
from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.messages import Headers
from sequoiapulley.forward.peer_table import (
    LOCAL_HEARTBEAT_INTERVAL_S,
    REMOTE_HEARTBEAT_INTERVAL_S,
    Heartbeat,
    PeerTable,
)
from sequoiapulley.forward.route_table import RouteTable
from sequoiapulley.forward.state import (
    MAX_TRANSFER_S,
    ChangeSet,
    ChangesReply,
    NodeRecord,
    TableChange,
)
from sequoiapulley.forward.state_feed import StateFeed
from sequoiapulley.forward.store_availability import StoreAvailability
from sequoiapulley.forward.store_position import StorePosition
from sequoiapulley.forward.table_history import TableHistory
from sequoiapulley.forward.tally import Tally
from sequoiapulley.ids import ConfigVersion, Incarnation, Revision
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from sequoiapulley.wire.http_client import (
    STALL_TIMEOUT_S,
    HttpCall,
    HttpFailure,
    HttpFailureKind,
    HttpReply,
    HttpResult,
)
from tests.narrow_link import NarrowLink
from tests.state_fixtures import changes, heartbeat, history_compacted, node, table, unavailable

HEARTBEAT_BYTES = 150
REPLY_S = 0.004
WRITES_PER_S = 20
"""Writes of upstreams to the store; because of them, a waiting read returns at once."""

Reply = TypeVar("Reply")


class FakeStore:
    """Implements `StateSource` for one node; all nodes read the same data."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self._transfer: FakeTransfer[ChangesReply] | None = None

    @property
    def receiving(self) -> bool:
        return self._transfer is not None and self._transfer.receiving

    def close_idle(self) -> None:
        """Does nothing: there are no connections."""

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        self._answer(lambda: Ok(self.fleet.full_state()), timeout, done)

    def read_changes(
        self,
        after: StorePosition,
        wait: float,
        timeout: float,
        done: Callable[[ChangesReply], None],
    ) -> None:
        self.fleet.store_reads += 1

        def read() -> ChangesReply:
            compacted = after.revision < self.fleet.history_from
            return (
                history_compacted() if compacted else Ok(self.fleet.changes_after(after.revision))
            )

        self._answer(read, wait + timeout, done)

    def _answer(
        self, read: Callable[[], ChangesReply], timeout: float, done: Callable[[ChangesReply], None]
    ) -> None:
        """Answers after a short delay, or lets the call time out for an affected node."""
        timers = self.fleet.timers
        if self.name in self.fleet.unresponsive_for:
            timers.call_later(timeout, lambda: done(unavailable()))
            return
        transfer = self._transfer = FakeTransfer(timers, timeout, done, unavailable)
        link = self.fleet.nodes[self.name].link_in

        def send() -> None:
            reply = read()
            size = self.fleet.stored_size(reply.ok_value) if isinstance(reply, Ok) else 0
            link.transfer(size, transfer.progress, lambda: transfer.finish(reply))

        timers.call_later(REPLY_S, send)


class FakeTransfer(Generic[Reply]):
    """One reply on its way, which the reader gives up like `HttpClient` with a transfer timeout."""

    def __init__(
        self,
        timers: TimerQueue,
        timeout: float,
        done: Callable[[Reply], None],
        timed_out: Callable[[], Reply],
    ) -> None:
        self._done: Callable[[Reply], None] | None = done
        self._timers = timers
        self._timed_out = timed_out
        self._received_at: float | None = None
        self._last = timers.clock.now() + timeout + MAX_TRANSFER_S
        timers.call_later(timeout, self._expire)

    @property
    def receiving(self) -> bool:
        """Whether a part of the reply has arrived, but not all of it."""
        return self._done is not None and self._received_at is not None

    def progress(self) -> None:
        """Records that a part of the reply has arrived."""
        self._received_at = self._timers.clock.now()

    def _expire(self) -> None:
        """Gives up the reply, unless it keeps arriving."""
        if self._received_at is not None:
            limit = min(self._last, self._received_at + STALL_TIMEOUT_S)
            if self._timers.clock.now() < limit:
                self._timers.call_at(limit, self._expire)
                return
        self.finish(self._timed_out())

    def finish(self, reply: Reply) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(reply)


class FakeRequest:
    """One request to a node's port."""

    def __init__(
        self, call: HttpCall, server: FleetNode, transfer: FakeTransfer[HttpResult]
    ) -> None:
        headers = tuple((name.encode(), value.encode()) for name, value in call.headers)
        self.parsed = SimpleNamespace(target=call.path.encode(), headers=headers)
        self._server = server
        self._transfer = transfer

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        fields = [(name.lower(), value) for name, value in headers]
        reply = Ok(HttpReply(status, fields, body))
        self._server.link_out.transfer(
            len(body), self._transfer.progress, lambda: self._transfer.finish(reply)
        )


class FakeClient:
    """Replaces the HTTP client with which one node reads from its peers."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._transfers: dict[str, FakeTransfer[HttpResult]] = {}
        """Last reply requested from each node."""

    def request(self, call: HttpCall, done: Callable[[HttpResult], None]) -> None:
        """Sends a request to a node's port."""
        failure = HttpFailure(HttpFailureKind.TIMEOUT, True, "no reply")
        timers = self._fleet.timers
        transfer = FakeTransfer(timers, call.timeout, done, lambda: Err(failure))
        self._transfers[call.host] = transfer
        server = self._fleet.nodes[call.host]
        req = FakeRequest(call, server, transfer)
        timers.call_later(REPLY_S, lambda: server.port.serve(req))

    def close_idle(self, _host: str, _port: int) -> None:
        """Does nothing: there are no connections."""

    def is_receiving(self, host: str, _port: int) -> bool:
        """Returns whether a part of the last reply of a node has arrived."""
        transfer = self._transfers.get(host)
        return transfer is not None and transfer.receiving


class FleetNode:
    """The components of one node that read and serve the shared state.

    It also replaces the node's forwarder, of which the sources read the version and the table.
    """

    def __init__(self, fleet: Fleet, record: NodeRecord, random: Random) -> None:
        self.fleet = fleet
        self.record = record
        self.link_in = NarrowLink(fleet.timers, fleet.bytes_per_s)
        self.link_out = NarrowLink(fleet.timers, fleet.bytes_per_s)
        self.version = ConfigVersion(0)
        self.table: RouteTable | None = None
        self.applied: list[ConfigVersion] = []
        """Versions in the order in which they were read."""
        self.applied_at: dict[ConfigVersion, float] = {}
        """Clock reading at which each version became active."""
        self.peers = PeerTable(record, MemoryLog())
        self.log = ChangeLog()
        self.history = TableHistory()
        store = FakeStore(fleet, record.name)
        client = FakeClient(fleet)
        clock = fleet.timers.clock
        self.sources = FeedSourceSelector(store, client, self.peers, self, (), random, clock)
        self.feed = StateFeed(
            self.sources, fleet.timers, MemoryLog(), random, self.apply_changes, StoreAvailability()
        )
        news = SimpleNamespace(send_remote_now=lambda: fleet.send_heartbeat(self, local=False))
        self.news = VersionNews(self, self.peers, news, self.feed.read_soon)
        self.port = PeerPort(
            self.log,
            fleet.timers,
            self.full_state,
            self.history.delta_after,
            lambda: self.feed.age,
            lambda: self.feed.receiving,
            Tally(),
            MemoryLog(),
        )

    def apply_changes(self, changes_read: ChangeSet, after_outage: bool) -> None:
        if changes_read.whole:
            self.log.restart(changes_read.position)
        for change in changes_read.changes:
            self.log.append(change, changes_read.revision)
            if change.table.version > self.version:
                self.version = change.table.version
                self.applied_at[self.version] = self.fleet.timers.clock.now()
                self.table = change.table
                self.history.record(change.table)
            self.applied.append(change.table.version)
        self.log.advance(changes_read.position)
        self.sources.position = changes_read.position
        self.port.wake()
        self.news.spread()

    def full_state(self, age: float) -> ChangeSet:
        assert self.table is not None
        return changes(self.log.position.revision, TableChange(self.table), whole=True, age=age)


class Fleet:
    """Nodes of two failure domains, and the store that they read."""

    def __init__(
        self, seed: int, nodes_per_domain: int = 3, bytes_per_s: float = float("inf")
    ) -> None:
        """Starts the nodes.

        Args:
            seed: Seed of the nodes' jitter and start times.
            nodes_per_domain: Number of nodes of each failure domain.
            bytes_per_s: Bandwidth of each node's link, in each direction.
        """
        self.timers = TimerQueue(PausedClock())
        self.bytes_per_s = bytes_per_s
        self.store_reads = 0
        """Number of reads of the store's changes by all nodes."""
        self.tables = {1: table(1)}
        """Configurations by version."""
        self.stored_bytes = {1: 0}
        """Size of each configuration in the store's replies."""
        self.unresponsive_for: frozenset[str] = frozenset()
        self.versions = [(Revision(1), 1)]
        """Configuration versions in the store, each with the revision of its write."""
        self.era = 0
        self._revisions_lost = 0
        self.history_from = Revision(0)
        """Lowest revision after which the store still has all changes; the rest is compacted."""
        random = Random(seed)
        self.nodes = {
            name: FleetNode(self, node(name, domain), random)
            for domain in ("p", "q")
            for name in (f"{domain}{number}" for number in range(1, nodes_per_domain + 1))
        }
        for fleet_node in self.nodes.values():
            self.timers.call_later(random.random(), fleet_node.feed.start)
            self.send_heartbeats(fleet_node, LOCAL_HEARTBEAT_INTERVAL_S, local=True)
            self.send_heartbeats(fleet_node, REMOTE_HEARTBEAT_INTERVAL_S, local=False)

    @property
    def revision(self) -> Revision:
        """Revision of the store; upstreams write all the time."""
        return Revision(int(self.timers.clock.now() * WRITES_PER_S) - self._revisions_lost)

    @property
    def revision_read(self) -> Revision:
        """Revision of the store's replies, at least that of the latest configuration."""
        return max(self.revision, self.versions[-1][0])

    def restart(self, name: str) -> None:
        """Replaces a node by a new process without state."""
        old = self.nodes[name]
        old.feed.stop()
        record = replace(old.record, incarnation=Incarnation(old.record.incarnation + 1))
        started = FleetNode(self, record, Random(len(name)))
        self.nodes[name] = started
        started.feed.start()
        self.send_heartbeats(started, LOCAL_HEARTBEAT_INTERVAL_S, local=True)
        self.send_heartbeats(started, REMOTE_HEARTBEAT_INTERVAL_S, local=False)

    def write_configuration(
        self, version: int, written: RouteTable | None = None, stored_bytes: int = 0
    ) -> None:
        """Writes a configuration version under the next revision.

        Args:
            version: Number of the version.
            written: The configuration; None for one with a single route.
            stored_bytes: Its size in the store's replies.
        """
        self.tables[version] = written or table(version)
        self.stored_bytes[version] = stored_bytes
        self.versions.append((Revision(self.revision + 1), version))

    def restore(self, seconds: float) -> None:
        """Restores the store from a copy of `seconds` ago; later writes are lost."""
        self._revisions_lost += int(seconds * WRITES_PER_S)
        self.versions = [item for item in self.versions if item[0] <= self.revision]
        self.era += 1

    def full_state(self) -> ChangeSet:
        """Returns the store's full state."""
        items = [TableChange(self.tables[version]) for _, version in self.versions[-1:]]
        return changes(self.revision_read, *items, whole=True, era=self.era)

    def changes_after(self, after: Revision) -> ChangeSet:
        """Returns the store's changes after a revision."""
        items = [
            TableChange(self.tables[version]) for at, version in self.versions[-1:] if at > after
        ]
        return changes(self.revision_read, *items, era=self.era)

    def stored_size(self, found: ChangeSet) -> int:
        """Returns the size of a reply of the store, which is that of its configurations."""
        return sum(
            self.stored_bytes[change.table.version]
            for change in found.changes
            if isinstance(change, TableChange)
        )

    def send_heartbeats(self, sender: FleetNode, period: float, local: bool) -> None:
        """Sends heartbeats to the nodes of the same failure domain, or to those of others."""
        if self.nodes[sender.record.name] is not sender:
            return
        self.send_heartbeat(sender, local)
        self.timers.call_later(period, lambda: self.send_heartbeats(sender, period, local))

    def send_heartbeat(self, sender: FleetNode, local: bool) -> None:
        """Sends one heartbeat to the nodes of the same failure domain, or to those of others."""
        position = sender.log.position
        message = heartbeat(sender.record, sender.version, position.revision, era=position.era)
        for other in self.nodes.values():
            if (other.record.failure_domain == sender.record.failure_domain) is local:
                self._send_heartbeat(sender, other, message)

    def _send_heartbeat(self, sender: FleetNode, other: FleetNode, message: Heartbeat) -> None:
        """Sends a heartbeat behind what the sender's link has to carry already."""

        def arrive() -> None:
            other.peers.record_heartbeat(message, self.timers.clock.now())
            other.news.hear(message.version)

        if self.bytes_per_s == float("inf"):
            arrive()
        else:
            sender.link_out.send(HEARTBEAT_BYTES, arrive)

    def run(self, seconds: float) -> None:
        """Advances the clock and runs the timers that become due."""
        clock = self.timers.clock
        assert isinstance(clock, PausedClock)
        end = clock.now() + seconds
        while (due := self.timers.next_due()) is not None and due <= end:
            clock.advance(max(0.0, due - clock.now()))
            self.timers.run_due()
        clock.advance(max(0.0, end - clock.now()))
