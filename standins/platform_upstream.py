"""Stand-in of an upstream on the users' platform that signs replies and records requests."""

from __future__ import annotations

from asyncio import CancelledError, create_task, get_running_loop, sleep
from collections import Counter
from random import Random
from typing import Final

from msgspec import Struct

from standins.http_server import Endless, Request, Response
from standins.thread_host import Listener, ThreadHost

RECORD_BYTES: Final = 16
"""Size of one record of a part; parts are merged by record."""
RECORDS_PER_PART: Final = 8

SEAL_PREFIX: Final = "seal"
MIN_SLOW_S: Final = 1.0
MAX_SLOW_S: Final = 3.0
MAX_CUT_BYTES: Final = 240
"""Number of bytes at which a truncated reply ends at the latest, which is within its body."""
CRASHED_S: Final = 0.6
"""Time for which a crashed upstream refuses connections."""


class UpstreamFaults(Struct):
    """Service time and fault settings of an upstream."""

    work: float = 0.003
    """Service time of a request in seconds."""
    slow: float = 0.0
    """Share of requests, 0 to 1, whose service time is `MIN_SLOW_S` to `MAX_SLOW_S`."""
    refuse: float = 0.0
    """Share of requests, 0 to 1, refused before they run."""
    lose: float = 0.0
    """Share of requests, 0 to 1, whose connection is reset after they ran."""
    fail: float = 0.0
    """Share of requests, 0 to 1, answered with `fail_status` after they ran."""
    fail_status: int = 500
    """Status of failures, from 0 to 999."""
    cut: float = 0.0
    """Share of replies with status 200, 0 to 1, that are truncated."""
    silent: bool = False
    """Accept requests without answering them."""
    leaving: bool = False
    """Announce the shutdown in each reply."""
    pause: float | None = None
    """Refuse every request before it runs and ask for a pause of this many seconds."""
    endless: Endless | None = None
    """Answer with bytes that never end."""
    limit: float | None = None
    """State in each reply that so many requests per second are accepted from all nodes together."""
    crash_path: str | None = None
    """Crash while running a request with this path; the upstream is back after `CRASHED_S`."""


