"""The upstreams of a home by name and by instance, kept equal to the configuration."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.ids import InstanceName, ServiceName, UpstreamName
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.service import Instance, Service, Upstream
from sequoiapulley.upstream.deadline_queue import DeadlineQueue
from sequoiapulley.upstream.upstream_state import UpstreamState


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
        self.queue = DeadlineQueue()


class Directory:
    """Finds instances and upstreams; upstreams that stay keep their state."""

    def __init__(self) -> None:
        """Initialise an empty directory."""
        self.upstreams: dict[UpstreamName, UpstreamState] = {}
        self._instances: dict[tuple[ServiceName, InstanceName], InstanceState] = {}
        self._departed: dict[UpstreamName, UpstreamState] = {}

    def instance(self, service: ServiceName, name: InstanceName) -> InstanceState | None:
        """Returns an instance, or None if the configuration lacks it."""
        return self._instances.get((service, name))

    def instances(self) -> list[InstanceState]:
        """Returns every instance."""
        return list(self._instances.values())

    def apply(
        self,
        configuration: Configuration,
        connections: Callable[[UpstreamName], int],
        slots: Callable[[UpstreamName], int],
    ) -> tuple[list[UpstreamState], list[InstanceState]]:
        """Takes over a configuration.

        Args:
            configuration: The accepted configuration.
            connections: This home's share of the connections of an upstream.
            slots: This home's share of the slots of an upstream.

        Returns:
            The upstreams and the instances that left.
        """
        old_upstreams = self.upstreams
        known = {**self._departed, **old_upstreams}
        old_instances = self._instances
        self.upstreams = {}
        self._instances = {}
        for service in configuration.services.values():
            for instance in service.instances:
                key = (service.name, instance.name)
                state = old_instances.get(key) or InstanceState(*key)
                state.replicas = tuple(
                    self._apply_upstream(configuration, service, instance, upstream, known)
                    for upstream in instance.upstreams
                )
                self._instances[key] = state
        for upstream in self.upstreams.values():
            upstream.slots = slots(upstream.name)
            upstream.connections = connections(upstream.name)
        # Work may still be in flight at an upstream that leaves and soon comes back.
        self._departed = {
            name: known[name]
            for name in known
            if name not in self.upstreams and known[name].in_flight
        }
        left = [old_upstreams[name] for name in old_upstreams if name not in self.upstreams]
        gone = [old_instances[key] for key in old_instances if key not in self._instances]
        return left, gone

    def _apply_upstream(
        self,
        configuration: Configuration,
        service: Service,
        instance: Instance,
        upstream: Upstream,
        known: dict[UpstreamName, UpstreamState],
    ) -> UpstreamState:
        state = known.get(upstream.name)
        if state is None or (state.service, state.instance) != (service.name, instance.name):
            region = configuration.places[upstream.place].region
            state = UpstreamState(
                upstream.name, service.name, instance.name, upstream.place, region
            )
        state.draining_configured = upstream.draining
        self.upstreams[upstream.name] = state
        return state
