"""Runs searches through the decision logic and sockets of one node against stand-in upstreams.

The rig is a node without its HTTP and grpc ports: entry and home decisions, dispatcher and
transport on one circuits loop. Two rigs differ only in their dispatchers.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Final

from circuits import Manager
from circuits.core.events import started
from circuits.core.pollers import EPoll
from msgspec import Struct

from sequoiapulley.daemon.message_router import MessageRouter
from sequoiapulley.daemon.search_task import SearchTask
from sequoiapulley.daemon.upstream_shares import UpstreamShares
from sequoiapulley.daemon.upstream_task import UpstreamTask
from sequoiapulley.ids import (
    CallerId,
    Fingerprint,
    Incarnation,
    InstanceName,
    NodeId,
    RequestId,
    ServiceName,
)
from sequoiapulley.link.messages import LinkMessage
from sequoiapulley.model import Configuration
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.runtime.heap_freeze import freeze_heap
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.search.messages import SearchAnswer, SearchRequest
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.health_poller import HealthPoller
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reactor_component import ReactorComponent

LOCAL_NODE: Final = NodeId("bench-01")
SETTLE_S: Final = 1.0
"""Time after the last arrival for searches that are still in flight."""
SEED: Final = 20_261_203


class OneHome:
    """Makes the local node the home of every instance."""

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns the local node."""
        return (LOCAL_NODE,)


class NoLink:
    """A link that reaches no other node."""

    def send(self, node: NodeId, message: LinkMessage) -> bool:
        """Rejects every message."""
        return False


class Sample(Struct, frozen=True):
    """One search as measured by its caller."""

    arrived: float
    """Seconds since the start of the run."""
    elapsed_ms: float
    """Time from the planned arrival to the answer."""
    answer: SearchAnswer


class Load(Struct, frozen=True):
    """A load of searches to one service."""

    service: ServiceName
    rate: float
    """Searches per second, as Poisson arrivals."""
    seconds: float
    deadline_ms: float


class PolicyRig:
    """The search path of one node with a given dispatcher."""

    def __init__(self, configuration: Configuration, dispatcher: Dispatcher) -> None:
        """Connects the components and applies the configuration.

        Args:
            configuration: Services with the addresses of running stand-ins.
            dispatcher: The dispatcher to measure.
        """
        self.clock = SystemClock()
        self.timers = TimerQueue(self.clock)
        self.manager: Any = Manager()
        EPoll().register(self.manager)
        self.reactor = Reactor(self.clock, self.timers)
        ReactorComponent(self.reactor, self.timers).register(self.manager)
        router = MessageRouter(LOCAL_NODE, Incarnation(1), NoLink()).register(self.manager)
        self.upstreams = UpstreamTask(
            self.clock, self.timers, self.reactor, dispatcher, MemoryLog()
        ).register(self.manager)
        homes = OneHome()
        coordinator = SearchCoordinator(homes, MemoryLog())
        self.searches = SearchTask(
            self.clock, self.timers, router, self.upstreams, coordinator, HomeService(MemoryLog())
        ).register(self.manager)
        self._start(configuration, homes, coordinator)
        self._search_count = 0

    def run(self, load: Load, at: dict[float, Callable[[], None]] | None = None) -> list[Sample]:
        """Sends a load and collects the answers.

        Args:
            load: What to send.
            at: Functions to call, by seconds after the start, such as fault injections.

        Returns:
            One sample for each search that was answered.
        """
        samples: list[Sample] = []
        # The daemon also does this after each configuration change.
        freeze_heap()
        started_at = self.clock.now()
        random = Random(SEED)
        arrival = 0.0
        while (arrival := arrival + random.expovariate(load.rate)) < load.seconds:
            self.timers.call_at(
                started_at + arrival, self._starter(load, started_at, arrival, samples)
            )
        for second, function in (at or {}).items():
            self.timers.call_at(started_at + second, function)
        self.run_until(started_at + load.seconds + SETTLE_S)
        return samples

    def run_until(self, end: float) -> None:
        """Runs the loop until a clock time."""
        self.timers.call_at(end, lambda: None)
        while self.clock.now() < end:
            self.manager.tick()

    def close(self) -> None:
        """Stops the health poller and closes the sockets."""
        self.health.stop()
        self.reactor.close()

    def _start(
        self, configuration: Configuration, homes: OneHome, coordinator: SearchCoordinator
    ) -> None:
        """Starts the loop and applies the configuration."""
        # circuits polls only while its manager is marked as running.
        self.manager._running = True
        self.manager.fire(started(self.manager))
        shares = UpstreamShares(LOCAL_NODE, configuration, homes)
        self.upstreams.configure(configuration, shares.connections, shares.slots)
        coordinator.configure(configuration, self.clock.now())
        http = HttpClient(self.reactor, self.clock, self.timers)
        self.health = HealthPoller(http, self.timers, self.upstreams.on_health_report, SEED)
        self.health.configure(configuration, shares.home_upstreams())

    def _starter(
        self, load: Load, started_at: float, arrival: float, samples: list[Sample]
    ) -> Callable[[], None]:
        """Returns a function that starts one search."""

        def start() -> None:
            self._search_count += 1
            query = f"query {self._search_count}"
            request = SearchRequest(
                request_id=RequestId(query),
                caller=CallerId(f"caller-{self._search_count % 20}"),
                service=load.service,
                query=query,
                limit=20,
                deadline=started_at + arrival + load.deadline_ms / 1_000,
                min_coverage=0.0,
                early_at=None,
                fingerprint=Fingerprint(query),
            )

            def done(answer: SearchAnswer) -> None:
                elapsed_ms = (self.clock.now() - started_at - arrival) * 1_000
                samples.append(Sample(arrival, elapsed_ms, answer))

            self.searches.start(request, done)

        return start
