"""Tests of node processes against stand-ins for the store and the upstreams."""

from __future__ import annotations

from http.client import HTTPConnection, HTTPResponse
from signal import SIGHUP

from msgspec import json

from standins.platform_fleet import (
    CALLERS_PORT,
    DIRECTORY_PORT,
    METRICS_PORT,
    FleetNode,
    FleetSettings,
    PlatformFleet,
)
from standins.platform_upstream import PlatformUpstream
from tests.node_process_case import TIMEOUT_S, NodeProcessCase

FAILURE_DOMAINS = {"p": "g", "q": "h"}


class ForwardNodeTest(NodeProcessCase):
    """Three nodes, a route over two shards, one over two remote shards, and one plain service."""

    def setUp(self) -> None:
        super().setUp()
        self.remote_query_count = 0
        self.upstreams = [
            PlatformUpstream(f"u-{service}-{domain}", service, "127.0.0.1", domain)
            for service in ("shard-1", "shard-2", "plain")
            for domain in FAILURE_DOMAINS
        ]
        self.upstreams.extend(
            PlatformUpstream(f"u-{service}-q", service, "127.0.0.1", "q")
            for service in ("far-1", "far-2")
        )
        for upstream in self.upstreams:
            upstream.start()
            self.addCleanup(upstream.stop)
            self.store.put(f"servers/{upstream.name}", json.encode(upstream.record()))
        self.put_configuration(7)
        shape = FleetSettings("127.9.1", f"{self.store.host}:{self.store.port}", FAILURE_DOMAINS)
        self.fleet = PlatformFleet(shape, ["p", "p", "q"])
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        for node in self.fleet.nodes:
            self.until(lambda node=node: self.ready(node))

    def put_configuration(self, version: int, plain: str = "plain") -> None:
        base = {"host": "x.example", "timeout_ms": 3000, "goal_ms": 500, "max_attempts": 2}
        gather = {
            "name": "g",
            "prefix": "/g/",
            "type": "idempotent",
            "gather": ["shard-1", "shard-2"],
            "top_k": 5,
            "oldest_version": 0.5,
        }
        once = {"name": "o", "prefix": "/o/", "type": "non_idempotent", "service": plain}
        remote = {**gather, "name": "f", "prefix": "/f/", "gather": ["far-1", "far-2"]}
        routes = [{**base, **route} for route in (gather, remote, once)]
        config = {"version": version, "routes": routes}
        self.store.put("op/config", json.encode(config))

    def addresses(self, node: FleetNode) -> set[str]:
        status, body = self.get(
            node, DIRECTORY_PORT, f"/resolution?zone={node.failure_domain}&region=g"
        )
        return set(json.decode(body)["addrs"]) if status == 200 else set()

    def send(self, conn: HTTPConnection, name: str, path: str, body: bytes = b"") -> HTTPResponse:
        headers = {"Host": "x.example", "X-Attempt-Id": name, "X-Deadline-Ms": "3000"}
        conn.request("POST" if body else "GET", path, body or None, headers)
        return conn.getresponse()

    def remote_parts_are_merged(self, conn: HTTPConnection) -> bool:
        """Queries the remote shards; returns whether a node in their failure domain merged them."""
        self.remote_query_count += 1
        reply = self.send(conn, f"f{self.remote_query_count}", "/f/x")
        self.assertEqual(len(str(reply.getheader("X-Part-Seals")).split(", ")), 2)
        reply.read()
        return b'parts_requests_total{outcome="whole"}' in self._metrics(self.fleet.nodes[0])

    def test_fleet_serves_reconfigures_and_shuts_down(self) -> None:
        first, second, third = self.fleet.nodes
        conn = HTTPConnection(first.host, CALLERS_PORT, timeout=TIMEOUT_S)
        self.addCleanup(conn.close)

        with self.subTest("a merged answer"):
            reply = self.send(conn, "r1", "/g/x")
            body = reply.read()
            seals = str(reply.getheader("X-Part-Seals")).split(", ")
            self.assertEqual((reply.status, len(seals), len(body)), (200, 2, 80))
            parts = {u.seal("r1"): u.part("r1") for u in self.upstreams}
            joined = b"".join(parts[seal] for seal in seals)
            records = [joined[at : at + 16] for at in range(0, len(joined), 16)]
            self.assertEqual(body, b"".join(sorted(records, reverse=True)[:5]))

        with self.subTest("a request that runs once"):
            reply = self.send(conn, "r2", "/o/x?y=1", b"tiles")
            reply.read()
            ran = [u for u in self.upstreams if u.runs["r2"]]
            self.assertEqual((reply.status, len(ran), ran[0].runs["r2"]), (200, 1, 1))
            self.assertEqual(ran[0].requests["r2"], ("POST", "/o/x", b"tiles"))
            self.assertEqual(reply.getheader("X-Server-Seal"), ran[0].seal("r2"))

        with self.subTest("shards of another region, queried through a node in it"):
            self.until(lambda: self.remote_parts_are_merged(conn))

        with self.subTest("roles are logged"):
            line = b'"name":"duties_changed","entry":true'
            self.until(lambda: line in first.log.read_bytes())

        with self.subTest("no route"):
            self.assertEqual(self._status(conn, "r3", "/none/"), 404)

        with self.subTest("directory and metrics"):
            near = {f"{node.host}:{CALLERS_PORT}" for node in (first, second)}
            self.until(lambda: self.addresses(first) == near)
            status, text = self.get(first, METRICS_PORT, "/metrics")
            self.assertEqual(status, 200)
            answered = 2 + self.remote_query_count
            self.assertIn(b'sequoiapulley_forwarded_total{outcome="200"} %d' % answered, text)

        with self.subTest("a newer configuration reaches every node"):
            self.put_configuration(9, plain="shard-1")
            for node in self.fleet.nodes:
                self.until(lambda node=node: b"config_version 9" in self._metrics(node))

        with self.subTest("a node that starts during a store outage reads from its peers"):
            self.store.faults.down = True
            third.kill()
            third.start()
            self.until(lambda: self.ready(third))
            self.assertIn(b"config_version 9", self._metrics(third))
            self.store.faults.down = False

        with self.subTest("an invalid settings file does not stop a node"):
            text = first._settings.read_text(encoding="utf-8")
            first._settings.write_text("broken [", encoding="utf-8")
            first.send_signal(SIGHUP)
            self.until(lambda: b"settings_unreadable" in first.log.read_bytes())
            first._settings.write_text(text, encoding="utf-8")
            first.send_signal(SIGHUP)
            self.until(lambda: b"settings_reloaded" in first.log.read_bytes())

        with self.subTest("settings that change without a signal are applied"):
            text = third._settings.read_text(encoding="utf-8")
            changed = text.replace("retry_slack = 200", "retry_slack = 90")
            third._settings.write_text(changed, encoding="utf-8")
            self.until(lambda: b'"changed":["quota"]' in third.log.read_bytes())

        with self.subTest("a node that shuts down answers requests and leaves the directory"):
            for upstream in self.upstreams:
                upstream.faults.work = 0.5
            other = HTTPConnection(second.host, CALLERS_PORT, timeout=TIMEOUT_S)
            self.addCleanup(other.close)
            other.connect()
            headers = {"Host": "x.example", "X-Attempt-Id": "r9", "X-Deadline-Ms": "3000"}
            other.request("GET", "/g/x", None, headers)
            self.until(lambda: any(u.runs["r9"] for u in self.upstreams))
            second.terminate()
            reply = other.getresponse()
            reply.read()
            self.assertEqual((reply.status, reply.getheader("Connection")), (200, "close"))
            self.assertFalse(self.ready(second))
            second_address = f"{second.host}:{CALLERS_PORT}"
            self.until(lambda: second_address not in self.addresses(first))
            assert second.process is not None
            self.assertEqual(second.process.wait(TIMEOUT_S), 0)

    def _status(self, conn: HTTPConnection, name: str, path: str) -> int:
        reply = self.send(conn, name, path)
        reply.read()
        return reply.status

    def _metrics(self, node: FleetNode) -> bytes:
        return self.get(node, METRICS_PORT, "/metrics")[1]
