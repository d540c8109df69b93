"""Metrics of the work that a node sends to upstreams, set from totals at each scrape."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from sequoiapulley.observe.metric import MetricKind, define_metric
from sequoiapulley.observe.metric_set import MetricSet

TRIES: Final = define_metric(
    "sequoiapulley_upstream_tries_total",
    MetricKind.COUNTER,
    "Exchanges sent to upstreams, by kind: first, retry, hedge or replacement.",
    "Extra load is the sum of all other kinds divided by `first`; at most 0.05 on a healthy fleet.",
    ("kind",),
)
REFUSALS: Final = define_metric(
    "sequoiapulley_upstream_refusals_total",
    MetricKind.COUNTER,
    "Work refused before it was sent, by reason: overload or quarantined.",
    "Increases if the load exceeds the capacity, or if a request crashes upstreams.",
    ("reason",),
)
CANCELLED: Final = define_metric(
    "sequoiapulley_upstream_cancelled_total",
    MetricKind.COUNTER,
    "Exchanges given up before their reply.",
    "Slower copies after hedging; searches whose caller disconnected or whose deadline passed.",
)
BUDGET_DENIED: Final = define_metric(
    "sequoiapulley_upstream_budget_denied_total",
    MetricKind.COUNTER,
    "Retries and hedges that the budget did not pay for.",
    "Increases if more than a few percent of the tries fail or are slow.",
)
CONNECTIONS: Final = define_metric(
    "sequoiapulley_upstream_connections",
    MetricKind.GAUGE,
    "Open connections to upstreams, by state: idle or busy.",
    "The sum over all nodes must stay within the limits of the contracts.",
    ("state",),
)
WAITING: Final = define_metric(
    "sequoiapulley_upstream_waiting",
    MetricKind.GAUGE,
    "Exchanges that wait for a connection.",
    "Should stay near zero; otherwise connections open too slowly or all of them are in use.",
)
CONNECTIONS_OPENED: Final = define_metric(
    "sequoiapulley_upstream_connections_opened_total",
    MetricKind.COUNTER,
    "Connections opened to upstreams.",
    "A high rate means that upstreams or a device on the path close connections.",
)
FAULTS: Final = define_metric(
    "sequoiapulley_upstream_faults_total",
    MetricKind.COUNTER,
    "Faults of connections, by kind: connect, silent or malformed.",
    "`silent` points to a firewall that drops idle connections, `malformed` to a wrong version.",
    ("kind",),
)


class UpstreamSample(Struct, frozen=True):
    """Totals since the start of the process, and current numbers of connections."""

    first_tries: int = 0
    retries: int = 0
    hedges: int = 0
    replacements: int = 0
    """Exchanges sent again on a new connection."""
    cancelled: int = 0
    refused: int = 0
    """Work refused for overload before it was sent."""
    quarantined: int = 0
    """Work refused because its fingerprint is quarantined."""
    budget_denied: int = 0
    connections: int = 0
    """Open connections, currently."""
    idle: int = 0
    """Open connections without an exchange, currently."""
    waiting: int = 0
    """Exchanges that currently wait for a connection."""
    opened: int = 0
    connect_failures: int = 0
    silent_closed: int = 0
    """Connections closed because they were silent."""
    malformed: int = 0
    """Replies that violated the contract."""


def set_upstream_metrics(metrics: MetricSet, sample: UpstreamSample) -> None:
    """Copies a sample into the metrics.

    Args:
        metrics: Metrics of the process.
        sample: Totals and current numbers.
    """
    metrics.set_total(TRIES, sample.first_tries, "first")
    metrics.set_total(TRIES, sample.retries, "retry")
    metrics.set_total(TRIES, sample.hedges, "hedge")
    metrics.set_total(TRIES, sample.replacements, "replacement")
    metrics.set_total(REFUSALS, sample.refused, "overload")
    metrics.set_total(REFUSALS, sample.quarantined, "quarantined")
    metrics.set_total(CANCELLED, sample.cancelled)
    metrics.set_total(BUDGET_DENIED, sample.budget_denied)
    metrics.set_total(CONNECTIONS_OPENED, sample.opened)
    metrics.set_total(FAULTS, sample.connect_failures, "connect")
    metrics.set_total(FAULTS, sample.silent_closed, "silent")
    metrics.set_total(FAULTS, sample.malformed, "malformed")
    metrics.set(CONNECTIONS, sample.idle, "idle")
    metrics.set(CONNECTIONS, sample.connections - sample.idle, "busy")
    metrics.set(WAITING, sample.waiting)
