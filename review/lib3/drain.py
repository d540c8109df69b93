"""Planned leave of a backend for which a node holds requests back.

Clients at the counters press with one request each, so that each backend has more of them than a
node opens connections to it. One backend reports `draining`, serves on as the pages say, and exits.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import SystemRandom
from time import monotonic

from msgspec import json

from review.lib3.backend import Arrival, Backend
from review.lib3.common import (
    BOUNDS,
    CONTACT_MS,
    DRAIN_MS,
    HEARTBEAT_S,
    HOST,
    LIMITS,
    ZONES,
    Record,
    play,
)
from review.lib3.fleet import Fleet
from review.lib3.http import HttpMessage, read_message
from standins.store import StoreStandIn

TIMEOUT_MS = 8_002
SERVICE = "registro"
SLOTS = 6
QUEUE = 24
MAX_CONNECTIONS = 21
"""Connections that a backend accepts: seven for each of three machines, as 105 for 15 of them."""
WORK_S = 0.8
CLIENTS = 112
"""The 66 clients of the site at 1.7 times the usual, each with one request at a time."""
PRESS_S = 7.0
"""Time for which clients press before the backend leaves."""
SERVES_ON_S = 2.0
"""Time for which the backend serves beyond `drain_ms`: the pages' little longer."""
OBSERVED_S = 3.0
MARGIN_S = 0.1


class DrainCase:
    """One run."""

    def __init__(self, trouble: bool) -> None:
        """Creates the stand-ins."""
        self.trouble = trouble
        self.store = StoreStandIn()
        self.backends = [
            Backend(f"i-{number}", SERVICE, zone, SLOTS, QUEUE, WORK_S)
            for number, zone in ((1, "xela-uno"), (2, "flores-uno"))
        ]
        self.leaver = self.backends[0]
        self.states = {backend.name: "ready" for backend in self.backends}
        self.drain_acknowledged: float | None = None
        self.exited_at: float | None = None
        self.sent: dict[str, float] = {}
        self.answers: dict[str, str] = {}
        self.record = Record()
        self.count = 0

    def put_entry(self, backend: Backend) -> None:
        """Writes the entry of a backend; the store has accepted it when this returns."""
        entry = backend.entry(self.states[backend.name])
        self.store.put(f"servers/{backend.name}", json.encode(entry))

    async def heartbeats(self) -> None:
        """Writes the entries again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for backend in self.backends:
                if self.states[backend.name] != "gone":
                    self.put_entry(backend)

    async def client(self, fleet: Fleet, number: int, until: asyncio.Event) -> None:
        """Sends one request after another on a kept connection."""
        random = SystemRandom()
        conn: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        await asyncio.sleep(random.random() * 1.0)
        while not until.is_set():
            self.count += 1
            attempt = f"{number:04x}{self.count:012x}"
            if conn is None:
                entries = await fleet.entries(random.choice(fleet.nodes), "xela-uno")
                if not entries:
                    await asyncio.sleep(0.2)
                    continue
                conn = await asyncio.open_connection(*random.choice(entries))
            head = (
                f"POST /fichas/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 4\r\n\r\nform"
            )
            self.sent[attempt] = monotonic()
            answer: HttpMessage | None = None
            try:
                conn[1].write(head.encode())
                async with asyncio.timeout(TIMEOUT_MS / 1000 + 1.0):
                    answer = await read_message(conn[0])
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                answer = None
            self.answers[attempt] = "no answer" if answer is None else str(answer.status)
            self.record.note(f"answer {attempt} {self.answers[attempt]}")
            if answer is None or answer.headers.get("connection", "").lower() == "close":
                conn[1].close()
                conn = None
            if answer is not None and answer.status == 503:
                await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
        if conn is not None:
            conn[1].close()

    def on_arrival(self, backend: Backend, arrival: Arrival) -> None:
        """Records a request that reached a backend."""
        self.record.note(f"reaches {backend.name} {arrival.attempt}")

    async def run(self) -> int:
        """Plays the case; returns the exit status."""
        self.store.start()
        fleet: Fleet | None = None
        tasks: list[asyncio.Task[None]] = []
        try:
            for backend in self.backends:
                backend.on_arrival = lambda arrival, backend=backend: self.on_arrival(
                    backend, arrival
                )
                await backend.start()
                self.put_entry(backend)
            self.put_configuration()
            tasks.append(asyncio.create_task(self.heartbeats()))
            store = f"127.0.0.1:{self.store.port}"
            fleet = Fleet(ZONES, list(ZONES), store, BOUNDS)
            for node in fleet.nodes:
                fleet.start(node)
            await fleet.wait_ready()
            await asyncio.sleep(CONTACT_MS / 1000 + 0.5)
            done = asyncio.Event()
            clients = [
                asyncio.create_task(self.client(fleet, number, done)) for number in range(CLIENTS)
            ]
            await asyncio.sleep(PRESS_S)
            if self.trouble:
                self.states[self.leaver.name] = "draining"
                self.leaver.leaving = True
                self.put_entry(self.leaver)
                self.drain_acknowledged = monotonic()
                self.record.note(f"draining {self.leaver.name}: the store has accepted it")
            await asyncio.sleep(DRAIN_MS / 1000 + SERVES_ON_S)
            if self.trouble:
                self.states[self.leaver.name] = "gone"
                self.exited_at = monotonic()
                self.leaver.exit()
                self.store.remove(f"servers/{self.leaver.name}")
                self.record.note(f"exit {self.leaver.name}")
            await asyncio.sleep(OBSERVED_S)
            done.set()
            await asyncio.gather(*clients, return_exceptions=True)
            return self.judge()
        finally:
            for task in tasks:
                task.cancel()
            if fleet is not None:
                fleet.close()
            self.store.stop()

    def put_configuration(self) -> None:
        """Writes the operator's configuration."""
        route = {
            "name": "r-fichas",
            "host": HOST,
            "prefix": "/fichas/",
            "type": "non_idempotent",
            "timeout_ms": TIMEOUT_MS,
            "goal_ms": 2_000,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        }
        service = {"name": SERVICE, "health_path": "/health", "max_connections": MAX_CONNECTIONS}
        config = {"version": 7, "routes": [route], "services": [service], "limits": LIMITS}
        self.store.put("op/config", json.encode(config))

    def judge(self) -> int:
        """Checks the rule; returns the exit status."""
        outcomes = Counter(self.answers.values())
        self.record.note(f"answers {dict(outcomes)}")
        twice = [
            attempt
            for attempt in self.sent
            if sum(backend.runs.get(attempt, 0) for backend in self.backends) > 1
        ]
        self.record.note(f"ran more than once: {len(twice)}")
        if self.drain_acknowledged is None:
            self.record.note("no backend left: the rule held")
            return 1 if twice else 0
        end = self.drain_acknowledged + DRAIN_MS / 1000
        late = [
            arrival
            for arrival in self.leaver.arrivals
            if arrival.at > end + MARGIN_S and arrival.outcome != "other_instance"
        ]
        for arrival in late:
            self.record.note(
                f"late: {arrival.attempt} sent {self.sent[arrival.attempt] - end:+.3f} s, reached "
                f"the backend {arrival.at - end:+.3f} s after the end of its drain, "
                f"{arrival.outcome} there, answered {self.answers.get(arrival.attempt)}"
            )
        cut = [arrival for arrival in late if arrival.outcome == "cut"]
        self.record.note(f"requests that reached the backend too late: {len(late)}")
        self.record.note(f"of these cut by its exit: {len(cut)}")
        return 1 if late or twice else 0


if __name__ == "__main__":
    play("11", DrainCase)
