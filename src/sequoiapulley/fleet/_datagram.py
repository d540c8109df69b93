"""Wire format of the membership protocol."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from sequoiapulley.decoding import CheckedDecoder, DecodingError
from sequoiapulley.fleet.actions import BroadcastKind
from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import ConfigVersion, Incarnation, NodeId

MAX_DATAGRAM_BYTES: Final = 1200


class DatagramKind(Enum):
    """Type of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    """Asks the receiver to ping the node in `target` on the sender's behalf."""
    ADDRESS_REASSIGNED = 3
    """Replies to a ping for another node that had this address before."""
    GOSSIP = 4
    SYNC = 5
    """Requests the receiver's complete view if its digest differs."""
    SYNC_REPLY = 6
    """Carries part of the sender's view."""


class Broadcast(Struct, frozen=True, array_like=True):
    """A short message that is gossiped to every node."""

    origin: NodeId
    number: int
    """Unique within the origin's incarnation."""
    incarnation: Incarnation
    kind: BroadcastKind
    body: bytes


class Datagram(Struct, frozen=True, array_like=True, omit_defaults=True):
    """Message of the membership protocol, sent as one UDP datagram."""

    kind: DatagramKind
    workspace_hash: int
    """Hash of the workspace's name; datagrams of other workspaces are ignored."""
    sender: NodeId
    incarnation: Incarnation
    config_version: ConfigVersion
    number: int = 0
    """Number of the ping, which its acknowledgement repeats."""
    digest: int = 0
    """Hash of the sender's view of the members that are not dead."""
    target: NodeId = NodeId("")
    """Node that a ping or its reply refers to; empty for any node."""
    members: tuple[Member, ...] = ()
    broadcasts: tuple[Broadcast, ...] = ()


class BadDatagramError(Exception):
    """Raised when a payload cannot be decoded as a datagram of this protocol."""


_ENCODER: Final = Encoder()
_DECODER: Final = CheckedDecoder(Decoder(Datagram))


def encode_datagram(datagram: Datagram) -> bytes:
    """Encodes a datagram as MessagePack."""
    return _ENCODER.encode(datagram)


def encoded_size(content: Member | Broadcast) -> int:
    """Returns the number of bytes that a member or broadcast message adds to a datagram."""
    return len(_ENCODER.encode(content))


def decode_datagram(payload: bytes) -> Datagram:
    """Decodes a datagram.

    Raises:
        BadDatagramError: If the payload cannot be decoded.
    """
    try:
        return _DECODER.decode(payload)
    except DecodingError as exc:
        raise BadDatagramError(f"datagram cannot be decoded: {exc}") from exc
