"""Simulation of membership nodes on an in-memory network with simulated time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from sequoiapulley.fleet.actions import (
    BroadcastReceived,
    MemberChanged,
    MembershipAction,
    SendDatagram,
)
from sequoiapulley.fleet.member import Member, MemberState, NodeAddress
from sequoiapulley.fleet.membership import Membership
from sequoiapulley.ids import FailureDomainName, Incarnation, NodeId, RegionName, WorkspaceName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.platform.vm_list import VmRecord, VmState

FAILURE_DOMAINS = ("burnaby-a", "nanaimo-a", "kelowna-a")
REGIONS = ("lower-mainland", "vancouver-island", "interior")


def make_member(number: int, incarnation: int = 1, failure_domain: int | None = None) -> Member:
    """Makes the record of node `n<number>`; failure domains are assigned in rotation."""
    index = number % len(FAILURE_DOMAINS) if failure_domain is None else failure_domain
    return Member(
        node=NodeId(f"n{number}"),
        incarnation=Incarnation(incarnation),
        failure_domain=FailureDomainName(FAILURE_DOMAINS[index]),
        region=RegionName(REGIONS[index]),
        host=f"10.0.{number // 250}.{number % 250 + 1}",
        membership_port=7001,
        link_port=7002,
        callers_port=7003,
        operators_port=7004,
    )


def make_vm_list(members: list[Member]) -> tuple[VmRecord, ...]:
    """Makes the platform's VM list for some members."""
    return tuple(
        VmRecord(m.node, m.host, m.membership_port, m.failure_domain, VmState.LIVE) for m in members
    )


class MembershipSimulation:
    """Runs nodes and delivers their datagrams with delay, loss, duplication and partitions.

    Nodes can be stopped and paused.
    """

    def __init__(self, size: int, seed: int = 1, loss: float = 0.0, joined: bool = True) -> None:
        """Start `size` nodes.

        Args:
            size: Number of nodes.
            seed: Seed of the random choices.
            loss: Share of datagrams that are lost.
            joined: Whether the nodes find each other through the platform's VM list.
        """
        self.now = 1000.0
        self.random = Random(seed)
        self.loss = loss
        self.duplication = 0.0
        self.delay = (0.0005, 0.02)
        self.is_partitioned: Callable[[NodeId, NodeId], bool] = lambda _a, _b: False
        self.nodes: dict[NodeId, Membership] = {}
        self.nodes_by_address: dict[NodeAddress, NodeId] = {}
        self.clock_offsets: dict[NodeId, float] = {}
        """Seconds by which a node's clock differs from the true time."""
        self.stopped: set[NodeId] = set()
        self.paused: set[NodeId] = set()
        self.events: list[tuple[float, NodeId, MembershipAction]] = []
        self.sent: list[tuple[float, NodeId, int]] = []
        self._order = count()
        self._ticks: list[tuple[float, int, NodeId]] = []
        self._in_flight: list[tuple[float, int, NodeId, NodeAddress, NodeAddress, bytes]] = []
        members = [make_member(number) for number in range(size)]
        for member in members:
            self.add(member, make_vm_list(members) if joined else ())

    def add(self, member: Member, listed: tuple[VmRecord, ...]) -> Membership:
        """Starts a node."""
        node = Membership(member, MemoryLog(), self.random.randrange(2**32), WorkspaceName("c"))
        self.nodes[member.node] = node
        self.nodes_by_address[member.address] = member.node
        self.execute(member.node, node.on_vm_list(listed, self._clock_of(member.node)))
        self.execute(member.node, node.tick(self._clock_of(member.node)))
        return node

    def execute(self, node: NodeId, actions: list[MembershipAction]) -> None:
        """Sends the datagrams among a node's actions and records the other actions."""
        for action in actions:
            if not isinstance(action, SendDatagram):
                self.events.append((self.now, node, action))
                continue
            self.sent.append((self.now, node, len(action.payload)))
            copies = 2 if self.random.random() < self.duplication else 1
            for _ in range(copies):
                if self.random.random() < self.loss:
                    continue
                due = self.now + self.random.uniform(*self.delay)
                source = self.nodes[node].local_member.address
                item = (due, next(self._order), node, source, action.address, action.payload)
                heappush(self._in_flight, item)

    def run(self, seconds: float) -> None:
        """Runs the simulation for some time, from event to event."""
        end = self.now + seconds
        self._ticks = []
        for name in self.nodes:
            self._schedule(name)
        while True:
            due, node = self._next_tick()
            arrival = self._in_flight[0][0] if self._in_flight else end
            if min(due, arrival) >= end:
                break
            self.now = max(self.now, min(due, arrival))
            if arrival <= due:
                _due, _order, sender, source, address, payload = heappop(self._in_flight)
                self._deliver(sender, source, address, payload)
            elif node is not None:
                self.execute(node, self.nodes[node].tick(self._clock_of(node)))
                self._schedule(node)
        self.now = end

    def _due(self, node: NodeId) -> float:
        return (self.nodes[node].next_due() or 0.0) - self.clock_offsets.get(node, 0.0)

    def _schedule(self, node: NodeId) -> None:
        if node not in self.stopped and node not in self.paused:
            heappush(self._ticks, (self._due(node), next(self._order), node))

    def _clock_of(self, node: NodeId) -> float:
        return self.now + self.clock_offsets.get(node, 0.0)

    def _next_tick(self) -> tuple[float, NodeId | None]:
        while self._ticks:
            due, _order, node = self._ticks[0]
            if due == self._due(node):
                return due, node
            heappop(self._ticks)
        return float("inf"), None

    def _deliver(
        self, sender: NodeId, source: NodeAddress, address: NodeAddress, payload: bytes
    ) -> None:
        name = self.nodes_by_address.get(address)
        if (
            name is None
            or name in self.stopped
            or name in self.paused
            or self.is_partitioned(sender, name)
        ):
            return
        self.execute(name, self.nodes[name].on_message(source, payload, self._clock_of(name)))
        self._schedule(name)

    def running(self) -> list[NodeId]:
        """Lists the nodes that are neither stopped nor paused."""
        return [node for node in self.nodes if node not in self.stopped | self.paused]

    def view(self, node: NodeId) -> dict[NodeId, MemberState]:
        """Returns the states of all members in a node's view."""
        return {member.node: member.state for member in self.nodes[node].members()}

    def alive_in_view(self, node: NodeId) -> set[NodeId]:
        """Returns the members that are alive in a node's view."""
        view = self.view(node)
        return {name for name, state in view.items() if state is MemberState.ALIVE}

    def has_converged(self) -> bool:
        """Returns whether every running node sees exactly the running nodes as alive."""
        running = set(self.running())
        return all(self.alive_in_view(node) == running for node in running)

    def state_changes(self, state: MemberState) -> list[tuple[float, NodeId, NodeId]]:
        """Lists the changes to a state as time, observing node and changed node."""
        return [
            (when, at, action.member.node)
            for when, at, action in self.events
            if isinstance(action, MemberChanged) and action.member.state is state
        ]

    def broadcasts_received(self) -> list[tuple[float, NodeId, bytes]]:
        """Lists the received broadcasts as time, receiving node and body."""
        return [
            (when, at, action.body)
            for when, at, action in self.events
            if isinstance(action, BroadcastReceived)
        ]
