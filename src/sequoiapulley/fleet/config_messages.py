"""Messages that replicate the configuration between nodes."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.fleet.config_record import ConfigRecord
from sequoiapulley.ids import ConfigVersion, EditId


class ConfigFull(Struct, frozen=True, tag="config_full"):
    """The complete configuration record."""

    record: ConfigRecord


class TextChange(Struct, frozen=True, array_like=True):
    """Replaces a range of lines of the base text."""

    start: int
    """First line replaced, counted from 0."""
    stop: int
    """Line after the last replaced one."""
    lines: tuple[str, ...]
    """New lines, including their line endings."""


class ConfigDelta(Struct, frozen=True, tag="config_delta"):
    """A newer configuration record, as changes to a base record."""

    base_version: ConfigVersion
    base_edit_id: EditId
    version: ConfigVersion
    edit_id: EditId
    author: str
    edited_at: float
    """Seconds since the Unix epoch."""
    changes: tuple[TextChange, ...]
    """In ascending order of lines, not overlapping."""
    text_hash: int
    """xxh64 of the new text in UTF-8."""
    recent_edits: tuple[EditId, ...] = ()
    """Edits before this one, the latest first; see `ConfigRecord.recent_edits`."""


class ConfigRequest(Struct, frozen=True, tag="config_request"):
    """Requests the configuration of a peer if it differs and is not older."""

    have_version: ConfigVersion
    """Active version of the requesting node, 0 for none."""
    have_edit_id: EditId
    """Empty if the requesting node has no configuration."""


ConfigMessage = ConfigFull | ConfigDelta | ConfigRequest
