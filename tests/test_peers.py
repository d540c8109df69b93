"""Tests of heartbeats, of the roles that follow from them, and of the sources of state."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from msgspec import to_builtins
from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from sequoiapulley.daemon.feed_sources import MAX_CONFIG_LAG_S, FeedSourceSelector
from sequoiapulley.daemon.peer_source import PeerSource
from sequoiapulley.forward.crash_guard import StrikeNews
from sequoiapulley.forward.node_settings import Address
from sequoiapulley.forward.peer_table import (
    LOCAL_HEARTBEAT_INTERVAL_S,
    MAX_MISSED_HEARTBEATS,
    REMOTE_HEARTBEAT_INTERVAL_S,
    REMOTE_HEARTBEAT_NODES,
    ROLE_CANDIDATES,
    Heartbeat,
    NodeState,
    PeerTable,
)
from sequoiapulley.forward.roles import (
    ENTRIES_PER_FAILURE_DOMAIN,
    choose_entry_nodes,
    choose_store_reader,
)
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, Fingerprint, Incarnation, RegionName, UpstreamName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.quarantine import Strike
from sequoiapulley.runtime import Clock, PausedClock, TimerQueue
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.reactor import Reactor
from tests.simulated_upstreams import SimulatedNet, success
from tests.state_fixtures import ScriptedSource, heartbeat, node, position, table

P = FailureDomainName("p")


class RolesTest(TestCase):
    """Roles are assigned to the nodes of highest capacity, in the same order on every node."""

    def test_most_capable_nodes_serve_callers_and_another_one_reads(self) -> None:
        nodes = [node("a"), node("b"), node("c", capacity=2.0), node("d", capacity=2.0)]
        entries = choose_entry_nodes(nodes, P, RegionName("g"))
        self.assertEqual([record.name for record in entries], ["c", "d"])
        reader = choose_store_reader(nodes, P)
        assert reader is not None
        self.assertEqual(reader.name, "a")

    def test_farther_nodes_are_used_when_near_ones_are_too_few(self) -> None:
        nodes = [node("a"), node("b", "q"), node("c", "r", "far"), node("d", "r", "far")]
        near = choose_entry_nodes(nodes, P, RegionName("g"))
        self.assertEqual({record.name for record in near}, {"a", "b"})
        alone = choose_entry_nodes(nodes[:1] + nodes[2:], P, RegionName("g"))
        self.assertEqual(len(alone), ENTRIES_PER_FAILURE_DOMAIN)

    def test_single_node_has_both_roles(self) -> None:
        nodes = [node("a")]
        self.assertEqual(choose_entry_nodes(nodes, P, RegionName("g")), nodes)
        self.assertEqual(choose_store_reader(nodes, P), nodes[0])


class PeerTableTest(TestCase):
    """One node's view of the others."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.table = PeerTable(node("n00"), self.log)

    def receive_heartbeats(
        self, records: list[NodeRecord], now: float, state: NodeState = NodeState.READY
    ) -> None:
        for record in records:
            self.table.record_heartbeat(heartbeat(record, state=state), now)

    def test_silent_peer_is_lost_and_seen_again(self) -> None:
        self.receive_heartbeats([node("b")], 10.0)
        self.table.mark_lost_peers(10.0 + MAX_MISSED_HEARTBEATS * LOCAL_HEARTBEAT_INTERVAL_S - 0.01)
        self.assertEqual(len(self.table.ready()), 1)
        self.table.mark_lost_peers(10.0 + MAX_MISSED_HEARTBEATS * LOCAL_HEARTBEAT_INTERVAL_S + 0.01)
        self.assertEqual(self.table.ready(), [])
        self.receive_heartbeats([node("b")], 13.0)
        names = [event.name for event, _ in self.log.entries]
        self.assertEqual(names, ["peer_seen", "peer_lost", "peer_seen"])

    def test_far_peer_has_a_longer_timeout(self) -> None:
        self.receive_heartbeats([node("b", "q")], 10.0)
        self.table.mark_lost_peers(
            10.0 + MAX_MISSED_HEARTBEATS * REMOTE_HEARTBEAT_INTERVAL_S - 0.01
        )
        self.assertEqual(len(self.table.ready()), 1)

    def test_heartbeats_of_earlier_versions_lack_the_last_fields(self) -> None:
        news = StrikeNews(Strike(Fingerprint("f"), UpstreamName("u"), 1), 0.0, 5.0)
        later = {
            "state_age": 0.4,
            "strikes": (news,),
            "cut_off": True,
            "contact_age": 0.2,
            "compares_versions": True,
        }
        plain = replace(heartbeat(node("b")), compares_versions=False)
        sent = replace(plain, **later)
        self.assertEqual(decode(encode(sent), type=Heartbeat), sent)
        fields = to_builtins(sent)
        for lacking in range(1, len(later) + 1):
            known = dict(list(later.items())[:-lacking])
            earlier = decode(encode(fields[:-lacking]), type=Heartbeat)
            self.assertEqual(earlier, replace(plain, **known))

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self) -> None:
        record = node("b")
        later = replace(record, incarnation=Incarnation(9))
        self.table.register(later)
        self.receive_heartbeats([record], 10.0)
        self.assertEqual(self.table.ready(), [])

    def test_leaving_peer_serves_no_new_callers_and_has_no_role(self) -> None:
        self.receive_heartbeats([node("b")], 10.0, NodeState.LEAVING)
        self.assertEqual(self.table.ready(), [])
        self.assertEqual(self.table.live_local_nodes(), [self.table.local_node])

    def test_heartbeats_of_a_node_without_role_do_not_grow_with_its_domain(self) -> None:
        for count in (20, 170):
            self.table = PeerTable(node("n99"), self.log)
            for number in range(count):
                self.table.register(node(f"n{number:03}"))
                self.table.register(node(f"q{number:03}", "q"))
            self.receive_heartbeats(
                [node(f"n{number:03}") for number in range(ROLE_CANDIDATES)], 10.0
            )
            self.assertEqual(len(self.table.local_heartbeat_targets()), ROLE_CANDIDATES)
            self.assertEqual(self.table.remote_heartbeat_targets(), [])

    def test_node_with_role_sends_to_its_domain_and_a_few_remote_nodes(self) -> None:
        for number in range(1, 20):
            self.table.register(node(f"n{number:02}"))
            self.table.register(node(f"q{number:02}", "q"))
        self.assertEqual(len(self.table.local_heartbeat_targets()), 19)
        self.assertEqual(len(self.table.remote_heartbeat_targets()), REMOTE_HEARTBEAT_NODES)

    def test_role_is_reassigned_when_its_nodes_are_lost(self) -> None:
        first = [node(f"a{number}") for number in range(ROLE_CANDIDATES)]
        for record in first:
            self.table.register(record)
        self.receive_heartbeats(first, 10.0)
        self.assertEqual(len(self.table.local_heartbeat_targets()), ROLE_CANDIDATES)
        self.assertNotIn(self.table.local_node, self.table.local_heartbeat_targets())
        self.table.mark_lost_peers(20.0)
        reader = choose_store_reader(self.table.live_local_nodes(), P)
        self.assertEqual(reader, self.table.local_node)


