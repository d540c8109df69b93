"""What one upstream allows its clients."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import ContractName


class Contract(Struct, frozen=True):
    """Limits of one upstream, summed over all nodes."""

    name: ContractName
    slots: int
    """Requests the upstream runs at the same time."""
    connections: int
    """Connections the upstream accepts at the same time."""
    open_ms: float
    """Usual time to open one connection, in milliseconds."""
    reports_load: bool = True
    """Whether the upstream serves a load endpoint."""
