"""Reads the settings file again after it has changed, or on request."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from result import Err, Result

from sequoiapulley.forward.log_events import SETTINGS_UNREADABLE
from sequoiapulley.forward.node_settings import NodeSettings
from sequoiapulley.observe.log_event import LogSink

Loader = Callable[[Path], Result[NodeSettings, str]]


class SettingsWatch:
    """Watches the modification time of the settings file."""

    def __init__(self, path: Path, load: Loader, log: LogSink) -> None:
        """Initialise the watch with the file's current modification time.

        Args:
            path: The settings file.
            load: Reads and decodes the file.
            log: Receives an event for a file that cannot be read.
        """
        self._path = path
        self._load = load
        self._log = log
        self._last_mtime_ns = self._mtime_ns()

    def poll(self) -> NodeSettings | None:
        """Returns the settings if the file has changed since the last read, else None."""
        mtime_ns = self._mtime_ns()
        if mtime_ns == self._last_mtime_ns:
            return None
        return self.read()

    def read(self) -> NodeSettings | None:
        """Returns the settings, or None if the file cannot be read, which is logged."""
        self._last_mtime_ns = self._mtime_ns()
        result = self._load(self._path)
        if isinstance(result, Err):
            self._log.log(SETTINGS_UNREADABLE, file=self._path, error=result.err_value)
            return None
        return result.ok_value

    def _mtime_ns(self) -> int:
        """Returns the file's modification time in nanoseconds, 0 if the file is missing."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # The file is being replaced; if it stays missing, `read` logs the error.
            return 0
