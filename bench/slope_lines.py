"""Where the points of every measured line stand in the stored results."""

from __future__ import annotations

from typing import Final

from msgspec import Struct


class SlopeLine(Struct, frozen=True):
    """Where the points of a line stand in a stored result."""

    name: str
    unit: str
    per: str
    source: str
    rows: str
    x: str
    y: str
    low: str = ""
    high: str = ""
    of_each: bool = False
    """The result holds the cost of each; the line goes through the cost of all."""


LINES: Final = (
    SlopeLine(
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
    SlopeLine(
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
    SlopeLine(
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
    SlopeLine(
        "reply_bytes",
        "bytes",
        "shard",
        "gather_cost",
        "rows",
        "fan_out",
        "batch_bytes_per_shard",
        of_each=True,
    ),
    SlopeLine(
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
    SlopeLine(
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
    SlopeLine(
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
    SlopeLine(
        "link_frame",
        "us",
        "message",
        "link_cost",
        "points",
        "batch",
        "processor_us_per_message",
        of_each=True,
    ),
    SlopeLine(
        "control_messages",
        "datagrams/s",
        "node",
        "control_cost",
        "points",
        "nodes",
        "messages_sent_per_s",
    ),
    SlopeLine(
        "control_bytes",
        "bytes/s",
        "node",
        "control_cost",
        "points",
        "nodes",
        "bytes_sent_and_received_per_s",
    ),
    SlopeLine(
        "control_core", "core share", "node", "control_cost", "points", "nodes", "core_share"
    ),
    SlopeLine(
        "restart_bytes",
        "bytes",
        "node",
        "control_cost",
        "restarts",
        "nodes",
        "extra_bytes_per_node",
    ),
    SlopeLine("edit_bytes", "bytes", "node", "control_cost", "edits", "nodes", "bytes_per_node"),
    SlopeLine(
        "edit_seconds", "s", "node", "control_cost", "edits", "nodes", "seconds_until_everywhere"
    ),
    SlopeLine(
        "store_calls", "calls/s", "node", "control_cost", "store", "nodes", "quiet_calls_per_s"
    ),
    SlopeLine(
        "store_calls_in_outage",
        "calls/s",
        "node",
        "control_cost",
        "store",
        "nodes",
        "outage_calls_per_s",
    ),
    SlopeLine(
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
    SlopeLine(
        "text_check_step",
        "ms",
        "upstream",
        "settings_cost",
        "rows",
        "upstreams",
        "longest_step",
        high="longest_step_most",
    ),
    SlopeLine("text_bytes", "bytes", "upstream", "settings_cost", "rows", "upstreams", "bytes"),
    SlopeLine(
        "configuration_bytes",
        "bytes",
        "upstream",
        "state_size",
        "rows",
        "upstreams",
        "configuration_bytes",
    ),
    SlopeLine(
        "upstream_state_bytes",
        "bytes",
        "upstream",
        "state_size",
        "rows",
        "upstreams",
        "state_bytes",
    ),
    SlopeLine(
        "member_state_bytes",
        "bytes",
        "member",
        "state_size",
        "member_rows",
        "members",
        "state_bytes",
    ),
    SlopeLine(
        "seconds_until_dead",
        "s",
        "node",
        "membership_times",
        "points",
        "nodes",
        "node_killed_until_dead.median_s",
        high="node_killed_until_dead.worst_s",
    ),
    SlopeLine(
        "seconds_third_dead",
        "s",
        "node",
        "membership_times",
        "points",
        "nodes",
        "third_killed_until_dead.median_s",
        high="third_killed_until_dead.worst_s",
    ),
    SlopeLine(
        "seconds_healed",
        "s",
        "node",
        "membership_times",
        "points",
        "nodes",
        "half_parted_and_healed.median_s",
        high="half_parted_and_healed.worst_s",
    ),
    SlopeLine(
        "seconds_left",
        "s",
        "node",
        "membership_times",
        "points",
        "nodes",
        "node_leaves.median_s",
        high="node_leaves.worst_s",
    ),
    SlopeLine(
        "rumour_seconds",
        "s",
        "node",
        "membership_times",
        "rumour_s",
        "nodes",
        "median_s",
        high="worst_s",
    ),
    SlopeLine("burn_merge", "ms", "node", "observe_cost", "rows", "merge_nodes", "ms"),
)
