"""Runs searches through the real decisions and sockets of one node against stand-in upstreams.

The rig is a node without its HTTP and grpc ports: entry and home decisions, dispatcher and
transport on one circuits loop. What differs between two rigs is the dispatcher alone.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Final

from circuits import Manager
from circuits.core.events import started
from circuits.core.pollers import EPoll
from msgspec import Struct

from sequoiapulley.daemon.postbox import Postbox
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
from sequoiapulley.runtime.settled_heap import settle_heap
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.search.messages import SearchAnswer, SearchRequest
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.health_poller import HealthPoller
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reactor_component import ReactorComponent

ME: Final = NodeId("bench-01")
SETTLE_S: Final = 1.0
"""Time after the last arrival for answers still under way."""
SEED: Final = 20_261_203


class OneHome:
    """Names this node as the home of everything."""

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns this node."""
        return (ME,)


class NoLink:
    """A link without other nodes."""

    def send(self, node: NodeId, message: LinkMessage) -> bool:
        """Refuses every message."""
        return False


class Sample(Struct, frozen=True):
    """One search as its caller saw it."""

    arrived: float
    """Seconds since the start of the run."""
    elapsed_ms: float
    """Time from the planned arrival to the answer."""
    answer: SearchAnswer


class Load(Struct, frozen=True):
    """Searches to send."""

    service: ServiceName
    rate: float
    """Searches a second, Poisson arrivals."""
    seconds: float
    deadline_ms: float


class PolicyRig:
    """One node's search path with a given dispatcher."""

    def __init__(self, configuration: Configuration, dispatcher: Dispatcher) -> None:
        """Wires the parts.

        Args:
            configuration: Services with the addresses of running stand-ins.
            dispatcher: The decisions to measure.
        """
        self.clock = SystemClock()
        self.timers = TimerQueue(self.clock)
        self.manager: Any = Manager()
        EPoll().register(self.manager)
        self.reactor = Reactor(self.clock, self.timers)
        ReactorComponent(self.reactor, self.timers).register(self.manager)
        postbox = Postbox(ME, Incarnation(1), NoLink()).register(self.manager)
        self.upstreams = UpstreamTask(
            self.clock, self.timers, self.reactor, dispatcher, MemoryLog()
        ).register(self.manager)
        homes = OneHome()
        coordinator = SearchCoordinator(homes, MemoryLog())
        self.searches = SearchTask(
            self.clock, self.timers, postbox, self.upstreams, coordinator, HomeService(MemoryLog())
        ).register(self.manager)
        self._start(configuration, homes, coordinator)
        self._numbers = 0

    def run(self, load: Load, at: dict[float, Callable[[], None]] | None = None) -> list[Sample]:
        """Sends a load and waits for its answers.

        Args:
            load: What to send.
            at: Functions to call at seconds after the start, such as faults.

        Returns:
            One sample for each search that was answered.
        """
        samples: list[Sample] = []
        # The daemon does the same after each configuration.
        settle_heap()
        begin = self.clock.now()
        random = Random(SEED)
        arrival = 0.0
        while (arrival := arrival + random.expovariate(load.rate)) < load.seconds:
            self.timers.call_at(begin + arrival, self._starter(load, begin, arrival, samples))
        for second, function in (at or {}).items():
            self.timers.call_at(begin + second, function)
        self.run_until(begin + load.seconds + SETTLE_S)
        return samples

    def run_until(self, end: float) -> None:
        """Runs the loop until a clock reading."""
        self.timers.call_at(end, lambda: None)
        while self.clock.now() < end:
            self.manager.tick()

    def close(self) -> None:
        """Closes the sockets."""
        self.health.stop()
        self.reactor.close()

    def _start(
        self, configuration: Configuration, homes: OneHome, coordinator: SearchCoordinator
    ) -> None:
        """Starts the loop and brings the configuration into force."""
        # A manager that does not run asks its pollers for nothing.
        self.manager._running = True
        self.manager.fire(started(self.manager))
        shares = UpstreamShares(ME, configuration, homes)
        self.upstreams.configure(configuration, shares.connections, shares.slots)
        coordinator.configure(configuration, self.clock.now())
        http = HttpClient(self.reactor, self.clock, self.timers)
        self.health = HealthPoller(http, self.timers, self.upstreams.take_report, SEED)
        self.health.configure(configuration, shares.home_upstreams())

    def _starter(
        self, load: Load, begin: float, arrival: float, samples: list[Sample]
    ) -> Callable[[], None]:
        """Returns the function that starts one search."""

        def start() -> None:
            self._numbers += 1
            query = f"query {self._numbers}"
            request = SearchRequest(
                request_id=RequestId(query),
                caller=CallerId(f"caller-{self._numbers % 20}"),
                service=load.service,
                query=query,
                limit=20,
                deadline=begin + arrival + load.deadline_ms / 1_000,
                min_coverage=0.0,
                early_at=None,
                fingerprint=Fingerprint(query),
            )

            def done(answer: SearchAnswer) -> None:
                elapsed_ms = (self.clock.now() - begin - arrival) * 1_000
                samples.append(Sample(arrival, elapsed_ms, answer))

            self.searches.start(request, done)

        return start
