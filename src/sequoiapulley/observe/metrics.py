"""Definitions of the metrics of a node."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.metric import MetricKind, define_metric

LATENCY_BUCKETS_S: Final = (
    0.005,
    0.010,
    0.020,
    0.030,
    0.040,
    0.050,
    0.063,
    0.080,
    0.100,
    0.150,
    0.250,
    0.500,
    1.000,
    2.500,
)
"""Bucket bounds of latency histograms, in seconds; 0.063 is the latency target of 63 ms."""

SEARCHES: Final = define_metric(
    "sequoiapulley_searches_total",
    MetricKind.COUNTER,
    "Searches answered, by service and outcome: complete, incomplete or refused.",
    "A rising share of `incomplete` or `refused` affects callers; see the on-call page.",
    ("service", "outcome"),
)
SEARCH_SECONDS: Final = define_metric(
    "sequoiapulley_search_seconds",
    MetricKind.HISTOGRAM,
    "Time from a search's arrival to its answer; refused searches are left out.",
    "Tail latency for callers, without the network time between caller and node.",
    ("service",),
    LATENCY_BUCKETS_S,
)
SEARCHES_LATE: Final = define_metric(
    "sequoiapulley_searches_late_total",
    MetricKind.COUNTER,
    "Searches answered after their deadline.",
    "Should stay near zero: at the deadline, an answer is sent with the shards received so far.",
    ("service",),
)
SHARDS_COVERED: Final = define_metric(
    "sequoiapulley_shards_covered_total",
    MetricKind.COUNTER,
    "Shards covered, summed over answers.",
    "Coverage is this total divided by the sum of covered and missing shards.",
    ("service",),
)
SHARDS_MISSING: Final = define_metric(
    "sequoiapulley_shards_lacking_total",
    MetricKind.COUNTER,
    "Shards lacking, summed over answers, by reason.",
    "The reason points to the fault; the on-call page lists the reasons.",
    ("service", "reason"),
)
REQUESTS: Final = define_metric(
    "sequoiapulley_requests_total",
    MetricKind.COUNTER,
    "Non-idempotent requests answered, by state: done, not_run or unknown.",
    "For `unknown`, an operator has to check the records of the upstream.",
    ("service", "state"),
)
REQUESTS_REFUSED: Final = define_metric(
    "sequoiapulley_requests_refused_total",
    MetricKind.COUNTER,
    "Non-idempotent requests that did not run, by reason.",
    "`store_unavailable` increases during an outage of the store.",
    ("service", "reason"),
)
REQUEST_SECONDS: Final = define_metric(
    "sequoiapulley_request_seconds",
    MetricKind.HISTOGRAM,
    "Time from a non-idempotent request's arrival to its outcome.",
    "Includes the time to write the claim to the store.",
    ("service",),
    LATENCY_BUCKETS_S,
)
LOG_EVENTS: Final = define_metric(
    "sequoiapulley_log_events_total",
    MetricKind.COUNTER,
    "Log events, by code.",
    "EVENTS.md describes each code.",
    ("code",),
)
CONFIG_VERSION: Final = define_metric(
    "sequoiapulley_config_version",
    MetricKind.GAUGE,
    "Version of the configuration in force on the node; 0 for none.",
    "All nodes should have the same version within seconds of an edit.",
)
CONFIG_CHECK_SECONDS: Final = define_metric(
    "sequoiapulley_config_check_seconds",
    MetricKind.GAUGE,
    "Time that the last check of a configuration took on this node.",
    "Increases with the size of the configuration text.",
)
MEMBERS: Final = define_metric(
    "sequoiapulley_members",
    MetricKind.GAUGE,
    "Nodes known to this node, by state.",
    "Views that differ for a long time indicate a network partition.",
    ("state",),
)
IN_FLIGHT: Final = define_metric(
    "sequoiapulley_in_flight",
    MetricKind.GAUGE,
    "Searches and requests being answered.",
    "A node that is shutting down stops when this reaches zero.",
)
HOME_UPSTREAMS: Final = define_metric(
    "sequoiapulley_home_upstreams",
    MetricKind.GAUGE,
    "Upstreams whose connections this node owns.",
    "Should be similar on all nodes.",
)
STORE_REACHABLE: Final = define_metric(
    "sequoiapulley_store_reachable",
    MetricKind.GAUGE,
    "1 while the platform's store answers, else 0.",
    "At 0, edits and claims are refused, while searches continue.",
)
UPTIME_SECONDS: Final = define_metric(
    "sequoiapulley_uptime_seconds",
    MetricKind.GAUGE,
    "Time since the daemon started.",
    "Small values that recur indicate a node that restarts repeatedly.",
)
CONNECTIONS_ENDED: Final = define_metric(
    "sequoiapulley_connections_ended_total",
    MetricKind.COUNTER,
    "Connections that the process ended for their memory or descriptors, by reason.",
    "Any rise: some callers send more than they may, or the VM is too small; see SP1009.",
    ("reason",),
)
CONNECTION_BYTES: Final = define_metric(
    "sequoiapulley_connection_memory_in_bytes",
    MetricKind.GAUGE,
    "Memory that accepted connections, their requests and unsent answers occupy.",
    "Connections are ended at a quarter of the VM's memory.",
)
OPEN_CONNECTIONS: Final = define_metric(
    "sequoiapulley_open_connections",
    MetricKind.GAUGE,
    "Accepted connections of all ports.",
    "New ones replace others once seven eighths of the sockets are open.",
)
