"""Tests of the detection of changes to the settings file."""

from __future__ import annotations

from os import utime
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from sequoiapulley.daemon.settings_watch import SettingsWatch
from sequoiapulley.forward.log_events import SETTINGS_UNREADABLE
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.platform.boot_settings import load_boot_settings
from tests.test_platform_documents import SETTINGS


class SettingsWatchTest(TestCase):
    """A settings file that is rewritten, broken and removed."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.toml"
        self.changes = 0
        self.write(SETTINGS)
        self.log = MemoryLog()
        self.watch = SettingsWatch(self.path, load_boot_settings, self.log)

    def write(self, text: str) -> None:
        self.changes += 1
        self.path.write_text(text, encoding="utf-8")
        utime(self.path, ns=(0, self.changes))

    def test_change_is_seen_once(self) -> None:
        self.assertIsNone(self.watch.poll())
        self.write(SETTINGS.replace("retry_slack = 126", "retry_slack = 9"))
        cfg = self.watch.poll()
        assert cfg is not None
        self.assertEqual(cfg.quota.slack, 9)
        self.assertIsNone(self.watch.poll())

    def test_invalid_or_missing_file_is_logged_once_and_read_when_valid_again(self) -> None:
        self.write("broken [")
        self.assertIsNone(self.watch.poll())
        self.assertIsNone(self.watch.poll())
        self.path.unlink()
        self.assertIsNone(self.watch.poll())
        self.assertEqual([event for event, _ in self.log.entries], [SETTINGS_UNREADABLE] * 2)
        self.write(SETTINGS)
        self.assertIsNotNone(self.watch.poll())

    def test_signal_reads_an_unchanged_file(self) -> None:
        self.assertIsNotNone(self.watch.read())
