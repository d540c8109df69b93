"""The burn report as one HTML page with inline SVG plots."""

from __future__ import annotations

from collections.abc import Sequence
from html import escape
from math import log10
from typing import Final

from sequoiapulley.cli.burn_table import (
    WINDOW_NAMES,
    format_alert,
    format_missing_nodes,
    format_scope,
)
from sequoiapulley.observe.burn_report import (
    BurnReport,
    LatencyReport,
    ObjectiveReport,
    ServiceReport,
)

PLOT_WIDTH_PX: Final = 420
PLOT_HEIGHT_PX: Final = 150
MARGIN_PX: Final = 40
MIN_RATE: Final = 0.01
"""Lower end of the burn-rate axis, which is logarithmic and so cannot start at 0."""
MAX_RATE: Final = 100.0
RATE_GRID_LINES: Final = ((1.0, "1x"), (6.0, "6x"), (14.4, "14.4x"))
"""Burn rates at which the rules in `burn_report.ALERT_RULES` alert, with their labels."""
MIN_LATENCY_MS: Final = 1.0
MAX_LATENCY_MS: Final = 10_000.0
LATENCY_GRID_LINES: Final = ((1.0, "1 ms"), (10.0, "10 ms"), (100.0, "100 ms"), (1_000.0, "1 s"))
LINE_COLOURS: Final = ("#1f77b4", "#d62728", "#2ca02c")

_STYLE: Final = """
body { font-family: sans-serif; margin: 2em; color: #222; max-width: 72em; }
table { border-collapse: collapse; } td, th { padding: .25em .7em; text-align: right; }
th { border-bottom: 1px solid #888; } td:first-child, th:first-child { text-align: left; }
.page { color: #b00; font-weight: bold; } .missing { color: #b00; }
svg { background: #fafafa; margin: .5em 1em .5em 0; } svg text { font-size: 10px; fill: #555; }
"""


def render_burn_page(report: BurnReport) -> str:
    """Renders the report as a self-contained page.

    Args:
        report: The merged report.

    Returns:
        HTML.
    """
    parts = [
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
        f"<title>Service-level burn</title><style>{_STYLE}</style></head><body>",
        f"<h1>Service-level burn</h1><p>{escape(format_scope(report))}</p>",
    ]
    parts.extend(f'<p class="missing">{escape(line)}</p>' for line in format_missing_nodes(report))
    parts.extend(_render_service(service) for service in report.services)
    parts.append("</body></html>")
    return "\n".join(parts) + "\n"


def _render_service(service: ServiceReport) -> str:
    names = "".join(f"<th>burn {name}</th>" for name in WINDOW_NAMES.values())
    rows = "".join(_render_objective(objective) for objective in service.objectives)
    heading = f"<tr><th>objective</th><th>target</th><th>budget left</th>{names}<th>alert</th></tr>"
    plots = _plot_rates(service.objectives)
    if service.latency:
        plots += _plot_latency(service.latency)
    return f"<h2>{escape(service.service)}</h2><table>{heading}{rows}</table><div>{plots}</div>"


def _render_objective(objective: ObjectiveReport) -> str:
    windows_by_length = {window.seconds: window for window in objective.windows}
    cells = ""
    for seconds in WINDOW_NAMES:
        window = windows_by_length.get(seconds)
        cells += f"<td>{window.burn_rate:.2f}</td>" if window and window.total else "<td>-</td>"
    name = escape(objective.objective.replace("_", " "))
    alert = escape(format_alert(objective))
    return (
        f"<tr><td>{name}</td><td>{objective.target * 100:g}%</td>"
        f"<td>{objective.budget_left * 100:.1f}%</td>{cells}<td class='page'>{alert}</td></tr>"
    )


def _plot_rates(objectives: Sequence[ObjectiveReport]) -> str:
    """Plots the burn rate by window, one line per objective."""
    steps = list(WINDOW_NAMES)
    body = _grid_lines(RATE_GRID_LINES, MIN_RATE, MAX_RATE)
    body += _x_labels(tuple(WINDOW_NAMES.values()))
    for objective, colour in zip(objectives, LINE_COLOURS, strict=False):
        points = [
            (_x_position(steps.index(window.seconds), len(steps)), window.burn_rate)
            for window in objective.windows
            if window.total
        ]
        body += _polyline(points, colour, MIN_RATE, MAX_RATE)
    return _svg(body, "Burn rate by window", [item.objective for item in objectives])


def _plot_latency(latencies: Sequence[LatencyReport]) -> str:
    """Plots the answer time by quantile, one line per window."""
    quantiles = list(latencies[0].quantiles_ms)
    body = _grid_lines(LATENCY_GRID_LINES, MIN_LATENCY_MS, MAX_LATENCY_MS)
    body += _x_labels(tuple(f"{float(quantile) * 100:g}%" for quantile in quantiles))
    for latency, colour in zip(latencies, LINE_COLOURS, strict=False):
        points = [
            (_x_position(index, len(quantiles)), latency.quantiles_ms[quantile])
            for index, quantile in enumerate(quantiles)
        ]
        body += _polyline(points, colour, MIN_LATENCY_MS, MAX_LATENCY_MS)
    names = [WINDOW_NAMES[latency.seconds] for latency in latencies]
    return _svg(body, "Answer time by quantile", names)


def _svg(body: str, title: str, names: Sequence[str]) -> str:
    legend = "".join(
        f'<text x="{MARGIN_PX + index * 110}" y="{PLOT_HEIGHT_PX + 38}" style="fill:{colour}">'
        f"{escape(name)}</text>"
        for index, (name, colour) in enumerate(zip(names, LINE_COLOURS, strict=False))
    )
    size = f'width="{PLOT_WIDTH_PX}" height="{PLOT_HEIGHT_PX + 45}"'
    heading = f'<text x="{MARGIN_PX}" y="12">{escape(title)}</text>'
    return f'<svg xmlns="http://www.w3.org/2000/svg" {size}>{heading}{body}{legend}</svg>'


def _grid_lines(lines: Sequence[tuple[float, str]], low: float, high: float) -> str:
    body = ""
    for value, label in lines:
        y = _y_position(value, low, high)
        body += (
            f'<line x1="{MARGIN_PX}" x2="{PLOT_WIDTH_PX}" y1="{y:.1f}" y2="{y:.1f}" stroke="#ccc"/>'
            f'<text x="2" y="{y + 3:.1f}">{escape(label)}</text>'
        )
    return body


def _x_labels(labels: Sequence[str]) -> str:
    return "".join(
        f'<text x="{_x_position(index, len(labels)):.1f}" y="{PLOT_HEIGHT_PX + 20}">'
        f"{escape(label)}</text>"
        for index, label in enumerate(labels)
    )


def _polyline(points: Sequence[tuple[float, float]], colour: str, low: float, high: float) -> str:
    path = " ".join(f"{x:.1f},{_y_position(value, low, high):.1f}" for x, value in points)
    dots = "".join(
        f'<circle cx="{x:.1f}" cy="{_y_position(value, low, high):.1f}" r="2.5" fill="{colour}"/>'
        for x, value in points
    )
    return f'<polyline points="{path}" fill="none" stroke="{colour}"/>{dots}'


def _x_position(index: int, steps: int) -> float:
    return MARGIN_PX + index * (PLOT_WIDTH_PX - MARGIN_PX - 30) / max(steps - 1, 1)


def _y_position(value: float, low: float, high: float) -> float:
    bounded = min(max(value, low), high)
    share = (log10(bounded) - log10(low)) / (log10(high) - log10(low))
    return PLOT_HEIGHT_PX - share * (PLOT_HEIGHT_PX - 20)
