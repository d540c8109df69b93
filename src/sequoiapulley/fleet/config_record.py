"""The configuration record in the store: one value, which is always replaced as a whole."""

from __future__ import annotations

from typing import Final

from msgspec import Struct
from msgspec.json import encode

from sequoiapulley.decoding import DecodingError, check_encodable, decode_json
from sequoiapulley.ids import ConfigVersion, EditId

CONFIG_KEY: Final = "sequoiapulley/configuration"
MAX_RECORD_BYTES: Final = 1_000_000
MAX_RECENT_EDITS: Final = 32


class BadConfigRecordError(Exception):
    """Raised when the value in the store is not a valid configuration record."""


class ConfigRecord(Struct, frozen=True):
    """An accepted edit, with the complete configuration text."""

    version: ConfigVersion
    """Increases by one with each edit."""
    edit_id: EditId
    """Chosen by the client; after a lost reply it shows whether the edit was written."""
    author: str
    edited_at: float
    """Seconds since the Unix epoch."""
    text: str
    """The operators' configuration text, JSON with comments."""
    recent_edits: tuple[EditId, ...] = ()
    """Edits before this one, the latest first, so that a lost reply can be resolved later."""

    @property
    def rank(self) -> tuple[int, float, str]:
        """Sort key of records; a node never replaces its record with one of lower rank."""
        return self.version, self.edited_at, self.edit_id


def encode_record(record: ConfigRecord) -> bytes:
    """Encodes a record as JSON."""
    return encode(record)


def decode_record(value: bytes) -> ConfigRecord:
    """Decodes a record.

    Args:
        value: Value of the store, as JSON.

    Returns:
        The record.

    Raises:
        BadConfigRecordError: If the value is not a valid record.
    """
    try:
        record = decode_json(value, ConfigRecord)
        check_encodable(record)
        return record
    except DecodingError as exc:
        raise BadConfigRecordError(f"configuration record is not valid: {exc}") from exc
