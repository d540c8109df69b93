"""Merged burn report of all nodes: burn rates, alerts and error budgets."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Final

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from sequoiapulley.ids import NodeId, ServiceName
from sequoiapulley.observe._burn_counts import new_histogram
from sequoiapulley.observe.burn_messages import (
    BurnWindow,
    NodeBurnReport,
    ObjectiveCount,
    ServiceBurn,
)

BUDGET_WINDOW_S: Final = 259_200
"""Period of the error budget."""
REPORTED_QUANTILES: Final = (0.5, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999)
US_PER_MS: Final = 1_000


class Urgency(Enum):
    """How soon an alert needs attention."""

    PAGE = "page"
    """Needs attention immediately."""
    TICKET = "ticket"
    """Needs attention on the next working day."""


class AlertRule(Struct, frozen=True):
    """Condition of an alert: the burn rates of a long and a short window reach a threshold."""

    rate: float
    """Threshold; 1 is the rate that spends the error budget exactly in `BUDGET_WINDOW_S`."""
    long: int
    """Length of the long window, in seconds."""
    short: int
    """Length of the short window, in seconds; it resolves the alert soon after the cause ends."""
    urgency: Urgency


ALERT_RULES: Final = (
    AlertRule(14.4, 3_600, 300, Urgency.PAGE),
    AlertRule(6.0, 21_600, 1_800, Urgency.PAGE),
    AlertRule(1.0, 259_200, 21_600, Urgency.TICKET),
)


class WindowBurn(Struct, frozen=True):
    """One objective over one window, summed over all nodes."""

    seconds: int
    total: int
    good: int
    burn_rate: float
    """1 spends the error budget exactly in `BUDGET_WINDOW_S`; 0 if no event was counted."""


class Alert(Struct, frozen=True):
    """An alert rule that fires, with the burn rates of its windows."""

    rule: AlertRule
    long_rate: float
    short_rate: float


class ObjectiveReport(Struct, frozen=True):
    """Result of one objective of a service."""

    objective: str
    target: float
    """Target share of good events, from 0 to 1."""
    windows: tuple[WindowBurn, ...]
    budget_left: float
    """Remaining share of the error budget of `BUDGET_WINDOW_S`; negative if it is overspent."""
    alerts: tuple[Alert, ...]


class LatencyReport(Struct, frozen=True):
    """Latencies over one window, merged over all nodes."""

    seconds: int
    count: int
    quantiles_ms: dict[str, float]
    """Latency in milliseconds, by quantile."""


class ServiceReport(Struct, frozen=True):
    """Results of one service."""

    service: ServiceName
    objectives: tuple[ObjectiveReport, ...]
    latency: tuple[LatencyReport, ...]


class UnresponsiveNode(Struct, frozen=True):
    """A live node that did not return its part of a report."""

    node: NodeId
    address: str
    detail: str


class BurnReport(Struct, frozen=True):
    """The burn report, merged over all nodes that responded."""

    taken_at: float
    """Time of the latest node report, in seconds since the Unix epoch."""
    nodes: tuple[NodeId, ...]
    """Nodes whose reports are included."""
    silent: tuple[UnresponsiveNode, ...]
    """Live nodes that did not respond."""
    youngest_s: float
    """Shortest uptime of the included nodes, in seconds. A window that is longer than this may be
    incomplete, because a node loses its counts when it restarts or fails."""
    services: tuple[ServiceReport, ...]

    @property
    def pages(self) -> bool:
        """Whether any alert needs attention immediately."""
        return any(
            alert.rule.urgency is Urgency.PAGE
            for service in self.services
            for objective in service.objectives
            for alert in objective.alerts
        )


def merge_node_reports(
    reports: Sequence[NodeBurnReport], silent: Iterable[UnresponsiveNode]
) -> BurnReport:
    """Merges the reports of all nodes into one.

    The targets of a service are those of the latest node report that contains it.

    Args:
        reports: Reports of the nodes that responded, one per node.
        silent: Live nodes that did not respond.

    Returns:
        The report; it has no services if no node responded.
    """
    parts: dict[ServiceName, list[ServiceBurn]] = {}
    for report in sorted(reports, key=lambda report: -report.taken_at):
        for service in report.services:
            parts.setdefault(service.service, []).append(service)
    return BurnReport(
        taken_at=max((report.taken_at for report in reports), default=0.0),
        nodes=tuple(sorted(report.node for report in reports)),
        silent=tuple(silent),
        youngest_s=min((report.uptime_s for report in reports), default=0.0),
        services=tuple(_merge_service(name, parts[name]) for name in sorted(parts)),
    )


def burn_rate(count: ObjectiveCount, target: float) -> float:
    """Returns the burn rate: how many times faster than allowed the error budget is spent.

    Args:
        count: Event counts of a window.
        target: Objective, as a share below 1.

    Returns:
        The share of bad events divided by the allowed share; 0 if no event was counted.
    """
    if count.total == 0:
        return 0.0
    return (count.total - count.good) / count.total / (1.0 - target)


def _merge_service(name: ServiceName, parts: list[ServiceBurn]) -> ServiceReport:
    newest = parts[0]
    targets = {
        "in_time": newest.in_time,
        "full_coverage": newest.full_coverage,
        "not_refused": newest.not_refused,
    }
    objectives = tuple(
        _merge_objective(objective, target, parts) for objective, target in targets.items()
    )
    return ServiceReport(name, objectives, _merge_latency(parts))


def _merge_objective(objective: str, target: float, parts: list[ServiceBurn]) -> ObjectiveReport:
    sums: dict[int, ObjectiveCount] = {}
    for window in _windows(parts):
        count: ObjectiveCount = getattr(window, objective)
        sum_so_far = sums.get(window.seconds, ObjectiveCount(0, 0))
        sums[window.seconds] = ObjectiveCount(
            sum_so_far.total + count.total, sum_so_far.good + count.good
        )
    rates = {seconds: burn_rate(count, target) for seconds, count in sums.items()}
    windows = tuple(
        WindowBurn(seconds, sums[seconds].total, sums[seconds].good, rates[seconds])
        for seconds in sorted(sums)
    )
    budget_left = 1.0 - rates.get(BUDGET_WINDOW_S, 0.0)
    return ObjectiveReport(objective, target, windows, budget_left, _alerts(rates))


def _alerts(rates: dict[int, float]) -> tuple[Alert, ...]:
    alerts: list[Alert] = []
    for rule in ALERT_RULES:
        long_rate = rates.get(rule.long, 0.0)
        short_rate = rates.get(rule.short, 0.0)
        if min(long_rate, short_rate) >= rule.rate:
            alerts.append(Alert(rule, long_rate, short_rate))
    return tuple(alerts)


def _merge_latency(parts: list[ServiceBurn]) -> tuple[LatencyReport, ...]:
    merged: dict[int, HdrHistogram] = {}
    for window in _windows(parts):
        if window.latency:
            merged.setdefault(window.seconds, new_histogram()).decode_and_add(window.latency)
    return tuple(_latency_report(seconds, merged[seconds]) for seconds in sorted(merged))


def _latency_report(seconds: int, histogram: HdrHistogram) -> LatencyReport:
    quantiles = {
        f"{quantile:g}": histogram.get_value_at_percentile(quantile * 100) / US_PER_MS
        for quantile in REPORTED_QUANTILES
    }
    return LatencyReport(seconds, histogram.get_total_count(), quantiles)


def _windows(parts: list[ServiceBurn]) -> Iterable[BurnWindow]:
    return (window for part in parts for window in part.windows)
