"""Line-based deltas between two versions of the configuration text."""

from __future__ import annotations

from difflib import SequenceMatcher
from typing import Final

from xxhash import xxh64_intdigest

from sequoiapulley.fleet.config_messages import ConfigDelta, TextChange
from sequoiapulley.fleet.config_record import ConfigRecord

MAX_DIFF_LINES: Final = 400
"""Larger changed ranges are replaced as a whole, as `SequenceMatcher` takes quadratic time."""


def make_delta(base: ConfigRecord, record: ConfigRecord) -> ConfigDelta:
    """Returns a record as changes to a base record."""
    return ConfigDelta(
        base_version=base.version,
        base_edit_id=base.edit_id,
        version=record.version,
        edit_id=record.edit_id,
        author=record.author,
        edited_at=record.edited_at,
        changes=_changes(base.text, record.text),
        text_hash=xxh64_intdigest(record.text.encode()),
        recent_edits=record.recent_edits,
    )


def apply_delta(base: ConfigRecord, delta: ConfigDelta) -> ConfigRecord | None:
    """Rebuilds a record from a base record and a delta.

    Args:
        base: The base record.
        delta: Changes to the base record.

    Returns:
        The new record, or None if the delta has another base or the hash of the text differs.
    """
    if (base.version, base.edit_id) != (delta.base_version, delta.base_edit_id):
        return None
    lines = base.text.splitlines(keepends=True)
    for change in reversed(delta.changes):
        lines[change.start : change.stop] = change.lines
    text = "".join(lines)
    if xxh64_intdigest(text.encode()) != delta.text_hash:
        return None
    return ConfigRecord(
        version=delta.version,
        edit_id=delta.edit_id,
        author=delta.author,
        edited_at=delta.edited_at,
        text=text,
        recent_edits=delta.recent_edits,
    )


def _changes(old_text: str, new_text: str) -> tuple[TextChange, ...]:
    old = old_text.splitlines(keepends=True)
    new = new_text.splitlines(keepends=True)
    prefix = _common_prefix_length(old, new)
    suffix = _common_prefix_length(old[prefix:][::-1], new[prefix:][::-1])
    old_stop = len(old) - suffix
    new_stop = len(new) - suffix
    if max(old_stop, new_stop) - prefix > MAX_DIFF_LINES:
        return (TextChange(prefix, old_stop, tuple(new[prefix:new_stop])),)
    matcher = SequenceMatcher(None, old[prefix:old_stop], new[prefix:new_stop], autojunk=False)
    changes: list[TextChange] = []
    for tag, old_from, old_to, new_from, new_to in matcher.get_opcodes():
        if tag == "equal":
            continue
        lines = tuple(new[prefix + new_from : prefix + new_to])
        changes.append(TextChange(prefix + old_from, prefix + old_to, lines))
    return tuple(changes)


def _common_prefix_length(old: list[str], new: list[str]) -> int:
    """Counts the equal lines at the start of two lists."""
    count = 0
    for old_line, new_line in zip(old, new, strict=False):
        if old_line != new_line:
            break
        count += 1
    return count
