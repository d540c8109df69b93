"""Writes accepted edits to the store, each exactly once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Struct
from result import Err, Ok, Result

from sequoiapulley.fleet.config_record import (
    CONFIG_KEY,
    MAX_RECENT_EDITS,
    MAX_RECORD_BYTES,
    BadConfigRecordError,
    ConfigRecord,
    decode_record,
    encode_record,
)
from sequoiapulley.ids import ConfigVersion, EditId, Revision
from sequoiapulley.platform.store import (
    ABSENT,
    Store,
    StoreError,
    StoreErrorKind,
    StoreReply,
    StoreValue,
)
from sequoiapulley.runtime import Clock, SystemClock

HISTORY_LENGTH: Final = 16
MAX_WRITE_ATTEMPTS: Final = 4


class EditConflict(Struct, frozen=True):
    """The edit was based on an outdated version, and nothing was written."""

    current: ConfigRecord
    """The newer record, from the store or from this node."""


EditReply = Result[ConfigRecord, EditConflict | StoreError]


def history_key(version: ConfigVersion) -> str:
    """Returns the store key of the history slot for a version."""
    return f"{CONFIG_KEY}/history/{version % HISTORY_LENGTH}"


class ConfigEditor:
    """Replaces the configuration in the store by compare-and-swap."""

    def __init__(
        self,
        store: Store,
        clock: Clock | None = None,
        local_record: Callable[[], ConfigRecord | None] = lambda: None,
    ) -> None:
        """Initialise the editor.

        Args:
            store: Store that holds the configuration.
            clock: Source of the wall time written into records.
            local_record: Returns the active configuration of this node. An edit based on an older
                version conflicts, even if the store was restored to an older state.
        """
        self._store = store
        self._clock = clock or SystemClock()
        self._local_record = local_record

    def apply(
        self,
        base_version: ConfigVersion,
        edit_id: EditId,
        author: str,
        text: str,
        done: Callable[[EditReply], None],
    ) -> None:
        """Replaces the version that the edit is based on with a new text.

        Args:
            base_version: Version that the edit is based on, 0 for none.
            edit_id: Unique id; a retry with the same id reports the outcome of the first attempt.
            author: Author of the edit.
            text: The complete new text.
            done: Called once with the outcome. A `NO_REPLY` error means that the outcome is
                unknown; a retry with the same edit id resolves it.
        """
        edit = _Edit(base_version, edit_id, author, text, done)
        self._read(edit)

    def repair(
        self, record: ConfigRecord, expected: Revision, done: Callable[[StoreReply], None]
    ) -> None:
        """Writes a record back into a store that holds an older one.

        Args:
            record: The active record.
            expected: Revision of the older value that it replaces.
            done: Called once with the store's reply.
        """
        self._store.put(CONFIG_KEY, encode_record(record), expected, done)

    def history(self, done: Callable[[tuple[ConfigRecord, ...]], None]) -> None:
        """Reads the accepted edits from the store's history slots, the latest first.

        Slots that cannot be read or decoded are left out.
        """
        records: dict[ConfigVersion, ConfigRecord] = {}
        pending = HISTORY_LENGTH

        def on_slot(reply: StoreReply) -> None:
            nonlocal pending
            pending -= 1
            record = _decode_slot(reply.ok_value) if isinstance(reply, Ok) else None
            if record is not None:
                records[record.version] = record
            if not pending:
                done(tuple(records[version] for version in sorted(records, reverse=True)))

        for slot in range(HISTORY_LENGTH):
            self._store.get(history_key(ConfigVersion(slot)), on_slot)

    def _read(self, edit: _Edit) -> None:
        self._store.get(CONFIG_KEY, lambda reply: self._on_read(edit, reply))

    def _on_read(self, edit: _Edit, reply: StoreReply) -> None:
        if isinstance(reply, Err):
            error = reply.err_value
            if edit.may_have_written:
                detail = f"outcome of edit {edit.edit_id} is not known: {error.detail}"
                error = StoreError(StoreErrorKind.NO_REPLY, detail)
            edit.done(Err(error))
            return
        value = reply.ok_value
        try:
            current = decode_record(value.value) if value.revision != ABSENT else None
        except BadConfigRecordError:
            current = None
        if self._finish_if_resolved(edit, current):
            return
        self._write(edit, current, value.revision)

    def _finish_if_resolved(self, edit: _Edit, current: ConfigRecord | None) -> bool:
        """Reports the outcome if the edit already took effect or conflicts with a newer record.

        Returns:
            Whether the outcome was reported.
        """
        if current is not None and edit.edit_id in (current.edit_id, *current.recent_edits):
            edit.done(Ok(current))
            return True
        local_record = self._local_record()
        newest = max(
            (record for record in (current, local_record) if record is not None),
            key=lambda record: record.rank,
            default=None,
        )
        if newest is not None and newest.version > edit.base_version:
            edit.done(Err(EditConflict(newest)))
            return True
        return False

    def _write(self, edit: _Edit, current: ConfigRecord | None, revision: Revision) -> None:
        if edit.attempts == MAX_WRITE_ATTEMPTS:
            edit.done(Err(StoreError(StoreErrorKind.NO_REPLY, "no reply to repeated writes")))
            return
        edit.attempts += 1
        base = current if current is not None else self._local_record()
        recent = (base.edit_id, *base.recent_edits) if base is not None else ()
        record = ConfigRecord(
            version=ConfigVersion(edit.base_version + 1),
            edit_id=edit.edit_id,
            author=edit.author,
            edited_at=self._clock.wall(),
            text=edit.text,
            recent_edits=recent[:MAX_RECENT_EDITS],
        )
        value = encode_record(record)
        if len(value) > MAX_RECORD_BYTES:
            detail = f"configuration takes {len(value)} bytes, limit {MAX_RECORD_BYTES}"
            edit.done(Err(StoreError(StoreErrorKind.REFUSED, detail)))
            return
        self._store.put(
            CONFIG_KEY, value, revision, lambda reply: self._on_written(edit, record, reply)
        )

    def _on_written(self, edit: _Edit, record: ConfigRecord, reply: StoreReply) -> None:
        if isinstance(reply, Ok):
            edit.done(Ok(record))
            self._store_history(record)
            return
        error = reply.err_value
        if error.kind is StoreErrorKind.NO_REPLY:
            edit.may_have_written = True
            self._read(edit)
            return
        if error.kind is StoreErrorKind.CONFLICT:
            self._read(edit)
            return
        if edit.may_have_written:
            detail = f"outcome of edit {edit.edit_id} is not known: {error.detail}"
            error = StoreError(StoreErrorKind.NO_REPLY, detail)
        edit.done(Err(error))

    def _store_history(self, record: ConfigRecord) -> None:
        key = history_key(record.version)

        def on_slot(reply: StoreReply) -> None:
            if isinstance(reply, Err):
                return
            value = reply.ok_value
            self._store.put(key, encode_record(record), value.revision, lambda _reply: None)

        self._store.get(key, on_slot)


class _Edit:
    """State of an edit in progress."""

    def __init__(
        self,
        base_version: ConfigVersion,
        edit_id: EditId,
        author: str,
        text: str,
        done: Callable[[EditReply], None],
    ) -> None:
        self.base_version = base_version
        self.edit_id = edit_id
        self.author = author
        self.text = text
        self.done = done
        self.attempts = 0
        self.may_have_written = False


def _decode_slot(value: StoreValue) -> ConfigRecord | None:
    if value.revision == ABSENT:
        return None
    try:
        return decode_record(value.value)
    except BadConfigRecordError:
        return None
