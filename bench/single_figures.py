"""Single figures of the stored results that do not belong to a fitted line."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from msgspec import Struct

from bench.run_all import RESULTS, load
from bench.slopes import pick


class Figure(Struct, frozen=True, kw_only=True):
    """One measured figure."""

    value: float
    """Measured value."""
    low: float
    """Lowest value over the rounds; equal to `value` if only one value is stored."""
    high: float
    """Highest value over the rounds; equal to `value` if only one value is stored."""
    source: str
    """Benchmark that measured it."""


_PATHS: Final = {
    "request_us": (
        "request_cost",
        "first.us_per_request",
        "first.us_per_request_spread.0",
        "first.us_per_request_spread.1",
    ),
    "observe_us": ("observe_cost", "rows.0.median", "rows.0.least", "rows.0.most"),
    "recorder_bytes": ("observe_cost", "rows.5.recorder_bytes"),
    "burn_part_bytes": ("observe_cost", "rows.5.burn_part_bytes"),
    "home_update_ms": ("home_balance", "homes.3.update_ms"),
    "home_build_ms": ("home_balance", "homes.3.build_ms"),
    "busiest_home": ("home_balance", "homes.3.busiest_over_mean"),
    "moved_beyond_own": ("home_balance", "homes.3.other_share_moved"),
    "resident_bytes": ("state_size", "resident_bytes_at_start"),
    "member_bytes": ("control_cost", "bytes_per_member.bytes"),
    "link_round_ms": ("link_cost", "points.0.round_trip_us_p50"),
    "link_round_p99": ("link_cost", "points.0.round_trip_us_p99"),
    "calm_p99_ms": ("policy_scenarios", "rows.1.p99_ms"),
    "calm_extra_load": ("policy_scenarios", "rows.1.extra_load"),
    "straggler_p99_ms": ("policy_scenarios", "rows.3.p99_ms"),
    "straggler_extra_load": ("policy_scenarios", "rows.3.extra_load"),
    "replica_lost_p99_ms": ("policy_scenarios", "rows.5.p99_ms"),
    "replica_lost_coverage": ("policy_scenarios", "rows.5.coverage"),
}


def all_figures(folder: Path = RESULTS) -> dict[str, Figure]:
    """Reads all single figures.

    Args:
        folder: Folder of the stored results.

    Returns:
        Figures by name.
    """
    figures = {}
    for name, (source, *paths) in _PATHS.items():
        result = load(source, folder).result
        values = [float(pick(result, path)) for path in paths]
        figures[name] = Figure(value=values[0], low=min(values), high=max(values), source=source)
    calls = load("request_cost", folder).result["first"]["store_calls_per_request"]
    total = float(sum(calls.values()))
    figures["request_store_calls"] = Figure(
        value=total, low=total, high=total, source="request_cost"
    )
    return figures
