"""Tests of node processes with crowds of clients outside the limits.

A crowd holds its connections open; each client does what its `CrowdKind` says. The settings of the
node state the memory and the descriptors of its VM, and the crowd would need more of them.
"""

from __future__ import annotations

from http.client import HTTPConnection, HTTPException
from signal import SIGTERM
from socket import AF_INET, SOCK_DGRAM, create_connection, socket
from time import sleep
from typing import Final

from msgspec import json, msgpack

from sequoiapulley.forward.peer_table import Heartbeat, NodeState
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import (
    ConfigVersion,
    FailureDomainName,
    Incarnation,
    NodeId,
    RegionName,
    Revision,
)
from standins.crowd import (
    HEADER_LIMIT_BYTES,
    Crowd,
    CrowdKind,
    Target,
    request_at_the_limits,
)
from standins.platform_fleet import (
    CALLERS_PORT,
    DIRECTORY_PORT,
    HEARTBEAT_PORT,
    METRICS_PORT,
    PEERS_PORT,
    READY_PORT,
    FleetSettings,
    PlatformFleet,
)
from standins.platform_upstream import PlatformUpstream, UpstreamFaults
from standins.process_meter import KB, ProcessMeter
from tests.node_process_case import TIMEOUT_S, NodeProcessCase

MEMORY_MB: Final = 64
"""Memory of the VM in the settings: that of a node without load and twice as much again."""
MAX_FDS: Final = 1_535
FEW_FDS: Final = 400
CLIENTS: Final = 500
SOME_CLIENTS: Final = 120
"""Size of a crowd of which more requests are forwarded, as fewer of them are refused."""
FEW_CLIENTS: Final = 8
MIN_SERVED: Final = 20
"""Number of requests from which a crowd has been served rather than refused."""
HOLD_S: Final = 3.5
"""Time for which a crowd is there: the limit on the time of one request, and some more."""
OTHER_UPSTREAMS: Final = 400
"""Upstreams of another service, which make the state that nodes read from each other larger."""
SERVICES: Final = ("s", "t", "w")
SOME_LOST: Final = 0.3
"""Share of requests that an upstream loses or refuses."""
HEARTBEATS: Final = 60_000
GARBAGE_DATAGRAMS: Final = 5_000
EXIT_TIMEOUT_S: Final = 30.0
ATTEMPT: Final = (("X-Attempt-Id", "crowd"), ("X-Deadline-Ms", "20000"))
TCP_PORTS: Final = (CALLERS_PORT, DIRECTORY_PORT, READY_PORT, PEERS_PORT, METRICS_PORT)
STATE_PATH: Final = "/v1/changes?after=0"
PATHS: Final = {
    CALLERS_PORT: "/r/1",
    DIRECTORY_PORT: "/resolution?zone=p&region=g",
    READY_PORT: "/readiness",
    PEERS_PORT: STATE_PATH,
    METRICS_PORT: "/metrics",
}


