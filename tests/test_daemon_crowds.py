"""Tests of `sequoiapulleyd` processes with crowds of clients outside the limits; see `test_crowds`.

A chunk of a few bytes costs many times its size while a body is incomplete, and the settings of the
daemon state the memory and the descriptors of its VM.
"""

from __future__ import annotations

from http.client import HTTPException
from socket import AF_INET, SOCK_DGRAM, socket
from time import monotonic, sleep
from typing import Any, Final
from unittest import TestCase

from msgspec import json

from standins.crowd import Crowd, CrowdKind, Target
from standins.http_call import HOST, http_json
from standins.local_fleet import LocalFleet, local_fleet
from standins.process_meter import KB, ProcessMeter
from tests.node_process_case import TIMEOUT_S

MEMORY_MB: Final = 144
"""Memory of the VM in the settings."""
MAX_FDS: Final = 1_535
FEW_FDS: Final = 400
CLIENTS: Final = 500
SOME_CLIENTS: Final = 60
FEW_CLIENTS: Final = 8
HOLD_S: Final = 4.0
DATAGRAMS: Final = 20_000
SERVICE: Final = "s"


def make_text() -> str:
    """Returns a configuration with one service, of one instance with one upstream."""
    text = {
        "customer": "crowd-test",
        "places": {"p1": {"region": "r1"}},
        "contracts": {"c": {"slots": 2, "connections": 60, "open_ms": 1}},
        "services": {
            SERVICE: {
                "contract": "c",
                "search": {"deadline_ms": 2_000},
                "instances": {"s-1": {"s-1-a": {"place": "p1", "address": "127.0.0.1:30001"}}},
            }
        },
    }
    return json.format(json.encode(text), indent=1).decode()


