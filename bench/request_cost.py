"""Measures a non-idempotent request at its entry node: processor time and calls to the store.

Run as `python -m bench.request_cost`; prints JSON.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from statistics import median
from time import process_time
from typing import Any, Final

from msgspec import json
from result import Err, Ok

from bench.gather_cost import SERVICE, make_configuration
from sequoiapulley.ids import (
    CallerId,
    Fingerprint,
    IdempotencyKey,
    Incarnation,
    InstanceName,
    LeaseId,
    NodeId,
    RequestId,
    Revision,
    ServiceName,
)
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.platform.store import (
    ABSENT,
    LeaseReply,
    StoreError,
    StoreErrorKind,
    StoreReply,
    StoreValue,
)
from sequoiapulley.requests.coordinator import RequestCoordinator
from sequoiapulley.requests.messages import (
    KeyedRequest,
    RequestOutcome,
    RunOrder,
    RunReport,
    RunState,
)
from sequoiapulley.runtime import PausedClock

ROUNDS: Final = 9
REQUESTS_PER_ROUND: Final = 1_000
MICROSECONDS: Final = 1e6
HOME: Final = NodeId("home")
BODY: Final = '{"sku":"tile-12","quantity":40}'
ANSWER: Final = '{"order":"accepted"}'


class _MemoryStore:
    """A store that answers every call immediately and counts it."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self._values: dict[str, StoreValue] = {}

    def get(self, key: str, done: Callable[[StoreReply], None]) -> None:
        """Reads a key."""
        self.calls["get"] += 1
        done(Ok(self._read(key)))

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        done: Callable[[StoreReply], None],
        lease: LeaseId | None = None,
    ) -> None:
        """Writes a key if its revision is `expected`."""
        self.calls["put"] += 1
        current = self._read(key)
        if current.revision != expected:
            done(Err(StoreError(StoreErrorKind.CONFLICT, "revision", current)))
            return
        self._values[key] = StoreValue(key, value, Revision(current.revision + 1))
        done(Ok(self._values[key]))

    def delete(self, key: str, expected: Revision, done: Callable[[StoreReply], None]) -> None:
        """Not implemented: requests never delete a key."""
        raise NotImplementedError

    def watch(
        self, key: str, after: Revision, wait: float, done: Callable[[StoreReply], None]
    ) -> None:
        """Not implemented: requests never watch a key."""
        raise NotImplementedError

    def grant_lease(self, ttl: float, done: Callable[[LeaseReply], None]) -> None:
        """Creates a lease."""
        self.calls["grant_lease"] += 1
        done(Ok(LeaseId("lease")))

    def _read(self, key: str) -> StoreValue:
        return self._values.get(key, StoreValue(key, b"", ABSENT))


class _OneHome:
    """Assigns the same home to every instance."""

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns the homes of an instance."""
        return (HOME,)


class _Entry:
    """One entry node whose home reports immediately."""

    def __init__(self, store: _MemoryStore, name: str) -> None:
        self.outcomes: Counter[tuple[str, bool]] = Counter()
        self._orders: list[RunOrder] = []
        self._clock = PausedClock()
        self._coordinator = RequestCoordinator(
            store,
            NodeId(name),
            Incarnation(1),
            _OneHome(),
            self._clock,
            self._send,
            self._finish,
            MemoryLog(),
        )
        self._coordinator.configure(make_configuration(20))

    def run(self, number: int) -> None:
        """Runs one request to its outcome."""
        request = KeyedRequest(
            RequestId(f"request-{number}"),
            CallerId("caller"),
            SERVICE,
            IdempotencyKey(f"key-{number}"),
            BODY,
            Fingerprint("print"),
            self._clock.now() + 1.0,
        )
        self._coordinator.start(request)
        while self._orders:
            run_id = self._orders.pop().run_id
            self._coordinator.on_report(HOME, RunReport(run_id, RunState.DONE, None, ANSWER))

    def _send(self, node: NodeId, order: RunOrder) -> bool:
        self._orders.append(order)
        return True

    def _finish(self, outcome: RequestOutcome) -> None:
        self.outcomes[(outcome.state.value, outcome.repeated)] += 1


def _measure(entry: _Entry, store: _MemoryStore) -> dict[str, Any]:
    times: list[float] = []
    store.calls.clear()
    for round_number in range(ROUNDS):
        started = process_time()
        for number in range(REQUESTS_PER_ROUND):
            entry.run(round_number * REQUESTS_PER_ROUND + number)
        times.append((process_time() - started) / REQUESTS_PER_ROUND * MICROSECONDS)
    total = ROUNDS * REQUESTS_PER_ROUND
    return {
        "us_per_request": round(median(times), 1),
        "us_per_request_spread": [round(min(times), 1), round(max(times), 1)],
        "store_calls_per_request": {
            name: round(calls / total, 4) for name, calls in sorted(store.calls.items())
        },
        "outcomes": {
            f"{state}{' repeated' if repeated else ''}": count
            for (state, repeated), count in entry.outcomes.items()
        },
    }


def run() -> dict[str, Any]:
    """Measures first requests at one entry node and their retries at another.

    Returns:
        Microseconds of processor time and calls to the store per request.
    """
    store = _MemoryStore()
    first = _measure(_Entry(store, "first"), store)
    retry = _measure(_Entry(store, "second"), store)
    return {"bench": "request_cost", "first": first, "repeat_at_another_node": retry}


if __name__ == "__main__":
    print(json.format(json.encode(run())).decode())