class CrowdCase(NodeProcessCase):
    """One node, a service that answers, and one whose upstream never does."""

    memory_mb = MEMORY_MB
    max_fds = MAX_FDS

    def setUp(self) -> None:
        super().setUp()
        self.upstreams: dict[str, PlatformUpstream] = {}
        for service in SERVICES:
            upstream = PlatformUpstream(f"u-{service}", service, "127.0.0.1", "p")
            upstream.start()
            self.addCleanup(upstream.stop)
            self.upstreams[service] = upstream
            if service == "w":
                upstream.faults = UpstreamFaults(silent=True)
            self.store.put(f"servers/{upstream.name}", json.encode(upstream.record()))
        for number in range(OTHER_UPSTREAMS):
            other = PlatformUpstream(f"other-{number}", "other", "127.0.0.1", "p")
            self.store.put(f"servers/other-{number}", json.encode(other.record(port=9)))
        base = {"host": "x.example", "goal_ms": 500, "max_attempts": 2, "type": "idempotent"}
        routes = [
            {**base, "name": "r", "prefix": "/r/", "service": "s", "timeout_ms": 3_000},
            {**base, "name": "w", "prefix": "/w/", "service": "w", "timeout_ms": 20_000},
            {**base, "name": "b", "prefix": "/b/", "service": "w", "timeout_ms": 100},
            {
                **base,
                "name": "g",
                "prefix": "/g/",
                "gather": ["s", "t"],
                "top_k": 5,
                "timeout_ms": 3_000,
            },
        ]
        services = [
            {"name": name, "health_path": "/health", "max_connections": 2_000} for name in SERVICES
        ]
        self.store.put(
            "op/config", json.encode({"version": 10, "routes": routes, "services": services})
        )
        shape = FleetSettings(
            "127.9.6",
            f"{self.store.host}:{self.store.port}",
            {"p": "g"},
            memory_mb=self.memory_mb,
            max_fds=self.max_fds,
        )
        fleet = PlatformFleet(shape, ["p"])
        self.addCleanup(fleet.close)
        fleet.start()
        [self.node] = fleet.nodes
        self.until(lambda: self.ready(self.node))
        self.until(self.is_served)
        # The first scrape loads a library; its memory is not that of the crowd.
        self.get(self.node, METRICS_PORT, "/metrics")
        assert self.node.process is not None
        self.process = self.node.process
        self.meter = ProcessMeter(self.process.pid, self.node.host, TCP_PORTS)
        self.addCleanup(self.meter.stop)

    def is_served(self) -> bool:
        """Returns whether an ordinary caller's request is answered with success."""
        conn = HTTPConnection(self.node.host, CALLERS_PORT, timeout=TIMEOUT_S)
        headers = {"Host": "x.example", "X-Attempt-Id": "ordinary", "X-Deadline-Ms": "3000"}
        try:
            conn.request("POST", "/r/1", b"body", headers)
            return conn.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            conn.close()

    def crowd(
        self, kind: CrowdKind, port: int = CALLERS_PORT, path: str = "", count: int = CLIENTS
    ) -> Crowd:
        """Starts a crowd at a port of the node."""
        method = "POST" if port == CALLERS_PORT else "GET"
        target = Target(self.node.host, port, path or PATHS[port], method, ATTEMPT)
        crowd = Crowd(kind, target, count)
        self.addCleanup(crowd.stop)
        crowd.start()
        return crowd

    def endure(self, *crowds: Crowd) -> None:
        """Waits while crowds hold their connections, then checks the node and ends the crowds."""
        sleep(HOLD_S)
        self.check_alive()
        self.until(self.is_served)
        for crowd in crowds:
            crowd.stop()
        self.until(self.is_served)
        self.check_alive()
        self.meter.stop()
        self.assertLess(self.meter.most_kb, self.memory_mb * KB)
        self.assertLess(self.meter.most_fds, self.max_fds)

    def check_alive(self) -> None:
        """Checks that the process that was started still runs."""
        self.assertIs(self.node.process, self.process)
        self.assertIsNone(self.process.poll(), self.node.log.read_text()[-2_000:])


