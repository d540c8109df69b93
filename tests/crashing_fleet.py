"""Nodes and upstreams without a network; some requests crash every upstream that runs them."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from result import Ok

from sequoiapulley.forward.aggregators import (
    Aggregators,
    PartsReply,
    PartsRequest,
    PartsResult,
    PartsTimeouts,
)
from sequoiapulley.forward.crash_guard import StrikeNews
from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.messages import Answer, ExchangeEnd, ExchangeReply
from sequoiapulley.forward.part_collector import PartCollector
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.state import NodeRecord, RequestRefusal
from sequoiapulley.ids import FailureDomainName, Fingerprint, NodeId, UpstreamName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.simulated_upstreams import SimulatedNet, SimulatedUpstream, ended, success
from tests.state_fixtures import node

CRASH_AFTER_S = 0.03
"""Time from the arrival of such a request until the upstream crashes."""
DOWN_S = 1.0
"""Time until a crashed upstream serves again."""
PROCESSING_S = 0.01
CONNECT_REFUSED_S = 0.001
NEWS_S = 0.01
"""Time until a heartbeat arrives, in another region."""


class FleetParts:
    """Implements `PartsClient` between the nodes of a fleet."""

    def __init__(self, fleet: CrashingFleet) -> None:
        self.fleet = fleet

    def ensure_connected(self, node: NodeRecord) -> bool:
        return True

    def request_parts(
        self,
        node: NodeRecord,
        request: PartsRequest,
        timeouts: PartsTimeouts,
        done: Callable[[PartsResult], None],
    ) -> None:
        timers = self.fleet.timers
        net = self.fleet.nets[int(node.name[1:])]

        def reply(parts: PartsReply) -> None:
            timers.call_later(NEWS_S, lambda: done(Ok(parts)))

        timers.call_later(NEWS_S, lambda: PartCollector(net.ctx, request, reply).start())


class CrashingFleet:
    """Nodes that share upstreams; an upstream that crashes loses the requests of all of them."""

    def __init__(
        self, domains: tuple[str, ...], crashing: frozenset[bytes], merges_parts: bool = False
    ) -> None:
        """Initialise with one node for each entry of `domains`.

        Args:
            domains: Failure domain of each node.
            crashing: Targets of the requests that crash upstreams.
            merges_parts: Whether nodes ask those of other failure domains for merged parts.
        """
        self.timers = TimerQueue(PausedClock())
        self.clock = self.timers.clock
        self.crashing = crashing
        self.crashes: list[tuple[float, UpstreamName]] = []
        self.sends: list[float] = []
        """Clock readings at which such a request reached an upstream."""
        self.down_s = DOWN_S
        self.lossy: frozenset[bytes] = frozenset()
        """Targets of the requests whose connections close without a reply; nothing crashes."""
        self._kept: dict[Fingerprint, RequestRefusal] = {}
        """Refused requests in the store."""
        self.crashing_at = (b"", "")
        """Target of the requests that crash the upstreams of one service, and that service."""
        self._down: set[UpstreamName] = set()
        self.crash_after: Callable[[UpstreamName], float] = lambda name: CRASH_AFTER_S
        records = [node(f"n{number}", domain) for number, domain in enumerate(domains)]
        self.nets = [
            SimulatedNet(
                self._behave,
                home=FailureDomainName(domain),
                timers=self.timers,
                aggregators=self._aggregators(domain, records) if merges_parts else None,
            )
            for domain in domains
        ]
        for net in self.nets:
            self._connect(net)

    def _aggregators(self, domain: str, records: list[NodeRecord]) -> Aggregators:
        """Returns the selection of nodes that merge parts for a node of a failure domain."""
        parts = FleetParts(self)
        home = FailureDomainName(domain)
        return Aggregators(home, lambda: records, parts, self.clock, MemoryLog())

    def _connect(self, net: SimulatedNet) -> None:
        """Connects a node to the others, and to the state of the upstreams."""
        net.is_down = self._down.__contains__
        guard = net.ctx.crash_guard
        name = NodeId(f"n{self.nets.index(net)}")

        def send() -> None:
            news = guard.news()
            for peer in self.nets:
                if peer is not net:
                    self.timers.call_later(NEWS_S, partial(hear, peer, news))

        def hear(peer: SimulatedNet, news: tuple[StrikeNews, ...]) -> None:
            peer.ctx.crash_guard.hear(news, peer.directory.service_of, name)

        guard.on_news = send
        guard.on_refusal = self._keep

    def add(self, name: str, service: str, domain: str) -> None:
        """Registers an upstream at every node."""
        for net in self.nets:
            net.add(name, service, FailureDomainName(domain))

    def apply(self, *routes: Route) -> None:
        """Activates a configuration at every node."""
        for net in self.nets:
            net.apply(*routes)

    def ask(self, node: int, path: str) -> list[tuple[float, Answer]]:
        """Sends a request to a node; its latency and answer are appended to the returned list."""
        return self.nets[node].ask(path)

    def run(self, seconds: float) -> None:
        """Advances the clock of all nodes."""
        self.nets[0].run(seconds)

    def _keep(self, refusal: RequestRefusal) -> None:
        """Keeps a refused request in the store."""
        self._kept[refusal.fingerprint] = refusal

    def restart(self) -> None:
        """Restarts all nodes, which read the store."""
        for net in self.nets:
            net.restart()
            self._connect(net)
            for refusal in self._kept.values():
                net.ctx.crash_guard.restore(refusal)

    def crash_upstream(self, name: str) -> None:
        """Ends an upstream."""
        self._crash(UpstreamName(name))

    def crash_domain(self, domain: str) -> None:
        """Ends all upstreams of a failure domain at once."""
        for name, pool in self.nets[0].pools.items():
            if pool.record.failure_domain == domain:
                self._crash(name)

    def sends_after(self, crashes: int, delay: float) -> int:
        """Returns the sends of crashing requests that came too late to be expected.

        Args:
            crashes: Number of crashes after which the request should be known.
            delay: Time after the last of these crashes, in seconds.
        """
        if len(self.crashes) < crashes:
            return 0
        known_at = self.crashes[crashes - 1][0] + delay
        return sum(at > known_at for at in self.sends)

    def _behave(
        self, pool: SimulatedUpstream, exchange: Exchange, now: float
    ) -> tuple[float, ExchangeReply] | None:
        name = pool.record.name
        if name in self._down:
            return CONNECT_REFUSED_S, ended(ExchangeEnd.NOT_SENT)
        if exchange.req.target in self.lossy:
            return PROCESSING_S, ended(ExchangeEnd.LOST)
        crashes = exchange.req.target in self.crashing
        if not crashes and (exchange.req.target, pool.record.service) != self.crashing_at:
            seal = f"{name}-{exchange.req.id}".encode()
            return PROCESSING_S, success(seal=seal)
        self.sends.append(now)
        self.timers.call_later(self.crash_after(name), lambda: self._crash(name))
        return None

    def _crash(self, name: UpstreamName) -> None:
        """Ends an upstream and all requests in flight there."""
        if name in self._down:
            return
        self._down.add(name)
        self.crashes.append((self.clock.now(), name))
        self.timers.call_later(self.down_s, lambda: self._down.discard(name))
        for net in self.nets:
            pool = net.pools[name]
            for exchange in tuple(pool.running):
                pool.end(exchange, ended(ExchangeEnd.LOST))
