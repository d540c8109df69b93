"""Messages of the service-level burn report."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import NodeId, ServiceName


class ObjectiveCount(Struct, frozen=True):
    """Events of one objective in one window."""

    total: int
    """Events that the objective applies to."""
    good: int
    """Events that met it."""


class BurnWindow(Struct, frozen=True):
    """What one node counted for one service in one rolling window."""

    seconds: int
    """Length of the window."""
    in_time: ObjectiveCount
    full_coverage: ObjectiveCount
    not_refused: ObjectiveCount
    latency: str
    """Encoded histogram of answer times in microseconds; empty when nothing was answered."""


class ServiceBurn(Struct, frozen=True):
    """What one node counted for one service."""

    service: ServiceName
    in_time: float
    """Objective as a share from 0 to 1."""
    full_coverage: float
    """Objective as a share from 0 to 1."""
    not_refused: float
    """Objective as a share from 0 to 1."""
    windows: tuple[BurnWindow, ...]


class BurnShard(Struct, frozen=True):
    """One node's part of the burn report."""

    node: NodeId
    taken_at: float
    """Seconds since the Unix epoch."""
    uptime_s: float
    """A node that started later than a window covers only this much of it."""
    services: tuple[ServiceBurn, ...]
