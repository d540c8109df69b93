"""Command that shows, second by second, what the nodes' logs say about all requests."""

from __future__ import annotations

from collections import Counter
from typing import Final

from sequoiapulley.cli.config_commands import format_time
from sequoiapulley.cli.exit_code import ExitCode
from sequoiapulley.cli.log_records import Record, read_logs, record_time

NOT_RUN_STATUS: Final = 503
COLUMNS: Final = (
    "answered",
    "late",
    "partial",
    "refused",
    "failed",
    "left",
    "tries failed",
    "hedged",
    "upstreams in",
    "upstreams out",
)
NOTED_EVENTS: Final = frozenset(
    {
        "configuration_applied",
        "duties_changed",
        "forward_node_leaving",
        "forward_node_started",
        "forward_node_stopped",
        "peer_lost",
        "store_lost",
        "store_regained",
        "store_restored",
        "unexpected_error",
        "upstream_paused",
        "upstream_silent",
    }
)
"""Events that are listed by name, each with the number of its lines."""


def timeline(*logs: str, width: float = 1.0) -> int:
    """Show what happened to all requests in each second, from the nodes' logs.

    Example: sequoiapulley timeline node-1.log node-2.log

    Parameters
    ----------
    logs
        Log files of any nodes; standard input if none is given, or for `-`.
    width
        Length of the time covered by one line, in seconds.
    """
    records = [record for record in read_logs(logs) if record_time(record)]
    if not records or width <= 0.0:
        print("no log lines with a time" if not records else f"width {width} is not above 0")
        return ExitCode.PARTIAL
    for line in format_timeline(records, width):
        print(line)
    return ExitCode.OK


def format_timeline(records: list[Record], width: float) -> list[str]:
    """Returns a header and one line for each interval in which something was logged.

    Args:
        records: Log records of any nodes, each with a time.
        width: Length of an interval in seconds.
    """
    first = min(record_time(record) for record in records)
    counts: dict[int, Counter[str]] = {}
    notes: dict[int, Counter[str]] = {}
    for record in records:
        interval = int((record_time(record) - first) / width)
        counts.setdefault(interval, Counter()).update(_columns_of(record))
        noted = notes.setdefault(interval, Counter())
        if record.get("name") in NOTED_EVENTS:
            noted[str(record["name"])] += 1
        elif record.get("name") == "request_given_up":
            noted[str(record.get("reason"))] += 1
    lines = [f"from {format_time(first)}"]
    lines.append("  ".join([f"{'second':>8}", *(f"{name:>{len(name)}}" for name in COLUMNS)]))
    for interval in sorted(counts):
        cells = [f"{counts[interval][name]:>{len(name)}}" for name in COLUMNS]
        noted_text = ", ".join(f"{name} {count}" for name, count in sorted(notes[interval].items()))
        lines.append("  ".join([f"{interval * width:8.1f}", *cells, noted_text]).rstrip())
    return lines


def _columns_of(record: Record) -> list[str]:
    """Returns the columns in which a record counts."""
    name = record.get("name")
    if name == "request_answered":
        return ["answered", "late"] if _is_late(record) else ["answered"]
    if name == "request_given_up":
        return ["refused"] if record.get("status") == NOT_RUN_STATUS else ["failed"]
    if name == "try_overdue":
        return ["hedged"] if record.get("outcome") == "hedged" else []
    columns = {
        "answer_partial": "partial",
        "caller_left": "left",
        "try_failed": "tries failed",
        "upstream_registered": "upstreams in",
        "upstream_leaves": "upstreams out",
    }
    column = columns.get(str(name))
    return [column] if column is not None else []


def _is_late(record: Record) -> bool:
    """Returns whether an answer took longer than the latency goal of its route."""
    waited, target = record.get("ms"), record.get("target_ms")
    if not isinstance(waited, int | float) or not isinstance(target, int | float):
        return False
    return target > 0 and waited > target
