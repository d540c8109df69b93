"""Planned stop of a node while a caller's pipelined requests wait on its connection."""

from __future__ import annotations

import asyncio
from collections import Counter
from signal import SIGTERM
from time import monotonic

from msgspec import json

from review.lib3.backend import Backend
from review.lib3.common import (
    BOUNDS,
    CONTACT_MS,
    GRACE_S,
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

SERVICE = "registro"
TIMEOUT_MS = 8_002
GOAL_MS = 544
REQUESTS = 250
"""Requests that the caller sends one after the other, without waiting for the answers."""
WORK_S = 0.05
STOP_AFTER_S = 1.0
LOSS_SLACK_S = 0.2


class PipelineCase:
    """One run."""

    def __init__(self, trouble: bool) -> None:
        """Creates the stand-ins."""
        self.record = Record()
        self.trouble = trouble
        self.store = StoreStandIn()
        self.backends = [
            Backend(f"i-{number}", SERVICE, zone, work_s=WORK_S)
            for number, zone in enumerate(list(ZONES)[:2])
        ]
        self.answers: list[int] = []
        self.sent_at = 0.0
        self.ended_at: float | None = None

    async def heartbeats(self) -> None:
        """Writes the backends' entries again and again."""
        while True:
            for backend in self.backends:
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
            "goal_ms": GOAL_MS,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        }
        service = {"name": SERVICE, "health_path": "/health", "max_connections": 105}
        config = {"version": 7, "routes": [route], "services": [service], "limits": LIMITS}
        self.store.put("op/config", json.encode(config))

    async def caller(self, host: str, port: int) -> None:
        """Sends all requests at once and reads the answers."""
        reader, writer = await asyncio.open_connection(host, port)
        requests = [
            f"GET /ficha/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {number:016x}\r\n"
            f"X-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n"
            for number in range(REQUESTS)
        ]
        writer.write("".join(requests).encode())
        await writer.drain()
        self.sent_at = monotonic()
        self.record.note(f"{REQUESTS} requests were sent to {host}")
        try:
            while len(self.answers) < REQUESTS:
                answer = await read_message(reader)
                if answer is None:
                    break
                self.record.note(f"answer {len(self.answers)}: {answer.status}")
                self.answers.append(answer.status)
        except (OSError, asyncio.IncompleteReadError) as exc:
            self.record.note(f"connection: {exc!r}")
        self.ended_at = monotonic()
        self.record.note(f"the connection has ended after {len(self.answers)} answers")
        writer.close()

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
            node = fleet.nodes[0]
            tasks.append(asyncio.create_task(self.caller(node.host, fleet.ports.callers)))
            await asyncio.sleep(STOP_AFTER_S)
            if self.trouble:
                fleet.send(node, SIGTERM)
                self.record.note("SIGTERM")
            await asyncio.sleep(REQUESTS * WORK_S + GRACE_S)
            return self.judge()
        finally:
            for task in tasks:
                task.cancel()
            if fleet is not None:
                fleet.close()
            self.store.stop()

    def judge(self) -> int:
        """Checks the rule; returns the exit status."""
        self.record.note(f"answers {dict(Counter(self.answers))}")
        if self.ended_at is None or not self.answers:
            return 2
        lost = REQUESTS - len(self.answers)
        waited = self.ended_at - self.sent_at
        self.record.note(f"without an answer: {lost}, {waited:.1f} s after the last byte was sent")
        return 1 if lost and waited > LOSS_SLACK_S else 0


if __name__ == "__main__":
    play("15", PipelineCase)
