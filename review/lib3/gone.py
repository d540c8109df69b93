"""Callers leave while nodes of another zone collect the parts of their searches."""

from __future__ import annotations

import asyncio
from collections import Counter
from hashlib import sha256
from random import SystemRandom
from time import monotonic

from msgspec import json

from review.lib3.backend import Backend
from review.lib3.common import (
    BOUNDS,
    CONTACT_MS,
    HEARTBEAT_S,
    HOST,
    LIMITS,
    ZONES,
    Record,
    play,
)
from review.lib3.fleet import Fleet
from review.lib3.http import read_message
from standins.store import StoreStandIn

NEAR, FAR = "xela-uno", "flores-uno"
NODE_ZONES = [NEAR, NEAR, FAR, FAR]
SHARDS = [f"mostrador-{number}" for number in range(10)]
BACKENDS_PER_SHARD = 2
SLOTS = 6
WORK_S = 1.2
GOAL_MS = 2_000
TIMEOUT_MS = 8_002
RATE_PER_S = 4
PLAYED_S = 20.0
LEAVING_SHARE = 0.3
"""Share of the clients that leave, as in the site's days."""
LEAVES_AFTER_S = 0.3
"""Time after which they leave: well within half of the objective."""
AT_WORK_S = 0.5
"""Time after the close from which a backend's work counts."""
MARGIN_S = 0.1
FEW = 3
WORKED_ON_SHARE = 0.25
RECORD_BYTES = 16
RECORDS = 8


class GoneCase:
    """One run."""

    def __init__(self, trouble: bool) -> None:
        """Creates the stand-ins."""
        self.record = Record()
        self.trouble = trouble
        self.store = StoreStandIn()
        self.backends = [
            Backend(f"i-{shard}-{number}", shard, FAR, SLOTS, 24, WORK_S)
            for shard in SHARDS
            for number in range(BACKENDS_PER_SHARD)
        ]
        for backend in self.backends:
            backend.body = lambda attempt, service=backend.service: _part(service, attempt)
        self.closed: dict[str, float] = {}
        self.answers: Counter[str] = Counter()

    async def heartbeats(self) -> None:
        """Writes the backends' entries again and again."""
        while True:
            for backend in self.backends:
                self.store.put(f"servers/{backend.name}", json.encode(backend.entry("ready")))
            await asyncio.sleep(HEARTBEAT_S)

    def put_configuration(self) -> None:
        """Writes the operator's configuration."""
        route = {
            "name": "r-lote",
            "host": HOST,
            "prefix": "/lote/",
            "type": "idempotent",
            "timeout_ms": TIMEOUT_MS,
            "goal_ms": GOAL_MS,
            "priority": 1,
            "gather": SHARDS,
            "max_attempts": 2,
            "top_k": 50,
            "oldest_version": 0.75,
        }
        services = [
            {"name": shard, "health_path": "/health", "max_connections": 56} for shard in SHARDS
        ]
        config = {"version": 7, "routes": [route], "services": services, "limits": LIMITS}
        self.store.put("op/config", json.encode(config))

    async def request(self, fleet: Fleet, number: int, leaves: bool) -> None:
        """Sends one search and waits for its answer, or leaves."""
        random = SystemRandom()
        entries = await fleet.entries(random.choice(fleet.nodes[:2]), NEAR)
        if not entries:
            self.answers["no address"] += 1
            return
        attempt = f"{number:016x}"
        host, port = random.choice(entries)
        head = (
            f"GET /lote/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(head.encode())
        if leaves:
            await asyncio.sleep(LEAVES_AFTER_S)
            writer.close()
            self.closed[attempt] = monotonic()
            self.record.note(f"{attempt} at {host}: the client has closed its connection")
            return
        answer = await read_message(reader)
        status = "no answer" if answer is None else str(answer.status)
        self.answers[status] += 1
        missing = "" if answer is None else answer.headers.get("x-missing-parts", "0")
        self.record.note(f"{attempt} at {host}: {status}, parts missing {missing}")
        writer.close()

    async def run(self) -> int:
        """Plays the case; returns the exit status."""
        self.store.start()
        fleet: Fleet | None = None
        beats: asyncio.Task[None] | None = None
        try:
            for backend in self.backends:
                await backend.start()
            self.put_configuration()
            beats = asyncio.create_task(self.heartbeats())
            fleet = Fleet(ZONES, NODE_ZONES, f"127.0.0.1:{self.store.port}", BOUNDS)
            for node in fleet.nodes:
                fleet.start(node)
            await fleet.wait_ready()
            await asyncio.sleep(CONTACT_MS / 1000 + 0.5)
            tasks: list[asyncio.Task[None]] = []
            for number in range(int(PLAYED_S * RATE_PER_S)):
                leaves = self.trouble and number % 10 < LEAVING_SHARE * 10
                tasks.append(asyncio.create_task(self.request(fleet, number + 1, leaves)))
                await asyncio.sleep(1 / RATE_PER_S)
            await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(WORK_S + 1.0)
            return self.judge()
        finally:
            if beats is not None:
                beats.cancel()
            if fleet is not None:
                fleet.close()
            self.store.stop()

    def judge(self) -> int:
        """Checks the rule; returns the exit status."""
        self.record.note(f"answers {dict(self.answers)}")
        if self.answers["200"] < PLAYED_S:
            self.record.note("too few searches were served")
            return 2
        late = 0
        worked_on: set[str] = set()
        for backend in self.backends:
            for arrival in backend.arrivals:
                closed = self.closed.get(arrival.attempt)
                if closed is not None and arrival.at > closed + AT_WORK_S + MARGIN_S:
                    late += 1
            for run in backend.work:
                closed = self.closed.get(run.attempt)
                if closed is None:
                    continue
                moment = closed + AT_WORK_S + MARGIN_S
                if run.began < moment and (run.ended is None or run.ended > moment):
                    worked_on.add(run.attempt)
        self.record.note(f"searches whose clients have left: {len(self.closed)}")
        self.record.note(f"of these worked on half a second later: {len(worked_on)}")
        self.record.note(f"requests that reached a backend half a second later: {late}")
        broken = late > FEW or len(worked_on) > WORKED_ON_SHARE * len(self.closed)
        return 1 if broken else 0


def _part(service: str, attempt: str) -> bytes:
    """Returns the records of a shard for a search."""
    parts = [sha256(f"{service} {attempt} {number}".encode()) for number in range(RECORDS)]
    return b"".join(part.digest()[:RECORD_BYTES] for part in parts)


if __name__ == "__main__":
    play("13", GoneCase)
