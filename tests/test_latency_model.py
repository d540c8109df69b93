"""Tests of the estimates of processing times and round trips."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sequoiapulley.forward.latency_model import LatencyModel
from sequoiapulley.ids import FailureDomainName

LOCAL = FailureDomainName("here")
REMOTE = FailureDomainName("far")
GOAL_S = 0.1
PROCESSING_S = 0.0112


class LatencyModelTest(TestCase):
    """A route whose processing time is 11 ms, varying by a third."""

    def setUp(self) -> None:
        self.model = LatencyModel({LOCAL: 0.0005, REMOTE: 0.02})
        self.random = Random(3)
        self.now = 0.0

    def record(
        self, slow_share: float, factor: float, failure_domain: FailureDomainName = LOCAL
    ) -> None:
        round_trip = 0.016 if failure_domain == REMOTE else 0.0005
        processing_time = PROCESSING_S * self.random.lognormvariate(0.0, 0.35)
        if self.random.random() < slow_share:
            processing_time *= factor
        self.now += 0.001
        self.model.record("r", GOAL_S, failure_domain, round_trip + processing_time, self.now)

    def test_processing_time_estimate_tolerates_a_seventh_of_slow_upstreams(self) -> None:
        for _ in range(3_000):
            self.record(0.15, 9.0)
        self.assertLess(self.model.processing_time("r", GOAL_S), 1.4 * PROCESSING_S)
        self.assertGreater(self.model.processing_time("r", GOAL_S), 0.7 * PROCESSING_S)

    def test_estimate_is_positive_whatever_the_goal_and_the_samples(self) -> None:
        self.assertGreater(self.model.processing_time("other", 0.0), 0.0)
        for _ in range(30_000):
            self.model.record("r", GOAL_S, LOCAL, 0.0005, 0.0)
        self.assertGreater(self.model.processing_time("r", GOAL_S), 0.0)

    def test_processing_time_estimate_follows_a_change(self) -> None:
        for _ in range(500):
            self.record(0.0, 1.0)
        for _ in range(500):
            self.record(1.0, 4.0)
        self.assertGreater(self.model.processing_time("r", GOAL_S), 3.0 * PROCESSING_S)

    def test_round_trip_is_estimated_for_each_failure_domain(self) -> None:
        for _ in range(500):
            self.record(0.0, 1.0)
            self.record(0.0, 1.0, REMOTE)
        self.assertGreater(self.model.round_trip(REMOTE), 0.016)
        self.assertLess(self.model.round_trip(REMOTE), 0.026)
        difference = self.model.overdue_after("r", GOAL_S, REMOTE)
        difference -= self.model.overdue_after("r", GOAL_S, LOCAL)
        self.assertAlmostEqual(difference, 0.0155, delta=0.006)

    def test_measured_round_trip_replaces_the_assumed_one_at_once(self) -> None:
        self.assertFalse(self.model.has_measured_round_trip(REMOTE))
        self.model.record_round_trip(REMOTE, 0.04, 0.0)
        self.assertTrue(self.model.has_measured_round_trip(REMOTE))
        self.assertEqual(self.model.round_trip(REMOTE), 0.04)
        self.model.record_round_trip(REMOTE, 0.05, 0.1)
        self.assertLess(self.model.round_trip(REMOTE), 0.042)
        self.model.record_round_trip(REMOTE, 0.03, 0.2)
        self.assertEqual(self.model.round_trip(REMOTE), 0.03)

    def test_overdue_time_derives_from_the_goal_without_samples(self) -> None:
        self.assertLess(self.model.overdue_after("new", GOAL_S, LOCAL), GOAL_S / 2)
