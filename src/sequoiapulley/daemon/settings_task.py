"""Applies changes of the settings file while a node runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec.structs import replace

from sequoiapulley.daemon.settings_watch import SettingsWatch
from sequoiapulley.forward.log_events import SETTINGS_RELOADED
from sequoiapulley.forward.node_settings import NodeSettings
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerQueue

SETTINGS_POLL_INTERVAL_S: Final = 2.0
"""Interval between two checks of the settings file, which may change without a signal."""
RELOADABLE: Final = ("regions", "seeds", "quota", "grace", "drain", "most_entry_ttl", "resources")
"""Settings that take effect without a restart; a change of any other one needs a restart."""


class SettingsTask:
    """Holds the active settings and updates them from the file."""

    def __init__(
        self,
        cfg: NodeSettings,
        watch: SettingsWatch,
        timers: TimerQueue,
        log: LogSink,
        on_change: Callable[[NodeSettings], None],
    ) -> None:
        """Initialise with the settings that were read at the start.

        Args:
            cfg: Settings.
            watch: Detects changes of the file and reads it.
            timers: Timers of the event loop.
            log: Receives an event for each reload.
            on_change: Receives the active settings after each reload.
        """
        self.cfg = cfg
        """The active settings."""
        self._watch = watch
        self._timers = timers
        self._log = log
        self._on_change = on_change

    def start(self) -> None:
        """Applies the file if it has changed, now and at regular intervals."""
        # The next check is scheduled first, so that an unexpected error does not end the series.
        self._timers.call_later(SETTINGS_POLL_INTERVAL_S, self.start)
        self.check()

    def check(self) -> None:
        """Reads and applies the file if it has changed."""
        self._apply_settings(self._watch.poll())

    def reload(self) -> None:
        """Reads and applies the file even if it has not changed."""
        self._apply_settings(self._watch.read())

    def _apply_settings(self, cfg: NodeSettings | None) -> None:
        """Applies the reloadable settings; None, for a file that was not read, has no effect."""
        if cfg is None:
            return
        before = self.cfg
        changed = {
            name: getattr(cfg, name)
            for name in RELOADABLE
            if getattr(cfg, name) != getattr(before, name)
        }
        self.cfg = replace(before, **changed)
        self._on_change(self.cfg)
        self._log.log(SETTINGS_RELOADED, changed=list(changed))
