"""Compares the dispatcher with the naive policy on paused time: tail, coverage, extra load."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Final

from bench.paused_upstreams import (
    DEADLINE_S,
    NullCodec,
    Outcome,
    PausedUpstreams,
    small_configuration,
)
from sequoiapulley.model import Snapshot
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.upstream.baseline import BaselineDispatcher
from sequoiapulley.upstream.dispatcher import Dispatcher

SHARDS: Final = 20
SEARCHES_PER_S: Final = 300.0
"""About a third of the capacity of two replicas; the first replica alone is at two thirds."""
SECONDS: Final = 10.0
FAULT_AT_S: Final = 2.0
LONG_DEADLINE_S: Final = 1.0
"""Shows the tail of the naive policy that the usual deadline cuts off."""
MEASURED_FROM_S: Final = 1.0
MS: Final = 1000.0

Fault = Callable[[PausedUpstreams], None]


def no_fault(world: PausedUpstreams) -> None:
    """Changes nothing."""


def stragglers(world: PausedUpstreams) -> None:
    """One request in a hundred takes twenty times as long, everywhere."""
    for upstream in world.upstreams.values():
        upstream.straggler_share = 0.01


def replica_lost(world: PausedUpstreams) -> None:
    """The first replica of one instance refuses connections."""
    next(iter(world.upstreams.values())).down = True


def crawling(world: PausedUpstreams) -> None:
    """The first replica of one instance becomes twenty times as slow."""
    next(iter(world.upstreams.values())).factor = 20.0


def silent(world: PausedUpstreams) -> None:
    """All open connections of a quarter of the upstreams go silent."""
    for upstream in list(world.upstreams.values())[::4]:
        upstream.silent = True


def index_roll(world: PausedUpstreams) -> None:
    """The first replica of half of the instances moves to the next snapshot, for two seconds."""
    moved = list(world.upstreams.values())[::4]
    for upstream in moved:
        upstream.snapshots = (Snapshot(1, 2),)

    def back() -> None:
        for upstream in moved:
            upstream.snapshots = (Snapshot(1, 1), Snapshot(1, 2))

    world.at(world.now + 2.0, back)


FAULTS: Final[dict[str, Fault]] = {
    "no fault": no_fault,
    "1% stragglers": stragglers,
    "replica lost": replica_lost,
    "one crawling": crawling,
    "silent connections": silent,
    "index roll": index_roll,
}


def quantile(sorted_values: list[float], share: float) -> float:
    """Returns a quantile of sorted values, in milliseconds."""
    index = min(len(sorted_values) - 1, int(share * len(sorted_values)))
    return round(sorted_values[index] * MS, 2)


def measure(
    dispatcher: Dispatcher,
    fault: Fault,
    seconds: float = SECONDS,
    deadline: float = DEADLINE_S,
) -> dict[str, float]:
    """Runs searches over all shards with one fault.

    Args:
        dispatcher: The policy.
        fault: What happens after `FAULT_AT_S`.
        seconds: How long searches arrive.
        deadline: Time limit of each search, in seconds.

    Returns:
        Quantiles in milliseconds, shares from 0 to 1.
    """
    world = PausedUpstreams(dispatcher, small_configuration(SHARDS))
    searches: list[list[Outcome]] = []

    def search() -> None:
        ids = [world.search(instance, deadline=deadline) for instance in world.instances]
        searches.append([world.outcomes[sub_id] for sub_id in ids])

    due = 0.0
    while (due := due + world.random.expovariate(SEARCHES_PER_S)) < seconds:
        world.at(due, search)
    world.at(FAULT_AT_S, lambda: fault(world))
    world.run_until(seconds + 1.0 + deadline)
    counted = [search for search in searches if search[0].started_at >= MEASURED_FROM_S]
    times = sorted(max(_time(outcome) for outcome in search) for search in counted)
    subs = [outcome for search in counted for outcome in search]
    covered = sum(1 for outcome in subs if outcome.reason is None)
    full = sum(1 for search in counted if all(outcome.reason is None for outcome in search))
    return {
        "p50_ms": quantile(times, 0.5),
        "p99_ms": quantile(times, 0.99),
        "p99_9_ms": quantile(times, 0.999),
        "coverage": round(covered / len(subs), 5),
        "full": round(full / len(counted), 4),
        "extra_load": round(world.received / len(world.outcomes) - 1, 4),
    }


def _time(outcome: Outcome) -> float:
    assert outcome.finished_at is not None
    return outcome.finished_at - outcome.started_at


def run() -> dict[str, dict[str, dict[str, float]]]:
    """Measures every fault with both policies.

    Returns:
        Results by fault and policy.
    """
    results: dict[str, dict[str, dict[str, float]]] = {}
    for name, fault in FAULTS.items():
        naive: Dispatcher = BaselineDispatcher(NullCodec(), MemoryLog())  # type: ignore[assignment]
        results[name] = {
            "baseline": measure(naive, fault),
            "dispatcher": measure(Dispatcher(NullCodec(), MemoryLog()), fault),
        }
    slow: Dispatcher = BaselineDispatcher(NullCodec(), MemoryLog())  # type: ignore[assignment]
    quick = Dispatcher(NullCodec(), MemoryLog())
    results["1% stragglers, 1 s"] = {
        "baseline": measure(slow, stragglers, deadline=LONG_DEADLINE_S),
        "dispatcher": measure(quick, stragglers, deadline=LONG_DEADLINE_S),
    }
    return results


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
