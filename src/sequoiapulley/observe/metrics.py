"""The metrics of a node."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.metric import MetricKind, define_metric

ANSWER_BOUNDS: Final = (
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
"""Seconds; one bound is the target of 63 ms."""

SEARCHES: Final = define_metric(
    "sequoiapulley_searches_total",
    MetricKind.COUNTER,
    "Searches answered, by service and outcome: complete, incomplete or refused.",
    "A rising share of `incomplete` or `refused` is what callers feel; see the on-call page.",
    ("service", "outcome"),
)
SEARCH_SECONDS: Final = define_metric(
    "sequoiapulley_search_seconds",
    MetricKind.HISTOGRAM,
    "Time from a search's arrival to its answer; refused searches are left out.",
    "Tail latency as callers see it, without their way to the node.",
    ("service",),
    ANSWER_BOUNDS,
)
SEARCHES_LATE: Final = define_metric(
    "sequoiapulley_searches_late_total",
    MetricKind.COUNTER,
    "Searches answered after their deadline.",
    "Should stay near zero: answers are sent at the deadline with what has come in.",
    ("service",),
)
SHARDS_COVERED: Final = define_metric(
    "sequoiapulley_shards_covered_total",
    MetricKind.COUNTER,
    "Shards covered, summed over answers.",
    "Coverage is this over itself plus the shards lacking.",
    ("service",),
)
SHARDS_LACKING: Final = define_metric(
    "sequoiapulley_shards_lacking_total",
    MetricKind.COUNTER,
    "Shards lacking, summed over answers, by reason.",
    "The reason leads to the fault; the on-call page lists them.",
    ("service", "reason"),
)
REQUESTS: Final = define_metric(
    "sequoiapulley_requests_total",
    MetricKind.COUNTER,
    "Non-idempotent requests answered, by state: done, not_run or unknown.",
    "`unknown` means that a person has to look at the upstream's own records.",
    ("service", "state"),
)
REQUESTS_REFUSED: Final = define_metric(
    "sequoiapulley_requests_refused_total",
    MetricKind.COUNTER,
    "Non-idempotent requests that did not run, by reason.",
    "`store_unavailable` rises during an outage of the store.",
    ("service", "reason"),
)
REQUEST_SECONDS: Final = define_metric(
    "sequoiapulley_request_seconds",
    MetricKind.HISTOGRAM,
    "Time from a non-idempotent request's arrival to its outcome.",
    "Includes the claim in the store.",
    ("service",),
    ANSWER_BOUNDS,
)
LOG_EVENTS: Final = define_metric(
    "sequoiapulley_log_events_total",
    MetricKind.COUNTER,
    "Log events, by code.",
    "The code leads to EVENTS.md.",
    ("code",),
)
CONFIG_VERSION: Final = define_metric(
    "sequoiapulley_config_version",
    MetricKind.GAUGE,
    "Version of the configuration in force on the node; 0 for none.",
    "All nodes show the same within seconds of an edit.",
)
CONFIG_CHECK_SECONDS: Final = define_metric(
    "sequoiapulley_config_check_seconds",
    MetricKind.GAUGE,
    "Time that the last check of a configuration took on this node.",
    "Grows with the operators' text.",
)
MEMBERS: Final = define_metric(
    "sequoiapulley_members",
    MetricKind.GAUGE,
    "Nodes known to this node, by state.",
    "Nodes that differ for long in what they see are parted.",
    ("state",),
)
IN_FLIGHT: Final = define_metric(
    "sequoiapulley_in_flight",
    MetricKind.GAUGE,
    "Searches and requests being answered.",
    "A leaving node ends when this is zero.",
)
HOMES: Final = define_metric(
    "sequoiapulley_home_upstreams",
    MetricKind.GAUGE,
    "Upstreams whose connections this node owns.",
    "Should be alike on all nodes.",
)
STORE_REACHABLE: Final = define_metric(
    "sequoiapulley_store_reachable",
    MetricKind.GAUGE,
    "1 while the platform's store answers, else 0.",
    "At 0 edits and claims are refused and searches go on.",
)
UPTIME_SECONDS: Final = define_metric(
    "sequoiapulley_uptime_seconds",
    MetricKind.GAUGE,
    "Time since the daemon started.",
    "A node that restarts again and again shows small values.",
)
