"""Writes accepted edits into the store, once each."""

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
    """Another edit came first; nothing was written."""

    current: ConfigRecord
    """What is there now."""


EditReply = Result[ConfigRecord, EditConflict | StoreError]


def history_key(version: ConfigVersion) -> str:
    """Returns the store's key for the history slot of a version."""
    return f"{CONFIG_KEY}/history/{version % HISTORY_LENGTH}"


class ConfigEditor:
    """Replaces the configuration by compare-and-swap."""

    def __init__(
        self,
        store: Store,
        clock: Clock | None = None,
        local_record: Callable[[], ConfigRecord | None] = lambda: None,
    ) -> None:
        """Initialise the editor.

        Args:
            store: Where the configuration is kept.
            clock: Source of the wall time written into records.
            held: Returns the configuration in force on this node; no edit goes below it, even
                when the store came back older than the fleet.
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
        """Writes a new text on top of the version that the editor saw.

        Args:
            base_version: Version the edit started from, 0 for none.
            edit_id: Unique id; a repeat of the same edit reports the first one's outcome.
            author: Who edits.
            text: The whole new text.
            done: Called once. A `NO_REPLY` error means that the outcome is not known; the same
                call repeated with the same edit id resolves it.
        """
        edit = _Edit(base_version, edit_id, author, text, done)
        self._read(edit)

    def restore(
        self, record: ConfigRecord, expected: Revision, done: Callable[[StoreReply], None]
    ) -> None:
        """Writes a record of the fleet back into a store that came back older.

        Args:
            record: The record in force.
            expected: Revision of the older value that it replaces.
            done: Called once.
        """
        self._store.put(CONFIG_KEY, encode_record(record), expected, done)

    def history(self, done: Callable[[tuple[ConfigRecord, ...]], None]) -> None:
        """Reads the last accepted edits that the store still has, the latest first."""
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
        """Ends the edit if the store or this node shows that it took effect or conflicts."""
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
    """One edit under way."""

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
