"""Helpers for tests with real sockets on the loopback interface."""

from __future__ import annotations

from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET, create_server, socket
from struct import pack
from time import monotonic
from typing import Final

from sequoiapulley.ids import (
    ConfigVersion,
    ContractName,
    ExchangeId,
    FailureDomainName,
    InstanceName,
    RegionName,
    ServiceName,
    UpstreamName,
    WorkspaceName,
)
from sequoiapulley.model import Configuration, Contract, FailureDomain, Instance, Service, Upstream
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import Clock, PausedClock, SystemClock, TimerQueue
from sequoiapulley.upstream.http_contract import JSON_HEADERS, SEARCH_PATH
from sequoiapulley.upstream.messages import CancelExchange, LossKind, SendExchange, UpstreamReply
from sequoiapulley.upstream.pool_settings import PoolPolicy
from sequoiapulley.upstream.transport import UpstreamTransport
from sequoiapulley.wire.http_connection import ReplyBounds
from sequoiapulley.wire.reactor import Reactor

TIMEOUT_S: Final = 20.0
"""Time after which a test that waits for an event fails."""
UPSTREAM: Final = UpstreamName("u")


class Loop:
    """A reactor with timers; on a paused clock, timers become due only by `advance`."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.timers = TimerQueue(self.clock)
        self.reactor = Reactor(self.clock, self.timers)

    def until(self, condition: Callable[[], bool]) -> None:
        """Runs sockets and timers until a condition holds; fails after `TIMEOUT_S`."""
        end = monotonic() + TIMEOUT_S
        while not condition():
            if monotonic() > end:
                raise AssertionError("the condition was not met in time")
            self.reactor.run_once(0.01)

    def settle(self) -> None:
        """Polls until no socket is ready."""
        while self.reactor.poll(0.02):
            continue

    def advance(self, seconds: float) -> None:
        """Advances a paused clock, runs the timers due and settles."""
        assert isinstance(self.clock, PausedClock)
        self.clock.advance(seconds)
        self.timers.run_due()
        self.settle()


class Recorder:
    """A transport to one upstream that records the outcomes of its exchanges."""

    def __init__(
        self,
        loop: Loop,
        port: int,
        allowance: int = 4,
        open_ms: float = 1.0,
        policy: PoolPolicy | None = None,
        bounds: ReplyBounds | None = None,
    ) -> None:
        """Creates a transport to one upstream.

        Args:
            loop: Event loop.
            port: TCP port of the upstream.
            allowance: Maximum number of connections to the upstream.
            open_ms: Typical time to open a connection, in milliseconds.
            policy: Policy of the connection pool; None for the default.
            bounds: Size limits of a reply; None for the defaults.
        """
        self.loop = loop
        self.log = MemoryLog()
        self.replies: dict[int, UpstreamReply] = {}
        self.losses: dict[int, LossKind] = {}
        self.outcomes: list[int] = []
        self.transport = UpstreamTransport(
            loop.reactor,
            loop.clock,
            loop.timers,
            self._on_reply,
            self._on_lost,
            bounds=bounds,
            policy=policy,
            log=self.log,
        )
        self.transport.configure(configuration(port, open_ms), lambda _name: allowance)

    def _on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply) -> None:
        self.replies[exchange_id] = reply
        self.outcomes.append(exchange_id)

    def _on_lost(self, exchange_id: ExchangeId, kind: LossKind) -> None:
        self.losses[exchange_id] = kind
        self.outcomes.append(exchange_id)

    def send(
        self,
        number: int,
        path: str = SEARCH_PATH,
        fresh: bool = False,
        left: float = 30.0,
        padding: int = 0,
    ) -> None:
        """Sends one exchange.

        Args:
            number: Id of the exchange.
            path: Path of the request.
            fresh: Whether idle connections are avoided, see `SendExchange.fresh_connection`.
            left: Time until the deadline, in seconds.
            padding: Number of bytes added to the query.
        """
        body = (
            b'{"request_id":%d,"service":"s","instance":"i","query":"q%s","limit":2,'
            b'"snapshot":null,"time_left_ms":30000}' % (number, b"x" * padding)
        )
        deadline = self.loop.clock.now() + left
        action = SendExchange(
            ExchangeId(number), UPSTREAM, path, JSON_HEADERS, body, deadline, fresh
        )
        before = len(self.outcomes)
        self.transport.execute(action)
        assert len(self.outcomes) == before, "a callback ran inside execute"

    def cancel(self, number: int) -> None:
        """Cancels one exchange."""
        self.transport.execute(CancelExchange(ExchangeId(number), UPSTREAM))

    def until_outcomes(self, count: int) -> None:
        """Runs until this many exchanges have ended."""
        self.loop.until(lambda: len(self.outcomes) >= count)


class ScriptedServer:
    """A listening socket whose connections are read and written by the test."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.listener = create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_S)
        self.port: int = self.listener.getsockname()[1]
        self.accepted: list[socket] = []

    def accept(self) -> socket:
        """Accepts the next connection."""
        self.loop.settle()
        conn, _ = self.listener.accept()
        conn.settimeout(TIMEOUT_S)
        self.accepted.append(conn)
        self.loop.settle()
        return conn

    def accept_all(self) -> int:
        """Accepts all queued connections; returns the number accepted so far."""
        self.listener.setblocking(False)
        while True:
            try:
                self.accepted.append(self.listener.accept()[0])
            except BlockingIOError:
                self.listener.settimeout(TIMEOUT_S)
                return len(self.accepted)

    def close(self) -> None:
        """Closes every socket."""
        for conn in self.accepted:
            conn.close()
        self.listener.close()


def reply_bytes(number: int, body: bytes | None = None) -> bytes:
    """Encodes a valid reply to an exchange."""
    if body is None:
        body = b'{"request_id":%d,"snapshot":"1.1","shard":"i","hits":[]}' % number
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def reset(conn: socket) -> None:
    """Closes a connection with a reset (RST)."""
    conn.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    conn.close()


def configuration(port: int, open_ms: float = 1.0) -> Configuration:
    """Returns a configuration with one upstream."""
    domain = FailureDomainName("p")
    upstream = Upstream(UPSTREAM, domain, "127.0.0.1", port)
    contract = Contract(ContractName("c"), 2, 60, open_ms)
    instance = Instance(InstanceName("i"), (upstream,))
    service = Service(ServiceName("s"), contract.name, (instance,))
    return Configuration(
        ConfigVersion(1),
        WorkspaceName("t"),
        {domain: FailureDomain(domain, RegionName("r"))},
        {contract.name: contract},
        {service.name: service},
    )
