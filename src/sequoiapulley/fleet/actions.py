"""Actions that the membership logic, which does no I/O, returns to its caller."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from sequoiapulley.fleet.member import Member, MemberState, NodeAddress
from sequoiapulley.ids import ConfigVersion, NodeId


class BroadcastKind(Enum):
    """Kind of a broadcast message."""

    QUARANTINE_STRIKE = "quarantine_strike"
    """A request was in flight when an upstream went down."""


class MembershipAction(Struct, frozen=True):
    """Base class of the actions that the membership logic asks its caller to perform."""


class SendDatagram(MembershipAction, frozen=True):
    """Send a datagram."""

    address: NodeAddress
    payload: bytes


class MemberChanged(MembershipAction, frozen=True):
    """A member joined, changed its state or raised its incarnation."""

    member: Member
    previous_state: MemberState | None
    """None if the node was unknown before."""


class BroadcastReceived(MembershipAction, frozen=True):
    """A broadcast message of another node was received for the first time."""

    kind: BroadcastKind
    body: bytes
    origin: NodeId


class PeerVersionReceived(MembershipAction, frozen=True):
    """A node reported a changed active configuration version, or one newer than the local one."""

    node: NodeId
    version: ConfigVersion
