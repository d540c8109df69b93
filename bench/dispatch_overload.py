"""Measures goodput and refusals at twice the capacity, and the recovery, in simulated time."""

from __future__ import annotations

import json
from typing import Final

from bench.dispatch_policies import quantile
from bench.paused_upstreams import (
    DEADLINE_S,
    NullCodec,
    Outcome,
    UpstreamSimulation,
    small_configuration,
)
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream.baseline import BaselineDispatcher
from sequoiapulley.upstream.dispatcher import Dispatcher

INSTANCES: Final = 2
CAPACITY_PER_S: Final = 750.0 * INSTANCES
"""Approximate throughput of the upstreams, including network time."""
BEFORE_S: Final = 10.0
OVERLOAD_S: Final = 30.0
AFTER_S: Final = 10.0
OVERLOAD_FACTOR: Final = 2.0


def measure(dispatcher: Dispatcher) -> dict[str, float]:
    """Offers 0.5, 1, 2 and again 0.5 times the capacity.

    Args:
        dispatcher: The dispatcher to measure.

    Returns:
        Answers in time per second, and quantiles of the latency in milliseconds.
    """
    simulation = UpstreamSimulation(dispatcher, small_configuration(INSTANCES))
    phase_starts: list[float] = []
    for factor, seconds in (
        (0.5, BEFORE_S),
        (1.0, BEFORE_S),
        (OVERLOAD_FACTOR, OVERLOAD_S),
        (0.5, AFTER_S),
    ):
        phase_starts.append(simulation.now)
        simulation.offer(factor * CAPACITY_PER_S, seconds)
        simulation.run_until(simulation.now + seconds)
    simulation.run_until(simulation.now + 1.0)
    outcomes = list(simulation.outcomes.values())
    calm, peak, overload, after = phase_starts
    refused = [
        outcome
        for outcome in outcomes
        if outcome.started_at >= overload and outcome.reason is MissingReason.OVERLOAD
    ]
    return {
        "peak_per_s": _goodput(outcomes, peak + 1, overload),
        "overload_per_s": _goodput(outcomes, overload + 1, after),
        "calm_p99_ms": _latency(outcomes, calm + 1, peak),
        "overload_p99_ms": _latency(outcomes, overload + 1, after),
        "refusal_p99_ms": (
            quantile(sorted(_elapsed_s(item) for item in refused), 0.99) if refused else 0.0
        ),
        "after_1_s_p99_ms": _latency(outcomes, after + 1, after + 2),
        "after_4_s_p99_ms": _latency(outcomes, after + 4, after + 5),
    }


def _goodput(outcomes: list[Outcome], start: float, end: float) -> float:
    in_time = sum(
        1
        for outcome in outcomes
        if start <= outcome.started_at < end
        and outcome.reason is None
        and _elapsed_s(outcome) <= DEADLINE_S + 1e-9
    )
    return round(in_time / (end - start), 1)


def _latency(outcomes: list[Outcome], start: float, end: float) -> float:
    times = [_elapsed_s(outcome) for outcome in outcomes if start <= outcome.started_at < end]
    return quantile(sorted(times), 0.99)


def _elapsed_s(outcome: Outcome) -> float:
    assert outcome.finished_at is not None
    return outcome.finished_at - outcome.started_at


def run() -> dict[str, dict[str, float]]:
    """Measures both dispatchers.

    Returns:
        Results by dispatcher.
    """
    baseline: Dispatcher = BaselineDispatcher(NullCodec(), MemoryLog())  # type: ignore[assignment]
    return {
        "baseline": measure(baseline),
        "dispatcher": measure(Dispatcher(NullCodec(), MemoryLog())),
    }


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
