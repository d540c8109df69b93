"""Stand-in upstreams of one process, with a control endpoint."""

from __future__ import annotations

from argparse import ArgumentParser
from asyncio import get_running_loop
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from signal import SIG_BLOCK, SIGINT, SIGTERM, pthread_sigmask
from typing import Any, Final

from msgspec import ValidationError, json, structs
from xxhash import xxh32_intdigest

from standins.http_server import Request, Response, reply_json
from standins.thread_host import Listener, ThreadHost, serve
from standins.upstream_server import UpstreamServer
from standins.upstream_spec import UpstreamCounters, UpstreamFaults, UpstreamSpec

FAULTS_PATH: Final = "/control/faults"
COUNTERS_PATH: Final = "/control/counters"
RESET_PATH: Final = "/control/reset"
SILENCE_PATH: Final = "/control/silence"
CRASH_PATH: Final = "/control/crash"
ALL_UPSTREAMS: Final = "*"


class UpstreamsService:
    """Runs a set of upstreams and their control endpoint."""

    def __init__(self, specs: Sequence[UpstreamSpec], control_port: int) -> None:
        """Creates upstreams that do not listen yet.

        Args:
            specs: Upstreams to create.
            control_port: TCP port of the control endpoint, or 0 for any free port.
        """
        self.runs: Counter[str] = Counter()
        self.servers: dict[str, UpstreamServer] = {}
        for spec in specs:
            self.servers[spec.name] = UpstreamServer(
                spec, self.runs, xxh32_intdigest(spec.name.encode())
            )
        self.control = Listener(self.answer, "127.0.0.1", control_port)

    async def open(self) -> None:
        """Opens all upstreams and the control endpoint."""
        for server in self.servers.values():
            await server.open()
        await self.control.open(get_running_loop())

    async def close(self) -> None:
        """Closes all upstreams and the control endpoint."""
        for server in self.servers.values():
            server.close()
        self.control.close()

    def select(self, name: str) -> list[UpstreamServer]:
        """Returns the upstream with a name, or all upstreams for `*`.

        Raises:
            KeyError: If there is no such upstream.
        """
        return list(self.servers.values()) if name == ALL_UPSTREAMS else [self.servers[name]]

    def set_faults(self, name: str, fields: dict[str, Any]) -> None:
        """Changes some fault settings of one upstream, or of all for `*`.

        Raises:
            KeyError: If there is no such upstream.
            ValidationError: If a field has the wrong type.
        """
        for server in self.select(name):
            merged = {**structs.asdict(server.faults), **fields}
            faults = json.decode(json.encode(merged), type=UpstreamFaults)
            was_down = server.faults.down
            server.faults = faults
            if faults.down and not was_down:
                server.close()
            if was_down and not faults.down:
                server.reopen()

    def reset_counters(self) -> None:
        """Resets the counters, except the numbers of open connections and running requests."""
        self.runs.clear()
        for server in self.servers.values():
            old = server.counters
            server.counters = UpstreamCounters(
                open_connections=old.open_connections,
                peak_connections=old.open_connections,
                running=old.running,
                peak_running=old.running,
            )

    def counters(self) -> dict[str, Any]:
        """Returns the counters of every upstream and the started runs by idempotency key."""
        upstreams = {name: server.counters for name, server in self.servers.items()}
        return {"upstreams": upstreams, "runs": dict(self.runs)}

    async def answer(self, request: Request) -> Response:
        """Answers one control call."""
        if request.path == COUNTERS_PATH:
            return reply_json(200, self.counters())
        if request.method != "POST":
            return reply_json(404, {"error": "no such path"})
        try:
            fields: dict[str, Any] = json.decode(request.body or b"{}")
            return self._change(request.path, fields)
        except KeyError as exc:
            return reply_json(404, {"error": f"no such upstream: {exc}"})
        except (ValidationError, ValueError) as exc:
            return reply_json(400, {"error": str(exc)})

    def _change(self, path: str, fields: dict[str, Any]) -> Response:
        """Executes one control call that changes faults, counters or connections."""
        name = str(fields.pop("upstream", ALL_UPSTREAMS))
        if path == FAULTS_PATH:
            self.set_faults(name, fields)
            return reply_json(200, {})
        if path == RESET_PATH:
            self.reset_counters()
            return reply_json(200, {})
        if path == SILENCE_PATH:
            silenced = sum(server.silence() for server in self.select(name))
            return reply_json(200, {"silenced": silenced})
        if path == CRASH_PATH:
            for server in self.select(name):
                server.crash()
            return reply_json(200, {})
        return reply_json(404, {"error": "no such path"})


class UpstreamsStandIn:
    """The upstreams, running in a thread."""

    def __init__(self, specs: Sequence[UpstreamSpec], control_port: int = 0) -> None:
        """Creates upstreams that are not started.

        Args:
            specs: Upstreams to create.
            control_port: TCP port of the control endpoint, or 0 for any free port.
        """
        self.service = UpstreamsService(specs, control_port)
        self.thread = ThreadHost(self.service)

    @property
    def ports(self) -> dict[str, int]:
        """Port of each upstream by name."""
        return {name: server.port for name, server in self.service.servers.items()}

    @property
    def control_port(self) -> int:
        """Port of the control endpoint."""
        return self.service.control.port

    @property
    def runs(self) -> dict[str, int]:
        """Number of started runs by idempotency key; requests without one have an empty key."""
        return self.thread.call(lambda: dict(self.service.runs))

    def counters(self, name: str) -> UpstreamCounters:
        """Returns a copy of the counters of one upstream."""
        return self.thread.call(lambda: structs.replace(self.service.servers[name].counters))

    def set_faults(self, name: str, **fields: Any) -> None:
        """Changes some fault settings of one upstream, or of all for `*`."""
        self.thread.call(lambda: self.service.set_faults(name, fields))

    def silence(self, name: str) -> int:
        """Makes the open connections of an upstream unresponsive; returns their number."""
        return self.thread.call(
            lambda: sum(server.silence() for server in self.service.select(name))
        )

    def crash(self, name: str) -> None:
        """Crashes an upstream, which restarts after its `down_ms`."""
        for server in self.service.select(name):
            self.thread.call(server.crash)

    def reset_counters(self) -> None:
        """Resets the counters, except the numbers of open connections and running requests."""
        self.thread.call(self.service.reset_counters)

    def start(self) -> None:
        """Starts serving."""
        self.thread.start()

    def stop(self) -> None:
        """Stops serving."""
        self.thread.stop()


def main() -> None:
    """Runs the upstreams described in a JSON file until SIGINT or SIGTERM."""
    parser = ArgumentParser(description="Stand-ins of upstreams")
    parser.add_argument("file", help="JSON list of upstreams: name, instance, service, port, ...")
    parser.add_argument("--port", type=int, default=0, help="port of the control endpoint")
    parser.add_argument(
        "--faults", default="{}", help="JSON object with the initial faults of all upstreams"
    )
    args = parser.parse_args()
    pthread_sigmask(SIG_BLOCK, {SIGINT, SIGTERM})
    specs = json.decode(Path(args.file).read_bytes(), type=list[UpstreamSpec])
    upstreams = UpstreamsStandIn(specs, args.port)
    upstreams.service.set_faults(ALL_UPSTREAMS, json.decode(args.faults))
    serve(
        upstreams.thread, lambda: {"control_port": upstreams.control_port, "ports": upstreams.ports}
    )


if __name__ == "__main__":
    main()
