"""Command that finds the outcome of a request in the nodes' logs."""

from __future__ import annotations

from typing import Final

from sequoiapulley.cli.config_commands import format_time
from sequoiapulley.cli.exit_code import ExitCode
from sequoiapulley.cli.log_records import Record, read_logs, record_time

CONTEXT_BEFORE_S: Final = 10.0
"""Time before the request's first line at which the context starts; it ends at the last line.

The context consists of log lines without a request id from the nodes that logged the request. A
line that names an upstream belongs to it only if the request's own lines name that upstream, too.
"""
HEADER_FIELDS: Final = frozenset({"time", "node", "event", "name"})
REASON_TEXTS: Final = {
    "no_configuration": "The node had no configuration yet: it had just started and the store did "
    "not answer. The request has not run.",
    "no_route": "No route of the active configuration matches the host and path.",
    "no_upstream": "Too few services of the route had an upstream that accepts requests. "
    "The request has not run.",
    "upstreams_paused": "Too few services of the route had an upstream that had not asked the node "
    "for a pause. The request has not run.",
    "refused_by_upstreams": "Every upstream that was tried refused the request before running it.",
    "failed_at_upstreams": "Upstreams took the request and failed, or their replies were lost.",
    "timeout": "The route's timeout or the caller's deadline passed before enough replies came.",
    "retry_quota_used_up": "A retry was needed, but the retry quota was used up.",
    "deadline_passed_on_arrival": "The route's timeout or the caller's deadline had already passed "
    "when the request could be served.",
    "cut_off": "The node was cut off from all upstreams, and no other node served the request.",
    "quarantined": "The same request has crashed upstreams one after the other, so that all nodes "
    "refuse it. Status 503 means that it has not run this time.",
    "shutdown_near": "The node was shutting down, and the request came so late that its answer "
    "might not have come in time. The request has not run; another node serves it.",
    "connection_ended": "All connections of the node together needed too much memory or too many "
    "descriptors, and that of the request was ended.",
    "shutdown": "The node was shutting down, and the upstreams had not answered shortly before "
    "the end of its grace period. Status 503 means that the request has not run.",
}


def explain(request: str, *logs: str) -> int:
    """Show the outcome of a request and the log lines that explain it.

    Example: sequoiapulley explain 9c41d07be2a35f68 node-1.log node-2.log

    Parameters
    ----------
    request
        Request id that the caller sent.
    logs
        Log files of any nodes; standard input if none is given, or for `-`.
    """
    records = read_logs(logs)
    timeline = find_timeline(request, records)
    if not timeline:
        print(f"no line names {request}: it did not arrive, was logged elsewhere, or succeeded")
        return ExitCode.PARTIAL
    for record in timeline:
        print(_format_record(record))
    print(summarize(request, timeline))
    return ExitCode.OK


def find_timeline(request: str, records: list[Record]) -> list[Record]:
    """Returns the log records of a request and their context, in order of time.

    Args:
        request: The request's id.
        records: Log records of any nodes.
    """
    own = [record for record in records if record.get("id") == request]
    if not own:
        return []
    upstreams = {record["upstream"] for record in own if "upstream" in record}
    nodes = {record.get("node") for record in own}
    first = min(record_time(record) for record in own)
    last = max(record_time(record) for record in own)
    context = [
        record
        for record in records
        if "id" not in record
        and record.get("node") in nodes
        and first - CONTEXT_BEFORE_S <= record_time(record) <= last
        and ("upstream" not in record or record["upstream"] in upstreams)
    ]
    return sorted([*own, *context], key=record_time)


def summarize(request: str, timeline: list[Record]) -> str:
    """Returns one sentence that states the outcome of a request.

    Args:
        request: The request's id.
        timeline: Result of `find_timeline`.
    """
    own = [record for record in timeline if record.get("id") == request]
    partial = [record for record in own if record["name"] == "answer_partial"]
    for record in reversed(own):
        name = record["name"]
        if name == "request_given_up":
            reason = str(record.get("reason"))
            explanation = REASON_TEXTS.get(
                reason, f"An upstream answered {reason}, which was forwarded."
            )
            return f"{request} got status {record.get('status')}: {explanation}"
        if name == "caller_left":
            return f"{request}: the caller left after {record.get('ms')} ms without an answer."
        if name == "request_answered":
            without = f", without {_missing_shards(partial[-1])}" if partial else ""
            status, ms = record.get("status"), record.get("ms")
            return f"{request} was answered {status} after {ms} ms{without}."
    if partial:
        return f"{request} was answered without {_missing_shards(partial[-1])}."
    failed = ", ".join(sorted({str(record.get("upstream")) for record in own}))
    return f"{request} was served in the end; tries at {failed} failed on the way."


def _missing_shards(record: Record) -> str:
    """Returns the shards missing from an answer, with their reasons."""
    lacking = record.get("lacking")
    if not isinstance(lacking, dict):
        return "some shards"
    return ", ".join(f"{shard} ({reason})" for shard, reason in sorted(lacking.items()))


def _format_record(record: Record) -> str:
    """Formats a record as one line of text."""
    fields = " ".join(f"{key}={value}" for key, value in record.items() if key not in HEADER_FIELDS)
    when = format_time(record_time(record))
    return f"{when} {record.get('node')} {record['event']} {record['name']} {fields}".rstrip()
