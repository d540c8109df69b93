"""Tests of the differences between configuration versions."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from msgspec.structs import replace

from sequoiapulley.forward.route_table import RouteIndex, RouteTable, ServiceConfig
from sequoiapulley.forward.table_history import (
    MAX_VERSIONS,
    TableDelta,
    TableHistory,
    apply_delta,
)
from sequoiapulley.ids import ConfigVersion, ServiceName
from tests.state_fixtures import large_table

ROUTES = 40


def random_table(version: int, random: Random) -> RouteTable:
    """Returns some of 40 routes, each in one of two forms, with one of two sets of services."""
    routes = [route for route in large_table(version, ROUTES).routes if random.random() < 0.8]
    routes = [replace(route, timeout=9.0) if random.random() < 0.2 else route for route in routes]
    random.shuffle(routes)
    name = ServiceName(random.choice("st"))
    return RouteTable(ConfigVersion(version), tuple(routes), {name: ServiceConfig(name)})


class TableHistoryTest(TestCase):
    """A difference leads from the version that a peer has to the latest one, or is refused."""

    def assert_same(self, one: RouteTable | None, other: RouteTable) -> None:
        assert one is not None
        self.assertEqual(
            (one.version, one.services, one.limits), (other.version, other.services, other.limits)
        )
        by_prefix = [{route.prefix: route for route in found.routes} for found in (one, other)]
        self.assertEqual(*by_prefix)
        self.assertEqual(len(one.routes), len(other.routes))

    def test_every_known_version_leads_to_the_latest(self) -> None:
        for seed in range(20):
            random = Random(seed)
            history = TableHistory()
            tables = [random_table(3 * number + 1, random) for number in range(8)]
            for latest in tables:
                history.record(latest)
                for earlier in tables[: tables.index(latest) + 1]:
                    with self.subTest(seed=seed, base=earlier.version, to=latest.version):
                        delta = history.delta_after(earlier.version)
                        assert delta is not None
                        self.assert_same(apply_delta(earlier, delta), latest)

    def test_version_that_this_node_skipped_has_no_difference(self) -> None:
        history = TableHistory()
        self.assertIsNone(history.delta_after(ConfigVersion(4)))
        history.record(large_table(4, 3))
        history.record(large_table(10, 4))
        self.assertIsNone(history.delta_after(ConfigVersion(6)))
        self.assertIsNotNone(history.delta_after(ConfigVersion(4)))

    def test_versions_and_removals_are_forgotten(self) -> None:
        history = TableHistory()
        for version in range(1, MAX_VERSIONS + 2):
            history.record(large_table(version, 1 + version % 2))
        self.assertIsNone(history.delta_after(ConfigVersion(1)))
        delta = history.delta_after(ConfigVersion(2))
        assert delta is not None
        self.assert_same(apply_delta(large_table(2, 1), delta), large_table(MAX_VERSIONS + 1, 2))

    def test_difference_to_another_table_is_refused(self) -> None:
        history = TableHistory()
        history.record(large_table(1, 3))
        history.record(large_table(2, 4))
        delta = history.delta_after(ConfigVersion(1))
        assert isinstance(delta, TableDelta)
        self.assertIsNone(apply_delta(None, delta))
        self.assertIsNone(apply_delta(large_table(3, 3), delta))
        self.assertIsNone(apply_delta(large_table(1, 2), delta))

    def test_hosts_that_differ_in_case_are_one_route(self) -> None:
        before = large_table(1, 1)
        other = replace(before.routes[0], host="A.EXAMPLE", timeout=7.0)
        after = RouteTable(ConfigVersion(2), (other,), {})
        history = TableHistory()
        history.record(before)
        history.record(after)
        delta = history.delta_after(ConfigVersion(1))
        assert delta is not None
        applied = apply_delta(before, delta)
        assert applied is not None
        self.assertEqual(RouteIndex(applied).select("a.example", other.prefix), other)
