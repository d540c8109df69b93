"""Tests of the burn recorder and the merged burn report."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from msgspec import json

from sequoiapulley.ids import ContractName, NodeId, ServiceName
from sequoiapulley.model.service import Objectives, Service
from sequoiapulley.observe._burn_counts import WINDOW_LEVELS
from sequoiapulley.observe.burn import BurnRecorder
from sequoiapulley.observe.burn_messages import NodeBurnReport
from sequoiapulley.observe.burn_report import (
    BurnReport,
    ObjectiveReport,
    UnresponsiveNode,
    Urgency,
    merge_node_reports,
)
from sequoiapulley.runtime import PausedClock

SERVICE_NAME = ServiceName("ctx")
SERVICE = Service(SERVICE_NAME, ContractName("k"), (), objectives=Objectives(0.99, 0.9, 0.999))


def recorder(clock: PausedClock, node: str = "n") -> BurnRecorder:
    """Returns a recorder of one service."""
    burn = BurnRecorder(NodeId(node), clock)
    burn.configure([SERVICE])
    return burn


def objective(report: BurnReport, index: int = 0) -> ObjectiveReport:
    """Returns the result of one objective of the only service."""
    return report.services[0].objectives[index]


class BurnRecorderTest(TestCase):
    """Windows include all events within their length, and drop older ones."""

    @given(st.lists(st.tuples(st.floats(0, 40_000), st.booleans()), max_size=25))
    def test_windows_cover_at_least_their_length(self, events: list[tuple[float, bool]]) -> None:
        clock = PausedClock()
        burn = recorder(clock)
        times: list[tuple[float, bool]] = []
        for gap, good in events:
            clock.advance(gap)
            burn.record_search(SERVICE_NAME, 0.02, good, True)
            times.append((clock.now(), good))
        max_excess_s = {300: 60, 1_800: 60, 3_600: 600, 21_600: 600, 259_200: 21_600}
        for window in burn.node_report().services[0].windows:
            ages = [(clock.now() - at, good) for at, good in times]
            inside = [good for age, good in ages if age < window.seconds]
            near = [
                good for age, good in ages if age <= window.seconds + max_excess_s[window.seconds]
            ]
            self.assertIn(window.in_time.total, range(len(inside), len(near) + 1))
            self.assertIn(window.in_time.good, range(sum(inside), sum(near) + 1))

    def test_refusals_count_against_not_refused_objective_only(self) -> None:
        burn = recorder(PausedClock())
        burn.record_refusal(SERVICE_NAME)
        burn.record_accepted_request(SERVICE_NAME)
        burn.record_search(SERVICE_NAME, 0.1, True, False)
        burn.record_refusal(ServiceName("ghost"))
        window = burn.node_report().services[0].windows[0]
        self.assertEqual((window.in_time.total, window.full_coverage.good), (1, 0))
        self.assertEqual((window.not_refused.total, window.not_refused.good), (3, 2))

    def test_counts_of_removed_services_are_dropped(self) -> None:
        burn = recorder(PausedClock())
        burn.record_refusal(SERVICE_NAME)
        burn.configure([SERVICE])
        self.assertEqual(burn.node_report().services[0].windows[0].not_refused.total, 1)
        burn.configure([])
        self.assertEqual(burn.node_report().services, ())


class BurnReportTest(TestCase):
    """The parts of all nodes are summed; an alert needs the burn rate of both of its windows."""

    def test_node_reports_are_merged_after_serialization(self) -> None:
        clock = PausedClock()
        reports: list[NodeBurnReport] = []
        for index in range(3):
            burn = recorder(clock, f"n{index}")
            for _ in range(100):
                burn.record_search(SERVICE_NAME, 0.010 * (index + 1), index != 2, True)
            reports.append(json.decode(json.encode(burn.node_report()), type=NodeBurnReport))
        silent = UnresponsiveNode(NodeId("n9"), "10.0.0.9:1", "timed out")
        report = merge_node_reports(reports, [silent])
        self.assertEqual((report.nodes, report.silent), (("n0", "n1", "n2"), (silent,)))
        first = objective(report).windows[0]
        self.assertEqual((first.total, first.good), (300, 200))
        self.assertAlmostEqual(first.burn_rate, (1 / 3) / 0.01)
        latency = report.services[0].latency[0]
        self.assertEqual(latency.count, 300)
        self.assertAlmostEqual(latency.quantiles_ms["0.5"], 20.0, delta=0.2)
        self.assertAlmostEqual(latency.quantiles_ms["0.99"], 30.0, delta=0.3)

    def test_page_alert_starts_with_the_fault_and_ends_after_it(self) -> None:
        clock = PausedClock()
        burn = recorder(clock)
        for _ in range(60):
            clock.advance(60)
            burn.record_search(SERVICE_NAME, 0.01, True, True)
        self.assertEqual(objective(merge_node_reports([burn.node_report()], [])).alerts, ())
        for _ in range(12):
            clock.advance(60)
            burn.record_search(SERVICE_NAME, 0.01, False, True)
        report = merge_node_reports([burn.node_report()], [])
        alerts = objective(report).alerts
        self.assertIn((14.4, Urgency.PAGE), [(a.rule.rate, a.rule.urgency) for a in alerts])
        self.assertTrue(report.pages)
        self.assertLess(objective(report).budget_left, 0)
        for _ in range(7):
            clock.advance(60)
            burn.record_search(SERVICE_NAME, 0.01, True, True)
        alerts = objective(merge_node_reports([burn.node_report()], [])).alerts
        self.assertNotIn(14.4, [alert.rule.rate for alert in alerts])

    def test_all_windows_of_alert_rules_are_recorded(self) -> None:
        burn = recorder(PausedClock())
        report = merge_node_reports([burn.node_report()], [])
        recorded = {window.seconds for window in objective(report).windows}
        self.assertEqual(recorded, set(WINDOW_LEVELS))
        self.assertEqual(objective(report).budget_left, 1.0)
        self.assertEqual(merge_node_reports([], []).services, ())
