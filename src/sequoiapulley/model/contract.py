"""Usage limits of upstreams."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import ContractName


class Contract(Struct, frozen=True):
    """Limits of each upstream of the services that name the contract.

    They apply to the sum over all nodes.
    """

    name: ContractName
    slots: int
    """Maximum number of requests that the upstream runs concurrently."""
    connections: int
    """Maximum number of connections that the upstream accepts concurrently."""
    open_ms: float
    """Typical time to open a connection, in milliseconds."""
    reports_load: bool = True
    """Whether the upstream serves an endpoint that reports its load."""
