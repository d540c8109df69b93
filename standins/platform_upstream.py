"""A stand-in for an upstream on the users' platform: seals its replies and keeps what it ran."""

from __future__ import annotations

from asyncio import CancelledError, get_running_loop, sleep
from collections import Counter
from random import Random
from typing import Final

from msgspec import Struct

from standins.http_server import Request, Response
from standins.thread_host import Listener, ThreadHost

RECORD_BYTES: Final = 16
RECORDS: Final = 8
"""Records in each part."""
SEAL_PREFIX: Final = "seal"


class UpstreamFaults(Struct):
    """How an upstream misbehaves."""

    work: float = 0.003
    """Time of the work in seconds."""
    refuse: float = 0.0
    """Share of requests refused before they run."""
    lose: float = 0.0
    """Share of requests that run and whose connection is then reset."""
    fail: float = 0.0
    """Share of requests that run and end in a failure."""
    cut: float = 0.0
    """Share of replies that are cut short."""
    silent: bool = False
    """Take requests and answer none."""


class PlatformUpstream:
    """One upstream in a thread."""

    def __init__(
        self, name: str, service: str, host: str, failure_domain: str, seed: int = 0
    ) -> None:
        """Initialise a stopped upstream.

        Args:
            name: Its id in the store.
            service: Its service.
            host: IP address to bind.
            failure_domain: Its failure domain.
            seed: Seed of its faults.
        """
        self.name = name
        self.service = service
        self.host = host
        self.failure_domain = failure_domain
        self.faults = UpstreamFaults()
        self.runs: Counter[str] = Counter()
        """Times that each request began to run."""
        self.requests: dict[str, tuple[str, str, bytes]] = {}
        """Method, path and body of each request."""
        self.last_arrival: dict[str, float] = {}
        """Loop time of the last run of each request."""
        self._random = Random(seed)
        self._listener = Listener(self._answer, host, 0)
        self._thread = ThreadHost(self)

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self._listener.port

    def record(
        self, port: int | None = None, state: str = "ready", born: int = 1
    ) -> dict[str, object]:
        """Returns its entry in the store.

        Args:
            port: Port to name in place of its own, such as a proxy's.
            state: `ready` or `draining`.
            born: Time of its start.
        """
        return {
            "service": self.service,
            "address": f"{self.host}:{port or self.port}",
            "zone": self.failure_domain,
            "version": "v1",
            "max_concurrency": 4,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": born,
        }

    def start(self) -> None:
        """Starts serving."""
        self._thread.start()

    def stop(self) -> None:
        """Stops serving."""
        self._thread.stop()

    async def open(self) -> None:
        """Opens the listening socket."""
        await self._listener.open(get_running_loop())

    async def close(self) -> None:
        """Closes everything."""
        self._listener.close()

    def part(self, request: str) -> bytes:
        """Returns the records of its part of a request."""
        random = Random(f"{self.service} {request}")
        return b"".join(random.randbytes(RECORD_BYTES) for _ in range(RECORDS))

    def seal(self, request: str) -> str:
        """Returns its seal of a request's part."""
        return f"{SEAL_PREFIX}.{self.service}.{self.name}.{request}"

    async def _answer(self, request: Request) -> Response:
        """Runs one request."""
        if request.path == "/health":
            return Response(200, b"", (("x-instance-id", self.name),))
        attempt = request.headers.get("x-attempt-id", "")
        echo = (("x-attempt-id", attempt), ("x-server-load", "1,0,4"))
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return Response(421, b"", echo)
        if not attempt or self._random.random() < self.faults.refuse:
            return Response(503, b"", (("x-not-executed", "1"), *echo))
        self.runs[attempt] += 1
        self.last_arrival[attempt] = get_running_loop().time()
        self.requests[attempt] = (request.method, request.path, request.body)
        try:
            await sleep(3_600.0 if self.faults.silent else self.faults.work)
        except CancelledError:
            # The caller closed its connection; the run ends, as a real upstream's would.
            raise
        if self._random.random() < self.faults.lose:
            return Response(0, drop=True)
        sealed = (*echo, ("x-server-seal", self.seal(attempt)))
        if self._random.random() < self.faults.fail:
            return Response(500, b"failed", sealed)
        cut = 90 if self._random.random() < self.faults.cut else None
        return Response(200, self.part(attempt), sealed, cut_to=cut)
