"""Measures the time to check the operators' configuration text, up to the target size."""

from __future__ import annotations

import sys
from json import dumps
from statistics import median
from time import perf_counter
from typing import Any, Final

from json5.parser import parse_source
from msgspec import json
from result import Err

from sequoiapulley.ids import ConfigVersion
from sequoiapulley.settings.text import ParsedConfiguration, parse_configuration_in_steps

UPSTREAM_COUNTS: Final = (106, 1_075, 2_150, 4_300)
"""From a workspace's current size to the target size."""
REPLICAS: Final = 2
SERVICES: Final = 8
FAILURE_DOMAINS: Final = 7
ROUNDS: Final = 9
MS_PER_S: Final = 1_000
COMMENT: Final = "// One comment, as operators write them.\n"


def make_text(upstreams: int) -> str:
    """Returns a text with `upstreams` upstreams, one per line of about 100 bytes."""
    lines = ['{"customer": "bench", "places": {']
    lines += [
        f'"place-{index}": {{"region": "region-{index % 2}"}},' for index in range(FAILURE_DOMAINS)
    ]
    lines.append('}, "contracts": {"desk": {"slots": 2, "connections": 60, "open_ms": 6}},')
    lines.append('"services": {')
    instances = upstreams // REPLICAS
    for service in range(SERVICES):
        lines.append(f'{COMMENT}"service-{service}": {{"contract": "desk", "instances": {{')
        for instance in range(service, instances, SERVICES):
            lines.append(f'  "instance-{instance:04d}": {{')
            for replica in range(REPLICAS):
                number = instance * REPLICAS + replica
                address = f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:9001"
                domain = f"place-{number % FAILURE_DOMAINS}"
                members = dumps({"place": domain, "address": address})
                lines.append(f'    "instance-{instance:04d}-{"ab"[replica]}": {members},')
            lines.append("  },")
        lines.append("}},")
    lines.append("}}")
    return "\n".join(lines)


def time_steps(text: str) -> tuple[list[float], ParsedConfiguration]:
    """Checks a text once and returns the duration of each step in seconds, and the result."""
    steps = parse_configuration_in_steps(text, ConfigVersion(1), "bench")
    times: list[float] = []
    while True:
        start = perf_counter()
        try:
            next(steps)
        except StopIteration as exc:
            times.append(perf_counter() - start)
            return times, exc.value
        times.append(perf_counter() - start)


def measure_row(upstreams: int) -> dict[str, Any]:
    """Measures one size: a valid text, its longest step, and a text with many faults."""
    text = make_text(upstreams)
    # Every use of place-1 becomes an unknown name; the first occurrence, its definition, stays.
    faulty = text.replace('"place-1"', '"nowhere"').replace('"nowhere": ', '"place-1": ', 1)
    totals, longest, faults = [], [], []
    for _ in range(ROUNDS):
        times, result = time_steps(text)
        if isinstance(result, Err):
            raise ValueError(f"the text of the benchmark is invalid: {result.err_value[0]}")
        totals.append(sum(times))
        longest.append(max(times))
        faults.append(sum(time_steps(faulty)[0]))
    return {
        "upstreams": upstreams,
        "bytes": len(text),
        "check": round(median(totals) * MS_PER_S, 2),
        "check_least": round(min(totals) * MS_PER_S, 2),
        "check_most": round(max(totals) * MS_PER_S, 2),
        "longest_step": round(median(longest) * MS_PER_S, 2),
        "longest_step_most": round(max(longest) * MS_PER_S, 2),
        "faulty": round(median(faults) * MS_PER_S, 2),
    }


def measure_json5() -> dict[str, Any]:
    """Measures the json5 parser that records positions, once and at one size, as it is slow."""
    text = make_text(UPSTREAM_COUNTS[0])
    started = perf_counter()
    parse_source(text)
    spent = perf_counter() - started
    return {
        "upstreams": UPSTREAM_COUNTS[0],
        "bytes": len(text),
        "json5": round(spent * MS_PER_S, 2),
    }


def run() -> dict[str, Any]:
    """Measures all sizes.

    Returns:
        Rows in ms; `faulty` is a text in which every seventh upstream names an unknown
        failure domain.
    """
    rows = [measure_row(upstreams) for upstreams in UPSTREAM_COUNTS]
    return {"name": "settings_cost", "unit": "ms", "rows": [*rows, measure_json5()]}


if __name__ == "__main__":
    sys.stdout.write(json.encode(run()).decode() + "\n")
