"""Metrics of the work that a node sends to upstreams, copied from totals when they are read."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from sequoiapulley.observe.metric import MetricKind, define_metric
from sequoiapulley.observe.metric_set import MetricSet

TRIES: Final = define_metric(
    "sequoiapulley_upstream_tries_total",
    MetricKind.COUNTER,
    "Exchanges sent to upstreams, by kind: first, retry, hedge or replacement.",
    "Extra load is everything but `first` over `first`; 0.05 at most on a healthy fleet.",
    ("kind",),
)
REFUSALS: Final = define_metric(
    "sequoiapulley_upstream_refusals_total",
    MetricKind.COUNTER,
    "Work refused before it was sent, by reason: overload or quarantined.",
    "Rises under load beyond capacity, or when a request crashes upstreams.",
    ("reason",),
)
CANCELLED: Final = define_metric(
    "sequoiapulley_upstream_cancelled_total",
    MetricKind.COUNTER,
    "Exchanges given up before their reply.",
    "Losers of hedges, and searches whose callers left or whose deadline passed.",
)
BUDGET_DENIED: Final = define_metric(
    "sequoiapulley_upstream_budget_denied_total",
    MetricKind.COUNTER,
    "Retries and hedges that the budget did not pay for.",
    "Rises when more than a few in a hundred tries fail or straggle.",
)
CONNECTIONS: Final = define_metric(
    "sequoiapulley_upstream_connections",
    MetricKind.GAUGE,
    "Open connections to upstreams, by state: idle or busy.",
    "The sum over nodes stays within the contracts.",
    ("state",),
)
WAITING: Final = define_metric(
    "sequoiapulley_upstream_waiting",
    MetricKind.GAUGE,
    "Exchanges that wait for a connection.",
    "Stays near zero; more means that connections open too slowly or are used up.",
)
OPENED: Final = define_metric(
    "sequoiapulley_upstream_connections_opened_total",
    MetricKind.COUNTER,
    "Connections opened to upstreams.",
    "A high rate means that upstreams or something between close them.",
)
FAULTS: Final = define_metric(
    "sequoiapulley_upstream_faults_total",
    MetricKind.COUNTER,
    "Faults of connections, by kind: connect, silent or malformed.",
    "`silent` points to a firewall that forgets connections, `malformed` to a wrong version.",
    ("kind",),
)


class UpstreamSample(Struct, frozen=True):
    """Totals since the start of the process, and present numbers of connections."""

    first_tries: int = 0
    retries: int = 0
    hedges: int = 0
    replacements: int = 0
    cancelled: int = 0
    refused: int = 0
    quarantined: int = 0
    budget_denied: int = 0
    connections: int = 0
    """Open now."""
    idle: int = 0
    """Open now and without an exchange."""
    waiting: int = 0
    """Exchanges that wait now."""
    opened: int = 0
    connect_failures: int = 0
    silent_closed: int = 0
    malformed: int = 0


def set_upstream_metrics(metrics: MetricSet, sample: UpstreamSample) -> None:
    """Copies a sample into the metrics.

    Args:
        metrics: Metrics of the process.
        sample: Totals and numbers now.
    """
    metrics.set_total(TRIES, sample.first_tries, "first")
    metrics.set_total(TRIES, sample.retries, "retry")
    metrics.set_total(TRIES, sample.hedges, "hedge")
    metrics.set_total(TRIES, sample.replacements, "replacement")
    metrics.set_total(REFUSALS, sample.refused, "overload")
    metrics.set_total(REFUSALS, sample.quarantined, "quarantined")
    metrics.set_total(CANCELLED, sample.cancelled)
    metrics.set_total(BUDGET_DENIED, sample.budget_denied)
    metrics.set_total(OPENED, sample.opened)
    metrics.set_total(FAULTS, sample.connect_failures, "connect")
    metrics.set_total(FAULTS, sample.silent_closed, "silent")
    metrics.set_total(FAULTS, sample.malformed, "malformed")
    metrics.set(CONNECTIONS, sample.idle, "idle")
    metrics.set(CONNECTIONS, sample.connections - sample.idle, "busy")
    metrics.set(WAITING, sample.waiting)