class ServedTest(CrowdCase):
    """A few clients that send what is inside the limits, one request after the other."""

    def endure_served(self, kind: CrowdKind, path: str = "", count: int = FEW_CLIENTS) -> None:
        """Waits while the clients are served, then checks the node."""
        crowd = self.crowd(kind, path=path, count=count)
        self.until(lambda: crowd.requests > MIN_SERVED + count)
        self.endure(crowd)

    # Guards against requests of many headers that are kept after their answer.
    def test_short_headers(self) -> None:
        self.endure_served(CrowdKind.SHORT_HEADERS_SERVED)

    # Guards against the same with a new connection to the upstream for each request.
    def test_repeated_requests(self) -> None:
        self.endure_served(CrowdKind.SHORT_HEADERS_REPEATED)

    # Guards against the same of one client alone.
    def test_repeated_requests_of_one_client(self) -> None:
        self.endure_served(CrowdKind.SHORT_HEADERS_REPEATED, count=1)

    # Guards against bodies that are kept after their answer.
    def test_bodies(self) -> None:
        self.endure_served(CrowdKind.BODIES_SERVED)

    # Guards against ids that are kept for each connection to an upstream.
    def test_long_ids(self) -> None:
        self.endure_served(CrowdKind.LONG_IDS_SERVED)

    # Guards against limits on memory that refuse a single request inside the other limits.
    def test_one_request_at_every_limit(self) -> None:
        target = Target(self.node.host, CALLERS_PORT, "/r/1", headers=ATTEMPT)
        with create_connection((self.node.host, CALLERS_PORT), TIMEOUT_S) as sock:
            sock.sendall(request_at_the_limits(target))
            answer = sock.recv(HEADER_LIMIT_BYTES)
        self.assertEqual(answer.partition(b"\r\n")[0], b"HTTP/1.1 200 OK")
        self.endure()

    # Guards against requests that are kept after an upstream has lost them.
    def test_short_headers_that_are_lost(self) -> None:
        self.upstreams["s"].faults = UpstreamFaults(lose=SOME_LOST)
        self.endure_served(CrowdKind.SHORT_HEADERS_REPEATED)

    # Guards against requests that are kept after an upstream has refused them.
    def test_short_headers_that_are_refused(self) -> None:
        self.upstreams["s"].faults = UpstreamFaults(refuse=SOME_LOST)
        self.endure_served(CrowdKind.SHORT_HEADERS_SERVED)

    # Guards against the same of requests with a copy for each shard.
    def test_short_headers_for_shards(self) -> None:
        self.endure_served(CrowdKind.SHORT_HEADERS_SERVED, path="/g/1")

    # Guards against requests that are kept after their deadline, as no upstream answers them.
    def test_short_headers_at_a_silent_upstream(self) -> None:
        self.endure_served(CrowdKind.SHORT_HEADERS_SERVED, path="/b/1")


class MemoryTest(CrowdCase):
    """Crowds that would use up the memory of a node."""

    # Guards against memory that heads which do not end use as objects of many small headers.
    def test_short_headers(self) -> None:
        self.endure(self.crowd(CrowdKind.SHORT_HEADERS))

    # Guards against the same of complete requests.
    def test_short_headers_ended(self) -> None:
        self.endure(self.crowd(CrowdKind.SHORT_HEADERS_ENDED))

    # Guards against the same of complete requests that wait behind another on a connection.
    def test_short_headers_pipelined(self) -> None:
        self.endure(self.crowd(CrowdKind.SHORT_HEADERS_PIPELINED))

    # Guards against the same of requests that wait for an upstream.
    def test_short_headers_at_a_silent_upstream(self) -> None:
        self.endure(self.crowd(CrowdKind.SHORT_HEADERS_ENDED, path="/w/1"))

    # Guards against the memory of bodies that stop short of their end.
    def test_large_chunks(self) -> None:
        self.endure(self.crowd(CrowdKind.LARGE_CHUNKS))

    # Guards against the memory of the objects that hold the chunks of such bodies.
    def test_small_chunks(self) -> None:
        self.endure(self.crowd(CrowdKind.SMALL_CHUNKS))

    # Guards against an event loop that only parses chunks, while received bytes pile up.
    def test_chunks_of_one_byte(self) -> None:
        self.endure(self.crowd(CrowdKind.BYTE_CHUNKS))

    # Guards against the memory of complete bodies.
    def test_whole_bodies(self) -> None:
        self.endure(self.crowd(CrowdKind.WHOLE_BODY))

    # Guards against the memory of complete bodies that wait for an upstream.
    def test_whole_bodies_at_a_silent_upstream(self) -> None:
        self.endure(self.crowd(CrowdKind.WHOLE_BODY, path="/w/1"))

    # Guards against the memory of complete bodies behind another request on a connection.
    def test_bodies_pipelined(self) -> None:
        self.endure(self.crowd(CrowdKind.BODIES_PIPELINED, path="/w/1"))

    # Guards against requests that are kept after their answer, most of which are forwarded here.
    def test_short_headers_ended_of_some_clients(self) -> None:
        self.endure(self.crowd(CrowdKind.SHORT_HEADERS_ENDED, count=SOME_CLIENTS))

    # Guards against the memory of requests that were ended while an upstream ran them.
    def test_bodies_pipelined_of_some_clients(self) -> None:
        self.endure(self.crowd(CrowdKind.BODIES_PIPELINED, count=SOME_CLIENTS))

    # Guards against the same of requests whose callers have disconnected.
    def test_bodies_of_callers_that_disconnect(self) -> None:
        self.endure(self.crowd(CrowdKind.BODIES_LEFT, path="/w/1", count=SOME_CLIENTS))

    # Guards against the memory of bodies far over the limit that are just sent.
    def test_oversized_chunks(self) -> None:
        self.endure(self.crowd(CrowdKind.OVERSIZED_CHUNKS))

    # Guards against the memory of bodies that are announced to be far over the limit.
    def test_oversized_length(self) -> None:
        self.endure(self.crowd(CrowdKind.OVERSIZED_LENGTH))

    # Guards against trailers that are parsed without end.
    def test_trailers(self) -> None:
        self.endure(self.crowd(CrowdKind.TRAILERS))

    # Guards against heads that arrive byte by byte on many connections.
    def test_drip(self) -> None:
        self.endure(self.crowd(CrowdKind.DRIP))

    # Guards against the memory of answers that no client reads.
    def test_unread_answers_of_the_peers_port(self) -> None:
        self.endure(self.crowd(CrowdKind.UNREAD_ANSWERS, PEERS_PORT))

    # Guards against the same at the metrics.
    def test_unread_answers_of_the_metrics_port(self) -> None:
        self.endure(self.crowd(CrowdKind.UNREAD_ANSWERS, METRICS_PORT))

    # Guards against limits of each port whose sum is more than the memory of the node.
    def test_small_chunks_at_every_port(self) -> None:
        count = CLIENTS // len(TCP_PORTS)
        self.endure(*(self.crowd(CrowdKind.SMALL_CHUNKS, port, count=count) for port in TCP_PORTS))

    # Guards against a stop that waits for clients which never end their requests.
    def test_node_stops_beside_a_crowd(self) -> None:
        self.crowd(CrowdKind.SMALL_CHUNKS)
        sleep(HOLD_S / 2)
        self.check_alive()
        self.process.send_signal(SIGTERM)
        self.assertEqual(self.process.wait(EXIT_TIMEOUT_S), 0)
        self.meter.stop()
        self.assertLess(self.meter.most_kb, self.memory_mb * KB)


