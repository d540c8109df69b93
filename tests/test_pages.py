"""Tests that the documentation matches the definitions, and that names follow the conventions."""

from __future__ import annotations

import re
from unittest import TestCase

from sequoiapulley.cli.config_commands import config_app
from sequoiapulley.cli.exit_code import ExitCode
from sequoiapulley.cli.main import app
from sequoiapulley.cli.report_commands import report_app
from sequoiapulley.daemon.settings_task import RELOADABLE
from sequoiapulley.observe.log_event import all_events
from sequoiapulley.observe.metric import MetricKind, all_metrics, define_metric
from sequoiapulley.platform.documents import (
    _Configuration,
    _Limits,
    _Route,
    _Service,
    _SplitPart,
)
from sequoiapulley.search.messages import MissingReason
from tools.render_pages import COMMAND, PACKAGE, ROOT, import_events, render_pages

METRIC_SUFFIXES = {
    MetricKind.COUNTER: "_total",
    MetricKind.HISTOGRAM: "_seconds",
    MetricKind.GAUGE: "",
}


def _first_column(text: str) -> set[str]:
    """Returns the code words in the first column of a table."""
    cells = re.findall(r"^\| (.*?) \|", text, re.MULTILINE)
    return {word for cell in cells for word in re.findall(r"`(\w+)`", cell)}


class PagesTest(TestCase):
    """Documentation, catalogue and code agree."""

    def test_pages_are_current(self) -> None:
        for path, text in render_pages().items():
            self.assertEqual(path.read_text(encoding="utf-8"), text, f"run `{COMMAND}`")

    def test_pages_name_only_defined_events_and_metrics(self) -> None:
        import_events()
        codes = {event.code for event in all_events()}
        names = {metric.name for metric in all_metrics()}
        for path in (ROOT / "docs").rglob("*.md"):
            text = path.read_text(encoding="utf-8")
            self.assertLessEqual(set(re.findall(r"\bSP\d{4}\b", text)), codes, path)
            self.assertLessEqual(set(re.findall(r"`(sequoiapulley_\w+)", text)), names, path)

    def test_operations_page_says_when_a_change_of_each_field_takes_effect(self) -> None:
        text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        section = text.partition("## When a change takes effect")[2].partition("\n## ")[0]
        configuration, _, settings = section.partition("Fields of the settings file")
        documents = (_Configuration, _Route, _SplitPart, _Service, _Limits)
        fields = {name for document in documents for name in document.__struct_fields__}
        self.assertEqual(_first_column(configuration), fields - {"routes", "services", "limits"})
        # The settings that change while a node runs, by their names in the file.
        reloadable = {
            "regions": {"zones"},
            "seeds": {"seeds"},
            "quota": {"retry_ratio", "retry_slack", "retry_window_s"},
            "grace": {"grace_s"},
            "drain": {"drain_ms"},
            "most_entry_ttl": {"ttl_max_s"},
            "resources": {"memory_mb", "max_fds"},
        }
        self.assertEqual(set(reloadable), set(RELOADABLE))
        self.assertEqual(_first_column(settings), set().union(*reloadable.values()))

    def test_links_resolve(self) -> None:
        pages = [*(ROOT / "docs").rglob("*.md"), *ROOT.glob("*.md")]
        self.assertGreaterEqual(len(pages), 40)
        for path in pages:
            text = path.read_text(encoding="utf-8")
            for link in re.findall(r"\]\(([^):#]+)(?:#[^)]*)?\)", text):
                self.assertTrue((path.parent / link).exists(), f"{path}: {link}")

    def test_command_line_page_lists_every_command_and_exit_code(self) -> None:
        text = (ROOT / "docs" / "guide" / "cli.md").read_text(encoding="utf-8")
        codes = {int(code) for code in re.findall(r"^\| (\d+) \|", text, re.MULTILINE)}
        self.assertEqual(codes, {int(code) for code in ExitCode})
        listed = set(re.findall(r"^\| `([a-z ]+?)[ A-Z]*` \|", text, re.MULTILINE))
        commands = {name for name in app if not name.startswith("-")} - {"config", "report"}
        commands |= {f"config {name}" for name in config_app if not name.startswith("-")}
        commands |= {f"report {name}" for name in report_app if not name.startswith("-")}
        self.assertEqual(listed, commands)

    def test_on_call_page_lists_every_reason(self) -> None:
        text = (ROOT / "docs" / "operators" / "on-call.md").read_text(encoding="utf-8")
        for reason in MissingReason:
            self.assertIn(f"\n| `{reason.value}` |", text)

    def test_events_are_defined_in_catalogue_modules_only(self) -> None:
        import_events()
        defined = sum(
            len(re.findall(r"= define_event\(", path.read_text(encoding="utf-8")))
            for path in PACKAGE.rglob("*.py")
        )
        samples = [event for event in all_events() if event.number > 9_000]
        self.assertEqual(len(all_events()) - len(samples), defined)
        for event in all_events():
            self.assertRegex(event.name, r"^[a-z0-9_]+$")
            self.assertTrue(event.cause.endswith(".") and event.remedy.endswith("."), event.code)

    def test_metric_names_follow_the_conventions(self) -> None:
        for metric in all_metrics():
            self.assertTrue(metric.name.startswith("sequoiapulley_"), metric.name)
            self.assertTrue(metric.name.endswith(METRIC_SUFFIXES[metric.kind]), metric.name)
            counts = metric.name.endswith("_total")
            self.assertEqual(counts, metric.kind is MetricKind.COUNTER, metric.name)
            self.assertEqual(bool(metric.bounds), metric.kind is MetricKind.HISTOGRAM, metric.name)
            self.assertEqual(list(metric.bounds), sorted(metric.bounds))
        with self.assertRaisesRegex(ValueError, "already defined"):
            define_metric(all_metrics()[0].name, MetricKind.GAUGE, "A.", "B.")
