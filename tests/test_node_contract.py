"""Tests of node processes against what the platform and upstreams ask of them.

A store that is restored from a copy, upstreams that announce their shutdown, and upstreams that ask
for a pause. Real processes and sockets; the times are those of the users' contract.
"""

from __future__ import annotations

from http.client import HTTPConnection, HTTPException
from socket import AF_INET, SOCK_DGRAM, socket
from time import monotonic, sleep
from typing import Final

from msgspec import json, msgpack
from msgspec.structs import replace

from sequoiapulley.daemon.parts_port import PARTS_PATH
from sequoiapulley.forward.aggregators import PartsRequest, ShardTask
from sequoiapulley.forward.crash_guard import FIRST_REFUSAL_S
from sequoiapulley.ids import RequestId, ServiceName, UpstreamName
from standins.http_server import Endless, EndlessPart
from standins.platform_fleet import (
    CALLERS_PORT,
    HEARTBEAT_PORT,
    METRICS_PORT,
    PEERS_PORT,
    FleetSettings,
    PlatformFleet,
)
from standins.platform_upstream import PlatformUpstream, UpstreamFaults
from tests.node_process_case import TIMEOUT_S, NodeProcessCase

APPLY_S: Final = 3.0
"""Bound on the time from the store's acknowledgement of a configuration to its activation."""
DRAIN_S: Final = 3.0
"""Time after an announced shutdown from which an upstream receives no requests."""
ROUTE_TIMEOUT_S: Final = 2.0
PAUSE_GRACE_S: Final = 0.5
"""Time after a requested pause began from which requests count."""
MAX_REQUESTS_IN_PAUSE: Final = 2
LIMIT_PER_S: Final = 10.0
LIMIT_GRACE_S: Final = 0.5
"""Time after a node passed on the statement of a limit from which its requests count."""
LIMIT_WINDOW_S: Final = 4.0
MAX_GROWTH_KB: Final = 32_000
"""Memory that endless replies may cost a node: a quarter of what a node of 20 MB has left on the
smallest VMs, which have 152 MB."""


