"""Stand-in upstreams distributed over several processes."""

from __future__ import annotations

from collections import Counter
from os import environ
from pathlib import Path
from select import select
from subprocess import DEVNULL, PIPE, Popen
from sys import executable
from typing import Any, Final

from msgspec import Struct, json

from sequoiapulley.model import Configuration
from standins.http_call import HOST, http_json
from standins.upstream_spec import UpstreamCounters, UpstreamSpec

START_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 10.0
ALL_UPSTREAMS: Final = "*"


class StandInError(Exception):
    """A stand-in did not start."""


class StandInProcess:
    """A process that prints one line of JSON once it is ready to serve."""

    def __init__(self, module: str, *args: str) -> None:
        """Starts the process and waits for its line of JSON.

        Args:
            module: Module to run.
            args: Command-line arguments.

        Raises:
            StandInError: If the process prints no line within `START_TIMEOUT_S`.
        """
        self.process = Popen(
            [executable, "-m", module, *args], stdout=PIPE, stdin=DEVNULL, env=child_environment()
        )
        assert self.process.stdout is not None
        ready = select([self.process.stdout], [], [], START_TIMEOUT_S)[0]
        line = self.process.stdout.readline() if ready else b""
        if not line:
            self.stop()
            raise StandInError(f"{module} did not start")
        self.description: Any = json.decode(line)
        """Decoded line of JSON, such as the ports of the stand-in."""

    def stop(self) -> None:
        """Kills the process if it is running and waits for its exit."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)


class UpstreamTotals(Struct, frozen=True):
    """Counters of all upstreams."""

    upstreams: dict[str, UpstreamCounters]
    runs: Counter[str]
    """Number of started runs of non-idempotent requests by idempotency key."""

    @property
    def received(self) -> int:
        """Number of requests received by all upstreams."""
        return sum(counters.received for counters in self.upstreams.values())


class UpstreamProcesses:
    """Processes that run the upstreams of a configuration, each on a free port."""

    def __init__(
        self,
        specs: list[UpstreamSpec],
        folder: Path,
        faults: dict[str, Any] | None = None,
        processes: int = 1,
    ) -> None:
        """Starts the processes.

        Args:
            specs: Upstreams to run.
            folder: Folder for the files that describe the upstreams.
            faults: Initial fault settings of all upstreams.
            processes: Number of processes over which the upstreams are distributed.
        """
        self._processes: list[StandInProcess] = []
        self._control_ports: dict[str, int] = {}
        self.ports: dict[str, int] = {}
        for number in range(processes):
            path = folder / f"upstreams-{number}.json"
            path.write_bytes(json.encode(specs[number::processes]))
            process = StandInProcess(
                "standins.upstreams", str(path), "--faults", json.encode(faults or {}).decode()
            )
            self._processes.append(process)
            self.ports.update(process.description["ports"])
            for name in process.description["ports"]:
                self._control_ports[name] = process.description["control_port"]

    def set_faults(self, upstream: str, **fields: object) -> None:
        """Changes some fault settings of one upstream, or of all for `*`."""
        self._post(upstream, "/control/faults", {"upstream": upstream, **fields})

    def silence(self, upstream: str) -> None:
        """Makes the open connections of one upstream, or of all for `*`, unresponsive."""
        self._post(upstream, "/control/silence", {"upstream": upstream})

    def reset(self) -> None:
        """Resets the counters."""
        self._post(ALL_UPSTREAMS, "/control/reset", {})

    def totals(self) -> UpstreamTotals:
        """Returns the counters of all upstreams."""
        upstreams: dict[str, UpstreamCounters] = {}
        runs: Counter[str] = Counter()
        for port in sorted(set(self._control_ports.values())):
            view = http_json(port, "GET", "/control/counters")[1]
            decoded = json.decode(json.encode(view["upstreams"]), type=dict[str, UpstreamCounters])
            upstreams.update(decoded)
            runs.update(view["runs"])
        return UpstreamTotals(upstreams, runs)

    def stop(self) -> None:
        """Stops the processes."""
        for process in self._processes:
            process.stop()

    def _post(self, upstream: str, path: str, body: dict[str, object]) -> None:
        """Calls the control endpoint of an upstream's process, or of all processes for `*`."""
        ports = set(self._control_ports.values())
        if upstream != ALL_UPSTREAMS:
            ports = {self._control_ports[upstream]}
        for port in ports:
            http_json(port, "POST", path, body)


def make_upstream_specs(configuration: Configuration) -> list[UpstreamSpec]:
    """Returns the specs of stand-ins for all upstreams of a configuration, on any free port."""
    specs = []
    for service in configuration.services.values():
        contract = configuration.contract_of(service)
        for instance in service.instances:
            for upstream in instance.upstreams:
                spec = UpstreamSpec(
                    name=upstream.name,
                    instance=instance.name,
                    service=service.name,
                    slots=contract.slots,
                    connections=contract.connections,
                    open_ms=contract.open_ms,
                    host=HOST,
                )
                specs.append(spec)
    return specs


def child_environment() -> dict[str, str]:
    """Returns the environment variables of a child process."""
    root = Path(__file__).resolve().parent.parent
    return {**environ, "PYTHONPATH": f"{root / 'src'}:{root}"}
