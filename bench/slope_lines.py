"""Locations of the points of every fitted line in the stored results."""

from __future__ import annotations

from typing import Final

from msgspec import Struct


class LineSource(Struct, frozen=True):
    """Location of a line's points in a stored result."""

    name: str
    unit: str
    per: str
    source: str
    """Benchmark that stores the result."""
    rows: str
    """Path of the rows in the result."""
    x: str
    """Key of the size in a row."""
    y: str
    """Path of the value in a row."""
    low: str = ""
    """Path of the lowest value over the rounds; empty if it is not stored."""
    high: str = ""
    """Path of the highest value over the rounds; empty if it is not stored."""
    per_unit: bool = False
    """The result stores the cost per unit of `x`; the line is fitted to the total cost."""


LINES: Final = (
    LineSource(
        "callers_request",
        "us",
        "shard",
        "callers_cost",
        "rows",
        "fan_out",
        "us_per_request",
        "spread.0",
        "spread.1",
    ),
    LineSource(
        "entry_search",
        "us",
        "shard",
        "gather_cost",
        "rows",
        "fan_out",
        "entry_us_per_shard",
        "entry_us_per_shard_spread.0",
        "entry_us_per_shard_spread.1",
        True,
    ),
    LineSource(
        "home_search",
        "us",
        "shard",
        "gather_cost",
        "rows",
        "fan_out",
        "home_us_per_shard",
        "home_us_per_shard_spread.0",
        "home_us_per_shard_spread.1",
        True,
    ),
    LineSource(
        "reply_bytes",
        "bytes",
        "shard",
        "gather_cost",
        "rows",
        "fan_out",
        "batch_bytes_per_shard",
        per_unit=True,
    ),
    LineSource(
        "upstream_exchange",
        "us",
        "exchange",
        "wire_cost",
        "rows",
        "fan_out",
        "dispatched",
        "dispatched_least",
        "dispatched_most",
        True,
    ),
    LineSource(
        "bare_exchange",
        "us",
        "exchange",
        "wire_cost",
        "rows",
        "fan_out",
        "bare",
        "bare_least",
        "bare_most",
        True,
    ),
    LineSource(
        "dispatch_decisions",
        "us",
        "sub-request",
        "dispatch_cost",
        "dispatcher",
        "fan_out",
        "us",
        "least_us",
        "greatest_us",
        True,
    ),
    LineSource(
        "link_frame",
        "us",
        "message",
        "link_cost",
        "points",
        "batch",
        "processor_us_per_message",
        per_unit=True,
    ),
    LineSource(
        "control_messages",
        "datagrams/s",
        "node",
        "control_cost",
        "points",
        "nodes",
        "messages_sent_per_s",
    ),
    LineSource(
        "control_bytes",
        "bytes/s",
        "node",
        "control_cost",
        "points",
        "nodes",
        "bytes_sent_and_received_per_s",
    ),
    LineSource(
        "control_core", "core share", "node", "control_cost", "points", "nodes", "core_share"
    ),
    LineSource(
        "restart_bytes",
        "bytes",
        "node",
        "control_cost",
        "restarts",
        "nodes",
        "extra_bytes_per_node",
    ),
    LineSource("edit_bytes", "bytes", "node", "control_cost", "edits", "nodes", "bytes_per_node"),
    LineSource(
        "edit_seconds", "s", "node", "control_cost", "edits", "nodes", "seconds_until_everywhere"
    ),
    LineSource(
        "store_calls", "calls/s", "node", "control_cost", "store", "nodes", "quiet_calls_per_s"
    ),
    LineSource(
        "store_calls_in_outage",
        "calls/s",
        "node",
        "control_cost",
        "store",
        "nodes",
        "outage_calls_per_s",
    ),
    LineSource(
        "text_check",
        "ms",
        "upstream",
        "settings_cost",
        "rows",
        "upstreams",
        "check",
        "check_least",
        "check_most",
    ),
    LineSource(
        "text_check_step",
        "ms",
        "upstream",
        "settings_cost",
        "rows",
        "upstreams",
        "longest_step",
        high="longest_step_most",
    ),
    LineSource("text_bytes", "bytes", "upstream", "settings_cost", "rows", "upstreams", "bytes"),
    LineSource(
        "configuration_bytes",
        "bytes",
        "upstream",
        "state_size",
        "rows",
        "upstreams",
        "configuration_bytes",
    ),
    LineSource(
        "upstream_state_bytes",
        "bytes",
        "upstream",
        "state_size",
        "rows",
        "upstreams",
        "state_bytes",
    ),
    LineSource(
        "member_state_bytes",
        "bytes",
        "member",
        "state_size",
        "member_rows",
        "members",
        "state_bytes",
    ),
    LineSource(
        "seconds_until_dead",
        "s",
        "node",
        "membership_times",
        "points",
        "nodes",
        "node_killed_until_dead.median_s",
        high="node_killed_until_dead.worst_s",
    ),
    LineSource(
        "seconds_third_dead",
        "s",
        "node",
        "membership_times",
        "points",
        "nodes",
        "third_killed_until_dead.median_s",
        high="third_killed_until_dead.worst_s",
    ),
    LineSource(
        "seconds_healed",
        "s",
        "node",
        "membership_times",
        "points",
        "nodes",
        "half_parted_and_healed.median_s",
        high="half_parted_and_healed.worst_s",
    ),
    LineSource(
        "seconds_left",
        "s",
        "node",
        "membership_times",
        "points",
        "nodes",
        "node_leaves.median_s",
        high="node_leaves.worst_s",
    ),
    LineSource(
        "rumour_seconds",
        "s",
        "node",
        "membership_times",
        "rumour_s",
        "nodes",
        "median_s",
        high="worst_s",
    ),
    LineSource("burn_merge", "ms", "node", "observe_cost", "rows", "merge_nodes", "ms"),
)
