"""Writes `record.txt`: what was sent, answered and run, and what disturbed it."""

from __future__ import annotations

import json
import time
from pathlib import Path


class Record:
    """Events of one run, in order, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()
        self.events: list[dict[str, object]] = []

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._start

    def add(self, event: str, **fields: object) -> float:
        """Adds an event; returns its time."""
        at = self.now()
        row = {"at": round(at, 4), "event": event, **fields}
        self.events.append(row)
        self._file.write(json.dumps(row) + "\n")
        return at

    def named(self, event: str) -> list[dict[str, object]]:
        """Returns the events of one name."""
        return [row for row in self.events if row["event"] == event]

    def close(self) -> None:
        """Ends the file."""
        self._file.close()
