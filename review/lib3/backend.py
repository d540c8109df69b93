"""Stand-in of a backend with slots and a queue, as the users' pages describe it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from review.lib3.http import HttpMessage, parse_message

DEFAULT_WORK_S = 0.01


@dataclass
class Arrival:
    """One request that reached the backend."""

    at: float
    attempt: str
    outcome: str = "waiting"
    """`waiting`, `running`, `done`, `shed`, `other_instance`, `cancelled` or `cut` by the exit."""

    def cancel(self) -> None:
        """Records that its connection has closed, unless the backend's exit closed it."""
        if self.outcome != "cut":
            self.outcome = "cancelled"


@dataclass
class Run:
    """One run of a request."""

    attempt: str
    began: float
    ended: float | None = None


@dataclass
class Backend:
    """A backend that runs `slots` requests at a time and queues `queue` more."""

    name: str
    service: str
    zone: str
    slots: int = 6
    queue: int = 24
    work_s: float = DEFAULT_WORK_S
    host: str = "127.0.0.1"
    port: int = 0
    born: int = 1_700_000_000_000
    sequence: int = 0
    leaving: bool = False
    arrivals: list[Arrival] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    work: list[Run] = field(default_factory=list)
    body: Callable[[str], bytes] = lambda _attempt: b"done " * 8
    """Returns the body of the answer to an attempt."""
    on_arrival: Callable[[Arrival], None] | None = None

    def __post_init__(self) -> None:
        """Creates the run state."""
        self._running = 0
        self._turns: deque[asyncio.Future[None]] = deque()
        self._server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()

    async def start(self) -> None:
        """Listens; a restart uses the same port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def exit(self) -> None:
        """Ends the backend: what it has not answered is lost."""
        if self._server is not None:
            self._server.close()
        for arrival in self.arrivals:
            if arrival.outcome in ("waiting", "running"):
                arrival.outcome = "cut"
        for conn in tuple(self.connections):
            conn.abort()

    def entry(self, state: str) -> dict[str, object]:
        """Returns what the backend writes into the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def seal(self, attempt: str) -> str:
        """Returns the MAC of the answer to an attempt."""
        return f"{self.name}.{self.service}.{attempt}"

    async def answer(self, message: HttpMessage) -> bytes:
        """Answers one request."""
        path = message.start.split(" ")[1]
        load = f"X-Server-Load: {self._running},{len(self._turns)},{self.slots}"
        if path == "/health":
            return _encode(503 if self.leaving else 200, [f"X-Instance-Id: {self.name}", load])
        attempt = message.headers.get("x-attempt-id", "")
        arrival = Arrival(monotonic(), attempt)
        self.arrivals.append(arrival)
        if self.on_arrival is not None:
            self.on_arrival(arrival)
        echo = [f"X-Attempt-Id: {attempt}", load]
        if self.leaving:
            echo.append("Connection: close")
        if message.headers.get("x-expected-instance", self.name) != self.name:
            arrival.outcome = "other_instance"
            return _encode(421, [*echo, f"X-Instance-Id: {self.name}"])
        if self._running >= self.slots and len(self._turns) >= self.queue:
            arrival.outcome = "shed"
            return _encode(503, [*echo, "X-Not-Executed: 1"])
        try:
            await self._take_slot()
        except asyncio.CancelledError:
            arrival.cancel()
            raise
        arrival.outcome = "running"
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        run = Run(attempt, monotonic())
        self.work.append(run)
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            arrival.cancel()
            raise
        finally:
            run.ended = monotonic()
            self._free_slot()
        if arrival.outcome != "cut":
            arrival.outcome = "done"
        return _encode(200, [*echo, f"X-Server-Seal: {self.seal(attempt)}"], self.body(attempt))

    async def _take_slot(self) -> None:
        """Waits for a slot, in the order of arrival."""
        if self._running < self.slots:
            self._running += 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._turns.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._turns:
                self._turns.remove(turn)
            elif turn.done() and not turn.cancelled():
                self._free_slot()
            raise

    def _free_slot(self) -> None:
        """Passes a slot on to the next request, or frees it."""
        while self._turns:
            turn = self._turns.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1


class _Connection(asyncio.Protocol):
    """One connection; serves its requests one at a time."""

    def __init__(self, backend: Backend) -> None:
        """Creates a connection that is not open."""
        self._backend = backend
        self._received = b""
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[bytes] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._backend.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Begins the next request."""
        self._received += data
        self._begin()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops the request whose connection has closed."""
        self._backend.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _begin(self) -> None:
        """Begins the next request, if it is whole and none is being served."""
        if self._task is not None or self._transport is None or self._transport.is_closing():
            return
        message, self._received = parse_message(self._received)
        if message is not None:
            self._task = asyncio.create_task(self._backend.answer(message))
            self._task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task[bytes]) -> None:
        """Sends the answer."""
        self._task = None
        if task.cancelled() or self._transport is None or self._transport.is_closing():
            return
        self._transport.write(task.result())
        if self._backend.leaving:
            self._transport.close()
            return
        self._begin()


def _encode(status: int, headers: list[str], body: bytes = b"") -> bytes:
    """Encodes an answer."""
    lines = [f"HTTP/1.1 {status} -", *headers, f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
