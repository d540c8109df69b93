"""Nodes and upstreams without a network; some nodes are cut off from all upstreams."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import partial

from msgspec.structs import replace
from result import Err, Ok

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.handover import HandoverFailure, HandoverResult
from sequoiapulley.forward.messages import Answer, CallerRequest, ExchangeEnd, ExchangeReply
from sequoiapulley.forward.route_table import Route
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, NodeId, UpstreamName
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.simulated_upstreams import SimulatedNet, SimulatedUpstream, ended, success
from tests.state_fixtures import node

PROCESSING_S = 0.01
REFUSED_S = 0.001
ONE_WAY_S = 0.002
"""Network latency between two nodes."""


class Cut(Enum):
    """How a node is cut off from the upstreams."""

    NONE = "none"
    HANGING = "hanging"
    """Nothing that is sent arrives."""
    RESET = "reset"
    """Connections are closed while a request is in flight, and new ones are refused."""
    REFUSED = "refused"
    """New connections are refused."""


class SimulatedHandover:
    """Implements `HandoverClient` of one node between the nodes of a fleet."""

    def __init__(self, fleet: PartitionedFleet, net: SimulatedNet) -> None:
        self.fleet = fleet
        self.net = net
        self.sent = 0
        self.cancelled = 0

    @property
    def available(self) -> bool:
        return self.next_node([]) is not None

    def next_node(self, excluded: list[NodeId]) -> NodeRecord | None:
        usable = [
            node(f"n{number}", str(net.home))
            for number, net in enumerate(self.fleet.nets)
            if net is not self.net and not net.ctx.contact.cut_off and net.ctx.contact.age < 3.0
        ]
        usable = [record for record in usable if record.name not in excluded]
        return usable[self.sent % len(usable)] if usable else None

    def hand_over(
        self,
        node: NodeRecord,
        req: CallerRequest,
        time_left: float,
        done: Callable[[HandoverResult], None],
    ) -> Callable[[], None]:
        self.sent += 1
        peer = self.fleet.nets[int(node.name[1:])]
        timers = self.fleet.timers
        ended = False

        def on_answer(answer: Answer) -> None:
            timers.call_later(ONE_WAY_S, lambda: None if ended else done(Ok(answer)))

        def arrive() -> None:
            if peer.ctx.contact.cut_off:
                timers.call_later(ONE_WAY_S, lambda: done(Err(HandoverFailure(False, "cut off"))))
                return
            arrived = replace(req, time_left=time_left, arrived=timers.clock.now())
            peer.forwarder.handle(arrived, on_answer, may_hand_over=False)

        def cancel() -> None:
            nonlocal ended
            ended = True
            self.cancelled += 1

        timers.call_later(ONE_WAY_S, arrive)
        return cancel


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
        self.clients = [SimulatedHandover(self, net) for net in self.nets]
        for net, client in zip(self.nets, self.clients, strict=True):
            net.forwarder.handover = client
            net.ctx.contact.on_change = partial(self._on_change, net)
            net.is_down = partial(self._refuses, net)
            contact = net.ctx.contact
            net.ctx.crash_guard.is_cut_off = lambda contact=contact: contact.cut_off

    def _on_change(self, net: SimulatedNet) -> None:
        """Acts on a node's loss of contact as the node does."""
        if net.ctx.contact.cut_off:
            net.forwarder.hand_over_jobs()

    def _refuses(self, net: SimulatedNet, _name: UpstreamName) -> bool:
        """Returns whether an upstream accepts no connection of a node."""
        return self.upstreams_down or self.cuts[self.nets.index(net)] is not Cut.NONE

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
        for number in nodes:
            self.cuts[number] = cut

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

    def handovers(self) -> int:
        """Returns the number of requests that were handed over so far."""
        return sum(client.sent for client in self.clients)

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
