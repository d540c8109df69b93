"""Messages that spread the configuration between nodes."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.fleet.config_record import ConfigRecord
from sequoiapulley.ids import ConfigVersion, EditId


class ConfigFull(Struct, frozen=True, tag="config_full"):
    """The whole configuration."""

    record: ConfigRecord


class TextChange(Struct, frozen=True, array_like=True):
    """Replaces a range of lines of the base text."""

    start: int
    """First line replaced, counted from 0."""
    stop: int
    """Line after the last one replaced."""
    lines: tuple[str, ...]
    """New lines, each with its line end."""


class ConfigDelta(Struct, frozen=True, tag="config_delta"):
    """A newer configuration as changes to a known base."""

    base_version: ConfigVersion
    base_edit_id: EditId
    version: ConfigVersion
    edit_id: EditId
    author: str
    edited_at: float
    """Seconds since the Unix epoch."""
    changes: tuple[TextChange, ...]
    """In rising order of lines, not overlapping."""
    text_hash: int
    """xxh64 of the new text in UTF-8."""
    recent_edits: tuple[EditId, ...] = ()
    """Edits before this one, the latest first."""


class ConfigRequest(Struct, frozen=True, tag="config_request"):
    """Asks a peer for its configuration if it is newer."""

    have_version: ConfigVersion
    have_edit_id: EditId
    """Empty when the asker has none."""


ConfigMessage = ConfigFull | ConfigDelta | ConfigRequest
