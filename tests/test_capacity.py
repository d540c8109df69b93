"""Tests of the capacity page, its model, the fitted lines and the benchmark runner."""

from __future__ import annotations

import re
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from hypothesis import given
from hypothesis.strategies import integers

from bench.run_all import (
    BENCH,
    BenchResult,
    Failure,
    benchmark_names,
    flat_rows,
    load,
    run_benchmark,
    store,
)
from bench.slopes import fit, fit_all_lines
from tools.capacity_limits import MIN_IN_TIME_SHARE, designs, hedge_rows, limits
from tools.capacity_model import CapacityModel, Parts, make_model
from tools.capacity_plots import PLOTS
from tools.capacity_sizes import TARGET, TODAY
from tools.write_capacity import COMMAND, PAGE, ROOT, render_page


class CapacityPageTest(TestCase):
    """The capacity page matches the stored results."""

    def test_page_matches_stored_results(self) -> None:
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_page(), f"run `{COMMAND}`")

    def test_modules_and_plots_exist(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        modules = set(re.findall(r"`((?:\w+/)+\w+\.py)`", text))
        self.assertGreater(len(modules), 20)
        for module in modules:
            candidates = (ROOT / module, ROOT / "src" / "sequoiapulley" / module)
            self.assertTrue(any(candidate.exists() for candidate in candidates), module)
        for name in fit_all_lines():
            self.assertIn(f"(plots/{name}.svg)", text)
            self.assertTrue((PLOTS / f"{name}.svg").exists(), name)

    def test_target_sizes(self) -> None:
        self.assertEqual(round(TARGET.queries_per_s * TARGET.fan_out), 44_800_000)
        self.assertEqual(round(TARGET.subs_per_node, -3), 76_000)
        self.assertEqual(round(TARGET.subs_per_upstream, -2), 10_400)


class FitTest(TestCase):
    """Least-squares fits and their ranges."""

    @given(integers(-1000, 1000), integers(-1000, 1000))
    def test_points_on_a_line_give_its_slope_and_intercept(self, slope: int, base: int) -> None:
        points = tuple((float(x), float(slope * x + base)) for x in (5, 15, 30, 60))
        fitted = fit(points)
        self.assertAlmostEqual(fitted[0], slope)
        self.assertAlmostEqual(fitted[1], base)

    def test_points_off_the_line_give_the_least_squares_fit(self) -> None:
        slope, base = fit(((0.0, 1.0), (1.0, 0.0), (2.0, 2.0)))
        self.assertAlmostEqual(slope, 0.5)
        self.assertAlmostEqual(base, 0.5)

    def test_points_with_equal_x_are_rejected(self) -> None:
        with self.assertRaises(ValueError):
            fit(((3.0, 1.0), (3.0, 2.0)))

    def test_slope_lies_within_its_range(self) -> None:
        for line in fit_all_lines().values():
            self.assertLessEqual(line.min_slope, line.slope, line.name)
            self.assertGreaterEqual(line.max_slope, line.slope, line.name)


class ModelTest(TestCase):
    """Computations of the capacity model."""

    def test_parts_are_computed_from_fitted_lines(self) -> None:
        model = make_model(TARGET)
        slope = model.fitted_lines["upstream_exchange"].slope
        parts = model.parts(homes=35, queries_per_exchange=8)
        self.assertAlmostEqual(parts.upstream, TARGET.subs_per_node * slope / 8 / 1e6)
        frame = model.fitted_lines["link_frame"].at(1)
        self.assertAlmostEqual(parts.link, 4 * 35 * TARGET.queries_per_node * frame / 1e6)
        self.assertEqual(Parts(1, 2, 4, 8, 16, 32).total, 63)

    def test_expected_homes_per_search(self) -> None:
        self.assertEqual(TODAY.homes_per_query, TODAY.nodes)
        self.assertLess(TARGET.homes_per_query, min(TARGET.nodes, TARGET.fan_out))
        self.assertGreater(TARGET.homes_per_query, TARGET.fan_out / 4)

    def test_limits_and_designs_are_sorted_in_descending_order(self) -> None:
        factors = [limit.factor for limit in limits(make_model(TARGET))]
        self.assertEqual(factors, sorted(factors, reverse=True))
        totals = [design.parts.total for design in designs(make_model(TARGET))]
        self.assertEqual(totals, sorted(totals, reverse=True))

    def test_allowed_late_share_of_one_try(self) -> None:
        rows = hedge_rows(make_model(TARGET))
        allowed = float(rows[0][1].rstrip("%")) / 100
        self.assertAlmostEqual((1 - allowed) ** TARGET.fan_out, MIN_IN_TIME_SHARE, 4)

    def test_model_uses_given_slopes(self) -> None:
        model = make_model(TARGET)
        fitted_lines = dict(model.fitted_lines)
        fitted_lines["upstream_exchange"] = fitted_lines["bare_exchange"]
        other = CapacityModel(TARGET, fitted_lines, model.figures)
        self.assertAlmostEqual(other.parts().upstream, model.parts(bare=True).upstream)


class RunAllTest(TestCase):
    """Benchmark results are stored with the conditions of their run, and failures are reported."""

    def test_benchmarks_are_listed_without_importing_them(self) -> None:
        names = benchmark_names()
        self.assertIn("wire_cost", names)
        self.assertNotIn("bare_loop", names)
        for path in (BENCH / "results").glob("*.json"):
            self.assertIn(path.stem, names)

    def test_stored_result_round_trip(self) -> None:
        result = load("link_cost")
        self.assertRegex(result.commit, r"^[0-9a-f]{7,}")
        with TemporaryDirectory() as folder:
            store(result, Path(folder))
            loaded = load("link_cost", Path(folder))
        self.assertIsInstance(loaded, BenchResult)
        self.assertEqual(loaded, result)

    def test_failed_benchmark_is_reported(self) -> None:
        outcome = run_benchmark("no_such_module", 30.0, "c")
        self.assertIsInstance(outcome, Failure)
        self.assertIn("no_such_module", outcome.reason)

    def test_flat_rows_of_a_result(self) -> None:
        rows = list(flat_rows({"a": [{"b": 1.5}], "c": [1, 2]}))
        self.assertEqual(rows, [("a.0.b", "1.5"), ("c", "[1, 2]")])
