"""The way from a request's id to what became of it, out of the nodes' logs."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from msgspec import DecodeError
from msgspec.json import decode

from sequoiapulley.cli.config_commands import format_time
from sequoiapulley.cli.exit_code import ExitCode

STANDARD_INPUT: Final = "-"
CONTEXT_BEFORE_S: Final = 10.0
"""Time before the request's first line from which lines about its upstreams are shown."""
OWN_FIELDS: Final = frozenset({"time", "node", "event", "name"})
REASONS: Final = {
    "no_configuration": "The node had no configuration yet: it had just started and the store did "
    "not answer. The request has not run.",
    "no_route": "No route of the configuration in force matches the host and path.",
    "no_upstream": "Too few services of the route had an upstream that takes requests. The request "
    "has not run.",
    "refused_by_upstreams": "Every upstream asked refused the request before it ran.",
    "failed_at_upstreams": "Upstreams took the request and failed, or their replies were lost.",
    "timeout": "The route's timeout or the caller's deadline passed before enough replies came.",
    "retry_quota_used_up": "A repeat was needed and the quota of repeats was used up.",
    "deadline_passed_on_arrival": "No time was left when the request could be served.",
}

Record = dict[str, object]


def explain(request: str, *logs: str) -> int:
    """Explain from logs what became of a request.

    Example: sequoiapulley explain 9c41d07be2a35f68 node-1.log node-2.log

    Parameters
    ----------
    request
        The id that the caller sent.
    logs
        Log files of any nodes; standard input without any, or for `-`.
    """
    records: list[Record] = []
    for name in logs or (STANDARD_INPUT,):
        if name == STANDARD_INPUT:
            records.extend(read_records(sys.stdin))
            continue
        with Path(name).open(encoding="utf-8", errors="replace") as lines:
            records.extend(read_records(lines))
    way = way_of(request, records)
    if not way:
        print(f"no line names {request}: it did not arrive, was logged elsewhere, or succeeded")
        return ExitCode.PARTIAL
    for record in way:
        print(_line(record))
    print(verdict(request, way))
    return ExitCode.OK


def read_records(lines: Iterable[str]) -> list[Record]:
    """Decodes log lines, whatever stands before the JSON object; others are skipped."""
    records: list[Record] = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = decode(line[start:].encode("utf-8", "replace"), type=dict[str, object])
        except DecodeError:
            # Not one of ours, or cut short by a process that ended.
            continue
        if "event" in record:
            records.append(record)
    return records


def way_of(request: str, records: list[Record]) -> list[Record]:
    """Returns the lines about a request and its upstreams, in order of time.

    Args:
        request: The request's id.
        records: Lines of any nodes.
    """
    own = [record for record in records if record.get("id") == request]
    if not own:
        return []
    upstreams = {record["upstream"] for record in own if "upstream" in record}
    nodes = {record.get("node") for record in own}
    first = min(_time(record) for record in own)
    last = max(_time(record) for record in own)
    context = [
        record
        for record in records
        if "id" not in record
        and record.get("node") in nodes
        and first - CONTEXT_BEFORE_S <= _time(record) <= last
        and ("upstream" not in record or record["upstream"] in upstreams)
    ]
    return sorted([*own, *context], key=_time)


def verdict(request: str, way: list[Record]) -> str:
    """Returns one sentence on what became of a request.

    Args:
        request: The request's id.
        way: Its lines in order.
    """
    own = [record for record in way if record.get("id") == request]
    partial = [record for record in own if record["name"] == "answer_partial"]
    for record in reversed(own):
        name = record["name"]
        if name == "request_given_up":
            reason = str(record.get("reason"))
            told = REASONS.get(reason, f"An upstream answered {reason}, which was passed on.")
            return f"{request} got status {record.get('status')}: {told}"
        if name == "caller_left":
            return f"{request}: the caller left after {record.get('ms')} ms without an answer."
        if name == "request_answered":
            without = f", without {_lacking(partial[-1])}" if partial else ""
            status, ms = record.get("status"), record.get("ms")
            return f"{request} was answered {status} after {ms} ms{without}."
    if partial:
        return f"{request} was answered without {_lacking(partial[-1])}."
    failed = ", ".join(sorted({str(record.get("upstream")) for record in own}))
    return f"{request} was served in the end; tries at {failed} failed on the way."


def _lacking(record: Record) -> str:
    """Returns the shards that an answer lacked, with their reasons."""
    lacking = record.get("lacking")
    if not isinstance(lacking, dict):
        return "some shards"
    return ", ".join(f"{shard} ({reason})" for shard, reason in sorted(lacking.items()))


def _line(record: Record) -> str:
    """Returns one line for people."""
    fields = " ".join(f"{key}={value}" for key, value in record.items() if key not in OWN_FIELDS)
    when = format_time(_time(record))
    return f"{when} {record.get('node')} {record['event']} {record['name']} {fields}".rstrip()


def _time(record: Record) -> float:
    """Returns the time of a line, in seconds since the Unix epoch."""
    value = record.get("time")
    return float(value) if isinstance(value, int | float) else 0.0
