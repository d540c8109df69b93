"""Compares the dispatcher and the baseline in simulated time: tail, coverage, extra load."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Final

from bench.paused_upstreams import (
    DEADLINE_S,
    NullCodec,
    Outcome,
    UpstreamSimulation,
    small_configuration,
)
from sequoiapulley.model import Snapshot
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.upstream.baseline import BaselineDispatcher
from sequoiapulley.upstream.dispatcher import Dispatcher

SHARDS: Final = 20
SEARCHES_PER_S: Final = 300.0
"""About a third of the capacity of two replicas, or two thirds of that of the first one alone."""
SECONDS: Final = 10.0
FAULT_AT_S: Final = 2.0
LONG_DEADLINE_S: Final = 1.0
"""Long enough to show the latency tail of the baseline, which `DEADLINE_S` cuts off."""
MEASURED_FROM_S: Final = 1.0
MS_PER_S: Final = 1000.0

Fault = Callable[[UpstreamSimulation], None]


def no_fault(simulation: UpstreamSimulation) -> None:
    """Injects no fault."""


def stragglers(simulation: UpstreamSimulation) -> None:
    """Makes one request in a hundred twenty times as slow, on every upstream."""
    for upstream in simulation.upstreams.values():
        upstream.straggler_share = 0.01


def replica_lost(simulation: UpstreamSimulation) -> None:
    """Makes the first replica of one instance refuse connections."""
    next(iter(simulation.upstreams.values())).down = True


def slow_replica(simulation: UpstreamSimulation) -> None:
    """Makes the first replica of one instance twenty times as slow."""
    next(iter(simulation.upstreams.values())).factor = 20.0


def silent(simulation: UpstreamSimulation) -> None:
    """Makes all open connections of a quarter of the upstreams unresponsive."""
    for upstream in list(simulation.upstreams.values())[::4]:
        upstream.silent = True


def index_roll(simulation: UpstreamSimulation) -> None:
    """Moves the first replica of half of the instances to the next snapshot for two seconds."""
    moved = list(simulation.upstreams.values())[::4]
    for upstream in moved:
        upstream.snapshots = (Snapshot(1, 2),)

    def restore() -> None:
        for upstream in moved:
            upstream.snapshots = (Snapshot(1, 1), Snapshot(1, 2))

    simulation.at(simulation.now + 2.0, restore)


FAULTS: Final[dict[str, Fault]] = {
    "no fault": no_fault,
    "1% stragglers": stragglers,
    "replica lost": replica_lost,
    "one crawling": slow_replica,
    "silent connections": silent,
    "index roll": index_roll,
}


def quantile(sorted_values: list[float], share: float) -> float:
    """Returns a quantile, in milliseconds, of sorted values in seconds."""
    index = min(len(sorted_values) - 1, int(share * len(sorted_values)))
    return round(sorted_values[index] * MS_PER_S, 2)


def measure(
    dispatcher: Dispatcher,
    fault: Fault,
    seconds: float = SECONDS,
    deadline: float = DEADLINE_S,
) -> dict[str, float]:
    """Measures searches over all shards while one fault is injected.

    Args:
        dispatcher: The dispatcher to measure.
        fault: Injects the fault; called at `FAULT_AT_S`.
        seconds: Duration of the arrivals.
        deadline: Time limit of each search, in seconds.

    Returns:
        Quantiles in milliseconds, shares from 0 to 1.
    """
    simulation = UpstreamSimulation(dispatcher, small_configuration(SHARDS))
    searches: list[list[Outcome]] = []

    def search() -> None:
        ids = [simulation.search(instance, deadline=deadline) for instance in simulation.instances]
        searches.append([simulation.outcomes[sub_id] for sub_id in ids])

    due = 0.0
    while (due := due + simulation.random.expovariate(SEARCHES_PER_S)) < seconds:
        simulation.at(due, search)
    simulation.at(FAULT_AT_S, lambda: fault(simulation))
    simulation.run_until(seconds + 1.0 + deadline)
    measured = [search for search in searches if search[0].started_at >= MEASURED_FROM_S]
    times = sorted(max(_elapsed_s(outcome) for outcome in search) for search in measured)
    subs = [outcome for search in measured for outcome in search]
    covered = sum(1 for outcome in subs if outcome.reason is None)
    full = sum(1 for search in measured if all(outcome.reason is None for outcome in search))
    return {
        "p50_ms": quantile(times, 0.5),
        "p99_ms": quantile(times, 0.99),
        "p99_9_ms": quantile(times, 0.999),
        "coverage": round(covered / len(subs), 5),
        "full": round(full / len(measured), 4),
        "extra_load": round(simulation.received / len(simulation.outcomes) - 1, 4),
    }


def _elapsed_s(outcome: Outcome) -> float:
    assert outcome.finished_at is not None
    return outcome.finished_at - outcome.started_at


def run() -> dict[str, dict[str, dict[str, float]]]:
    """Measures every fault with both dispatchers.

    Returns:
        Results by fault and dispatcher.
    """
    results: dict[str, dict[str, dict[str, float]]] = {}
    for name, fault in FAULTS.items():
        baseline: Dispatcher = BaselineDispatcher(NullCodec(), MemoryLog())  # type: ignore[assignment]
        results[name] = {
            "baseline": measure(baseline, fault),
            "dispatcher": measure(Dispatcher(NullCodec(), MemoryLog()), fault),
        }
    long_deadline_baseline: Dispatcher = BaselineDispatcher(NullCodec(), MemoryLog())  # type: ignore[assignment]
    long_deadline_dispatcher = Dispatcher(NullCodec(), MemoryLog())
    results["1% stragglers, 1 s"] = {
        "baseline": measure(long_deadline_baseline, stragglers, deadline=LONG_DEADLINE_S),
        "dispatcher": measure(long_deadline_dispatcher, stragglers, deadline=LONG_DEADLINE_S),
    }
    return results


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
