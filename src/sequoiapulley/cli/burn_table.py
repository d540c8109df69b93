"""The burn report as text tables."""

from __future__ import annotations

from typing import Final

from sequoiapulley.cli.config_commands import format_time
from sequoiapulley.cli.output import format_table
from sequoiapulley.observe.burn_report import BurnReport, ObjectiveReport, ServiceReport

WINDOW_NAMES: Final = {300: "5m", 1_800: "30m", 3_600: "1h", 21_600: "6h", 259_200: "3d"}
"""Name of each window, by its length in seconds."""
QUANTILE_NAMES: Final = {"0.5": "P50", "0.99": "P99", "0.999": "P99.9"}
"""Heading of each quantile in the table, by its key in `LatencyReport.quantiles_ms`."""


def format_burn(report: BurnReport) -> str:
    """Formats the report for a terminal.

    Args:
        report: The merged report.

    Returns:
        Lines joined by newlines.
    """
    lines = [format_scope(report)]
    lines.extend(format_missing_nodes(report))
    headings = ["SERVICE", "OBJECTIVE", "TARGET", "BUDGET LEFT", *_rate_headings(), "ALERT"]
    rows = [
        _row(service, objective) for service in report.services for objective in service.objectives
    ]
    lines.append(format_table(headings, rows) if rows else "no service has been counted")
    latencies = [row for service in report.services for row in _latency_rows(service)]
    if latencies:
        lines.append("")
        headings = ["SERVICE", "WINDOW", "ANSWERS", *(f"{q} MS" for q in QUANTILE_NAMES.values())]
        lines.append(format_table(headings, latencies))
    return "\n".join(lines)


def format_scope(report: BurnReport) -> str:
    """Returns one line with the number of nodes, the time of the report and the shortest uptime."""
    scope = f"{len(report.nodes)} nodes at {format_time(report.taken_at)} UTC"
    hours = report.youngest_s / 3_600
    return f"{scope}; the youngest has counted for {hours:.1f} h"


def format_missing_nodes(report: BurnReport) -> list[str]:
    """Returns one line for each live node that did not report."""
    return [f"MISSING {node.node} at {node.address}: {node.detail}" for node in report.silent]


def format_alert(objective: ObjectiveReport) -> str:
    """Returns a summary of an objective's most urgent alert, or an empty string."""
    if not objective.alerts:
        return ""
    rule = objective.alerts[0].rule
    windows = f"{WINDOW_NAMES[rule.long]} and {WINDOW_NAMES[rule.short]}"
    return f"{rule.urgency.value}: over {rule.rate:g}x for {windows}"


def _rate_headings() -> list[str]:
    return [f"BURN {name}" for name in WINDOW_NAMES.values()]


def _row(service: ServiceReport, objective: ObjectiveReport) -> list[str]:
    windows_by_length = {window.seconds: window for window in objective.windows}
    cells = []
    for seconds in WINDOW_NAMES:
        window = windows_by_length.get(seconds)
        cells.append(f"{window.burn_rate:.2f}" if window and window.total else "-")
    target = f"{objective.target * 100:g}%"
    budget = f"{objective.budget_left * 100:.1f}%"
    name = objective.objective.replace("_", " ")
    return [service.service, name, target, budget, *cells, format_alert(objective)]


def _latency_rows(service: ServiceReport) -> list[list[str]]:
    rows = []
    for latency in service.latency:
        quantiles = [f"{latency.quantiles_ms[key]:.1f}" for key in QUANTILE_NAMES]
        window = WINDOW_NAMES[latency.seconds]
        rows.append([service.service, window, str(latency.count), *quantiles])
    return rows
