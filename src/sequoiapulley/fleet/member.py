"""One node of the fleet as the other nodes see it."""

from __future__ import annotations

from enum import Enum
from typing import NewType

from msgspec import Struct

from sequoiapulley.ids import ConfigVersion, FailureDomainName, Incarnation, NodeId, RegionName

NodeAddress = NewType("NodeAddress", tuple[str, int])
"""IP address and UDP port of a node's membership socket."""


class MemberState(Enum):
    """What the fleet believes of a node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Missed its probes; it still counts until its suspicion runs out."""
    LEAVING = "leaving"
    """Shuts down gracefully: no new callers and no new homes, still serving."""
    DEAD = "dead"


class Member(Struct, frozen=True, array_like=True):
    """The record of one node that all nodes share."""

    node: NodeId
    incarnation: Incarnation
    """Rises with each start and with each refuted suspicion."""
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
    """Version in force on the node when the record was last heard."""

    @property
    def address(self) -> NodeAddress:
        """Address of the node's membership socket."""
        return NodeAddress((self.host, self.membership_port))
