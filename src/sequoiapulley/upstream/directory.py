"""The upstreams of a home by name and by instance, kept equal to the configuration."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Final

from sequoiapulley.ids import InstanceName, ServiceName, UpstreamName
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.service import Instance, Service, Upstream
from sequoiapulley.upstream.fair_queue import FairQueue
from sequoiapulley.upstream.latency_window import MIN_SAMPLES, LatencyWindow
from sequoiapulley.upstream.upstream_state import UpstreamState

if TYPE_CHECKING:
    from sequoiapulley.upstream._work import Work

DEFAULT_LATENCY_S: Final = 0.005
"""Assumed until an instance has replied."""


class InstanceState:
    """The replicas of one instance and the work that waits for them."""

    def __init__(self, service: ServiceName, name: InstanceName) -> None:
        """Initialise an instance without replicas.

        Args:
            service: Service of the instance.
            name: Name of the instance.
        """
        self.service = service
        self.name = name
        self.replicas: tuple[UpstreamState, ...] = ()
        self.queue = FairQueue()
        self.latency = LatencyWindow()
        self.late: dict[Work, None] = {}
        """Searches in flight that wait for room for their hedge, in order."""
        self.troubled = True
        """Whether some replica may be in any state but plain service; see `settle`."""
        self.gone = False
        """Set when the instance left the configuration."""
        self.due: float | None = None
        """Clock reading at which its queue is next looked at."""
        self.refused_at = float("-inf")
        self.overloaded = False

    @property
    def key(self) -> tuple[ServiceName, InstanceName]:
        """Service and name."""
        return (self.service, self.name)

    @property
    def typical(self) -> float:
        """Median latency in seconds."""
        figures = self.latency.figures
        return DEFAULT_LATENCY_S if figures is None else figures.p50

    @property
    def proven_typical(self) -> float:
        """Median latency in seconds, infinite until enough exchanges speak for it."""
        return self.typical if self.latency.count >= MIN_SAMPLES else inf

    @property
    def mean(self) -> float:
        """Mean latency in seconds."""
        figures = self.latency.figures
        return DEFAULT_LATENCY_S if figures is None else figures.mean

    def settle(self, now: float) -> None:
        """Clears `troubled` if all replicas are in plain service."""
        self.troubled = not all(replica.is_plain(now) for replica in self.replicas)

    def has_room(self, now: float) -> bool:
        """Returns whether some replica has room."""
        return any(replica.has_room(now) for replica in self.replicas)

    def capacity(self, now: float) -> int:
        """Returns the requests that the replicas in service run at the same time."""
        return sum(replica.allowed(now) for replica in self.replicas if replica.in_service)


class Directory:
    """Finds instances and upstreams; upstreams that stay keep their state."""

    def __init__(self) -> None:
        """Initialise an empty directory."""
        self.upstreams: dict[UpstreamName, UpstreamState] = {}
        self._instances: dict[tuple[ServiceName, InstanceName], InstanceState] = {}
        self._departed: dict[UpstreamName, UpstreamState] = {}
        self._configured = False

    def instance(self, service: ServiceName, name: InstanceName) -> InstanceState | None:
        """Returns an instance, or None if the configuration lacks it."""
        return self._instances.get((service, name))

    def instances(self) -> list[InstanceState]:
        """Returns every instance."""
        return list(self._instances.values())

    def apply(
        self,
        configuration: Configuration,
        now: float,
        connections: Callable[[UpstreamName], int],
        slots: Callable[[UpstreamName], int],
    ) -> tuple[list[UpstreamState], list[InstanceState]]:
        """Takes over a configuration.

        Args:
            configuration: The accepted configuration.
            now: Clock reading in seconds; upstreams that came later than the first
                configuration start cold.
            connections: This home's share of the connections of an upstream.
            slots: This home's share of the slots of an upstream.

        Returns:
            The upstreams and the instances that left.
        """
        old_upstreams = self.upstreams
        old_instances = self._instances
        known = {**self._departed, **old_upstreams}
        self.upstreams = {}
        self._instances = {}
        for service in configuration.services.values():
            for instance in service.instances:
                key = (service.name, instance.name)
                state = old_instances.get(key) or InstanceState(*key)
                state.replicas = tuple(
                    self._apply_upstream(configuration, service, instance, upstream, known, now)
                    for upstream in instance.upstreams
                )
                state.troubled = True
                self._instances[key] = state
        for name, upstream in self.upstreams.items():
            upstream.limit.set_ceiling(min(slots(name), connections(name)))
        # Work may still be in flight at an upstream that leaves and soon comes back.
        self._departed = {
            name: known[name]
            for name in known
            if name not in self.upstreams and known[name].in_flight
        }
        self._configured = True
        left = [old_upstreams[name] for name in old_upstreams if name not in self.upstreams]
        gone = [old_instances[key] for key in old_instances if key not in self._instances]
        for instance_state in gone:
            instance_state.gone = True
        return left, gone

    def _apply_upstream(
        self,
        configuration: Configuration,
        service: Service,
        instance: Instance,
        upstream: Upstream,
        known: dict[UpstreamName, UpstreamState],
        now: float,
    ) -> UpstreamState:
        state = known.get(upstream.name)
        if state is None or (state.service, state.instance) != (service.name, instance.name):
            region = configuration.failure_domains[upstream.failure_domain].region
            state = UpstreamState(
                upstream.name, service.name, instance.name, upstream.failure_domain, region
            )
            if self._configured:
                state.on_restart(now)
        state.drain.configure(upstream.draining)
        self.upstreams[upstream.name] = state
        return state