class DatagramTest(CrowdCase):
    """Datagrams to the heartbeat port that are no heartbeats of nodes."""

    def heartbeat(self, number: int) -> bytes:
        """Returns a heartbeat of a node that does not exist."""
        record = NodeRecord(
            name=NodeId(f"node-of-nobody-{number}"),
            incarnation=Incarnation(1),
            failure_domain=FailureDomainName("q"),
            region=RegionName("g"),
            host="127.9.6.99",
            callers_port=1,
            peers_port=2,
            heartbeat_port=3,
            capacity=1.0,
        )
        return msgpack.encode(Heartbeat(record, NodeState.STARTING, ConfigVersion(0), Revision(0)))

    # Guards against the memory of nodes that only datagrams name, and of unreadable datagrams.
    def test_heartbeats_of_many_names(self) -> None:
        with socket(AF_INET, SOCK_DGRAM) as sock:
            for number in range(GARBAGE_DATAGRAMS):
                sock.sendto(b"\xff" * (number % 1_400), (self.node.host, HEARTBEAT_PORT))
            for number in range(HEARTBEATS):
                sock.sendto(self.heartbeat(number), (self.node.host, HEARTBEAT_PORT))
                if number % 100 == 0:
                    # The receive buffer of the socket would drop most of a burst.
                    sleep(0.01)
        self.endure()


class DescriptorTest(CrowdCase):
    """Crowds that would use up the descriptors of a node."""

    max_fds = FEW_FDS

    # Guards against silent connections that take every descriptor of the process.
    def test_silent_connections(self) -> None:
        self.endure(self.crowd(CrowdKind.SILENT))

    # Guards against limits of each port whose sum is more than the descriptors of the process.
    def test_silent_connections_at_every_port(self) -> None:
        count = CLIENTS // len(TCP_PORTS)
        self.endure(*(self.crowd(CrowdKind.SILENT, port, count=count) for port in TCP_PORTS))
