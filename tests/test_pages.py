"""Tests that rendered pages equal the definitions, and that definitions follow the rules."""

from __future__ import annotations

import re
from unittest import TestCase

from sequoiapulley.observe.log_event import all_events
from sequoiapulley.observe.metric import MetricKind, all_metrics, define_metric
from tools.render_pages import COMMAND, PACKAGE, import_events, render_pages

UNITS = {
    MetricKind.COUNTER: "_total",
    MetricKind.HISTOGRAM: "_seconds",
    MetricKind.GAUGE: "",
}


class PagesTest(TestCase):
    """Catalogue and code are the same."""

    def test_pages_are_current(self) -> None:
        for path, text in render_pages().items():
            self.assertEqual(path.read_text(encoding="utf-8"), text, f"run `{COMMAND}`")

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
            self.assertTrue(metric.name.endswith(UNITS[metric.kind]), metric.name)
            counts = metric.name.endswith("_total")
            self.assertEqual(counts, metric.kind is MetricKind.COUNTER, metric.name)
            self.assertEqual(bool(metric.bounds), metric.kind is MetricKind.HISTOGRAM, metric.name)
            self.assertEqual(list(metric.bounds), sorted(metric.bounds))
        with self.assertRaisesRegex(ValueError, "already defined"):
            define_metric(all_metrics()[0].name, MetricKind.GAUGE, "A.", "B.")
