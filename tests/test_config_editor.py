"""Tests of edits with concurrent editors, lost replies and an outdated store."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from sequoiapulley.fleet.config_editor import ConfigEditor, EditConflict, EditReply
from sequoiapulley.fleet.config_record import CONFIG_KEY, ConfigRecord, decode_record
from sequoiapulley.ids import ConfigVersion, EditId
from sequoiapulley.platform.store import StoreError, StoreErrorKind
from sequoiapulley.runtime import PausedClock
from tests.watch_store import WatchStore


class ConfigEditorTest(TestCase):
    """Several edits of the configuration in one store."""

    def setUp(self) -> None:
        self.store = WatchStore()
        self.local_record: ConfigRecord | None = None
        self.editor = ConfigEditor(self.store, PausedClock(), lambda: self.local_record)

    def apply(self, base: int, edit: str, text: str = "text") -> EditReply:
        replies: list[EditReply] = []
        self.editor.apply(ConfigVersion(base), EditId(edit), "ana", text, replies.append)
        self.assertEqual(len(replies), 1)
        return replies[0]

    def stored(self) -> ConfigRecord:
        return decode_record(self.store.values[CONFIG_KEY].value)

    def test_versions_rise_and_history_is_bounded(self) -> None:
        for version in range(20):
            reply = self.apply(version, f"e{version}", f"text {version}")
            self.assertEqual(reply.unwrap().version, version + 1)
        seen: list[tuple[ConfigRecord, ...]] = []
        self.editor.history(seen.append)
        self.assertEqual([record.version for record in seen[0]], list(range(20, 4, -1)))

    def test_concurrent_edit_gets_a_conflict_with_the_first_edit(self) -> None:
        self.apply(0, "a")
        self.store.before_put = lambda: self.assertIsInstance(self.apply(1, "b", "first"), Ok)
        reply = self.apply(1, "c", "second")
        assert isinstance(reply, Err) and isinstance(reply.err_value, EditConflict)
        self.assertEqual(reply.err_value.current.text, "first")
        self.assertEqual(self.stored().text, "first")

    def test_lost_reply_is_resolved_by_the_edit_id(self) -> None:
        self.store.replies_to_lose = [False, True]
        self.assertEqual(self.apply(0, "a").unwrap().edit_id, "a")
        self.assertEqual(self.stored().version, 1)

    def test_lost_reply_is_resolved_after_a_later_edit(self) -> None:
        self.store.replies_to_lose = [False, True, True]
        lost = self.apply(0, "a")
        assert isinstance(lost, Err) and isinstance(lost.err_value, StoreError)
        self.assertIs(lost.err_value.kind, StoreErrorKind.NO_REPLY)
        self.apply(1, "b")
        self.assertIsInstance(self.apply(0, "a"), Ok)
        self.assertEqual(self.stored().version, 2)

    def test_outage_after_a_lost_reply_is_reported_as_unknown_outcome(self) -> None:
        self.store.replies_to_lose = [False, True]
        self.store.during_put = lambda: setattr(self.store, "down", True)
        reply = self.apply(0, "a")
        assert isinstance(reply, Err) and isinstance(reply.err_value, StoreError)
        self.assertIs(reply.err_value.kind, StoreErrorKind.NO_REPLY)
        self.store.down = False
        self.assertEqual(self.apply(0, "a").unwrap().version, 1)

    def test_outage_before_the_write_is_reported_as_unavailable(self) -> None:
        self.store.down = True
        reply = self.apply(0, "a")
        assert isinstance(reply, Err) and isinstance(reply.err_value, StoreError)
        self.assertIs(reply.err_value.kind, StoreErrorKind.UNAVAILABLE)

    def test_edit_replaces_a_stored_record_older_than_the_local_one(self) -> None:
        self.apply(0, "a")
        self.local_record = ConfigRecord(ConfigVersion(8), EditId("h"), "bo", 1.0, "held")
        self.assertIsInstance(self.apply(1, "b"), Err)
        self.assertEqual(self.apply(8, "c").unwrap().version, 9)

    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.lists(st.booleans(), max_size=6)),
            max_size=12,
        )
    )
    def test_each_accepted_edit_takes_effect_once(
        self, edits: list[tuple[int, list[bool]]]
    ) -> None:
        """Edits have stale bases and lost replies, and are retried until the outcome is known."""
        self.setUp()
        accepted: list[str] = []
        for number, (staleness, lost) in enumerate(edits):
            current = self.store.values.get(CONFIG_KEY)
            base = max(0, (self.stored().version if current else 0) - staleness)
            self.store.replies_to_lose = list(lost)
            reply = self.apply(base, f"e{number}")
            while isinstance(reply, Err) and isinstance(reply.err_value, StoreError):
                reply = self.apply(base, f"e{number}")
            if isinstance(reply, Ok):
                accepted.append(f"e{number}")
        if accepted:
            record = self.stored()
            self.assertEqual(record.version, len(accepted))
            self.assertEqual([record.edit_id, *record.recent_edits], accepted[::-1])
