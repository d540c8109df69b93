"""Metrics of a node that forwards callers' requests."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.metric import MetricKind, define_metric
from sequoiapulley.observe.metrics import LATENCY_BUCKETS_S

FORWARDED: Final = define_metric(
    "sequoiapulley_forwarded_total",
    MetricKind.COUNTER,
    "Callers' requests by outcome: a status, the reason of the node's own answer, or caller_left.",
    "If an outcome other than 200 rises, see the log's SP2503 lines with that reason.",
    ("outcome",),
)
FORWARD_SECONDS: Final = define_metric(
    "sequoiapulley_forward_seconds",
    MetricKind.HISTOGRAM,
    "Time from a request's arrival to its answer, by route; the latest 2,000 between two scrapes.",
    "Compare with the route's goal in the configuration.",
    ("route",),
    LATENCY_BUCKETS_S,
)
PARTS_LACKING: Final = define_metric(
    "sequoiapulley_parts_lacking_total",
    MetricKind.COUNTER,
    "Shards that merged answers lacked.",
    "Relative to the requests it shows the coverage of answers.",
)
UPSTREAM_TRIES: Final = define_metric(
    "sequoiapulley_forward_tries_total",
    MetricKind.COUNTER,
    "Sends to upstreams by how they ended.",
    "More than a few percent of ends other than `reply` indicate faults of upstreams or of the "
    "network path to them.",
    ("end",),
)
REPEATS: Final = define_metric(
    "sequoiapulley_repeats_total",
    MetricKind.COUNTER,
    "Repeats by whether the quota allowed them.",
    "`denied` means that a service needs more retries than the quota allows.",
    ("verdict",),
)
PARTS_REQUESTS: Final = define_metric(
    "sequoiapulley_parts_requests_total",
    MetricKind.COUNTER,
    "Requests to nodes of other places for merged parts, by outcome: whole, partial or failed.",
    "`failed` counts failed nodes: see SP2507. `partial` indicates slow shards: see SP2506.",
    ("outcome",),
)
CUT_OFF: Final = define_metric(
    "sequoiapulley_cut_off",
    MetricKind.GAUGE,
    "1 while the node is cut off from the upstreams and hands its requests over, else 0.",
    "1 on some nodes: check their network path; 1 on all: check the upstreams. See SP2546.",
)
HANDOVERS: Final = define_metric(
    "sequoiapulley_handovers_total",
    MetricKind.COUNTER,
    "Requests handed over to another node while this one is cut off, by outcome: answered or "
    "failed.",
    "`failed` counts nodes that did not answer: see SP2548.",
    ("outcome",),
)
REFUSED_REQUESTS: Final = define_metric(
    "sequoiapulley_refused_requests",
    MetricKind.GAUGE,
    "Different requests that have crashed two upstreams and are or were refused for it.",
    "Any other value than 0: see SP2536.",
)
STATE_REPLIES: Final = define_metric(
    "sequoiapulley_state_replies_total",
    MetricKind.COUNTER,
    "Replies to nodes that read this node's state: changes, the full state, or refused.",
    "A rise of `full` or `refused` indicates nodes that lost their source of state: see SP2533.",
    ("content",),
)
STATE_REPLY_BYTES: Final = define_metric(
    "sequoiapulley_state_reply_bytes_total",
    MetricKind.COUNTER,
    "Bytes of the replies to nodes that read this node's state.",
    "Compare its rate with the VM's link after a change of the configuration.",
)
UPSTREAM_PAUSES: Final = define_metric(
    "sequoiapulley_upstream_pauses_total",
    MetricKind.COUNTER,
    "Pauses that upstreams requested when they turned a request away.",
    "If it rises for long, the upstreams are overloaded: see SP2526 for their names.",
)
UPSTREAMS_LEAVING: Final = define_metric(
    "sequoiapulley_upstreams_leaving_total",
    MetricKind.COUNTER,
    "Upstreams that announced their shutdown in a reply, to this node or to a peer.",
    "Compare with the planned restarts of upstreams; SP2513 names each.",
)
STORE_ERA: Final = define_metric(
    "sequoiapulley_store_era",
    MetricKind.GAUGE,
    "Era of the store that this node has read; each restoration from a copy increments it.",
    "Nodes whose values differ for more than a few seconds read from different sources.",
)
UPSTREAMS: Final = define_metric(
    "sequoiapulley_upstreams",
    MetricKind.GAUGE,
    "Upstreams registered as far as this node knows.",
    "Nodes whose values differ for long read from different sources.",
)
UPSTREAM_CONNECTIONS: Final = define_metric(
    "sequoiapulley_upstream_connections_opened",
    MetricKind.GAUGE,
    "Connections opened to the upstreams that are registered now.",
    "Rises fast when upstreams close idle connections or replies are overdue.",
)
STATE_AGE: Final = define_metric(
    "sequoiapulley_state_age_in_seconds",
    MetricKind.GAUGE,
    "Time since the store was as this node knows it.",
    "Above a few seconds, the store or the node's store reader is unavailable.",
)
PEERS_READY: Final = define_metric(
    "sequoiapulley_peers_ready",
    MetricKind.GAUGE,
    "Other nodes whose heartbeats say that they serve.",
    "Nodes without a role receive heartbeats only from those of their failure domain with one.",
)
