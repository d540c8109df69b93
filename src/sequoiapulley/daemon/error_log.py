"""Logs unexpected errors, so that one of them does not end the process."""

from __future__ import annotations

from traceback import format_exception
from typing import Final

from sequoiapulley.daemon.log_events import UNEXPECTED_ERROR
from sequoiapulley.observe.log_event import LogSink

MAX_FRAMES: Final = 8
"""Maximum number of innermost stack frames in the log."""


class ErrorLog:
    """Receives the unexpected errors of the reactor's handlers and of timers."""

    def __init__(self, log: LogSink) -> None:
        """Initialise the error log.

        Args:
            log: Receives an event for each error.
        """
        self._log = log

    def __call__(self, exc: Exception) -> None:
        """Logs an error with the place in the program where it was raised."""
        trace = format_exception(exc, limit=-MAX_FRAMES, chain=False)
        self._log.log(UNEXPECTED_ERROR, error=repr(exc), trace="".join(trace))
