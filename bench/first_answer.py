"""Measures the time from process start to the first complete answer, with the store up and down.

`python -m bench.first_answer`
"""

from __future__ import annotations

from http.client import HTTPException
from pathlib import Path
from statistics import median
from time import monotonic, sleep
from typing import Any, Final

from msgspec import json

from standins.http_call import http_json
from standins.local_fleet import LocalFleet, local_fleet

CONFIGURATION_PATH: Final = Path(__file__).resolve().parent.parent / "examples" / "cedarline.json5"
NODES: Final = 3
STARTS: Final = 5
POLL_S: Final = 0.01
MAX_WAIT_S: Final = 30.0


def _has_complete_answer(port: int) -> bool:
    """Sends one search and returns whether the answer covers every shard."""
    body = {"query": "oak", "deadline_ms": 500}
    try:
        status, answer = http_json(
            port, "POST", "/v1/services/planner-desk/search", body, timeout=2.0
        )
    except (OSError, HTTPException):
        return False
    return status == 200 and not answer["lacking"]


def _time_first_answer(fleet: LocalFleet, number: int) -> float:
    """Returns the seconds from starting a node to its first complete answer, then kills it."""
    started = monotonic()
    node = fleet.start_node(number)
    fleet.publish_vms()
    while not _has_complete_answer(node.ports.callers):
        if monotonic() - started > MAX_WAIT_S:
            raise TimeoutError(f"no complete answer from {node.name} within {MAX_WAIT_S:.0f} s")
        sleep(POLL_S)
    seconds = monotonic() - started
    fleet.kill(node)
    return seconds


def run() -> dict[str, Any]:
    """Measures nodes that join a running fleet.

    Returns:
        Name, unit and one row for each state of the store.
    """
    rows = []
    with local_fleet(CONFIGURATION_PATH.read_text(encoding="utf-8"), NODES) as fleet:
        fleet.wait_for_members(NODES)
        edit = {"base_version": 0, "edit_id": "bench", "author": "bench", "text": fleet.text}
        http_json(fleet.running()[0].ports.operators, "PUT", "/v1/config", edit)
        fleet.wait_until_ready()
        for store_down in (False, True):
            fleet.set_store_faults(down=store_down)
            first = NODES + 1 + STARTS * store_down
            times = [_time_first_answer(fleet, first + number) for number in range(STARTS)]
            rows.append(
                {
                    "store_down": store_down,
                    "seconds": round(median(times), 3),
                    "spread": [round(min(times), 3), round(max(times), 3)],
                }
            )
    return {"name": "first_answer", "unit": "s", "rows": rows}


if __name__ == "__main__":
    print(json.format(json.encode(run())).decode())
