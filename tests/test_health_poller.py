"""Tests of the health poller and of the decoder of its reports."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from msgspec import json
from result import Err, Ok
from upstream_fakes import configuration

from sequoiapulley.ids import UpstreamName
from sequoiapulley.model import Snapshot
from sequoiapulley.runtime import PausedClock, TimerQueue
from sequoiapulley.upstream.health_poller import (
    HEALTH_PERIOD_S,
    HealthPoller,
    HealthReport,
    decode_health,
)
from sequoiapulley.wire.http_client import (
    HttpCall,
    HttpFailure,
    HttpFailureKind,
    HttpReply,
    HttpResult,
)


class FakeClient:
    """Stores requests until the test answers them."""

    def __init__(self) -> None:
        self.calls: list[tuple[HttpCall, Callable[[HttpResult], None]]] = []

    def request(self, call: HttpCall, done: Callable[[HttpResult], None]) -> None:
        self.calls.append((call, done))


class HealthPollerTest(TestCase):
    """Only the configured upstreams are polled, each once per period."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.client = FakeClient()
        self.reports: list[tuple[UpstreamName, HealthReport]] = []
        self.poller = HealthPoller(
            self.client,  # type: ignore[arg-type]
            self.timers,
            lambda name, report: self.reports.append((name, report)),
            seed=1,
        )
        self.configuration = configuration(instances=2)
        services = self.configuration.services.values()
        self.names = [
            upstream.name
            for service in services
            for instance in service.instances
            for upstream in instance.upstreams
        ]

    def run_for(self, seconds: float) -> None:
        for _ in range(int(seconds * 100)):
            self.clock.advance(0.01)
            self.timers.run_due()

    def test_draining_is_reported_within_two_seconds(self) -> None:
        self.poller.configure(self.configuration, frozenset(self.names[:1]))
        self.run_for(1.1)
        _, done = self.client.calls[-1]
        done(Ok(HttpReply(200, (), b'{"draining":true,"available":["1.4"]}')))
        expected = HealthReport(True, None, (Snapshot(1, 4),))
        self.assertEqual(self.reports, [(self.names[0], expected)])

    def test_polls_once_per_period_and_stops_for_removed_upstreams(self) -> None:
        self.poller.configure(self.configuration, frozenset(self.names))
        self.run_for(10 * HEALTH_PERIOD_S)
        per_upstream = len(self.client.calls) / len(self.names)
        self.assertTrue(8 <= per_upstream <= 12, per_upstream)
        self.poller.configure(self.configuration, frozenset())
        before = len(self.client.calls)
        self.run_for(2 * HEALTH_PERIOD_S)
        self.assertEqual(len(self.client.calls), before)
        self.client.calls[-1][1](Ok(HttpReply(200, (), b"{}")))
        self.assertEqual(self.reports, [], "a late answer of an upstream no longer polled")

    def test_failed_calls_are_not_reported(self) -> None:
        self.poller.configure(self.configuration, frozenset(self.names[:1]))
        self.run_for(1.1)
        _, done = self.client.calls[0]
        done(Err(HttpFailure(HttpFailureKind.TIMEOUT, True, "late")))
        done(Ok(HttpReply(500, (), b"{}")))
        done(Ok(HttpReply(200, (), b"not json")))
        self.assertEqual(self.reports, [])

    @given(st.binary(max_size=60))
    def test_any_body_decodes_to_a_report_or_none(self, body: bytes) -> None:
        self.assertIsInstance(decode_health(body), HealthReport | None)

    @given(st.floats(allow_nan=False, allow_infinity=False))
    def test_a_load_out_of_range_is_ignored(self, load: float) -> None:
        report = decode_health(json.encode({"load": load}))
        assert report is not None
        self.assertEqual(report.load, load if 0.0 <= load <= 1.0 else None)
