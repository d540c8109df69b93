"""Messages of the service-level burn report."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import NodeId, ServiceName


class ObjectiveCount(Struct, frozen=True):
    """Event counts of one objective in one window."""

    total: int
    """Events that the objective applies to."""
    good: int
    """Events that met the objective."""


class BurnWindow(Struct, frozen=True):
    """Counts of one node for one service in one rolling window."""

    seconds: int
    """Length of the window, in seconds."""
    in_time: ObjectiveCount
    full_coverage: ObjectiveCount
    not_refused: ObjectiveCount
    latency: str
    """Encoded histogram of latencies in microseconds; empty if there are no answers or the window
    has no histogram."""


class ServiceBurn(Struct, frozen=True):
    """Counts of one node for one service, with the objectives that the node applies."""

    service: ServiceName
    in_time: float
    """Objective as a share, from 0 to 1."""
    full_coverage: float
    """Objective as a share, from 0 to 1."""
    not_refused: float
    """Objective as a share, from 0 to 1."""
    windows: tuple[BurnWindow, ...]


class NodeBurnReport(Struct, frozen=True):
    """One node's part of the burn report."""

    node: NodeId
    taken_at: float
    """Time of the report, in seconds since the Unix epoch."""
    uptime_s: float
    """Uptime of the node, in seconds; a window that is longer than this has no earlier counts."""
    services: tuple[ServiceBurn, ...]
