"""Measures the cost of counting outcomes, of rendering metrics and of the burn report."""

from __future__ import annotations

import sys
from collections.abc import Callable
from gc import collect
from random import Random
from statistics import median
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop
from typing import Any, Final

from msgspec import json

from sequoiapulley.ids import ConfigVersion, ContractName, NodeId, ServiceName
from sequoiapulley.model.service import Service
from sequoiapulley.observe.burn import BurnRecorder
from sequoiapulley.observe.burn_report import merge_node_reports
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.observe.node_observer import NodeObserver, NodeSample, SearchSample
from sequoiapulley.runtime import PausedClock

SERVICES: Final = 8
ROUNDS: Final = 9
CALLS: Final = 2_000
FILL_MINUTES: Final = 4_500
"""Minutes of recorded searches that fill every window."""
SEARCHES_PER_MINUTE: Final = 20
NODES: Final = (15, 60, 590)
MICROSECONDS: Final = 1e6
STATE: Final = NodeSample(ConfigVersion(1), ("alive",) * 15, 3, 7, True, 100.0)


def make_services() -> list[Service]:
    """Returns the services of the benchmark."""
    return [Service(ServiceName(f"s{i}"), ContractName("k"), ()) for i in range(SERVICES)]


def filled_recorder(node: str, minutes: int) -> BurnRecorder:
    """Returns a recorder that has counted searches for a number of minutes."""
    clock = PausedClock()
    recorder = BurnRecorder(NodeId(node), clock)
    services = make_services()
    recorder.configure(services)
    random = Random(7)
    for _ in range(minutes):
        clock.advance(60)
        for number in range(SEARCHES_PER_MINUTE):
            service = services[number % SERVICES].name
            recorder.record_search(service, random.lognormvariate(-3.5, 0.5), True, True)
    return recorder


def time_call(call: Callable[[], object], calls: int) -> dict[str, float]:
    """Returns the median, minimum and maximum time of a call over the rounds, in µs."""
    costs = []
    for _ in range(ROUNDS):
        started = perf_counter()
        for _ in range(calls):
            call()
        costs.append((perf_counter() - started) / calls * MICROSECONDS)
    return {
        "median": round(median(costs), 2),
        "least": round(min(costs), 2),
        "most": round(max(costs), 2),
    }


def measure_calls() -> list[dict[str, Any]]:
    """Measures the calls that a node makes for each outcome and each operators' request."""
    observer = NodeObserver(NodeId("n"), PausedClock(), MemoryLog())
    observer.configure(make_services())
    complete = SearchSample(ServiceName("s1"), 0.03, True, 560, (), True)
    partial = SearchSample(ServiceName("s1"), 0.06, True, 550, ("deadline",) * 10, True)
    recorder = filled_recorder("n", FILL_MINUTES)
    for service in make_services():
        observer.record_search(SearchSample(service.name, 0.03, True, 1, ("deadline",), True))
    calls: dict[str, tuple[Callable[[], object], int]] = {
        "observe whole answer": (lambda: observer.record_search(complete), CALLS),
        "observe partial answer": (lambda: observer.record_search(partial), CALLS),
        "burn record alone": (
            lambda: recorder.record_search(ServiceName("s1"), 0.03, True, True),
            CALLS,
        ),
        "render metrics, 8 services": (lambda: observer.render(STATE), 5),
        "burn part, 8 services, windows full": (lambda: json.encode(recorder.node_report()), 1),
    }
    return [{"call": name, **time_call(call, number)} for name, (call, number) in calls.items()]


def measure_memory() -> dict[str, Any]:
    """Measures the memory of a recorder whose windows are all full."""
    collect()
    start()
    recorder = filled_recorder("n", FILL_MINUTES)
    collect()
    size, _ = get_traced_memory()
    stop()
    return {
        "services": SERVICES,
        "recorder_bytes": size,
        "burn_part_bytes": len(json.encode(recorder.node_report())),
    }


def measure_merge() -> list[dict[str, Any]]:
    """Measures merging the burn reports of many nodes, as the command-line tool does."""
    report = filled_recorder("n", 400).node_report()
    rows = []
    for nodes in NODES:
        started = perf_counter()
        merge_node_reports([report] * nodes, [])
        rows.append({"merge_nodes": nodes, "ms": round((perf_counter() - started) * 1_000, 1)})
    return rows


def run() -> dict[str, Any]:
    """Runs all measurements.

    Returns:
        Rows of calls in µs, one row in bytes and rows of merges in ms.
    """
    rows = [*measure_calls(), measure_memory(), *measure_merge()]
    return {"name": "observe_cost", "unit": "µs", "rows": rows}


if __name__ == "__main__":
    sys.stdout.write(json.encode(run()).decode() + "\n")