class NodeContractTest(NodeProcessCase):
    """Two nodes in one failure domain, and a service with two upstreams."""

    def setUp(self) -> None:
        super().setUp()
        self.requests = 0
        self.born = 1
        self.upstreams = [PlatformUpstream(f"u-{n}", "s", "127.0.0.1", "p") for n in range(2)]
        for upstream in self.upstreams:
            upstream.start()
            self.addCleanup(upstream.stop)
            self.register(upstream)
        self.put_configuration(10)
        shape = FleetSettings("127.9.3", f"{self.store.host}:{self.store.port}", {"p": "g"})
        self.fleet = PlatformFleet(shape, ["p", "p"])
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.until(lambda: all(self.ready(node) for node in self.fleet.nodes))

    def register(self, upstream: PlatformUpstream, state: str = "ready") -> None:
        record = upstream.record(state=state)
        self.store.put(f"servers/{upstream.name}", json.encode(record))

    def put_configuration(self, version: int) -> None:
        timeout_ms = int(ROUTE_TIMEOUT_S * 1_000)
        base = {
            "host": "x.example",
            "timeout_ms": timeout_ms,
            "goal_ms": 500,
            "max_attempts": 2,
        }
        route = {**base, "name": "r", "prefix": "/r/", "type": "idempotent", "service": "s"}
        once = {**base, "name": "o", "prefix": "/o/", "type": "non_idempotent", "service": "s"}
        config = {"version": version, "routes": [route, once]}
        self.store.put("op/config", json.encode(config))

    def ask(self, conn: HTTPConnection, path: str = "/r/1") -> int:
        """Sends a request; returns the status of the answer, 0 if there is none."""
        self.requests += 1
        headers = {
            "Host": "x.example",
            "X-Attempt-Id": f"r{self.requests}",
            "X-Deadline-Ms": "2000",
        }
        try:
            conn.request("GET", path, None, headers)
            reply = conn.getresponse()
            reply.read()
            return reply.status
        except (OSError, HTTPException):
            conn.close()
            return 0

    def connect(self, node: int = 0) -> HTTPConnection:
        conn = HTTPConnection(self.fleet.nodes[node].host, CALLERS_PORT, timeout=TIMEOUT_S)
        self.addCleanup(conn.close)
        return conn

    def load(self, seconds: float, conn: HTTPConnection) -> list[int]:
        """Sends a request every 10 ms; returns the statuses of the answers."""
        statuses = []
        end = monotonic() + seconds
        while monotonic() < end:
            statuses.append(self.ask(conn))
            sleep(0.01)
        return statuses

    def has_version(self, version: int) -> bool:
        text = b"config_version %d" % version
        return all(text in self.get(node, METRICS_PORT, "/metrics")[1] for node in self.fleet.nodes)

    def test_restored_store(self) -> None:
        conn = self.connect()
        self.store.save()
        for _ in range(9):
            self.store.put("other/key", b"x")
        self.put_configuration(20)
        self.until(lambda: self.has_version(20), APPLY_S)
        self.register(self.upstreams[1], "draining")
        self.until(lambda: b'"draining":true' in self.fleet.nodes[0].log.read_bytes())
        self.store.faults.down = True
        sleep(1.0)
        self.store.restore()
        self.store.faults.down = False
        for upstream in self.upstreams:
            upstream.arrivals.clear()
        self.assertEqual(set(self.load(1.0, conn)), {200})
        self.assertTrue(self.has_version(20), "the copy's configuration was activated")
        self.put_configuration(20)
        self.register(self.upstreams[0])
        sleep(1.0)
        self.put_configuration(30)
        self.until(lambda: self.has_version(30), APPLY_S)
        self.assertEqual(set(self.load(3.0, conn)), {200})
        self.assertEqual(self.upstreams[1].arrivals, [], "an upstream that left was used again")
        for node in self.fleet.nodes:
            log = node.log.read_bytes()
            self.assertEqual(log.count(b'"name":"store_restored"'), 1)
        self.until(lambda: self.store.has("nodes/node-1") and self.store.has("nodes/node-2"))

    def test_announced_shutdown(self) -> None:
        conn = self.connect()
        self.load(0.3, conn)
        for upstream in self.upstreams:
            upstream.faults.work = 0.02
        first = self.upstreams[0]
        first.faults = UpstreamFaults(leaving=True)
        self.until(lambda: b"announced in a reply" in self.read_log(0, conn))
        announced = first.thread_time()
        self.assertEqual(set(self.load(DRAIN_S + 1.0, conn)), {200})
        late = [at for at in first.arrivals if at > announced + DRAIN_S]
        self.assertEqual(late, [])
        news = b'"cause":"announced to node-1"'
        self.until(lambda: news in self.fleet.nodes[1].log.read_bytes())

    def read_log(self, node: int, conn: HTTPConnection) -> bytes:
        """Returns the log of a node after one more request."""
        self.ask(conn)
        return self.fleet.nodes[node].log.read_bytes()

    def test_requested_pause(self) -> None:
        conn = self.connect()
        self.load(0.3, conn)
        first = self.upstreams[0]
        first.faults = UpstreamFaults(pause=3.0)
        self.until(lambda: b"upstream_paused" in self.read_log(0, conn))
        began = first.thread_time()
        self.assertEqual(set(self.load(3.2, conn)), {200})
        during = [at for at in first.arrivals if began + PAUSE_GRACE_S < at < began + 2.9]
        self.assertLessEqual(len(during), MAX_REQUESTS_IN_PAUSE)
        self.upstreams[1].faults = UpstreamFaults(pause=3.0)
        self.load(0.2, conn)
        start = monotonic()
        self.assertEqual(self.ask(conn), 503)
        self.assertEqual(self.ask(conn, "/o/1"), 503)
        self.assertLess(monotonic() - start, 0.2)

    def all_log(self, text: bytes, conns: list[HTTPConnection]) -> bool:
        """Returns whether the logs of all nodes have a text after one more request to each."""
        return all(text in self.read_log(node, conn) for node, conn in enumerate(conns))

    # Guards against LIMIT of issue 25: an upstream that had stated a limit got far more requests.
    def test_stated_limit(self) -> None:
        conns = [self.connect(node) for node in range(2)]
        self.load(0.3, conns[0])
        first = self.upstreams[0]
        first.faults = UpstreamFaults(limit=LIMIT_PER_S)
        self.until(lambda: self.all_log(b"upstream_limited", conns))
        began = first.thread_time() + LIMIT_GRACE_S
        end = monotonic() + LIMIT_GRACE_S + LIMIT_WINDOW_S
        statuses = set()
        while monotonic() < end:
            statuses.update(self.ask(conn) for conn in conns)
        self.assertEqual(statuses, {200})
        arrivals = [at for at in first.arrivals if began <= at < began + LIMIT_WINDOW_S]
        self.assertLessEqual(len(arrivals), 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5)
        first.faults = UpstreamFaults()
        self.until(lambda: self.all_log(b'"per_s":"none"', conns))

    # Guards against BUDGET of issue 28: a request that crashes upstreams was sent again and again.
    def test_request_that_crashes_upstreams(self) -> None:
        conns = [self.connect(node) for node in range(2)]
        for upstream in self.upstreams:
            upstream.faults = UpstreamFaults(crash_path="/r/crash")
        self.assertEqual(self.ask(conns[0], "/r/crash"), 502)
        self.until(lambda: self.all_log(b"crashing_request_refused", conns))
        sends = self.crash_requests()
        self.assertLessEqual(sends, 2)
        self.assertEqual([self.ask(conn, "/r/crash") for conn in conns], [503, 503])
        self.until(lambda: self.store.has_prefix("refusals/"))
        end = monotonic() + FIRST_REFUSAL_S + 4.0
        while monotonic() < end:
            for conn in conns:
                self.ask(conn, "/r/crash")
            sleep(0.1)
        # Three strikes, and a loss at an upstream that has kept its name over its restart.
        self.assertLessEqual(self.crash_requests(), 4)
        self.assertIn(b'"refused_s":600', self.read_log(0, conns[0]))
        self.until(lambda: self.ask(conns[0]) == 200)

    def crash_requests(self) -> int:
        """Returns the number of requests that were sent to upstreams to crash them."""
        return sum(
            path == "/r/crash"
            for upstream in self.upstreams
            for _, path, _ in upstream.requests.values()
        )

    def test_malformed_messages(self) -> None:
        """Entries, datagrams and requests of other programs do not end a node."""
        conn = self.connect()
        target = (self.fleet.nodes[0].host, HEARTBEAT_PORT)
        pids = [node.process.pid for node in self.fleet.nodes if node.process is not None]
        for number, address in enumerate(("127.0.0.1:70000", "some-name:80", "[::1]:9", ":")):
            record = {**self.upstreams[0].record(), "address": address}
            self.store.put(f"servers/forged-{number}", json.encode(record))
        names = ["forged", 1, "p", "g", self.fleet.nodes[1].host, 8104, 8106, 70_000, 1.0]
        self.store.put("nodes/forged", json.encode(names))
        with socket(AF_INET, SOCK_DGRAM) as sock:
            for heartbeat in (
                [names, "ready", 1, 1],
                [[*names[:7], 7380, "x"], "ready", 1, 1],
                [[*names[:4], "some-name", *names[5:7], 7380, 1.0], "ready", 99, 10**15],
                [],
                [names],
            ):
                sock.sendto(msgpack.encode(heartbeat), target)
            sock.sendto(b"\xff" * 1_400, target)
        request = PartsRequest(
            id=RequestId("x"),
            method=b"GET",
            target=b"/r/1",
            host="x.example",
            headers=(),
            body=b"",
            time_left=1.0,
            due_in=0.1,
            route="r",
            goal=0.5,
            max_upstreams=2,
            top_k=5,
            tasks=(ShardTask(ServiceName("s"), (UpstreamName("u-0"),)),),
        )
        self.assertEqual(self.post(0, PARTS_PATH, msgpack.encode(request)), 200)
        for fields in (
            {"time_left": float("nan")},
            {"due_in": float("nan")},
            {"time_left": 1e300},
            {"due_in": -1.0},
            {"goal": 0.0},
            {"top_k": -1},
            {"max_upstreams": -3},
        ):
            body = msgpack.encode(replace(request, **fields))
            self.assertEqual(self.post(0, PARTS_PATH, body), 400, fields)
        self.assertEqual(self.post(0, PARTS_PATH, b"\xff" * 100), 400)
        for path in ("/v1/changes?after=x&era=y", "/v1/changes?after=9&era=99999999", "/v1/none"):
            self.get(self.fleet.nodes[0], PEERS_PORT, path)
        statuses = self.load(2.0, conn)
        self.assertGreater(statuses.count(200), 0.95 * len(statuses))
        running = [
            node.process.pid for node in self.fleet.nodes if node.is_running and node.process
        ]
        self.assertEqual(running, pids)

    # Guards against REFUSED of review case 7 and against odd statuses as answers, with processes.
    def test_statuses_of_failures(self) -> None:
        conn = self.connect()
        for status in (408, 421, 429, 503, 0, 99, 101, 199, 600, 999):
            with self.subTest(status=status):
                for upstream in self.upstreams:
                    upstream.faults = UpstreamFaults(fail=1.0, fail_status=status)
                # Status 421 is the one that states by itself that an upstream did not run it.
                expected = 503 if status == 421 else 502
                for path in ("/o/1", "/r/1"):
                    started = monotonic()
                    self.assertEqual(self.ask(conn, path), expected, path)
                    self.assertLess(monotonic() - started, ROUTE_TIMEOUT_S / 2)
                self.heal(conn)

    # Guards against an idempotent request that waits for an upstream that only sends interim
    # replies, although another one would serve it.
    def test_interim_replies(self) -> None:
        conn = self.connect()
        self.load(0.3, conn)
        for pause in (2 * TIMEOUT_S, 0.02):
            with self.subTest(pause=pause):
                endless = Endless(EndlessPart.INTERIM, 1, pause)
                self.upstreams[0].faults = UpstreamFaults(endless=endless)
                for _ in range(6):
                    started = monotonic()
                    self.assertEqual(self.ask(conn), 200)
                    self.assertLess(monotonic() - started, ROUTE_TIMEOUT_S / 2)
                self.heal(conn)

    def heal(self, conn: HTTPConnection) -> None:
        """Ends the faults of the upstreams and waits until requests are served."""
        for number, upstream in enumerate(self.upstreams):
            upstream.faults = UpstreamFaults()
            self.born += 1
            record = upstream.record(born=self.born)
            self.store.put(f"servers/u-{number}", json.encode(record))
        self.until(lambda: self.ask(conn) == 200)

    def post(self, node: int, path: str, body: bytes) -> int:
        """Sends a request to a node's port for other nodes; returns the status of the answer."""
        conn = HTTPConnection(self.fleet.nodes[node].host, PEERS_PORT, timeout=TIMEOUT_S)
        try:
            conn.request("POST", path, body)
            reply = conn.getresponse()
            reply.read()
            return reply.status
        finally:
            conn.close()

    def test_endless_replies(self) -> None:
        conn = self.connect()
        self.load(0.5, conn)
        before = self.fleet.nodes[0].resident_kb()
        for part in EndlessPart:
            for chunk, pause in ((16_384, 0.0), (2, 0.001)):
                with self.subTest(part=part, chunk=chunk):
                    for upstream in self.upstreams:
                        upstream.faults = UpstreamFaults(endless=Endless(part, chunk, pause))
                    conns = [self.connect() for _ in range(6)]
                    for number, other in enumerate(conns):
                        headers = {
                            "Host": "x.example",
                            "X-Attempt-Id": f"e-{part.value}-{chunk}-{number}",
                            "X-Deadline-Ms": "700",
                        }
                        other.request("GET", "/r/1", None, headers)
                    statuses = {other.getresponse().status for other in conns}
                    self.assertLessEqual(statuses, {502, 504})
                    self.assertLess(self.fleet.nodes[0].resident_kb() - before, MAX_GROWTH_KB)
        for upstream in self.upstreams:
            upstream.faults = UpstreamFaults()
        self.until(lambda: self.ask(conn) == 200)
        log = self.fleet.nodes[0].log.read_bytes()
        self.assertIn(b"a body of 1000000000000 bytes exceeds 1048576 bytes", log)
