"""Generates docs/EVENTS.md and docs/METRICS.md from the definitions in the code."""

from __future__ import annotations

import sys
from importlib import import_module
from pathlib import Path
from typing import Final

import sequoiapulley
import sequoiapulley.forward.metrics
import sequoiapulley.observe.node_observer
from sequoiapulley.observe.log_event import LogEvent, all_events
from sequoiapulley.observe.metric import Metric, all_metrics

ROOT: Final = Path(__file__).resolve().parent.parent
PACKAGE: Final = Path(sequoiapulley.__file__).resolve().parent
COMMAND: Final = "python -m tools.render_pages"
NOTE: Final = f"Rendered by `{COMMAND}` from the definitions in the code; do not edit."


def import_events() -> None:
    """Imports every module that defines log events."""
    for path in sorted(PACKAGE.rglob("log_events.py")):
        parts = path.relative_to(PACKAGE).with_suffix("").parts
        import_module(".".join(("sequoiapulley", *parts)))


def render_events(events: tuple[LogEvent, ...]) -> str:
    """Renders the catalogue of log events.

    Args:
        events: All events, ordered by number.

    Returns:
        The page in Markdown.
    """
    lines = ["# Log events", "", NOTE, ""]
    lines.append("`sequoiapulley events --node HOST:PORT` shows the latest of a node.")
    for event in events:
        lines += ["", f"## {event.code} {event.name}", ""]
        lines.append(f"Severity: {event.severity.value}")
        lines += ["", f"Cause: {event.cause}", "", f"What to do: {event.remedy}"]
    return "\n".join(lines) + "\n"


def render_metrics(metrics: tuple[Metric, ...]) -> str:
    """Renders the catalogue of metrics.

    Args:
        metrics: All metrics, ordered by name.

    Returns:
        The page in Markdown.
    """
    lines = ["# Metrics", "", NOTE, ""]
    lines.append("Every node serves them at `/metrics` on its operators' port. Label values are")
    lines.append("services of the configuration, log event codes, or values of an enumeration.")
    for metric in metrics:
        lines += ["", f"## {metric.name}", ""]
        labels = ", ".join(f"`{label}`" for label in metric.labels) or "none"
        lines.append(f"Kind: {metric.kind.value}. Labels: {labels}.")
        if metric.bounds:
            lines.append(f"Bucket bounds: {', '.join(f'{bound:g}' for bound in metric.bounds)}.")
        lines += ["", metric.summary, "", f"Use: {metric.use}"]
    return "\n".join(lines) + "\n"


def render_pages() -> dict[Path, str]:
    """Renders all generated pages.

    Returns:
        The text of each page, by its path.
    """
    import_events()
    return {
        ROOT / "docs" / "EVENTS.md": render_events(all_events()),
        ROOT / "docs" / "METRICS.md": render_metrics(all_metrics()),
    }


def main() -> int:
    """Writes the pages, or with `--check` reports the pages that differ and returns 1."""
    status = 0
    for path, text in render_pages().items():
        if "--check" not in sys.argv:
            path.write_text(text, encoding="utf-8")
            continue
        if not path.exists() or path.read_text(encoding="utf-8") != text:
            print(f"{path}: differs; run `{COMMAND}`")
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
