"""Stand-in of a backend: slots, a queue, seals, and entries in the store."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from random import Random

from review.lib.http_server import Reply, Request, Server
from review.lib.record import Record
from review.lib.store import Store

HEARTBEAT_S = 1.2
SEARCH_PREFIX = "/bapu561/"
"""Path prefix of the route that gathers the parts of all shards."""
RECORD_BYTES = 16
RECORDS = 6


class Backend:
    """One backend of one service."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        zone: str,
        host: str = "127.0.0.1",
        slots: int = 2,
        queue: int = 8,
        work_s: float = 0.06,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.random = Random(name)
        self.server = Server(self._answer, host)
        self.address = ""
        """Registered address, if another one than its own."""
        self.fault: Callable[[Backend, Request, Reply], None] | None = None
        """Changes replies, as a faulty backend does."""
        self.before_reply: Callable[[Backend, Request], bytes] | None = None
        """Returns bytes that a faulty backend sends where the next reply is expected."""
        self._store = store
        self._record = record
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Event()
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._beats: asyncio.Task[None] | None = None
        self.answers = 0
        """Number of replies that were sent."""

    async def open(self) -> None:
        """Starts to serve and to write its entry."""
        await self.server.open()
        self.write_entry()
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    def write_entry(self, state: str = "ready") -> int:
        """Writes its entry; returns the revision."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address or f"{self.server.host}:{self.server.port}",
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        return self._store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def body(self, target: str, attempt: str) -> bytes:
        """Returns the body of its answer: records of 16 bytes for a search."""
        if not target.startswith(SEARCH_PREFIX):
            return f"{self.name} did {attempt}".encode()
        random = Random(f"{self.service} {attempt}")
        return b"".join(random.randbytes(RECORD_BYTES) for _ in range(RECORDS))

    def withdraw(self) -> int:
        """Removes its entry without having reported `draining`; serves on."""
        if self._beats is not None:
            self._beats.cancel()
        return self._store.remove(f"servers/{self.name}")

    def close(self) -> None:
        """Ends the process."""
        if self._beats is not None:
            self._beats.cancel()
        self.server.close()

    async def _beat(self) -> None:
        """Writes its entry at regular intervals."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    async def _answer(self, req: Request) -> Reply:
        """Answers one request, with its faults."""
        attempt = req.headers.get("x-attempt-id", "")
        before = self.before_reply(self, req) if self.before_reply is not None else b""
        reply = await self._reply(req, attempt)
        if attempt:
            reply.headers.append(("X-Attempt-Id", attempt))
        load = f"{self._running},{self._waiting},{self.slots}"
        reply.headers.append(("X-Server-Load", load))
        reply.raw_before = before
        self.answers += 1
        if self.fault is not None:
            self.fault(self, req, reply)
        return reply

    async def _reply(self, req: Request, attempt: str) -> Reply:
        """Runs or refuses one request."""
        if req.target == "/health":
            return Reply(200, [("X-Instance-Id", self.name)])
        if req.headers.get("x-expected-instance", self.name) != self.name:
            return Reply(421, [])
        if not attempt:
            return Reply(400, [("X-Not-Executed", "1")])
        deadline = time.monotonic() + int(req.headers.get("x-deadline-ms", "60000")) / 1000
        if not await self._take_slot(deadline):
            self._record.add("rejected", attempt=attempt, backend=self.name)
            return Reply(503, [("X-Not-Executed", "1")])
        try:
            self._record.add(
                "run", attempt=attempt, backend=self.name, service=self.service, target=req.target
            )
            work = self.work_s * self.random.uniform(0.6, 1.4)
            left = deadline - time.monotonic()
            await asyncio.sleep(min(work, max(0.0, left)))
            seal = ("X-Server-Seal", f"{self.name}.{attempt}")
            if work > left:
                return Reply(504, [seal])
            return Reply(200, [seal], self.body(req.target, attempt))
        finally:
            self._running -= 1
            self._free.set()

    async def _take_slot(self, deadline: float) -> bool:
        """Waits for a slot; returns False if the queue is full or the time limit passes."""
        if self._running >= self.slots:
            if self._waiting >= self.queue:
                return False
            self._waiting += 1
            try:
                while self._running >= self.slots:
                    self._free.clear()
                    left = deadline - time.monotonic()
                    if left <= 0:
                        return False
                    try:
                        await asyncio.wait_for(self._free.wait(), left)
                    except TimeoutError:
                        return False
            finally:
                self._waiting -= 1
        self._running += 1
        return True
