"""Nodes and upstreams without a network; some nodes are cut off from all upstreams."""

from __future__ import annotations

from enum import Enum

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.messages import Answer, ExchangeEnd, ExchangeReply
from sequoiapulley.forward.route_table import Route
from sequoiapulley.ids import FailureDomainName
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.simulated_upstreams import SimulatedNet, SimulatedUpstream, ended, success

PROCESSING_S = 0.01
REFUSED_S = 0.001


class Cut(Enum):
    """How a node is cut off from the upstreams."""

    NONE = "none"
    HANGING = "hanging"
    """Nothing that is sent arrives."""
    RESET = "reset"
    """Connections are closed while a request is in flight, and new ones are refused."""
    REFUSED = "refused"
    """New connections are refused."""


class PartitionedFleet:
    """Nodes that share upstreams, each with its own links to them."""

    def __init__(self, domains: tuple[str, ...]) -> None:
        """Initialise with one node for each entry of `domains`, its failure domain."""
        self.timers = TimerQueue(PausedClock())
        self.cuts = [Cut.NONE] * len(domains)
        self.upstreams_down = False
        self.nets = [
            SimulatedNet(self._behave, home=FailureDomainName(domain), timers=self.timers)
            for domain in domains
        ]

    def add(self, name: str, service: str, domain: str) -> None:
        """Registers an upstream at every node."""
        for net in self.nets:
            net.add(name, service, FailureDomainName(domain))

    def apply(self, *routes: Route) -> None:
        """Activates a configuration at every node."""
        for net in self.nets:
            net.apply(*routes)

    def cut(self, nodes: range, cut: Cut) -> None:
        """Cuts nodes off from all upstreams, or restores their links."""
        for node in nodes:
            self.cuts[node] = cut

    def load(self, seconds: float, rate: float = 20.0) -> list[list[tuple[float, Answer]]]:
        """Sends requests to each node in turn; returns the answers, by node and request."""
        answers: list[list[tuple[float, Answer]]] = [[] for _ in self.nets]
        for number in range(round(seconds * rate)):
            for net, found in zip(self.nets, answers, strict=True):
                kind = "q" if number % 2 else "p"
                began = self.timers.clock.now()

                def on_answer(
                    answer: Answer,
                    found: list[tuple[float, Answer]] = found,
                    began: float = began,
                ) -> None:
                    found.append((self.timers.clock.now() - began, answer))

                net.forwarder.handle(net.request(f"/{kind}/{number}"), on_answer)
            self.run(1.0 / rate)
        self.run(1.5)
        return answers

    def run(self, seconds: float) -> None:
        """Advances the clock of all nodes."""
        self.nets[0].run(seconds)

    def _behave(
        self, pool: SimulatedUpstream, exchange: Exchange, _now: float
    ) -> tuple[float, ExchangeReply] | None:
        cut = self.cuts[self.nets.index(pool.net)]
        if self.upstreams_down or cut is Cut.REFUSED:
            return REFUSED_S, ended(ExchangeEnd.NOT_SENT)
        if cut is Cut.RESET:
            return REFUSED_S, ended(ExchangeEnd.LOST)
        if cut is Cut.HANGING:
            return None
        seal = f"{pool.record.name}-{exchange.req.id}".encode()
        return PROCESSING_S, success(seal=seal)
