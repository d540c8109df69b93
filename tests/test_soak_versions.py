"""Tests of the soak's check of configuration versions, and of its schedule of cuts."""

from __future__ import annotations

from unittest import TestCase

from soak.checker import Passage
from soak.plan import draw_cuts
from soak.versions import ROLLBACK_SLACK_S, find_regressions
from standins.platform_upstream import PlatformUpstream

WRITTEN = [(5, 0.0), (7, 10.0), (9, 20.0)]
SECONDS = 24.0
QUIET_S = 8.0


class FindRegressionsTest(TestCase):
    """Requests through one or two nodes, run by the upstreams that stand for the versions."""

    def setUp(self) -> None:
        self.upstreams = [PlatformUpstream(f"u{n}", f"v-{n}", "h", "p") for n in range(3)]
        self.passages: dict[str, Passage] = {}

    def add(self, number: int, sent_at: float, host: str = "a") -> None:
        """Adds a request that was run by the upstream of a version, a moment after it was sent."""
        request = f"{host}-{number}-{sent_at}"
        self.passages[request] = Passage(host, sent_at, sent_at + 0.02)
        self.upstreams[number].last_run_at[request] = sent_at + 0.01

    def found(self, disturbed: list[tuple[str, float]] | None = None) -> list[str]:
        """Returns the requests that an older version served."""
        found = find_regressions(self.upstreams, self.passages, WRITTEN, disturbed or [])
        return [request for request, _ in found]

    def test_older_version_after_a_newer_one_is_found(self) -> None:
        self.add(0, 9.0)
        self.add(1, 10.5)
        self.add(0, 10.6 + ROLLBACK_SLACK_S)
        self.assertEqual(self.found(), [f"a-0-{10.6 + ROLLBACK_SLACK_S}"])

    def test_requests_within_the_slack_and_of_other_nodes_are_allowed(self) -> None:
        self.add(1, 10.5)
        self.add(0, 10.5 + ROLLBACK_SLACK_S)
        self.add(0, 12.0, host="b")
        self.assertEqual(self.found(), [])

    def test_restart_of_the_node_ends_what_its_callers_have_seen(self) -> None:
        self.add(1, 10.5)
        self.add(0, 12.0)
        self.assertEqual(self.found([("a", 11.0)]), [])
        self.assertEqual(len(self.found([("b", 11.0)])), 1)

    def test_cuts_are_drawn_by_the_seed_and_end_before_the_quiet_period(self) -> None:
        self.assertEqual(draw_cuts(3, SECONDS, QUIET_S), draw_cuts(3, SECONDS, QUIET_S))
        for seed in range(50):
            cuts = draw_cuts(seed, SECONDS, QUIET_S)
            self.assertTrue(cuts)
            self.assertLessEqual(cuts[-1].at + cuts[-1].lasts, SECONDS - QUIET_S + 0.001)