class FeedSourcesTest(TestCase):
    """The source that a node selects for each read."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        timers = TimerQueue(self.clock)
        self.net = SimulatedNet(lambda *_args: (0.001, success()))
        self.net.forwarder.apply(table(3))
        self.peers = PeerTable(node("n5"), MemoryLog())
        self.store = ScriptedSource()
        clock: Clock = self.clock
        client = HttpClient(Reactor(clock, timers), clock, timers)
        self.sources = FeedSourceSelector(
            self.store,
            client,
            self.peers,
            self.net.forwarder,
            (Address("seed", 9),),
            Random(1),
            clock,
        )

        self.sources.position = position(10)

    def host(self, failures: int = 0) -> str:
        source = self.sources(failures).source
        return source.address.host if isinstance(source, PeerSource) else "store"

    def receive_heartbeats(
        self, name: str, version: int = 3, revision: int = 1, failure_domain: str = "p"
    ) -> None:
        record = node(name, failure_domain)
        self.peers.record_heartbeat(heartbeat(record, version, revision), self.clock.now())

    def test_follower_reads_from_the_reader_then_from_the_store(self) -> None:
        for name in ("n1", "n2", "n3"):
            self.receive_heartbeats(name)
        self.assertEqual([self.host(0), self.host(1)], ["n3", "store"])

    def test_reader_reads_from_the_store_then_from_a_newer_peer(self) -> None:
        self.receive_heartbeats("n1")
        self.receive_heartbeats("x", revision=50, failure_domain="q")
        self.assertEqual([self.host(0), self.host(1)], ["store", "x"])

    def test_node_without_configuration_reads_from_a_seed_when_the_store_fails(self) -> None:
        self.net = SimulatedNet(lambda *_args: (0.001, success()))
        self.sources._forwarder = self.net.forwarder
        self.assertEqual([self.host(0), self.host(1)], ["store", "seed"])

    def test_newer_configuration_is_read_from_the_peer(self) -> None:
        self.receive_heartbeats("n1", version=4)
        self.assertEqual(self.host(), "store")
        self.clock.advance(MAX_CONFIG_LAG_S + 0.1)
        self.receive_heartbeats("n1", version=4)
        self.assertEqual([self.host(0), self.host(1)], ["n1", "store"])
        self.net.forwarder.apply(table(4))
        self.assertEqual(self.host(), "store")
