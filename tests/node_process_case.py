"""Base of the tests that run nodes as processes beside stand-ins of the store and upstreams."""

from __future__ import annotations

from http.client import HTTPConnection
from time import monotonic, sleep
from typing import Final
from unittest import TestCase

from standins.platform_fleet import READY_PORT, FleetNode
from standins.store import StoreStandIn

TIMEOUT_S: Final = 30.0
"""Time after which a condition that does not hold fails the test."""


class NodeProcessCase(TestCase):
    """Starts a store, and waits for and calls nodes."""

    def setUp(self) -> None:
        self.store = StoreStandIn()
        self.store.start()
        self.addCleanup(self.store.stop)

    def until(self, condition: object, limit: float = TIMEOUT_S) -> None:
        assert callable(condition)
        end = monotonic() + limit
        while not condition():
            self.assertLess(monotonic(), end, "the condition did not hold in time")
            sleep(0.02)

    def get(self, node: FleetNode, port: int, path: str) -> tuple[int, bytes]:
        """Returns status and body of a node's answer; status 0 if there is none."""
        conn = HTTPConnection(node.host, port, timeout=TIMEOUT_S)
        try:
            conn.request("GET", path)
            reply = conn.getresponse()
            return reply.status, reply.read()
        except OSError:
            return 0, b""
        finally:
            conn.close()

    def ready(self, node: FleetNode) -> bool:
        return self.get(node, READY_PORT, "/readiness")[0] == 200