class DaemonCrowdCase(TestCase):
    """One daemon and one upstream."""

    max_fds = MAX_FDS

    def setUp(self) -> None:
        limits = {"memory_mb": MEMORY_MB, "max_fds": self.max_fds}
        self.fleet: LocalFleet = self.enterContext(
            local_fleet(make_text(), 1, settings={"limits": limits})
        )
        [self.node] = self.fleet.nodes.values()
        self.fleet.wait_for_members(1)
        body = {"base_version": 0, "edit_id": "e", "author": "test", "text": self.fleet.text}
        self.until(lambda: self.call("operators", "PUT", "/v1/config", body)[0] in (200, 409))
        self.until(self.is_served)
        self.call("operators", "GET", "/metrics")
        ports = self.node.ports
        self.meter = ProcessMeter(
            self.node.process.pid, HOST, (ports.callers, ports.operators, ports.link)
        )
        self.addCleanup(self.meter.stop)

    def until(self, condition: Any) -> None:
        end = monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(monotonic(), end, "the condition did not hold in time")
            sleep(0.05)

    def call(self, port: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Calls a port of the daemon; status 0 if there is no answer in JSON."""
        number = getattr(self.node.ports, port)
        try:
            return http_json(number, method, path, body, timeout=TIMEOUT_S)
        except (OSError, HTTPException, ValueError):
            return 0, None

    def is_served(self) -> bool:
        """Returns whether an ordinary search is answered completely."""
        status, answer = self.call(
            "callers", "POST", f"/v1/services/{SERVICE}/search", {"query": "q"}
        )
        return status == 200 and bool(answer["complete"])

    def crowd(
        self, kind: CrowdKind, port: str = "callers", path: str = "", count: int = CLIENTS
    ) -> Crowd:
        """Starts a crowd at a port of the daemon."""
        path = path or f"/v1/services/{SERVICE}/search"
        target = Target(HOST, getattr(self.node.ports, port), path)
        crowd = Crowd(kind, target, count)
        self.addCleanup(crowd.stop)
        crowd.start()
        return crowd

    def endure(self, *crowds: Crowd) -> None:
        """Waits while crowds hold their connections, then checks the daemon and ends them."""
        sleep(HOLD_S)
        self.assertIsNone(self.node.process.poll())
        self.until(self.is_served)
        for crowd in crowds:
            crowd.stop()
        self.until(self.is_served)
        self.assertIsNone(self.node.process.poll())
        self.meter.stop()
        self.assertLess(self.meter.most_kb, MEMORY_MB * KB)
        self.assertLess(self.meter.most_fds, self.max_fds)


class DaemonMemoryTest(DaemonCrowdCase):
    """Crowds that would use up the memory of a daemon."""

    # Guards against the memory of bodies that stop short of their end.
    def test_large_chunks(self) -> None:
        self.endure(self.crowd(CrowdKind.LARGE_CHUNKS))

    # Guards against the memory of the objects that hold the chunks of such bodies.
    def test_small_chunks(self) -> None:
        self.endure(self.crowd(CrowdKind.SMALL_CHUNKS))

    # Guards against an event loop that only parses chunks.
    def test_chunks_of_one_byte(self) -> None:
        self.endure(self.crowd(CrowdKind.BYTE_CHUNKS))

    # Guards against the memory of complete bodies behind another request on a connection.
    def test_bodies_pipelined(self) -> None:
        self.endure(self.crowd(CrowdKind.BODIES_PIPELINED))

    # Guards against the last request that each idle connection keeps.
    def test_whole_bodies(self) -> None:
        self.endure(self.crowd(CrowdKind.WHOLE_BODY))

    # Guards against requests that stay in memory for good, as their callers left before they ran.
    def test_bodies_of_callers_that_disconnect(self) -> None:
        self.endure(self.crowd(CrowdKind.BODIES_LEFT, count=SOME_CLIENTS))

    # Guards against the memory of bodies that are sent on, whatever their limit.
    def test_oversized_chunks(self) -> None:
        self.endure(self.crowd(CrowdKind.OVERSIZED_CHUNKS))

    # Guards against trailers that are kept without end.
    def test_trailers(self) -> None:
        self.endure(self.crowd(CrowdKind.TRAILERS))

    # Guards against heads that arrive byte by byte on many connections.
    def test_drip(self) -> None:
        self.endure(self.crowd(CrowdKind.DRIP))

    # Guards against the memory of answers that no client reads.
    def test_unread_answers_of_the_operators_port(self) -> None:
        self.endure(self.crowd(CrowdKind.UNREAD_ANSWERS, "operators", "/v1/config"))

    # Guards against the objects of many small requests, which are left to the garbage collector.
    def test_unread_answers_at_both_ports(self) -> None:
        crowds = [
            self.crowd(CrowdKind.UNREAD_ANSWERS, port, path)
            for port, path in (("callers", ""), ("operators", "/v1/config"))
        ]
        self.endure(*crowds)

    # Guards against limits of each port whose sum is more than the memory of the daemon.
    def test_small_chunks_at_both_ports(self) -> None:
        crowds = [
            self.crowd(CrowdKind.SMALL_CHUNKS, port, path)
            for port, path in (("callers", ""), ("operators", "/v1/config"))
        ]
        self.endure(*crowds)

    # Guards against bytes at the port of other nodes that are no messages.
    def test_requests_at_the_link(self) -> None:
        self.endure(self.crowd(CrowdKind.SMALL_CHUNKS, "link"))

    # Guards against datagrams that are no messages of nodes.
    def test_datagrams(self) -> None:
        with socket(AF_INET, SOCK_DGRAM) as sock:
            for number in range(DATAGRAMS):
                sock.sendto(b"\xff" * (number % 1_400), (HOST, self.node.ports.membership))
        self.endure()


class DaemonServedTest(DaemonCrowdCase):
    """A few clients that send one request after the other, each answered."""

    # Guards against requests of many headers that are kept after their answer.
    def test_short_headers(self) -> None:
        self.endure(self.crowd(CrowdKind.SHORT_HEADERS_SERVED, count=FEW_CLIENTS))

    # Guards against bodies that are kept after their answer.
    def test_bodies(self) -> None:
        self.endure(self.crowd(CrowdKind.BODIES_SERVED, count=FEW_CLIENTS))


class DaemonDescriptorTest(DaemonCrowdCase):
    """Crowds that would use up the descriptors of a daemon."""

    max_fds = FEW_FDS

    # Guards against silent connections that take every descriptor of the process.
    def test_silent_connections(self) -> None:
        self.endure(self.crowd(CrowdKind.SILENT))

    # Guards against the same at the operators' port, which monitoring needs.
    def test_silent_connections_at_the_operators_port(self) -> None:
        crowd = self.crowd(CrowdKind.SILENT, "operators")
        sleep(HOLD_S)
        self.until(lambda: self.call("operators", "GET", "/v1/status")[0] == 200)
        self.endure(crowd)

    # Guards against the same at the port of other nodes.
    def test_silent_connections_at_the_link(self) -> None:
        self.endure(self.crowd(CrowdKind.SILENT, "link"))
