"""Base of the tests that read the stand-in of the store through `KvSource`."""

from __future__ import annotations

from typing import Final
from unittest import TestCase

from sequoiapulley.forward.state import ChangeSet, ChangesReply
from sequoiapulley.platform.kv_source import KvSource
from sequoiapulley.wire.http_client import HttpClient
from standins.store import StoreStandIn
from tests.state_fixtures import position
from tests.wire_support import Loop

TIMEOUT_S: Final = 10.0


class KvSourceCase(TestCase):
    """A store and the source that reads it."""

    def setUp(self) -> None:
        self.server = StoreStandIn()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.loop = Loop()
        self.client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(self.client.close)
        self.source = KvSource(self.client, self.server.host, self.server.port)
        self.replies: list[ChangesReply] = []

    def next_reply(self) -> ChangesReply:
        self.loop.until(lambda: bool(self.replies))
        return self.replies.pop(0)

    def read_all(self, exact: bool = True) -> ChangeSet:
        self.source.read_all(exact, TIMEOUT_S, self.replies.append)
        return self.next_reply().unwrap()

    def read_changes(self, after: int, wait: float = 5.0) -> ChangesReply:
        self.source.read_changes(position(after), wait, TIMEOUT_S, self.replies.append)
        return self.next_reply()
