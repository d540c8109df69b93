"""Tests of a node process with many upstreams at once that send the beginning of a reply."""

from __future__ import annotations

from http.client import HTTPConnection
from time import monotonic, sleep
from typing import Final

from msgspec import json

from standins.http_server import Endless, EndlessPart
from standins.platform_fleet import CALLERS_PORT, FleetSettings, PlatformFleet
from standins.platform_upstream import PlatformUpstream, UpstreamFaults
from tests.node_process_case import TIMEOUT_S, NodeProcessCase

ROUTE_TIMEOUT_S: Final = 2.0
MANY_CALLERS: Final = 400
MAX_GROWTH_KB: Final = 32_000
"""Memory that endless replies may cost a node: a quarter of what a node of 20 MB has left on the
smallest VMs, which have 152 MB."""


class ManyUpstreamsTest(NodeProcessCase):
    """A node process with many upstreams that all send the beginning of a reply and no end."""

    def setUp(self) -> None:
        super().setUp()
        self.upstreams = [PlatformUpstream(f"u-{n}", "s", "127.0.0.1", "p") for n in range(40)]
        for upstream in self.upstreams:
            upstream.start()
            self.addCleanup(upstream.stop)
            self.store.put(f"servers/{upstream.name}", json.encode(upstream.record()))
        route = {
            "host": "x.example",
            "timeout_ms": int(ROUTE_TIMEOUT_S * 1_000),
            "goal_ms": 500,
            "max_attempts": 2,
            "name": "r",
            "prefix": "/r/",
            "type": "idempotent",
            "service": "s",
        }
        service = {"name": "s", "health_path": "/health", "max_connections": 100}
        config = {"version": 10, "routes": [route], "services": [service]}
        self.store.put("op/config", json.encode(config))
        shape = FleetSettings("127.9.5", f"{self.store.host}:{self.store.port}", {"p": "g"})
        fleet = PlatformFleet(shape, ["p"])
        self.addCleanup(fleet.close)
        fleet.start()
        [self.node] = fleet.nodes
        self.until(lambda: self.ready(self.node))

    def begin(self, name: str) -> HTTPConnection:
        """Sends a request whose answer is read later."""
        conn = HTTPConnection(self.node.host, CALLERS_PORT, timeout=TIMEOUT_S)
        self.addCleanup(conn.close)
        time_left = str(int(ROUTE_TIMEOUT_S * 1_000))
        headers = {"Host": "x.example", "X-Attempt-Id": name, "X-Deadline-Ms": time_left}
        conn.request("GET", "/r/1", None, headers)
        return conn

    # Guards against LOST: the memory of many replies just below the limits of each ends the node
    # and with it the requests of all its callers.
    def test_many_incomplete_replies_cost_bounded_memory(self) -> None:
        self.assertEqual(self.begin("first").getresponse().status, 200)
        process = self.node.process
        before = self.node.resident_kb()
        for part in (EndlessPart.SHORT_HEADERS, EndlessPart.HEAD, EndlessPart.BODY):
            with self.subTest(part=part):
                size = 60_000 if part is EndlessPart.BODY else 15_000
                for upstream in self.upstreams:
                    upstream.faults = UpstreamFaults(endless=Endless(part, size, TIMEOUT_S))
                conns = [self.begin(f"{part.value}-{number}") for number in range(MANY_CALLERS)]
                most = 0
                end = monotonic() + ROUTE_TIMEOUT_S
                while monotonic() < end:
                    most = max(most, self.node.resident_kb())
                    sleep(0.02)
                statuses = {conn.getresponse().status for conn in conns}
                self.assertLessEqual(statuses, {502, 504})
                self.assertLess(most - before, MAX_GROWTH_KB)
                self.assertIs(self.node.process, process)
