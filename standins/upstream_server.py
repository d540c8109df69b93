"""Stand-in upstream with slots, a queue, a connection limit, faults and counters."""

from __future__ import annotations

from asyncio import AbstractEventLoop, CancelledError, Future, TimerHandle, get_running_loop, sleep
from collections import Counter, deque
from math import exp
from random import Random
from typing import Any, Final
from urllib.parse import unquote

from msgspec import DecodeError, json

from standins.http_server import HttpServerConnection, Request, Response, reply_json
from standins.index import make_hits
from standins.upstream_spec import UpstreamCounters, UpstreamFaults, UpstreamSpec

MS_PER_S: Final = 1000.0
LOAD_HEADER: Final = "x-load"
DRAINING_HEADER: Final = "x-draining"
LISTEN_BACKLOG: Final = 256


class UpstreamConnection(HttpServerConnection):
    """A client connection to an upstream."""

    def __init__(self, server: UpstreamServer) -> None:
        """Creates a connection of an upstream."""
        super().__init__(server.handler_for(self))
        self._server = server

    def connection_made(self, transport: Any) -> None:
        """Resets the connection if the limit is reached; starts reading after `open_ms`."""
        super().connection_made(transport)
        if not self._server.admit(self):
            self.reset()
            return
        open_ms = self._server.spec.open_ms
        if open_ms > 0:
            transport.pause_reading()
            self._loop.call_later(open_ms / MS_PER_S, self._start_reading)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from those that count towards the limit."""
        super().connection_lost(exc)
        self._server.on_connection_closed(self)

    def _start_reading(self) -> None:
        """Starts reading requests."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()


