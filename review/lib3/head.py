"""Callers that ask for heads while all backends of the service are down."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader, StreamWriter
from collections import Counter
from random import SystemRandom

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
from review.lib3.http import HttpMessage, read_head
from standins.store import StoreStandIn

SERVICE = "registro"
TIMEOUT_MS = 3_001
CLIENTS = 5
PAUSE_S = 0.1
SETTLE_S = 0.05
"""Time for which a client waits for bytes after an answer that has no body."""
BEFORE_S = 5.0
DOWN_S = 4.5
"""Time for which all backends are down, as in the site's days."""
AFTER_S = 3.0


class HeadCase:
    """One run."""

    def __init__(self, trouble: bool) -> None:
        """Creates the stand-ins."""
        self.record = Record()
        self.trouble = trouble
        self.store = StoreStandIn()
        self.backends = [
            Backend(f"i-{number}", SERVICE, zone) for number, zone in enumerate(list(ZONES)[:2])
        ]
        for backend in self.backends:
            # The resource is empty, so that an answer to HEAD is that to GET.
            backend.body = lambda _attempt: b""
        self.down = False
        self.count = 0
        self.answers: Counter[str] = Counter()
        self.stray: Counter[str] = Counter()

    async def heartbeats(self) -> None:
        """Writes the backends' entries while they are up."""
        while True:
            for backend in self.backends:
                if not self.down:
                    self.store.put(f"servers/{backend.name}", json.encode(backend.entry("ready")))
            await asyncio.sleep(HEARTBEAT_S)

    def put_configuration(self) -> None:
        """Writes the operator's configuration."""
        route = {
            "name": "r-ficha",
            "host": HOST,
            "prefix": "/ficha/",
            "type": "idempotent",
            "timeout_ms": TIMEOUT_MS,
            "goal_ms": 544,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        }
        service = {"name": SERVICE, "health_path": "/health", "max_connections": 105}
        config = {"version": 7, "routes": [route], "services": [service], "limits": LIMITS}
        self.store.put("op/config", json.encode(config))

    async def client(self, fleet: Fleet) -> None:
        """Asks for one head after another on a kept connection."""
        random = SystemRandom()
        conn: tuple[StreamReader, StreamWriter] | None = None
        while True:
            await asyncio.sleep(PAUSE_S)
            if conn is None:
                entries = await fleet.entries(random.choice(fleet.nodes), "xela-uno")
                if not entries:
                    continue
                conn = await asyncio.open_connection(*random.choice(entries))
            self.count += 1
            attempt = f"{self.count:016x}"
            request = (
                f"HEAD /ficha/{attempt} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n"
            )
            conn[1].write(request.encode())
            answer = await read_head(conn[0])
            stray = await self.read_stray(conn[0])
            self.judge_answer(attempt, answer, stray)
            if answer is None or stray or answer.headers.get("connection") == "close":
                conn[1].close()
                conn = None

    async def read_stray(self, reader: StreamReader) -> bytes:
        """Returns what follows an answer while no request is waiting."""
        try:
            async with asyncio.timeout(SETTLE_S):
                return await reader.read(4_096)
        except TimeoutError:
            return b""

    def judge_answer(self, attempt: str, answer: HttpMessage | None, stray: bytes) -> None:
        """Records an answer and the bytes after it."""
        status = "no answer" if answer is None else str(answer.status)
        self.answers[status] += 1
        if stray:
            self.stray[status] += 1
            self.record.note(f"{attempt}: {status}, then bytes that are no answer: {stray!r}")
            return
        self.record.note(f"{attempt}: {status}")

    async def run(self) -> int:
        """Plays the case; returns the exit status."""
        self.store.start()
        fleet: Fleet | None = None
        tasks: list[asyncio.Task[None]] = []
        try:
            for backend in self.backends:
                await backend.start()
            self.put_configuration()
            tasks.append(asyncio.create_task(self.heartbeats()))
            fleet = Fleet(ZONES, list(ZONES), f"127.0.0.1:{self.store.port}", BOUNDS)
            for node in fleet.nodes:
                fleet.start(node)
            await fleet.wait_ready()
            await asyncio.sleep(CONTACT_MS / 1000)
            tasks += [asyncio.create_task(self.client(fleet)) for _ in range(CLIENTS)]
            await asyncio.sleep(BEFORE_S)
            if self.trouble:
                self.down = True
                for backend in self.backends:
                    backend.exit()
                self.record.note("all backends of the service are down")
            await asyncio.sleep(DOWN_S)
            if self.trouble:
                for backend in self.backends:
                    backend.born += 60_000
                    await backend.start()
                self.down = False
                self.record.note("the backends are back")
            await asyncio.sleep(AFTER_S)
            self.record.note(f"answers {dict(self.answers)}")
            self.record.note(f"of these followed by bytes that are no answer {dict(self.stray)}")
            if not self.answers["200"]:
                return 2
            return 1 if self.stray else 0
        finally:
            for task in tasks:
                task.cancel()
            if fleet is not None:
                fleet.close()
            self.store.stop()


if __name__ == "__main__":
    play("14", HeadCase)
