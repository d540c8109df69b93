"""Log events about logging itself."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.log_event import Severity, define_event

LINES_LEFT_OUT: Final = define_event(
    8101,
    "log_lines_left_out",
    Severity.WARNING,
    "Log lines were dropped, because an event was too frequent or the reader was too slow.",
    "Use the metrics, which are not affected by dropped lines.",
)
