"""Base class for tests of connections to one upstream, with a server controlled by the test."""

from __future__ import annotations

from socket import socket
from unittest import TestCase

from sequoiapulley.runtime import PausedClock
from sequoiapulley.upstream.messages import ReplyKind
from sequoiapulley.upstream.pool_settings import PoolPolicy
from sequoiapulley.wire.http_connection import ReplyBounds
from tests.wire_support import (
    Loop,
    Recorder,
    ScriptedServer,
    reply_bytes,
)

RECEIVE_BYTES = 65_536


class WireTestCase(TestCase):
    """Test case with a transport on a paused clock and a `ScriptedServer`."""

    def connect(
        self,
        allowance: int = 4,
        open_ms: float = 1.0,
        policy: PoolPolicy | None = None,
        bounds: ReplyBounds | None = None,
    ) -> None:
        self.loop = Loop(PausedClock())
        self.server = ScriptedServer(self.loop)
        self.addCleanup(self.server.close)
        self.recorder = Recorder(self.loop, self.server.port, allowance, open_ms, policy, bounds)
        self.addCleanup(self.recorder.transport.close)

    def exchange(self, number: int, conn: socket | None = None, path: str = "/search") -> socket:
        """Sends one request and its reply; returns the server's end of the connection."""
        self.recorder.send(number, path)
        conn = conn or self.server.accept()
        self.loop.settle()
        conn.recv(RECEIVE_BYTES)
        conn.sendall(reply_bytes(number))
        self.loop.settle()
        self.assertEqual(self.recorder.replies[number].kind, ReplyKind.OK)
        return conn
