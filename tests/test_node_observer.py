"""Tests of the metrics, burn counts and events that the node observer records."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.ids import ConfigVersion, ContractName, NodeId, ServiceName
from sequoiapulley.model.service import Service
from sequoiapulley.observe.log_event import LogEvent, MemoryLog, Severity
from sequoiapulley.observe.metric_set import MAX_SERIES_PER_METRIC, MetricSet
from sequoiapulley.observe.metrics import CONFIG_VERSION, LOG_EVENTS, SEARCHES
from sequoiapulley.observe.node_observer import (
    NodeObserver,
    NodeSample,
    RequestSample,
    SearchSample,
)
from sequoiapulley.observe.upstream_metrics import UpstreamSample
from sequoiapulley.runtime import PausedClock

SERVICE_NAME = ServiceName("ctx")
EVENT = LogEvent(8999, "sample", Severity.INFO, "A test logs it.", "Nothing.")


class NodeObserverTest(TestCase):
    """Each sample is counted once in each metric and objective that it applies to."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.observer = NodeObserver(NodeId("n"), PausedClock(), self.log)
        self.observer.configure([Service(SERVICE_NAME, ContractName("k"), ())], 0.25)

    def lines(self, *states: str) -> set[str]:
        """Returns the rendered series, without comments."""
        sample = NodeSample(ConfigVersion(7), states, 2, 3, True, 9.5)
        text = self.observer.render(sample).decode()
        return {line for line in text.splitlines() if line[:1] != "#"}

    def test_searches(self) -> None:
        missing_reasons = ("deadline", "deadline", "no_replica")
        self.observer.record_search(
            SearchSample(SERVICE_NAME, 0.06, False, 5, missing_reasons, False)
        )
        self.observer.record_search(SearchSample(SERVICE_NAME, 0.01, True, 8, (), True))
        refusal = SearchSample(SERVICE_NAME, 0.0, True, 0, ("overload",), False, refused=True)
        self.observer.record_search(refusal)
        expected = {
            'sequoiapulley_searches_total{outcome="complete",service="ctx"} 1',
            'sequoiapulley_searches_total{outcome="incomplete",service="ctx"} 1',
            'sequoiapulley_searches_total{outcome="refused",service="ctx"} 1',
            'sequoiapulley_searches_late_total{service="ctx"} 1',
            'sequoiapulley_shards_covered_total{service="ctx"} 13',
            'sequoiapulley_shards_lacking_total{reason="deadline",service="ctx"} 2',
            'sequoiapulley_search_seconds_count{service="ctx"} 2.0',
            'sequoiapulley_search_seconds_bucket{le="0.063",service="ctx"} 2.0',
            'sequoiapulley_search_seconds_bucket{le="0.05",service="ctx"} 1.0',
        }
        self.assertLessEqual(expected, self.lines())
        window = self.observer.node_burn_report().services[0].windows[0]
        self.assertEqual((window.in_time.total, window.in_time.good), (2, 1))
        self.assertEqual((window.not_refused.total, window.not_refused.good), (3, 2))

    def test_requests(self) -> None:
        self.observer.record_request(RequestSample(SERVICE_NAME, 0.02, "done"))
        refusal = RequestSample(SERVICE_NAME, 0.0, "not_run", "store_unavailable", refused=True)
        self.observer.record_request(refusal)
        expected = {
            'sequoiapulley_requests_total{service="ctx",state="done"} 1',
            'sequoiapulley_requests_refused_total{reason="store_unavailable",service="ctx"} 1',
        }
        self.assertLessEqual(expected, self.lines())
        window = self.observer.node_burn_report().services[0].windows[0]
        self.assertEqual((window.not_refused.total, window.not_refused.good), (2, 1))

    def test_node_gauges_and_member_states_without_members(self) -> None:
        first = self.lines("alive", "alive", "suspect")
        self.assertIn('sequoiapulley_members{state="suspect"} 1', first)
        second = self.lines("alive")
        self.assertIn('sequoiapulley_members{state="suspect"} 0', second)
        self.assertIn("sequoiapulley_config_version 7", second)
        self.assertIn("sequoiapulley_store_reachable 1", second)

    def test_upstream_totals(self) -> None:
        upstreams = UpstreamSample(
            first_tries=100, hedges=3, connections=9, idle=4, silent_closed=1
        )
        sample = NodeSample(ConfigVersion(1), (), 0, 0, False, 0.0, upstreams)
        text = self.observer.render(sample).decode()
        for line in (
            'sequoiapulley_upstream_tries_total{kind="first"} 100',
            'sequoiapulley_upstream_tries_total{kind="hedge"} 3',
            'sequoiapulley_upstream_connections{state="busy"} 5',
            'sequoiapulley_upstream_faults_total{kind="silent"} 1',
            "sequoiapulley_store_reachable 0",
        ):
            self.assertIn(line + "\n", text)

    def test_log_events_are_counted_stored_and_forwarded(self) -> None:
        self.observer.log(EVENT, node="n")
        self.assertIn('sequoiapulley_log_events_total{code="SP8999"} 1', self.lines())
        self.assertEqual(self.observer.recent_events(0).events[0].fields, {"node": "n"})
        self.assertEqual(self.log.entries, [(EVENT, {"node": "n"})])


class MetricSetTest(TestCase):
    """The number of series is limited, and label values are checked."""

    def test_series_are_bounded(self) -> None:
        metrics = MetricSet()
        for index in range(MAX_SERIES_PER_METRIC + 50):
            metrics.count(LOG_EVENTS, f"SP{index}")
        text = metrics.render().decode()
        self.assertEqual(text.count("sequoiapulley_log_events_total{"), MAX_SERIES_PER_METRIC + 1)
        self.assertIn('sequoiapulley_log_events_total{code="other"} 50', text)

    def test_labels_are_checked(self) -> None:
        with self.assertRaisesRegex(ValueError, "takes the labels"):
            MetricSet().count(SEARCHES, "ctx")
        with self.assertRaisesRegex(ValueError, "takes the labels"):
            MetricSet().set(CONFIG_VERSION, 1, "extra")
