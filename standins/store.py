"""A stand-in for the platform's key-value service, with faults."""

from __future__ import annotations

import builtins
from argparse import ArgumentParser
from asyncio import AbstractEventLoop, Event, get_running_loop, sleep, wait_for
from base64 import b64decode, b64encode
from collections import Counter
from signal import SIG_BLOCK, SIGINT, SIGTERM, pthread_sigmask
from typing import Final
from urllib.parse import unquote

from msgspec import Struct, json, structs

from standins.http_server import Request, Response, reply_json
from standins.thread_host import Listener, ThreadHost, serve

KEYS_PREFIX: Final = "/v1/keys/"
LEASES_PATH: Final = "/v1/leases"
FAULTS_PATH: Final = "/control/faults"
SAVE_PATH: Final = "/control/save"
RESTORE_PATH: Final = "/control/restore"
COUNTERS_PATH: Final = "/control/counters"
MAX_VALUE_BYTES: Final = 1_000_000
MS_PER_S: Final = 1000.0


class StoreFaults(Struct):
    """Faults in force."""

    down: bool = False
    """Refuse every call with status 503."""
    unreachable: bool = False
    """Reset every call without a reply and without an effect."""
    slow_ms: float = 0.0
    """Delay of every call."""
    lose_replies: int = 0
    """Number of next writes whose reply is lost after the effect."""


class _Entry(Struct):
    """A key's value."""

    value: bytes
    revision: int
    lease: str | None


class _PutBody(Struct):
    """Body of a write."""

    value: str
    expected: int
    lease: str | None = None


class _LeaseBody(Struct):
    """Body that asks for a lease."""

    ttl_ms: float


class StoreState:
    """Keys and leases; revisions rise over all keys."""

    def __init__(self) -> None:
        """Initialise without keys."""
        self.entries: dict[str, _Entry] = {}
        self.leases: dict[str, float] = {}
        self._revision = 0
        self._changed: dict[str, Event] = {}
        self._saved: dict[str, _Entry] = {}

    def save(self) -> None:
        """Keeps a copy of every key."""
        self._saved = {key: structs.replace(entry) for key, entry in self.entries.items()}

    def restore(self) -> None:
        """Goes back to the copy, as a store restored from an old backup does."""
        self.entries = {key: structs.replace(entry) for key, entry in self._saved.items()}
        for key in tuple(self._changed):
            self._wake(key)

    def get(self, key: str, now: float) -> _Entry:
        """Returns a key's entry, empty with revision 0 when it does not exist."""
        self._expire(now)
        return self.entries.get(key, _Entry(b"", 0, None))

    def write(self, key: str, entry: _Entry | None, expected: int, now: float) -> bool:
        """Replaces or removes a key if its revision is the expected one."""
        if self.get(key, now).revision != expected:
            return False
        self._revision += 1
        if entry is None:
            self.entries.pop(key, None)
        else:
            entry.revision = self._revision
            self.entries[key] = entry
        self._wake(key)
        return True

    def grant(self, ttl: float, now: float) -> str:
        """Creates a lease."""
        self._revision += 1
        lease = f"lease-{self._revision}"
        self.leases[lease] = now + ttl
        return lease

    def changed(self, key: str) -> Event:
        """Returns the event that is set at the next change of a key."""
        return self._changed.setdefault(key, Event())

    def _expire(self, now: float) -> None:
        """Removes the keys of leases that lapsed."""
        for lease in [lease for lease, end in self.leases.items() if end <= now]:
            del self.leases[lease]
            for key in [key for key, entry in self.entries.items() if entry.lease == lease]:
                del self.entries[key]
                self._revision += 1
                self._wake(key)

    def _wake(self, key: str) -> None:
        """Wakes the watches of a key."""
        event = self._changed.pop(key, None)
        if event is not None:
            event.set()


