"""The upstreams of a home node by name and by instance, as the active configuration lists them."""

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
"""Assumed until an instance has samples."""


class InstanceState:
    """The replicas of one instance and the work queued for them."""

    def __init__(self, service: ServiceName, name: InstanceName) -> None:
        """Creates an instance without replicas.

        Args:
            service: Service of the instance.
            name: Name of the instance.
        """
        self.service = service
        self.name = name
        self.replicas: tuple[UpstreamState, ...] = ()
        self.queue = FairQueue()
        self.latency = LatencyWindow()
        self.awaiting_hedge: dict[Work, None] = {}
        """Searches in flight whose hedged request waits for a replica with capacity, in order."""
        self.degraded = True
        """Whether some replica may not be healthy; see `update_degraded`."""
        self.removed = False
        """Whether the instance was removed from the configuration."""
        self.due: float | None = None
        """Clock reading at which its queue is processed next."""
        self.last_refusal_at = float("-inf")
        self.overloaded = False

    @property
    def key(self) -> tuple[ServiceName, InstanceName]:
        """Service and name of the instance."""
        return (self.service, self.name)

    @property
    def median_latency(self) -> float:
        """Median latency in seconds."""
        figures = self.latency.figures
        return DEFAULT_LATENCY_S if figures is None else figures.p50

    @property
    def median_latency_or_inf(self) -> float:
        """Median latency in seconds, infinite until there are `MIN_SAMPLES` samples."""
        return self.median_latency if self.latency.count >= MIN_SAMPLES else inf

    @property
    def mean_latency(self) -> float:
        """Mean latency in seconds."""
        figures = self.latency.figures
        return DEFAULT_LATENCY_S if figures is None else figures.mean

    def update_degraded(self, now: float) -> None:
        """Clears `degraded` if all replicas are healthy."""
        self.degraded = not all(replica.is_healthy(now) for replica in self.replicas)

    def has_room(self, now: float) -> bool:
        """Returns whether some replica has capacity for one more request."""
        return any(replica.has_room(now) for replica in self.replicas)

    def capacity(self, now: float) -> int:
        """Returns the number of requests that the replicas in service may run concurrently."""
        return sum(replica.max_in_flight(now) for replica in self.replicas if replica.accepts_work)


class Directory:
    """Looks up instances and upstreams; their state is kept when the configuration changes."""

    def __init__(self) -> None:
        self.upstreams: dict[UpstreamName, UpstreamState] = {}
        self._instances: dict[tuple[ServiceName, InstanceName], InstanceState] = {}
        self._removed_in_flight: dict[UpstreamName, UpstreamState] = {}
        self._configured = False

    def instance(self, service: ServiceName, name: InstanceName) -> InstanceState | None:
        """Returns an instance, or None if it is not in the configuration."""
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
        """Applies a configuration.

        Args:
            configuration: The active configuration.
            now: Clock reading in seconds; upstreams that are added after the first
                configuration begin with a slow start.
            connections: This home node's share of the connections of an upstream.
            slots: This home node's share of the slots of an upstream.

        Returns:
            The upstreams and the instances that were removed.
        """
        old_upstreams = self.upstreams
        old_instances = self._instances
        known = {**self._removed_in_flight, **old_upstreams}
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
                state.degraded = True
                self._instances[key] = state
        for name, upstream in self.upstreams.items():
            upstream.limit.set_ceiling(min(slots(name), connections(name)))
        # A removed upstream may be added again while requests are still in flight there.
        self._removed_in_flight = {
            name: known[name]
            for name in known
            if name not in self.upstreams and known[name].in_flight
        }
        self._configured = True
        removed_upstreams = [
            old_upstreams[name] for name in old_upstreams if name not in self.upstreams
        ]
        removed_instances = [
            old_instances[key] for key in old_instances if key not in self._instances
        ]
        for instance_state in removed_instances:
            instance_state.removed = True
        return removed_upstreams, removed_instances

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
                state.begin_slow_start(now)
        state.drain.configure(upstream.draining)
        self.upstreams[upstream.name] = state
        return state
