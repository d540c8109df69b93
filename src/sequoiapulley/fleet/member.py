"""Member of the fleet, as known to other nodes."""

from __future__ import annotations

from enum import Enum
from typing import NewType

from msgspec import Struct

from sequoiapulley.ids import ConfigVersion, FailureDomainName, Incarnation, NodeId, RegionName

NodeAddress = NewType("NodeAddress", tuple[str, int])
"""IP address and UDP port of a node's membership socket."""


class MemberState(Enum):
    """State of a node according to the membership protocol."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Did not reply to probes; still counts as a member until the suspicion times out."""
    LEAVING = "leaving"
    """Shuts down gracefully: still serves, but gets no new callers and is no home."""
    DEAD = "dead"


class Member(Struct, frozen=True, array_like=True):
    """Record of a node that is gossiped to all nodes."""

    node: NodeId
    incarnation: Incarnation
    """Version of this record, which only the node itself increases.

    It does so with each start, when it refutes a suspicion or a newer record from before a restart,
    after a pause, and when it announces its shutdown.
    """
    failure_domain: FailureDomainName
    region: RegionName
    host: str
    """IP address of all four ports."""
    membership_port: int
    link_port: int
    callers_port: int
    operators_port: int
    state: MemberState = MemberState.ALIVE
    config_version: ConfigVersion = ConfigVersion(0)
    """Active configuration version of the node, as last received."""

    @property
    def address(self) -> NodeAddress:
        """Address of the node's membership socket."""
        return NodeAddress((self.host, self.membership_port))