class UpstreamServer:
    """One upstream on its own port."""

    def __init__(self, spec: UpstreamSpec, runs: Counter[str], seed: int) -> None:
        """Creates an upstream that does not listen yet.

        Args:
            spec: Description of the upstream.
            runs: Number of started runs by idempotency key, shared by all upstreams of the process.
            seed: Seed of the random choices.
        """
        self.spec = spec
        self.faults = UpstreamFaults()
        self.counters = UpstreamCounters()
        self.port = spec.port
        self._runs = runs
        self._random = Random(seed)
        self._connections: set[UpstreamConnection] = set()
        self._waiters: deque[Future[None]] = deque()
        self._loop: AbstractEventLoop = None  # type: ignore[assignment]
        self._server: Any = None
        self._restart: TimerHandle | None = None
        self._started_at = 0.0
        self._load_history: deque[tuple[float, float]] = deque()

    async def open(self) -> None:
        """Binds the port and starts listening."""
        self._loop = get_running_loop()
        self._server = await self._loop.create_server(
            lambda: UpstreamConnection(self),
            self.spec.host,
            self.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._started_at = self._loop.time()

    def close(self) -> None:
        """Stops listening, resets every connection and cancels a pending restart."""
        if self._restart is not None:
            self._restart.cancel()
            self._restart = None
        if self._server is not None:
            self._server.close()
            self._server = None
        for conn in tuple(self._connections):
            conn.reset()

    def crash(self) -> None:
        """Closes the upstream, aborting the requests in flight; restarts it after `down_ms`."""
        self.counters.crashes += 1
        self.close()
        self._restart = self._loop.call_later(self.faults.down_ms / MS_PER_S, self.reopen)

    def reopen(self) -> None:
        """Opens the upstream again as after a cold start, unless it is open."""
        if self._server is None:
            self._loop.create_task(self.open())

    def silence(self) -> int:
        """Makes every open connection unresponsive; new connections are not affected.

        Returns:
            Number of affected connections.
        """
        for conn in self._connections:
            conn.silent = True
        return len(self._connections)

    def admit(self, conn: UpstreamConnection) -> bool:
        """Registers a new connection; returns False if the limit is reached."""
        counters = self.counters
        if len(self._connections) >= self.spec.connections:
            counters.connections_refused += 1
            return False
        self._connections.add(conn)
        counters.connections_opened += 1
        counters.open_connections = len(self._connections)
        counters.peak_connections = max(counters.peak_connections, counters.open_connections)
        return True

    def on_connection_closed(self, conn: UpstreamConnection) -> None:
        """Removes a closed connection from the open ones."""
        self._connections.discard(conn)
        self.counters.open_connections = len(self._connections)

    def handler_for(self, conn: UpstreamConnection) -> Any:
        """Returns the request handler of one connection."""

        async def answer(request: Request) -> Response:
            return await self._answer(request, conn)

        return answer

    async def _answer(self, request: Request, conn: UpstreamConnection) -> Response:
        """Answers one request, applying the faults."""
        if request.path == "/health":
            return reply_json(200, self._health())
        if request.method != "POST" or request.path not in ("/search", "/run"):
            return reply_json(404, {"error": "no such path"})
        try:
            body = json.decode(request.body)
            request_id = int(body["request_id"])
        except (DecodeError, KeyError, TypeError, ValueError):
            return reply_json(400, {"error": "malformed body"})
        arrived = self._loop.time()
        self.counters.received += 1
        if self._draw(self.faults.silent_share):
            conn.silent = True
            return Response(0)
        refused = self._refuse(body, request_id)
        if refused is not None:
            return refused
        try:
            return await self._run_in_slot(request, body, request_id, arrived)
        except CancelledError:
            self.counters.cancelled += 1
            raise

    def _refuse(self, body: dict[str, Any], request_id: int) -> Response | None:
        """Returns the reply that refuses a request, or None if the request is accepted."""
        counters, faults = self.counters, self.faults
        if faults.draining:
            counters.refused_draining += 1
            return self._reply(503, request_id, {})
        is_full = counters.running >= self.spec.slots and len(self._waiters) >= faults.queue_limit
        if is_full or self._draw(faults.shed_share):
            counters.shed += 1
            return self._reply(429, request_id, {})
        snapshot = body.get("snapshot")
        if snapshot is not None and snapshot not in faults.snapshots:
            counters.wrong_snapshot += 1
            return self._reply(409, request_id, {})
        return None

    async def _run_in_slot(
        self, request: Request, body: dict[str, Any], request_id: int, arrived: float
    ) -> Response:
        """Waits for a slot, runs the request in it and returns the reply."""
        await self._acquire()
        try:
            time_left = float(body.get("time_left_ms", MS_PER_S)) / MS_PER_S
            if self._loop.time() - arrived >= time_left:
                self.counters.expired += 1
                return self._reply(504, request_id, {})
            text = str(body.get("query", body.get("request", "")))
            if self.faults.crash_text and self.faults.crash_text in text:
                self.crash()
                return Response(0, drop=True)
            if request.path == "/run":
                self._runs[_key_of(request)] += 1
            await sleep(self._service_time())
        finally:
            self._release()
        self.counters.run += 1
        return self._build_reply(request, body, request_id)

    def _build_reply(self, request: Request, body: dict[str, Any], request_id: int) -> Response:
        """Returns the reply to a request that ran, with the faults that affect replies."""
        faults = self.faults
        if self._draw(faults.error_share):
            return self._reply(500, request_id, {})
        if self._draw(faults.crossed_share):
            request_id += 1
        if request.path == "/run":
            key = _key_of(request)
            fields: dict[str, Any] = {"result": {"key": key, "upstream": self.spec.name}}
        else:
            snapshot = body.get("snapshot") or faults.snapshots[-1]
            hits = make_hits(self.spec.instance, str(body["query"]), snapshot, int(body["limit"]))
            fields = {"snapshot": snapshot, "shard": self.spec.instance, "hits": hits}
        response = self._reply(200, request_id, fields)
        if self._draw(faults.truncate_share):
            response.cut_to = len(response.body)
        response.drop = self._draw(faults.drop_share)
        return response

    def _reply(self, status: int, request_id: int, fields: dict[str, Any]) -> Response:
        """Returns a reply with the headers and common fields of the upstream protocol."""
        headers: tuple[tuple[str, str], ...] = ((LOAD_HEADER, f"{self._reported_load():.2f}"),)
        if self.faults.draining or self.faults.drain_mark:
            headers += ((DRAINING_HEADER, "1"),)
        body = {"request_id": request_id, "available": self.faults.snapshots, **fields}
        return reply_json(status, body, headers)

    async def _acquire(self) -> None:
        """Acquires a slot, in order of arrival."""
        counters = self.counters
        if counters.running >= self.spec.slots or self._waiters:
            waiter: Future[None] = self._loop.create_future()
            self._waiters.append(waiter)
            counters.peak_queue = max(counters.peak_queue, len(self._waiters))
            try:
                await waiter
            except CancelledError:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)
                else:
                    self._release()
                raise
        else:
            counters.running += 1
        self.counters.peak_running = max(self.counters.peak_running, self.counters.running)

    def _release(self) -> None:
        """Passes the slot to the next waiting request, or frees it."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.counters.running -= 1

    def _service_time(self) -> float:
        """Returns a random service time of one request, in seconds."""
        faults = self.faults
        time = faults.latency_ms / MS_PER_S * exp(self._random.gauss(0.0, faults.latency_sigma))
        if self._draw(faults.straggler_share):
            time *= faults.straggler_factor
        age = self._loop.time() - self._started_at
        if age < faults.cold_s:
            time *= 1.0 + (faults.cold_factor - 1.0) * (1.0 - age / faults.cold_s)
        return time * faults.crawl_factor

    def _reported_load(self) -> float:
        """Returns the load as of `load_lag_ms` ago, or `reported_load` if that is set."""
        if self.faults.reported_load is not None:
            return self.faults.reported_load
        now = self._loop.time()
        self._load_history.append((now, min(1.0, self.counters.running / self.spec.slots)))
        horizon = now - self.faults.load_lag_ms / MS_PER_S
        while len(self._load_history) > 1 and self._load_history[1][0] <= horizon:
            self._load_history.popleft()
        return self._load_history[0][1]

    def _health(self) -> dict[str, Any]:
        """Returns the body of the health endpoint."""
        faults = self.faults
        draining = faults.draining or faults.drain_mark
        if faults.reported_draining is not None:
            draining = faults.reported_draining
        return {
            "draining": draining,
            "load": self._reported_load(),
            "available": faults.snapshots,
        }

    def _draw(self, share: float) -> bool:
        """Returns True with the probability `share`."""
        return share > 0.0 and self._random.random() < share


def _key_of(request: Request) -> str:
    """Returns the idempotency key of a request, or an empty string if it has none."""
    return unquote(request.headers.get("idempotency-key", ""))
