"""Reads the log records of nodes from files or standard input."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from msgspec.json import Decoder

from sequoiapulley.decoding import CheckedDecoder, DecodingError

STDIN_PATH: Final = "-"

Record = dict[str, object]

_DECODER: Final = CheckedDecoder(Decoder(Record))


def read_logs(logs: tuple[str, ...]) -> list[Record]:
    """Reads the records of log files.

    Args:
        logs: Paths; standard input if there are none, or for `-`.

    Raises:
        OSError: If a file cannot be read.
    """
    records: list[Record] = []
    for name in logs or (STDIN_PATH,):
        if name == STDIN_PATH:
            records.extend(read_records(sys.stdin))
            continue
        with Path(name).open(encoding="utf-8", errors="replace") as lines:
            records.extend(read_records(lines))
    return records


def read_records(lines: Iterable[str]) -> list[Record]:
    """Decodes log lines, ignoring any prefix of the JSON object; other lines are skipped."""
    records: list[Record] = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = _DECODER.decode(line[start:].encode("utf-8", "replace"))
        except DecodingError:
            # Line of another program, or truncated because the process ended.
            continue
        if "event" in record:
            records.append(record)
    return records


def record_time(record: Record) -> float:
    """Returns the time of a record in seconds since the Unix epoch, 0 if it has none."""
    value = record.get("time")
    return float(value) if isinstance(value, int | float) else 0.0
