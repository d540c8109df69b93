"""Compares fan-out through homes with direct fan-out, using processes over loopback.

The services are those of Cedarline's example configuration.

`python -m bench.fan_out`
"""

from __future__ import annotations

import sys
from http.client import HTTPException
from os import sysconf
from pathlib import Path
from random import Random
from threading import Thread
from time import monotonic, sleep
from typing import Any, Final

from msgspec import json

from bench.policy_scenarios import quantile
from standins.http_call import http_json
from standins.local_fleet import LocalFleet, local_fleet

CONFIGURATION_PATH: Final = Path(__file__).resolve().parent.parent / "examples" / "cedarline.json5"
NODES: Final = 15
SERVICE: Final = "planner-desk"
SEARCHES_PER_S: Final = 20.0
"""Searches per second over the whole fleet, if an answer took no time: each node's client waits a
random, exponentially distributed time after every answer."""
WARM_UP_S: Final = 4.0
SECONDS: Final = 10.0
DEADLINE_MS: Final = 500
LATENCY_MS: Final = 4.0
SEED: Final = 20_261_203
ROUNDS: Final = 2


class NodeLoad(Thread):
    """Sends a share of the searches to one node."""

    def __init__(self, port: int, number: int, seconds: float) -> None:
        """Creates the load of one node.

        Args:
            port: The node's port for callers.
            number: Number of the node, added to the seed of the arrivals.
            seconds: Duration of the arrivals.
        """
        super().__init__(daemon=True)
        self._port = port
        self._random = Random(SEED + number)
        self._seconds = seconds
        self.times_ms: list[float] = []
        self.complete = 0
        self.failed = 0

    def run(self) -> None:
        """Sends searches one at a time, at random intervals."""
        end = monotonic() + self._seconds
        while monotonic() < end:
            sleep(self._random.expovariate(SEARCHES_PER_S / NODES))
            self._search()

    def _search(self) -> None:
        """Sends one search and records its answer."""
        body = {"query": f"oak {self._random.random()}", "deadline_ms": DEADLINE_MS}
        started = monotonic()
        try:
            status, answer = http_json(self._port, "POST", f"/v1/services/{SERVICE}/search", body)
        except (OSError, HTTPException):
            self.failed += 1
            return
        if status != 200:
            self.failed += 1
            return
        self.times_ms.append((monotonic() - started) * 1_000)
        self.complete += not answer["lacking"]


def _send(fleet: LocalFleet, seconds: float) -> list[NodeLoad]:
    """Sends the load to every node and waits until it is finished."""
    loads = [
        NodeLoad(node.ports.callers, number, seconds) for number, node in enumerate(fleet.running())
    ]
    for load in loads:
        load.start()
    for load in loads:
        load.join()
    return loads


def _processor_s(fleet: LocalFleet) -> float:
    """Returns the processor time used by all nodes, in seconds."""
    ticks = 0
    for node in fleet.running():
        fields = Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / sysconf("SC_CLK_TCK")


def _apply(fleet: LocalFleet) -> None:
    """Applies the configuration and waits until the nodes are ready."""
    edit = {"base_version": 0, "edit_id": "bench", "author": "bench", "text": fleet.text}
    http_json(fleet.running()[0].ports.operators, "PUT", "/v1/config", edit)
    fleet.wait_until_ready()


def _measure(mode: str) -> dict[str, Any]:
    """Measures one run in one fan-out mode."""
    text = CONFIGURATION_PATH.read_text(encoding="utf-8")
    settings = {"fan_out": mode}
    with local_fleet(text, NODES, {"latency_ms": LATENCY_MS}, settings) as fleet:
        fleet.wait_for_members(NODES)
        _apply(fleet)
        _send(fleet, WARM_UP_S)
        fleet.upstreams.reset()
        before = _processor_s(fleet)
        loads = _send(fleet, SECONDS)
        processor_s = _processor_s(fleet) - before
        totals = fleet.upstreams.totals()
        # The service depends on all others, so a search covers the instances of every service.
        shards = sum(len(s.instances) for s in fleet.configuration.services.values())
    times = sorted(time for load in loads for time in load.times_ms)
    counters = totals.upstreams.values()
    return {
        "fan_out": mode,
        "searches": len(times),
        "failed": sum(load.failed for load in loads),
        "p50_ms": round(quantile(times, 0.5), 1),
        "p99_ms": round(quantile(times, 0.99), 1),
        "full_coverage": round(sum(load.complete for load in loads) / max(1, len(times)), 4),
        "extra_load": round(totals.received / max(1, len(times) * shards) - 1, 4),
        "peak_running": max(c.peak_running for c in counters),
        "peak_queue": max(c.peak_queue for c in counters),
        "peak_connections": max(c.peak_connections for c in counters),
        "node_ms_per_search": round(processor_s / max(1, len(times)) * 1_000, 2),
    }


def run() -> dict[str, Any]:
    """Measures both fan-out modes in turn.

    Returns:
        Name, unit and one row for each run.
    """
    rows = []
    for _ in range(ROUNDS):
        for mode in ("homes", "direct"):
            rows.append(_measure(mode))
            print(json.encode(rows[-1]).decode(), file=sys.stderr, flush=True)
    return {"name": "fan_out", "unit": "ms and shares", "nodes": NODES, "rows": rows}


if __name__ == "__main__":
    print(json.format(json.encode(run())).decode())
