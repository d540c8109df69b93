"""Shared pieces of the tests with real sockets on loopback."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sequoiapulley.ids import (
    ConfigVersion,
    ContractName,
    CustomerName,
    ExchangeId,
    InstanceName,
    PlaceName,
    RegionName,
    ServiceName,
    UpstreamName,
)
from sequoiapulley.model import Configuration, Contract, Instance, Place, Service, Upstream
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.upstream.http_contract import JSON_HEADERS, SEARCH_PATH
from sequoiapulley.upstream.messages import LossKind, SendExchange, UpstreamReply
from sequoiapulley.upstream.transport import UpstreamTransport
from sequoiapulley.wire.reactor import Reactor

PATIENCE_S: Final = 20.0
"""Longest wait for an outcome; a test that needs it has failed."""
UPSTREAM: Final = UpstreamName("u")


class Loop:
    """A reactor with timers on the system clock."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.timers = TimerQueue(self.clock)
        self.reactor = Reactor(self.clock, self.timers)

    def until(self, condition: Callable[[], bool]) -> None:
        """Runs until a condition holds, or fails."""
        end = self.clock.now() + PATIENCE_S
        while not condition():
            if self.clock.now() > end:
                raise AssertionError("the awaited condition did not come")
            self.reactor.run_once(0.05)


class Recorder:
    """A transport to one upstream and the outcomes of its exchanges."""

    def __init__(self, loop: Loop, port: int, allowance: int = 4, open_ms: float = 1.0) -> None:
        self.loop = loop
        self.replies: dict[int, UpstreamReply] = {}
        self.losses: dict[int, LossKind] = {}
        self.outcomes = 0
        self.transport = UpstreamTransport(
            loop.reactor, loop.clock, loop.timers, self._on_reply, self._on_lost
        )
        self.transport.configure(configuration(port, open_ms), lambda _name: allowance)

    def _on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply) -> None:
        self.replies[exchange_id] = reply
        self.outcomes += 1

    def _on_lost(self, exchange_id: ExchangeId, kind: LossKind) -> None:
        self.losses[exchange_id] = kind
        self.outcomes += 1

    def send(
        self, number: int, path: str = SEARCH_PATH, fresh: bool = False, left: float = 30.0
    ) -> None:
        """Sends one exchange."""
        body = (
            b'{"request_id":%d,"service":"s","instance":"i","query":"q","limit":2,'
            b'"snapshot":null,"time_left_ms":30000}' % number
        )
        deadline = self.loop.clock.now() + left
        order = SendExchange(
            ExchangeId(number), UPSTREAM, path, JSON_HEADERS, body, deadline, fresh
        )
        self.transport.execute(order)

    def until_outcomes(self, count: int) -> None:
        """Runs until this many exchanges have ended."""
        self.loop.until(lambda: self.outcomes >= count)


def configuration(port: int, open_ms: float = 1.0) -> Configuration:
    """Returns a configuration of one upstream."""
    place = PlaceName("p")
    upstream = Upstream(UPSTREAM, place, "127.0.0.1", port)
    contract = Contract(ContractName("c"), 2, 60, open_ms)
    instance = Instance(InstanceName("i"), (upstream,))
    service = Service(ServiceName("s"), contract.name, (instance,))
    return Configuration(
        ConfigVersion(1),
        CustomerName("t"),
        {place: Place(place, RegionName("r"))},
        {contract.name: contract},
        {service.name: service},
    )
