"""Decodes bytes that come from other processes; whatever fails is one kind of error.

A message that nests deep makes msgspec raise RecursionError, which handlers of its own errors do
not catch.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Generic, TypeVar

from msgspec import json, msgpack

MAX_DETAIL_CHARS: Final = 200
"""Maximum length of an error's text, which may quote the message."""

_DECODER_ERRORS: Final = (ValueError, RecursionError, OverflowError)

T = TypeVar("T")


class DecodingError(ValueError):
    """Bytes that are not a message of the expected type."""


class CheckedDecoder(Generic[T]):
    """A decoder of msgspec for one type."""

    __slots__ = ("_decode",)

    def __init__(self, decoder: json.Decoder[T] | msgpack.Decoder[T]) -> None:
        """Wraps a decoder.

        Args:
            decoder: Decodes JSON or MessagePack.
        """
        self._decode: Callable[[bytes], T] = decoder.decode

    def decode(self, data: bytes) -> T:
        """Decodes a message.

        Raises:
            DecodingError: If the message is not of the decoder's type, or cannot be decoded.
        """
        try:
            return self._decode(data)
        except _DECODER_ERRORS as exc:
            raise DecodingError(shortened(str(exc))) from exc


def decode_json(data: bytes, message_type: type[T]) -> T:
    """Decodes JSON.

    Args:
        data: UTF-8 text.
        message_type: Type of the result.

    Raises:
        DecodingError: If the text is not of that type, or cannot be decoded.
    """
    try:
        return json.decode(data, type=message_type)
    except _DECODER_ERRORS as exc:
        raise DecodingError(shortened(str(exc))) from exc


def decode_msgpack(data: bytes, message_type: type[T]) -> T:
    """Decodes MessagePack.

    Args:
        data: The message.
        message_type: Type of the result.

    Raises:
        DecodingError: If the message is not of that type, or cannot be decoded.
    """
    try:
        return msgpack.decode(data, type=message_type)
    except _DECODER_ERRORS as exc:
        raise DecodingError(shortened(str(exc))) from exc


def check_encodable(message: object) -> None:
    """Checks that a message which was read as JSON can be passed on as MessagePack.

    JSON has numbers of any size, MessagePack integers of 64 bits.

    Raises:
        DecodingError: If a number is too large.
    """
    try:
        msgpack.encode(message)
    except OverflowError as exc:
        raise DecodingError(f"a number has more than 64 bits: {exc}") from exc


def shortened(text: str) -> str:
    """Returns a text of at most `MAX_DETAIL_CHARS` characters, for logs and errors."""
    if len(text) <= MAX_DETAIL_CHARS:
        return text
    return f"{text[:MAX_DETAIL_CHARS]}... ({len(text)} characters)"
