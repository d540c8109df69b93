"""What the membership decisions ask their surroundings to do."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.fleet.member import Member, MemberState, NodeAddress
from sequoiapulley.ids import ConfigVersion, NodeId


class RumourKind(Enum):
    """Subject of a rumour."""

    QUARANTINE_STRIKE = "quarantine_strike"
    """A request was in flight when an upstream went down."""


class FleetOrder(Struct, frozen=True):
    """An order of the membership decisions."""


class SendDatagram(FleetOrder, frozen=True):
    """Send one datagram."""

    address: NodeAddress
    payload: bytes


class MemberChanged(FleetOrder, frozen=True):
    """A member joined, changed its state or started again."""

    member: Member
    previous_state: MemberState | None
    """None for a node that was not known before."""


class RumourHeard(FleetOrder, frozen=True):
    """A rumour of another node, delivered once."""

    kind: RumourKind
    body: bytes
    origin: NodeId


class VersionHeard(FleetOrder, frozen=True):
    """A node told the configuration version in force on it."""

    node: NodeId
    version: ConfigVersion
