"""Measures the server's processor time per caller request.

Requests pass through the connection guard of the callers' port and circuits.web.

`python -m bench.callers_cost`
"""

from __future__ import annotations

from collections.abc import Callable
from gc import collect, freeze
from socket import create_connection
from statistics import median
from threading import Thread
from time import thread_time
from typing import Any, Final

from circuits import Manager
from circuits.core.pollers import EPoll
from msgspec import json

from sequoiapulley.entry.callers_messages import EntriesView
from sequoiapulley.entry.callers_port import CallersPort
from sequoiapulley.ids import (
    CallerId,
    ContractName,
    FailureDomainName,
    IdempotencyKey,
    RequestId,
    ServiceName,
    ShardId,
)
from sequoiapulley.model import Service, Snapshot
from sequoiapulley.requests.messages import KeyedRequest, RequestOutcome
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.search.messages import Hit, SearchAnswer, SearchRequest

REQUESTS_PER_ROUND: Final = 300
ROUNDS: Final = 9
FAN_OUTS: Final = (20, 60, 140, 560)
HITS: Final = 20
MICROSECONDS: Final = 1e6
SERVICE: Final = Service(ServiceName("desk"), ContractName("c"), ())


class InstantBackend:
    """Answers every search immediately with a prepared answer."""

    def __init__(self, fan_out: int) -> None:
        """Prepares the answer.

        Args:
            fan_out: Number of shards that the answer covers.
        """
        shards = tuple(ShardId(f"desk-{number:03d}") for number in range(fan_out))
        hits = tuple(Hit(f"hit-{n}", 1.0 / (n + 1), shards[n % fan_out]) for n in range(HITS))
        self._answer = SearchAnswer(
            RequestId("r"), Snapshot(1, 1), hits, shards, (), 1.0, complete=True
        )

    def service(self, name: ServiceName) -> Service | None:
        """Returns the only service."""
        return SERVICE

    def new_request_id(self) -> RequestId:
        """Returns a fixed id."""
        return RequestId("r")

    def search(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        """Answers immediately."""
        done(self._answer)

    def run(self, request: KeyedRequest, done: Callable[[RequestOutcome], None]) -> None:
        """Does nothing; the benchmark sends no such request."""

    def issue_ticket(self) -> IdempotencyKey:
        """Returns a fixed key; the benchmark requests no ticket."""
        return IdempotencyKey("ticket")

    def on_caller_disconnected(self, request_id: RequestId) -> None:
        """Ignores the disconnect."""

    def entries(self, caller: CallerId, failure_domain: FailureDomainName | None) -> EntriesView:
        """Returns no entry nodes."""
        return EntriesView((), 1.0)


def _request() -> bytes:
    """Encodes one search request as a caller sends it."""
    body = json.encode({"query": "oak flooring", "deadline_ms": 60})
    head = (
        "POST /v1/services/desk/search HTTP/1.1\r\nHost: node\r\nX-Caller: desk-7\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Client(Thread):
    """Sends requests one after another in a separate thread."""

    def __init__(self, port: int, requests: int) -> None:
        """Connects.

        Args:
            port: The callers' port.
            requests: Number of requests to send.
        """
        super().__init__(daemon=True)
        self._sock = create_connection(("127.0.0.1", port))
        self._requests = requests

    def run(self) -> None:
        """Sends each request and waits for its reply, then closes the connection."""
        request = _request()
        for _ in range(self._requests):
            self._sock.sendall(request)
            received = b""
            while not received.endswith(b"}"):
                received += self._sock.recv(262_144)
        self._sock.close()


def _serve_round(manager: Any, port: int) -> float:
    """Serves one round and returns the server's processor time per request, in microseconds."""
    client = Client(port, REQUESTS_PER_ROUND)
    collect()
    started = thread_time()
    client.start()
    while client.is_alive():
        manager.tick(0.01)
    return (thread_time() - started) / REQUESTS_PER_ROUND * MICROSECONDS


def _measure(fan_out: int) -> dict[str, Any]:
    """Measures requests whose answers list `fan_out` shards."""
    manager: Any = Manager()
    EPoll().register(manager)
    # circuits polls only while its manager is marked as running.
    manager._running = True
    clock = SystemClock()
    port = CallersPort("127.0.0.1", 0, TimerQueue(clock), clock, InstantBackend(fan_out))
    port.register(manager)
    _serve_round(manager, port.port)
    costs = [_serve_round(manager, port.port) for _ in range(ROUNDS)]
    port.stop_accepting()
    for _ in range(20):
        manager.tick(0.0)
    return {
        "fan_out": fan_out,
        "us_per_request": round(median(costs), 2),
        "spread": [round(min(costs), 2), round(max(costs), 2)],
    }


def run() -> dict[str, Any]:
    """Measures requests for answers with several numbers of shards.

    Returns:
        Name, unit and one row for each fan-out.
    """
    # Later collections skip the objects that exist at the start.
    freeze()
    rows = [_measure(fan_out) for fan_out in FAN_OUTS]
    return {"name": "callers_cost", "unit": "us of processor time", "rows": rows}


if __name__ == "__main__":
    print(json.format(json.encode(run())).decode())
