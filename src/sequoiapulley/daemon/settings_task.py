"""Applies settings that change while a node runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec.structs import replace

from sequoiapulley.daemon.settings_watch import SettingsWatch
from sequoiapulley.forward.log_events import SETTINGS_RELOADED
from sequoiapulley.forward.node_settings import NodeSettings
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerQueue

SETTINGS_CHECK_S: Final = 2.0
"""Pause between two looks at the settings file, which may change without a signal."""
RELOADED: Final = ("regions", "seeds", "quota", "grace", "most_entry_ttl")
"""Settings that take effect without a restart; addresses and names hold until the end."""


class SettingsTask:
    """Holds the settings in force."""

    def __init__(
        self,
        cfg: NodeSettings,
        watch: SettingsWatch,
        timers: TimerQueue,
        log: LogSink,
        apply: Callable[[NodeSettings], None],
    ) -> None:
        """Initialise with the settings of the start.

        Args:
            cfg: Settings.
            watch: Reads them again.
            timers: Timers of the event loop.
            log: Receives each reload.
            apply: Receives the settings in force after each reload.
        """
        self.cfg = cfg
        """The settings in force."""
        self._watch = watch
        self._timers = timers
        self._log = log
        self._apply = apply

    def start(self) -> None:
        """Looks at the file now, and again and again."""
        self._take(self._watch.poll())
        self._timers.call_later(SETTINGS_CHECK_S, self.start)

    def reload(self) -> None:
        """Applies the file as it is now."""
        self._take(self._watch.read())

    def _take(self, cfg: NodeSettings | None) -> None:
        """Applies what may change, if the file was read."""
        if cfg is None:
            return
        before = self.cfg
        changed = {
            name: getattr(cfg, name)
            for name in RELOADED
            if getattr(cfg, name) != getattr(before, name)
        }
        self.cfg = replace(before, **changed)
        self._apply(self.cfg)
        self._log.log(SETTINGS_RELOADED, changed=list(changed))
