"""Encodes state for peers: compressed, with the difference to the configuration that they have."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from zlib import compress, decompressobj
from zlib import error as zlib_error

from msgspec import Struct
from msgspec.msgpack import encode

from sequoiapulley.decoding import DecodingError, decode_msgpack
from sequoiapulley.forward.route_table import RouteTable
from sequoiapulley.forward.state import Change, ChangeSet, TableChange
from sequoiapulley.forward.store_position import NO_ERA
from sequoiapulley.forward.table_history import TableDelta, apply_delta
from sequoiapulley.ids import ConfigVersion, Era, Revision

DEFLATE: Final = b"deflate"
MIN_COMPRESSED_BYTES: Final = 1_400
"""Size from which a reply is compressed: a smaller one fits one packet."""
COMPRESSION_LEVEL: Final = 1
"""The fastest level; it shrinks 1,400 routes to a twelfth in a millisecond."""
MAX_REPLY_BYTES: Final = 8_388_608
"""Maximum size of a decompressed reply, several times a full state of 4,300 upstreams."""

DeltaSource = Callable[[ConfigVersion], TableDelta | None]
"""Returns the difference between a configuration version and the active one, if it is known."""


class StateReplyError(Exception):
    """A reply that cannot be decoded or does not fit this node's configuration."""


class _StateReply(Struct, frozen=True):
    """A `ChangeSet` as it is sent; its fields have the same names."""

    revision: Revision
    changes: tuple[Change | TableDelta, ...]
    whole: bool = False
    age: float = 0.0
    era: Era = NO_ERA


def encode_state(changes: ChangeSet, base: ConfigVersion, delta_after: DeltaSource) -> bytes:
    """Encodes changes or a full state.

    Args:
        changes: The changes.
        base: Configuration version that the peer has; 0 to send the whole configuration.
        delta_after: Source of the difference to that version.
    """
    has_table = any(isinstance(change, TableChange) for change in changes.changes)
    delta = delta_after(base) if base and has_table else None
    if delta is None:
        return encode(changes)
    sent = tuple(
        (
            delta
            if isinstance(change, TableChange) and change.table.version == delta.version
            else change
        )
        for change in changes.changes
    )
    return encode(_StateReply(changes.revision, sent, changes.whole, changes.age, changes.era))


def decode_state(body: bytes, table: RouteTable | None) -> ChangeSet:
    """Decodes changes or a full state.

    Args:
        body: The decompressed body of a reply.
        table: This node's configuration, to which a difference applies.

    Raises:
        StateReplyError: If the body is malformed or its difference does not fit the table.
    """
    try:
        reply = decode_msgpack(body, _StateReply)
    except DecodingError as exc:
        raise StateReplyError(f"reply of {len(body)} bytes does not decode: {exc}") from exc
    changes = tuple(_restore_table(change, table) for change in reply.changes)
    return ChangeSet(reply.revision, changes, reply.whole, reply.age, reply.era)


def compress_state(body: bytes) -> bytes:
    """Compresses the body of a reply."""
    return compress(body, COMPRESSION_LEVEL)


def decompress_state(body: bytes) -> bytes:
    """Decompresses the body of a reply.

    Raises:
        StateReplyError: If it is malformed or exceeds `MAX_REPLY_BYTES`.
    """
    stream = decompressobj()
    try:
        state = stream.decompress(body, MAX_REPLY_BYTES)
    except zlib_error as exc:
        raise StateReplyError(f"reply of {len(body)} bytes does not decompress: {exc}") from exc
    if not stream.eof:
        detail = f"{len(body)} bytes are truncated or exceed {MAX_REPLY_BYTES} bytes decompressed"
        raise StateReplyError(detail)
    return state


def _restore_table(change: Change | TableDelta, table: RouteTable | None) -> Change:
    """Returns the change that a node sent, with the whole configuration."""
    if not isinstance(change, TableDelta):
        return change
    restored = apply_delta(table, change)
    if restored is None:
        version = table.version if table is not None else 0
        detail = f"difference of version {change.version} to {change.base} does not fit {version}"
        raise StateReplyError(detail)
    return TableChange(restored)
