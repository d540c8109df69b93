"""The configuration as it lies in the store: one value, replaced as a whole."""

from __future__ import annotations

from typing import Final

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode

from sequoiapulley.ids import ConfigVersion, EditId

CONFIG_KEY: Final = "sequoiapulley/configuration"
MAX_RECORD_BYTES: Final = 1_000_000
MAX_RECENT_EDITS: Final = 32


class BadConfigRecordError(Exception):
    """The bytes in the store are not a configuration record."""


class ConfigRecord(Struct, frozen=True):
    """One accepted edit."""

    version: ConfigVersion
    """Rises by one with each edit."""
    edit_id: EditId
    """Chosen by the editor; tells its own write from another's after a lost reply."""
    author: str
    edited_at: float
    """Seconds since the Unix epoch."""
    text: str
    """The operators' text, JSON with comments."""
    recent_edits: tuple[EditId, ...] = ()
    """Edits before this one, the latest first, so that a lost reply can be resolved later."""

    @property
    def rank(self) -> tuple[int, float, str]:
        """Order of records; a node never goes to a lower rank."""
        return self.version, self.edited_at, self.edit_id


def encode_record(record: ConfigRecord) -> bytes:
    """Returns the record as JSON bytes."""
    return encode(record)


def decode_record(value: bytes) -> ConfigRecord:
    """Reads a record from the store's value.

    Args:
        value: JSON bytes.

    Returns:
        The record.

    Raises:
        BadConfigRecordError: If the bytes have another form.
    """
    try:
        return decode(value, type=ConfigRecord)
    except DecodeError as exc:
        raise BadConfigRecordError(f"configuration record is not valid: {exc}") from exc
