"""Merges the nodes' parts into one report: burn rates, alerts and error budgets."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Final

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from sequoiapulley.ids import NodeId, ServiceName
from sequoiapulley.observe._burn_counts import new_histogram
from sequoiapulley.observe.burn_messages import (
    BurnShard,
    BurnWindow,
    ObjectiveCount,
    ServiceBurn,
)

BUDGET_WINDOW: Final = 259_200
"""Seconds over which the error budget is reckoned."""
PLOT_QUANTILES: Final = (0.5, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999)
MICROSECONDS_PER_MS: Final = 1_000


class Urgency(Enum):
    """What an alert asks for."""

    PAGE = "page"
    """Someone looks at once."""
    TICKET = "ticket"
    """Someone looks on the next working day."""


class AlertRule(Struct, frozen=True):
    """An alert that fires when both windows burn faster than a rate."""

    rate: float
    """Multiple of the rate that spends the budget exactly."""
    long: int
    """Seconds."""
    short: int
    """Seconds; ends the alert soon after the cause."""
    urgency: Urgency


ALERT_RULES: Final = (
    AlertRule(14.4, 3_600, 300, Urgency.PAGE),
    AlertRule(6.0, 21_600, 1_800, Urgency.PAGE),
    AlertRule(1.0, 259_200, 21_600, Urgency.TICKET),
)


class WindowBurn(Struct, frozen=True):
    """One objective over one window, all nodes together."""

    seconds: int
    total: int
    good: int
    burn_rate: float
    """1 spends the budget exactly; 0 when nothing was counted."""


class Alert(Struct, frozen=True):
    """One rule that fires."""

    rule: AlertRule
    long_rate: float
    short_rate: float


class ObjectiveReport(Struct, frozen=True):
    """One objective of one service."""

    objective: str
    target: float
    """Share from 0 to 1."""
    windows: tuple[WindowBurn, ...]
    budget_left: float
    """Share of the error budget left over `BUDGET_WINDOW`; negative when overspent."""
    alerts: tuple[Alert, ...]


class LatencyReport(Struct, frozen=True):
    """Answer times over one window, all nodes together."""

    seconds: int
    count: int
    quantiles_ms: dict[str, float]
    """Answer time in milliseconds by quantile."""


class ServiceReport(Struct, frozen=True):
    """One service."""

    service: ServiceName
    objectives: tuple[ObjectiveReport, ...]
    latency: tuple[LatencyReport, ...]


class SilentNode(Struct, frozen=True):
    """A live node whose part is missing."""

    node: NodeId
    address: str
    detail: str


class BurnReport(Struct, frozen=True):
    """The report over all nodes that answered."""

    taken_at: float
    """Seconds since the Unix epoch, of the latest part."""
    nodes: tuple[NodeId, ...]
    """Nodes whose parts are in the report."""
    silent: tuple[SilentNode, ...]
    youngest_s: float
    """Shortest uptime among the nodes; longer windows lack what lost nodes had counted."""
    services: tuple[ServiceReport, ...]

    @property
    def pages(self) -> bool:
        """Whether an alert asks for someone at once."""
        return any(
            alert.rule.urgency is Urgency.PAGE
            for service in self.services
            for objective in service.objectives
            for alert in objective.alerts
        )


def merge_shards(shards: Sequence[BurnShard], silent: Iterable[SilentNode]) -> BurnReport:
    """Builds the report.

    Args:
        shards: Parts of the nodes that answered, one each.
        silent: Live nodes that did not answer.

    Returns:
        The report; empty of services if no node answered.
    """
    parts: dict[ServiceName, list[ServiceBurn]] = {}
    for shard in sorted(shards, key=lambda shard: -shard.taken_at):
        for service in shard.services:
            parts.setdefault(service.service, []).append(service)
    return BurnReport(
        taken_at=max((shard.taken_at for shard in shards), default=0.0),
        nodes=tuple(sorted(shard.node for shard in shards)),
        silent=tuple(silent),
        youngest_s=min((shard.uptime_s for shard in shards), default=0.0),
        services=tuple(_merge_service(name, parts[name]) for name in sorted(parts)),
    )


def burn_rate(count: ObjectiveCount, target: float) -> float:
    """Returns how many times too fast the error budget is spent.

    Args:
        count: Events of a window.
        target: Objective as a share below 1.

    Returns:
        Share of bad events over the share allowed; 0 when nothing was counted.
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
        known = sums.get(window.seconds, ObjectiveCount(0, 0))
        sums[window.seconds] = ObjectiveCount(known.total + count.total, known.good + count.good)
    rates = {seconds: burn_rate(count, target) for seconds, count in sums.items()}
    windows = tuple(
        WindowBurn(seconds, sums[seconds].total, sums[seconds].good, rates[seconds])
        for seconds in sorted(sums)
    )
    budget_left = 1.0 - rates.get(BUDGET_WINDOW, 0.0)
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
        f"{quantile:g}": histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS_PER_MS
        for quantile in PLOT_QUANTILES
    }
    return LatencyReport(seconds, histogram.get_total_count(), quantiles)


def _windows(parts: list[ServiceBurn]) -> Iterable[BurnWindow]:
    return (window for part in parts for window in part.windows)
