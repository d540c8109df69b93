"""Wire form of the membership protocol."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from sequoiapulley.fleet.member import Member
from sequoiapulley.fleet.orders import RumourKind
from sequoiapulley.ids import ConfigVersion, Incarnation, NodeId

MAX_DATAGRAM_BYTES: Final = 1200


class DatagramKind(Enum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    """Asks the receiver to ping `about` on the sender's behalf."""
    ADDRESS_REASSIGNED = 3
    """Answers a ping meant for a node that used to be at this address."""
    GOSSIP = 4
    SYNC = 5
    """Asks for the receiver's whole view, if its digest differs."""
    SYNC_REPLY = 6
    """Carries a part of the sender's view."""


class Broadcast(Struct, frozen=True, array_like=True):
    """A short message for every node."""

    origin: NodeId
    number: int
    """Unique within the origin's incarnation."""
    incarnation: Incarnation
    kind: RumourKind
    body: bytes


class Datagram(Struct, frozen=True, array_like=True, omit_defaults=True):
    """One datagram."""

    kind: DatagramKind
    fleet: int
    """Hash of the workspace's name, so that two fleets never mix."""
    sender: NodeId
    incarnation: Incarnation
    config_version: ConfigVersion
    number: int = 0
    """Matches an ack to its ping."""
    digest: int = 0
    """Hash of the sender's view of the live members."""
    target: NodeId = NodeId("")
    """The node that is pinged or answered for."""
    members: tuple[Member, ...] = ()
    broadcasts: tuple[Broadcast, ...] = ()


class BadDatagramError(Exception):
    """A payload is not a datagram of this protocol."""


_ENCODER: Final = Encoder()
_DECODER: Final = Decoder(Datagram)


def encode_datagram(datagram: Datagram) -> bytes:
    """Returns the bytes of a datagram."""
    return _ENCODER.encode(datagram)


def encoded_size(content: Member | Broadcast) -> int:
    """Returns how many bytes a member or rumour adds to a datagram."""
    return len(_ENCODER.encode(content))


def decode_datagram(payload: bytes) -> Datagram:
    """Reads a datagram.

    Raises:
        BadDatagramError: If the payload has another form.
    """
    try:
        return _DECODER.decode(payload)
    except DecodeError as exc:
        raise BadDatagramError(f"datagram cannot be decoded: {exc}") from exc
