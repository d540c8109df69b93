"""Tests of the limit on retries, over all nodes and any window."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.forward.retry_quota import QuotaSettings, RetryQuota
from sequoiapulley.forward.roles import slack_share
from sequoiapulley.ids import ServiceName

SERVICE = ServiceName("s")
CFG = QuotaSettings(ratio=0.2, slack=116.0, window=10.0)


class RetryQuotaTest(TestCase):
    """All nodes together send no more retries in any window than the limit allows."""

    @given(st.integers(0, 2**32), st.integers(1, 4), st.integers(0, 14))
    def test_repeats_of_all_nodes_stay_within_the_limit(
        self, seed: int, failure_domains: int, standbys: int
    ) -> None:
        random = Random(seed)
        entries = 2 * failure_domains
        nodes = [RetryQuota(CFG) for _ in range(entries + standbys)]
        for number, quota in enumerate(nodes):
            quota.slack_share = slack_share(number < entries, failure_domains, len(nodes))
        requests: list[float] = []
        retries: list[float] = []
        now = 0.0
        while now < 35.0:
            now += random.expovariate(20.0)
            quota = random.choice(nodes[: random.choice((entries, len(nodes)))])
            quota.record_request(SERVICE, now)
            requests.append(now)
            while random.random() < 0.7 and quota.try_acquire(
                SERVICE, now, hedge=random.random() < 0.5
            ):
                retries.append(now)
        for end in retries:
            start = end - CFG.window
            sent = sum(start <= at <= end for at in retries)
            expected = sum(start <= at <= end for at in requests)
            self.assertLessEqual(sent, CFG.ratio * expected + CFG.slack)

    def test_hedges_leave_a_reserve_for_failures(self) -> None:
        quota = RetryQuota(CFG)
        quota.slack_share = 0.1
        quota.record_request(SERVICE, 0.0)
        hedges = sum(quota.try_acquire(SERVICE, 0.0, hedge=True) for _ in range(50))
        failures = sum(quota.try_acquire(SERVICE, 0.0, hedge=False) for _ in range(50))
        self.assertGreater(hedges, 0)
        self.assertGreater(failures, 0)

    def test_refunded_repeat_can_be_acquired_again(self) -> None:
        quota = RetryQuota(CFG)
        quota.slack_share = 1.5 / CFG.slack
        self.assertTrue(quota.try_acquire(SERVICE, 0.0, hedge=False))
        self.assertFalse(quota.try_acquire(SERVICE, 0.0, hedge=False))
        quota.refund(SERVICE)
        self.assertTrue(quota.try_acquire(SERVICE, 0.0, hedge=False))

    def test_slack_shares_of_all_nodes_stay_within_the_slack(self) -> None:
        self.assertLess(slack_share(False, 3, 1), slack_share(False, 3, 1) + 1e-9)
        self.assertLessEqual(6 * slack_share(True, 3, 18) + 12 * slack_share(False, 3, 18), 0.75)
