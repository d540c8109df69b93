"""Tests of route selection, splits and the estimate of callers' initial time left."""

from __future__ import annotations

from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.forward.initial_time_left import InitialTimeLeft
from sequoiapulley.forward.route_table import Route, RouteIndex, RouteTable, WeightedService
from sequoiapulley.forward.split_shares import SplitShares
from sequoiapulley.ids import ConfigVersion, ServiceName


def route(
    name: str, prefix: str, host: str = "h.example", weights: tuple[float, ...] = (1,)
) -> Route:
    split = tuple(WeightedService(ServiceName(f"s{n}"), w) for n, w in enumerate(weights))
    return Route(name, host, prefix, True, 1.0, 0.1, 1, 2, split)


class RouteIndexTest(TestCase):
    """Selects the route with the longest matching prefix of the host."""

    def setUp(self) -> None:
        routes = (route("short", "/a/"), route("long", "/a/b/"), route("other", "/a/", "o.example"))
        self.index = RouteIndex(RouteTable(ConfigVersion(1), routes, {}))

    def name(self, host: str, path: str) -> str | None:
        found = self.index.select(host, path)
        return found.name if found is not None else None

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual(self.name("h.example", "/a/b/c?x=/y/"), "long")
        self.assertEqual(self.name("h.example", "/a/bc"), "short")
        self.assertEqual(self.name("h.example", "/a/b"), "short")

    def test_host_is_compared_without_case_and_port(self) -> None:
        self.assertEqual(self.name("O.Example:8080", "/a/x"), "other")

    def test_path_outside_all_prefixes_matches_no_route(self) -> None:
        for host, path in (("h.example", "/"), ("h.example", "/x?/a/"), ("none", "/a/"), ("", "*")):
            self.assertIsNone(self.name(host, path))

    @given(
        st.lists(st.sampled_from(["/a/", "/a/b/", "/c/", "/c/d/e/"]), unique=True),
        st.text("/abcde"),
    )
    def test_equals_a_search_through_all_prefixes(self, prefixes: list[str], path: str) -> None:
        index = RouteIndex(
            RouteTable(ConfigVersion(1), tuple(route(prefix, prefix) for prefix in prefixes), {})
        )
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = index.select("h.example", path)
        self.assertEqual(found.name if found else None, max(fitting, key=len, default=None))


class SplitSharesTest(TestCase):
    """Each service of a split receives the share of its weight in any number of requests."""

    @given(st.lists(st.integers(1, 9), min_size=1, max_size=5), st.integers(1, 300))
    def test_shares_are_within_one_request_for_each_part(
        self, weights: list[int], requests: int
    ) -> None:
        split = route("r", "/", weights=tuple(weights))
        shares = SplitShares()
        counts = Counter(shares.next_service(split) for _ in range(requests))
        for part in split.split:
            wanted = requests * part.weight / sum(weights)
            self.assertLessEqual(abs(counts[part.service] - wanted), len(weights))

    def test_changed_split_resets_its_state(self) -> None:
        shares = SplitShares()
        shares.next_service(route("r", "/", weights=(1, 3)))
        changed = route("r", "/", weights=(1, 1, 1))
        shares.retain((changed,))
        counts = Counter(shares.next_service(changed) for _ in range(30))
        self.assertEqual(set(counts.values()), {10})


class InitialTimeLeftTest(TestCase):
    """Estimates the time left with which most callers begin."""

    # Guards against searches that are answered 502 unsent, as no time limit was frequent enough.
    def test_time_limits_that_vary_evenly(self) -> None:
        estimate = InitialTimeLeft()
        random = Random(3)
        for _ in range(2_000):
            time_left = 0.8 + random.randrange(40) / 1000
            self.assertTrue(0.8 <= estimate.observe(time_left) <= 0.84)

    def test_few_longer_times_and_retries_do_not_change_the_estimate(self) -> None:
        estimate = InitialTimeLeft()
        times_left = [0.8, 0.8, 3.0, 0.55, 0.8, 0.71, 0.8] * 60
        self.assertAlmostEqual([estimate.observe(time_left) for time_left in times_left][-1], 0.8)

    def test_connection_setup_of_callers_does_not_lower_the_estimate(self) -> None:
        estimate = InitialTimeLeft()
        times_left = [0.979, 0.993, 0.979, 0.978, 1.0, 0.979, 0.992, 0.979, 0.986, 0.979] * 20
        self.assertAlmostEqual([estimate.observe(time_left) for time_left in times_left][-1], 1.0)

    def test_estimate_follows_a_change(self) -> None:
        estimate = InitialTimeLeft()
        times_left = [*[3.0] * 400, *[1.0] * 600]
        self.assertAlmostEqual([estimate.observe(time_left) for time_left in times_left][-1], 1.0)
