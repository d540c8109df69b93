"""Stand-in of the platform's VM list, which can lag behind the actual VMs."""

from __future__ import annotations

from argparse import ArgumentParser
from asyncio import get_running_loop, sleep
from collections import deque
from pathlib import Path
from signal import SIG_BLOCK, SIGINT, SIGTERM, pthread_sigmask
from time import monotonic
from typing import Any, Final

from msgspec import Struct, json

from standins.http_server import Request, Response, reply_json
from standins.thread_host import Listener, ThreadHost, serve

LIST_PATH: Final = "/v1/vms"
SET_PATH: Final = "/control/vms"
FAULTS_PATH: Final = "/control/faults"
MS_PER_S: Final = 1000.0


class VmListFaults(Struct):
    """Active fault settings of the VM list; a call of `FAULTS_PATH` replaces them all."""

    lag_ms: float = 0.0
    """Age of the returned list."""
    down: bool = False
    slow_ms: float = 0.0
    """Delay before each call for the list is answered."""


class VmListService:
    """Serves the VM list as of `lag_ms` ago."""

    def __init__(self, host: str, port: int, vms: list[dict[str, Any]]) -> None:
        """Creates a service that does not listen yet.

        Args:
            host: IP address to bind.
            port: TCP port, or 0 for one assigned by the operating system.
            vms: Initial list, returned without lag.
        """
        self.faults = VmListFaults()
        self._history: deque[tuple[float, list[dict[str, Any]]]] = deque([(0.0, vms)])
        self.listener = Listener(self.answer, host, port)

    async def open(self) -> None:
        """Opens the listening socket."""
        await self.listener.open(get_running_loop())

    async def close(self) -> None:
        """Stops listening and resets every connection."""
        self.listener.close()

    def set_vms(self, vms: list[dict[str, Any]]) -> None:
        """Sets the current VMs; callers receive the new list after the lag.

        Args:
            vms: Objects with the keys name, host, port, place and state (`live` or `leaving`).
        """
        self._history.append((monotonic(), vms))

    async def answer(self, request: Request) -> Response:
        """Answers one call, applying the faults."""
        if request.path == SET_PATH and request.method == "POST":
            self.set_vms(json.decode(request.body))
            return reply_json(200, {})
        if request.path == FAULTS_PATH and request.method == "POST":
            self.faults = json.decode(request.body, type=VmListFaults)
            return reply_json(200, self.faults)
        if request.path != LIST_PATH:
            return reply_json(404, {"error": "no such path"})
        if self.faults.slow_ms:
            await sleep(self.faults.slow_ms / MS_PER_S)
        if self.faults.down:
            return reply_json(503, {"error": "down"})
        return reply_json(200, {"vms": self._lagged_vms()})

    def _lagged_vms(self) -> list[dict[str, Any]]:
        """Returns the list as of `lag_ms` ago."""
        horizon = monotonic() - self.faults.lag_ms / MS_PER_S
        while len(self._history) > 1 and self._history[1][0] <= horizon:
            self._history.popleft()
        return self._history[0][1]


class VmListStandIn:
    """The VM list, running in a thread."""

    def __init__(
        self, host: str = "127.0.0.1", port: int = 0, vms: list[dict[str, Any]] | None = None
    ) -> None:
        """Creates a VM list that is not started.

        Args:
            host: IP address to bind.
            port: TCP port, or 0 for one assigned by the operating system.
            vms: Initial list, returned without lag.
        """
        self.service = VmListService(host, port, vms or [])
        self.thread = ThreadHost(self.service)
        self.host = host

    @property
    def port(self) -> int:
        """Port that the VM list listens on."""
        return self.service.listener.port

    def start(self) -> None:
        """Starts serving."""
        self.thread.start()

    def stop(self) -> None:
        """Stops serving."""
        self.thread.stop()


def main() -> None:
    """Runs the VM list until SIGINT or SIGTERM."""
    parser = ArgumentParser(description="Stand-in of the platform's VM list")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--vms", help="JSON file with the initial list")
    parser.add_argument("--lag-ms", type=float, default=0.0)
    args = parser.parse_args()
    pthread_sigmask(SIG_BLOCK, {SIGINT, SIGTERM})
    vms = json.decode(Path(args.vms).read_bytes()) if args.vms else []
    vm_list = VmListStandIn(args.host, args.port, vms)
    vm_list.service.faults.lag_ms = args.lag_ms
    serve(vm_list.thread, lambda: {"port": vm_list.port})


if __name__ == "__main__":
    main()
