"""Time that the check of the operators' text takes, at sizes up to the target's."""

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
from sequoiapulley.settings.text import ParsedText, parse_in_steps

UPSTREAMS: Final = (106, 1_075, 2_150, 4_300)
"""The first is a workspace's size of today, the last the target."""
REPLICAS: Final = 2
SERVICES: Final = 8
FAILURE_DOMAINS: Final = 7
ROUNDS: Final = 9
MS_PER_S: Final = 1_000
COMMENT: Final = "// One comment, as operators write them.\n"


def write_text(upstreams: int) -> str:
    """Writes a text with so many upstreams, about 100 bytes each, one a line."""
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


def time_steps(text: str) -> tuple[list[float], ParsedText]:
    """Checks a text once and returns the time of every step in seconds, and the result."""
    steps = parse_in_steps(text, ConfigVersion(1), "bench")
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
    """Measures one size: a right text, the longest step, and a text full of faults."""
    text = write_text(upstreams)
    faulty = text.replace('"place-1"', '"nowhere"').replace('"nowhere": ', '"place-1": ', 1)
    totals, longest, faults = [], [], []
    for _ in range(ROUNDS):
        times, result = time_steps(text)
        if isinstance(result, Err):
            raise ValueError(f"the text of the bench is wrong: {result.err_value[0]}")
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
    """Measures the positioned parser of json5 on a workspace's size, once; it is slow."""
    text = write_text(UPSTREAMS[0])
    start = perf_counter()
    parse_source(text)
    spent = perf_counter() - start
    return {"upstreams": UPSTREAMS[0], "bytes": len(text), "json5": round(spent * MS_PER_S, 2)}


def run() -> dict[str, Any]:
    """Measures every size.

    Returns:
        Rows in ms; `faulty` is a text in which every seventh upstream names an unknown
        failure domain.
    """
    rows = [measure_row(upstreams) for upstreams in UPSTREAMS]
    return {"name": "settings_cost", "unit": "ms", "rows": [*rows, measure_json5()]}


if __name__ == "__main__":
    sys.stdout.write(json.encode(run()).decode() + "\n")
