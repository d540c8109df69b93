"""Move of the platform's store to another address, which the settings files tell."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import SystemRandom
from signal import SIGHUP
from time import monotonic

from msgspec import json

from review.lib3.backend import Backend
from review.lib3.common import (
    BOUNDS,
    CONFIG_APPLY_MS,
    CONTACT_MS,
    HEARTBEAT_S,
    HOST,
    LIMITS,
    ZONES,
    Record,
    play,
)
from review.lib3.fleet import Fleet
from review.lib3.http import call
from review.lib3.relay import Relay
from standins.store import StoreStandIn

TIMEOUT_MS = 3_001
OLD_SERVICE = "registro"
NEW_SERVICE = "avisos"
BOTH_ADDRESSES_S = 10.0
"""Time for which the store serves at both addresses."""
RATE_PER_S = 20
OBSERVED_S = 6.0
MARGIN_S = 0.25


class StoreMoveCase:
    """One run."""

    def __init__(self, trouble: bool) -> None:
        """Creates the stand-ins."""
        self.record = Record()
        self.trouble = trouble
        self.store = StoreStandIn()
        self.old_address: Relay | None = None
        self.backends = [
            Backend(f"i-{service}-{number}", service, zone)
            for service in (OLD_SERVICE, NEW_SERVICE)
            for number, zone in enumerate(list(ZONES)[:2])
        ]
        self.acknowledged: float | None = None
        self.sent: dict[str, float] = {}
        self.answers: dict[str, str] = {}

    async def heartbeats(self) -> None:
        """Writes the backends' entries again and again."""
        while True:
            for backend in self.backends:
                self.store.put(f"servers/{backend.name}", json.encode(backend.entry("ready")))
            await asyncio.sleep(HEARTBEAT_S)

    def put_configuration(self, version: int, service: str) -> None:
        """Writes a version; the store has accepted it when this returns."""
        route = {
            "name": "r-fichas",
            "host": HOST,
            "prefix": "/fichas/",
            "type": "idempotent",
            "timeout_ms": TIMEOUT_MS,
            "goal_ms": 544,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        }
        services = [
            {"name": name, "health_path": "/health", "max_connections": 105}
            for name in (OLD_SERVICE, NEW_SERVICE)
        ]
        config = {"version": version, "routes": [route], "services": services, "limits": LIMITS}
        self.store.put("op/config", json.encode(config))

    async def request(self, fleet: Fleet, number: int) -> None:
        """Sends one request to a node that the directory names."""
        random = SystemRandom()
        node = random.choice(fleet.nodes)
        entries = await fleet.entries(node, node.zone)
        if not entries:
            return
        attempt = f"{number:016x}"
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(TIMEOUT_MS)}
        self.sent[attempt] = monotonic()
        host, port = random.choice(entries)
        path = f"/fichas/{attempt}"
        answer = await call(host, port, "GET", path, headers, b"", TIMEOUT_MS / 1000 + 1.0)
        ran = [backend.name for backend in self.backends if attempt in backend.runs]
        status = "no answer" if answer is None else str(answer.status)
        self.answers[attempt] = status
        self.record.note(f"{attempt} at {host}: {status}, run by {ran}")

    async def clients(self, fleet: Fleet) -> None:
        """Sends requests at a steady rate."""
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        try:
            while True:
                number += 1
                task = asyncio.create_task(self.request(fleet, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / RATE_PER_S)
        finally:
            for task in tuple(tasks):
                task.cancel()

    async def run(self) -> int:
        """Plays the case; returns the exit status."""
        self.store.start()
        fleet: Fleet | None = None
        tasks: list[asyncio.Task[None]] = []
        try:
            for backend in self.backends:
                await backend.start()
            self.put_configuration(7, OLD_SERVICE)
            tasks.append(asyncio.create_task(self.heartbeats()))
            self.old_address = Relay(self.store.port)
            await self.old_address.start()
            fleet = Fleet(ZONES, list(ZONES), f"127.0.0.1:{self.old_address.port}", BOUNDS)
            for node in fleet.nodes:
                fleet.start(node)
            await fleet.wait_ready()
            tasks.append(asyncio.create_task(self.clients(fleet)))
            await asyncio.sleep(CONTACT_MS / 1000)
            if self.trouble:
                await self.move(fleet)
            else:
                await asyncio.sleep(BOTH_ADDRESSES_S)
            await asyncio.sleep(CONTACT_MS / 1000 + 1.0)
            self.put_configuration(9, NEW_SERVICE)
            self.acknowledged = monotonic()
            self.record.note(f"version 9 moves the route to {NEW_SERVICE}: acknowledged")
            await asyncio.sleep(CONFIG_APPLY_MS / 1000 + OBSERVED_S)
            return self.judge()
        finally:
            for task in tasks:
                task.cancel()
            if fleet is not None:
                fleet.close()
            if self.old_address is not None:
                self.old_address.close()
            self.store.stop()

    async def move(self, fleet: Fleet) -> None:
        """Tells every node the store's new address, and closes the old one afterwards."""
        assert self.old_address is not None
        fleet.store = f"127.0.0.1:{self.store.port}"
        for node in fleet.nodes:
            fleet.write_settings(node, first=False)
            fleet.send(node, SIGHUP)
        self.record.note("settings files name the store's new address; SIGHUP sent")
        await asyncio.sleep(BOTH_ADDRESSES_S)
        self.old_address.close()
        self.record.note("the store has left its old address")

    def judge(self) -> int:
        """Checks the rule; returns the exit status."""
        assert self.acknowledged is not None
        end = self.acknowledged + CONFIG_APPLY_MS / 1000 + MARGIN_S
        late = [attempt for attempt, sent in self.sent.items() if sent > end]
        old = [
            attempt
            for attempt in late
            if any(
                attempt in backend.runs
                for backend in self.backends
                if backend.service == OLD_SERVICE
            )
        ]
        self.record.note(f"answers {dict(Counter(self.answers.values()))}")
        self.record.note(f"requests sent later than config_apply_ms: {len(late)}")
        self.record.note(f"of these run by the old service: {len(old)}")
        if not late:
            return 2
        return 1 if old else 0


if __name__ == "__main__":
    play("12", StoreMoveCase)