class StoreService:
    """Serves the store's contract and its control endpoints."""

    def __init__(self, host: str, port: int) -> None:
        """Initialise a closed service."""
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self.state = StoreState()
        self.listener = Listener(self.answer, host, port)
        self._loop: AbstractEventLoop | None = None

    async def open(self) -> None:
        """Opens the listening socket."""
        self._loop = get_running_loop()
        await self.listener.open(self._loop)

    async def close(self) -> None:
        """Closes everything."""
        self.listener.close()

    async def answer(self, request: Request) -> Response:
        """Answers one call."""
        if request.path.startswith("/control/"):
            return self._control(request)
        self.calls["watch" if "wait_ms" in request.query else request.method.lower()] += 1
        if self.faults.slow_ms:
            await sleep(self.faults.slow_ms / MS_PER_S)
        if self.faults.unreachable:
            return Response(0, drop=True)
        if self.faults.down:
            return reply_json(503, {"error": "down"})
        response = await self._serve(request)
        is_write = request.method in ("PUT", "DELETE", "POST")
        if is_write and response.status == 200 and self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return Response(0, drop=True)
        return response

    async def _serve(self, request: Request) -> Response:
        """Routes one call."""
        if request.path == LEASES_PATH and request.method == "POST":
            ttl = json.decode(request.body, type=_LeaseBody).ttl_ms / MS_PER_S
            return reply_json(200, {"lease": self.state.grant(ttl, self._now())})
        if not request.path.startswith(KEYS_PREFIX):
            return reply_json(404, {"error": "no such path"})
        key = unquote(request.path.removeprefix(KEYS_PREFIX))
        if request.method == "PUT":
            return self._put(key, request)
        if request.method == "DELETE":
            expected = int(request.query.get("expected", "0"))
            done = self.state.write(key, None, expected, self._now())
            return self._value(key, 200 if done else 409)
        if request.method != "GET":
            return reply_json(405, {"error": "no such method"})
        if "wait_ms" in request.query:
            after = int(request.query.get("after", "0"))
            await self._wait(key, after, float(request.query["wait_ms"]) / MS_PER_S)
            if self.faults.down:
                return reply_json(503, {"error": "down"})
        return self._value(key, 200)

    def _put(self, key: str, request: Request) -> Response:
        """Writes a key."""
        try:
            body = json.decode(request.body, type=_PutBody)
            value = b64decode(body.value, validate=True)
        except ValueError as exc:
            return reply_json(400, {"error": str(exc)})
        if len(value) > MAX_VALUE_BYTES:
            return reply_json(413, {"error": "value too large"})
        if body.lease is not None and body.lease not in self.state.leases:
            return reply_json(410, {"error": "no such lease"})
        done = self.state.write(key, _Entry(value, 0, body.lease), body.expected, self._now())
        return self._value(key, 200 if done else 409)

    async def _wait(self, key: str, after: int, wait: float) -> None:
        """Waits for a revision above `after`."""
        end = self._now() + wait
        while self.state.get(key, self._now()).revision <= after:
            left = end - self._now()
            if left <= 0:
                return
            try:
                await wait_for(self.state.changed(key).wait(), left)
            except builtins.TimeoutError:
                return

    def _value(self, key: str, status: int) -> Response:
        """Returns a key's value."""
        entry = self.state.get(key, self._now())
        value = b64encode(entry.value).decode()
        return reply_json(status, {"key": key, "value": value, "revision": entry.revision})

    def _control(self, request: Request) -> Response:
        """Sets faults or returns counters."""
        if request.path == FAULTS_PATH and request.method == "POST":
            current = structs.asdict(self.faults)
            current.update(json.decode(request.body))
            self.faults = json.decode(json.encode(current), type=StoreFaults)
            return reply_json(200, self.faults)
        if request.path in (SAVE_PATH, RESTORE_PATH) and request.method == "POST":
            change = self.state.save if request.path == SAVE_PATH else self.state.restore
            change()
            return reply_json(200, {})
        if request.path == COUNTERS_PATH:
            return reply_json(200, {"calls": dict(self.calls), "keys": len(self.state.entries)})
        return reply_json(404, {"error": "no such path"})

    def _now(self) -> float:
        """Returns the event loop's time."""
        assert self._loop is not None
        return self._loop.time()


class StoreStandIn:
    """The store in a thread."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Initialise a stopped store.

        Args:
            host: IP address to bind.
            port: TCP port, 0 for one from the operating system.
        """
        self.service = StoreService(host, port)
        self.thread = ThreadHost(self.service)
        self.host = host

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self.service.listener.port

    @property
    def faults(self) -> StoreFaults:
        """Faults in force; their fields may be set at any time."""
        return self.service.faults

    @property
    def calls(self) -> dict[str, int]:
        """Calls so far by kind: get, put, delete, post and watch."""
        return self.thread.call(lambda: dict(self.service.calls))

    def save(self) -> None:
        """Keeps a copy of every key."""
        self.thread.call(self.service.state.save)

    def restore(self) -> None:
        """Goes back to the copy, as a store restored from an old backup does."""
        self.thread.call(self.service.state.restore)

    def start(self) -> None:
        """Starts serving."""
        self.thread.start()

    def stop(self) -> None:
        """Stops serving."""
        self.thread.stop()


def main() -> None:
    """Runs the store as a process."""
    parser = ArgumentParser(description="A stand-in for the platform's key-value service")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()
    pthread_sigmask(SIG_BLOCK, {SIGINT, SIGTERM})
    store = StoreStandIn(args.host, args.port)
    serve(store.thread, lambda: {"port": store.port})


if __name__ == "__main__":
    main()
