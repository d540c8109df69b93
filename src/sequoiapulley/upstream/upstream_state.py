"""What a home knows about one of its upstreams."""

from __future__ import annotations

from sequoiapulley.ids import InstanceName, PlaceName, RegionName, ServiceName, UpstreamName
from sequoiapulley.model.snapshot import Snapshot


class UpstreamState:
    """Mutable state of one upstream, owned by the dispatcher."""

    def __init__(
        self,
        name: UpstreamName,
        service: ServiceName,
        instance: InstanceName,
        place: PlaceName,
        region: RegionName,
    ) -> None:
        """Initialise the state of an upstream without work.

        Args:
            name: Name of the upstream.
            service: Service that the upstream belongs to.
            instance: Instance whose shard the upstream holds.
            place: Failure domain of the upstream.
            region: Region of the place.
        """
        self.name = name
        self.service = service
        self.instance = instance
        self.place = place
        self.region = region
        self.slots = 1
        self.connections = 1
        self.in_flight = 0
        self.draining_configured = False
        self.draining_reported = False
        self.available: tuple[Snapshot, ...] = ()

    @property
    def draining(self) -> bool:
        """Whether the upstream takes no new work."""
        return self.draining_configured or self.draining_reported

    @property
    def limit(self) -> int:
        """Requests that this home may have in flight at the upstream."""
        return min(self.slots, self.connections)

    @property
    def has_room(self) -> bool:
        """Whether one more request may be sent now."""
        return not self.draining and self.in_flight < self.limit
