"""Log sink that uses absl logging."""

from __future__ import annotations

from absl import logging
from msgspec import json

from sequoiapulley.observe.log_event import LogEvent, Severity


class AbslLog:
    """Log sink that writes events through absl, as text or as JSON Lines."""

    def __init__(self, as_json: bool = False) -> None:
        """Initialise the sink.

        Args:
            as_json: Whether to write one JSON object per line instead of text.
        """
        self._as_json = as_json

    def log(self, event: LogEvent, **fields: object) -> None:
        """Logs one event with its fields."""
        level = {
            Severity.INFO: logging.INFO,
            Severity.WARNING: logging.WARNING,
            Severity.ERROR: logging.ERROR,
        }[event.severity]
        if self._as_json:
            record = {"event": event.code, "name": event.name, **fields}
            logging.log(level, "%s", json.encode(record, enc_hook=str).decode())
            return
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        logging.log(level, "%s %s %s", event.code, event.name, details)
