"""Encodes and decodes frames: MessagePack lists of messages.

The first frame in each direction of a stream is an exception: a single hello, not in a list.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from msgspec import Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from sequoiapulley.decoding import CheckedDecoder, DecodingError
from sequoiapulley.link.messages import LinkHello, StreamMessage

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_MESSAGE_BYTES: Final = 2 * 1024 * 1024
FRAME_TARGET_BYTES: Final = 256 * 1024
"""Size above which `encode_frames` starts another frame."""
MAX_FRAME_MESSAGES: Final = 512


class BadFrameError(Exception):
    """A frame is too large, is not a list of messages, or is not the expected hello."""


class DecodedFrame(Struct):
    """The messages of one frame."""

    messages: list[StreamMessage]
    unknown: int = 0
    """Number of messages skipped because this version cannot decode them, e.g. newer types."""


_ENCODER: Final = Encoder()
_FRAME_DECODER: Final = CheckedDecoder(Decoder(list[StreamMessage]))
_RAW_DECODER: Final = CheckedDecoder(Decoder(list[Raw]))
_MESSAGE_DECODER: Final = CheckedDecoder(Decoder(StreamMessage))
_HELLO_DECODER: Final = CheckedDecoder(Decoder(LinkHello))


def encode_hello(hello: LinkHello) -> bytes:
    """Returns a frame that holds a hello, not in a list."""
    return _ENCODER.encode(hello)


def decode_hello(frame: bytes) -> LinkHello:
    """Decodes a hello.

    Raises:
        BadFrameError: If the frame is not a hello.
    """
    try:
        return _HELLO_DECODER.decode(frame)
    except DecodingError as exc:
        raise BadFrameError(f"frame is not a hello: {exc}") from exc


class EncodedFrames(Struct):
    """The result of encoding a queue of messages."""

    frames: list[bytes]
    oversized: list[StreamMessage]
    """Messages larger than `MAX_MESSAGE_BYTES`, which are in no frame."""


def encode_frames(messages: deque[StreamMessage]) -> EncodedFrames:
    """Empties a queue and encodes its messages in as few frames as the size limits allow."""
    frames: list[bytes] = []
    oversized: list[StreamMessage] = []
    parts: list[Raw] = []
    size = 0
    while messages:
        message = messages.popleft()
        part = _ENCODER.encode(message)
        if len(part) > MAX_MESSAGE_BYTES:
            oversized.append(message)
            continue
        full = len(parts) == MAX_FRAME_MESSAGES or size + len(part) > FRAME_TARGET_BYTES
        if parts and full:
            frames.append(_ENCODER.encode(parts))
            parts = []
            size = 0
        parts.append(Raw(part))
        size += len(part)
    if parts:
        frames.append(_ENCODER.encode(parts))
    return EncodedFrames(frames, oversized)


def decode_frame(frame: bytes) -> DecodedFrame:
    """Decodes a frame.

    Args:
        frame: MessagePack list of tagged messages.

    Returns:
        The decoded messages in order, and the number of skipped messages.

    Raises:
        BadFrameError: If the frame is too large or is not a MessagePack list.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise BadFrameError(f"frame has {len(frame)} bytes, limit {MAX_FRAME_BYTES}")
    try:
        return DecodedFrame(_FRAME_DECODER.decode(frame))
    except DecodingError:
        return _decode_known_messages(frame)


def _decode_known_messages(frame: bytes) -> DecodedFrame:
    """Decodes each message separately; skips and counts those that cannot be decoded."""
    decoded = DecodedFrame([])
    try:
        parts = _RAW_DECODER.decode(frame)
    except DecodingError as exc:
        raise BadFrameError(f"frame cannot be decoded: {exc}") from exc
    for part in parts:
        try:
            decoded.messages.append(_MESSAGE_DECODER.decode(part))
        except DecodingError:
            decoded.unknown += 1
    return decoded