class PlatformUpstream:
    """One upstream that runs in a thread.

    The attempt id is the request id that the caller sent.
    """

    def __init__(
        self, name: str, service: str, host: str, failure_domain: str, seed: int = 0
    ) -> None:
        """Creates an upstream that is not started.

        Args:
            name: Id of the upstream in the store.
            service: Service that the upstream belongs to.
            host: IP address to bind.
            failure_domain: Failure domain of the upstream.
            seed: Seed of the randomly chosen faults.
        """
        self.name = name
        self.service = service
        self.host = host
        self.failure_domain = failure_domain
        self.faults = UpstreamFaults()
        self.runs: Counter[str] = Counter()
        """Number of runs of each request, by attempt id."""
        self.requests: dict[str, tuple[str, str, bytes]] = {}
        """Method, path and body of the last run of each request, by attempt id."""
        self.arrivals: list[float] = []
        """Event-loop time at which each request arrived, including those that were refused."""
        self.leaving_arrivals: list[str] = []
        """Attempt ids of the requests that arrived while it announced its shutdown; an empty one
        marks the beginning of each announcement."""
        self.reports = 0
        """Number of records that were returned, which is the number in the last one."""
        self.received: set[str] = set()
        """Attempt ids of all requests that arrived."""
        self.broken_off: set[str] = set()
        """Attempt ids of the requests that had no complete reply, as a fault made it end early."""
        self.statuses: dict[str, set[int]] = {}
        """Statuses of the signed replies to each request, by attempt id."""
        self.last_run_ended_at: dict[str, float] = {}
        """Event-loop time at the end of the last run of each request, by attempt id."""
        self.last_run_at: dict[str, float] = {}
        """Event-loop time at the start of the last run of each request, by attempt id."""
        self._random = Random(seed)
        self._listener = Listener(self._answer, host, 0)
        self._thread = ThreadHost(self)

    @property
    def port(self) -> int:
        """Port that the upstream listens on."""
        return self._listener.port

    def record(
        self, port: int | None = None, state: str = "ready", born: int = 1
    ) -> dict[str, object]:
        """Returns the store entry of the upstream.

        Args:
            port: Port to register instead of the upstream's own, such as that of a proxy.
            state: `ready` or `draining`.
            born: Start time to register.
        """
        self.reports += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{port or self.port}",
            "zone": self.failure_domain,
            "version": "v1",
            "max_concurrency": 4,
            "state": state,
            "cold_left_ms": 0,
            "sequence": self.reports,
            "born": born,
        }

    def thread_time(self) -> float:
        """Returns the time of its event loop."""
        return self._thread.call(lambda: get_running_loop().time())

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
        """Stops listening and resets every connection."""
        self._listener.close()

    def _crash(self) -> None:
        """Resets every connection and refuses new ones for some time."""
        loop = get_running_loop()
        self._listener.close()
        loop.call_later(CRASHED_S, lambda: create_task(self.open()))

    def part(self, request: str) -> bytes:
        """Returns the part of the answer to a request that this upstream serves."""
        random = Random(f"{self.service} {request}")
        return b"".join(random.randbytes(RECORD_BYTES) for _ in range(RECORDS_PER_PART))

    def seal(self, request: str) -> str:
        """Returns the signature (seal) of the upstream's reply to a request."""
        return f"{SEAL_PREFIX}.{self.service}.{self.name}.{request}"

    async def _answer(self, request: Request) -> Response:
        """Answers one request, applying the faults."""
        if request.path == "/health":
            return Response(200, b"", (("x-instance-id", self.name),))
        attempt = request.headers.get("x-attempt-id", "")
        self.arrivals.append(get_running_loop().time())
        self.received.add(attempt)
        echo: tuple[tuple[str, str], ...] = (
            ("x-attempt-id", attempt),
            ("x-server-load", "1,0,4"),
        )
        if self.faults.leaving:
            self.leaving_arrivals.append(attempt)
            echo = (*echo, ("server-leaving", "1"))
        if self.faults.limit is not None:
            echo = (*echo, ("server-limit", f"{self.faults.limit:g}"))
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return Response(421, b"", echo)
        if self.faults.pause is not None:
            pause = ("retry-after", f"{self.faults.pause:g}")
            return Response(503, b"", (("x-not-executed", "1"), pause, *echo))
        if not attempt or self._random.random() < self.faults.refuse:
            return Response(503, b"", (("x-not-executed", "1"), *echo))
        self.runs[attempt] += 1
        self.last_run_at[attempt] = get_running_loop().time()
        self.requests[attempt] = (request.method, request.path, request.body)
        self.last_run_ended_at.pop(attempt, None)
        try:
            await sleep(self._service_time())
        except CancelledError:
            # The caller closed its connection. A real upstream would stop the run as well.
            raise
        finally:
            self.last_run_ended_at[attempt] = get_running_loop().time()
        response = self._respond(request, attempt, echo)
        if response.drop or response.cut_to is not None or response.endless is not None:
            self.broken_off.add(attempt)
        self.statuses.setdefault(attempt, set()).add(response.status)
        return response

    def _service_time(self) -> float:
        """Returns the service time of the next request in seconds."""
        if self.faults.silent:
            return 3_600.0
        if self._random.random() < self.faults.slow:
            return self._random.uniform(MIN_SLOW_S, MAX_SLOW_S)
        return self.faults.work

    def _respond(
        self, request: Request, attempt: str, echo: tuple[tuple[str, str], ...]
    ) -> Response:
        """Returns the reply to a request that ran, applying the faults."""
        if request.path == self.faults.crash_path:
            self._crash()
            return Response(0, drop=True)
        if self._random.random() < self.faults.lose:
            return Response(0, drop=True)
        sealed = (*echo, ("x-server-seal", self.seal(attempt)))
        if self.faults.endless is not None:
            return Response(200, b"", sealed, endless=self.faults.endless)
        if self._random.random() < self.faults.fail:
            return Response(self.faults.fail_status, b"failed", sealed)
        cut = None
        if self._random.random() < self.faults.cut:
            cut = self._random.randrange(1, MAX_CUT_BYTES)
        return Response(200, self.part(attempt), sealed, cut_to=cut)
