"""Starts stand-ins and nodes as processes on loopback, for the demo, tests and benchmarks."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPConnection
from os import environ
from pathlib import Path
from re import sub
from select import select
from signal import SIGKILL, SIGTERM
from socket import SOCK_DGRAM, SOCK_STREAM, socket
from subprocess import DEVNULL, PIPE, Popen, TimeoutExpired
from sys import executable
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any, Final

from msgspec import Struct, json
from result import Ok

from sequoiapulley.ids import ConfigVersion
from sequoiapulley.model import Configuration
from sequoiapulley.settings.text import parse_text
from standins.upstream_spec import UpstreamSpec

HOST: Final = "127.0.0.1"
START_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 10.0
POLL_S: Final = 0.05
ENTRY_LIFETIME_S: Final = 2.0


class FleetError(Exception):
    """A process did not start or a call failed."""


class NodePorts(Struct, frozen=True):
    """Ports of one node."""

    callers: int
    operators: int
    link: int
    membership: int


class LocalNode(Struct):
    """One daemon process."""

    name: str
    place: str
    region: str
    ports: NodePorts
    process: Popen[bytes]
    log_path: Path


def free_port(kind: int = SOCK_STREAM) -> int:
    """Returns a port that the operating system says is free."""
    with socket(type=kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def http_json(
    port: int, method: str, path: str, body: object = None, timeout: float = 10.0, **headers: Any
) -> tuple[int, Any]:
    """Calls a JSON endpoint on loopback.

    Args:
        port: TCP port.
        method: HTTP method.
        path: Path with its query.
        body: Value to send as JSON, or None.
        timeout: Seconds.
        headers: Header names with underscores for dashes.

    Returns:
        Status and decoded body.

    Raises:
        OSError: If the call fails.
    """
    conn = HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = json.encode(body) if body is not None else None
        conn.request(method, path, data, {k.replace("_", "-"): v for k, v in headers.items()})
        reply = conn.getresponse()
        return reply.status, json.decode(reply.read())
    finally:
        conn.close()


class LocalFleet:
    """The platform's stand-ins, the upstreams of a text and any number of nodes."""

    def __init__(self, text: str, folder: Path, faults: dict[str, Any] | None = None) -> None:
        """Starts the stand-ins.

        Args:
            text: Operators' text; its addresses are replaced by free ports.
            folder: Folder for settings and logs.
            faults: Behaviour of all upstreams at the start.

        Raises:
            FleetError: If the text has findings or a stand-in does not start.
        """
        self.folder = folder
        self.nodes: dict[str, LocalNode] = {}
        self._processes: list[Popen[bytes]] = []
        self.configuration = _parse(text)
        specs = _specs(self.configuration)
        spec_file = folder / "upstreams.json"
        spec_file.write_bytes(json.encode(specs))
        self.store_port: int = self._start_standin("standins.store")["port"]
        self.vm_list_port: int = self._start_standin("standins.vm_list")["port"]
        started = self._start_standin(
            "standins.upstreams", str(spec_file), "--faults", json.encode(faults or {}).decode()
        )
        self.upstreams_port: int = started["control_port"]
        self.text = _with_ports(text, started["ports"])

    def start_node(self, number: int) -> LocalNode:
        """Starts one daemon; its place follows from its number.

        Args:
            number: From 1.

        Returns:
            The node, which may not be ready yet.
        """
        places = list(self.configuration.places.values())
        place = places[(number - 1) % len(places)]
        name = f"{self.configuration.customer}-{number:02d}"
        ports = NodePorts(free_port(), free_port(), free_port(), free_port(SOCK_DGRAM))
        settings = {
            "node": name,
            "customer": self.configuration.customer,
            "place": place.name,
            "region": place.region,
            "callers": {"host": HOST, "port": ports.callers},
            "operators": {"host": HOST, "port": ports.operators},
            "link": {"host": HOST, "port": ports.link},
            "membership": {"host": HOST, "port": ports.membership},
            "store": {"host": HOST, "port": self.store_port},
            "vm_list": {"host": HOST, "port": self.vm_list_port},
            "log": {"json": True},
            "entry_lifetime_s": ENTRY_LIFETIME_S,
        }
        path = self.folder / f"{name}.json5"
        path.write_bytes(json.encode(settings))
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            process = Popen(
                [executable, "-m", "sequoiapulley.daemon.main", str(path)],
                stdout=log,
                stderr=log,
                stdin=DEVNULL,
                env=_environment(),
            )
        self._processes.append(process)
        node = LocalNode(name, place.name, place.region, ports, process, log_path)
        self.nodes[name] = node
        return node

    def publish_vms(self) -> None:
        """Writes the nodes that run into the VM list."""
        vms = [
            {
                "name": node.name,
                "host": HOST,
                "port": node.ports.membership,
                "place": node.place,
                "state": "live",
            }
            for node in self.nodes.values()
            if node.process.poll() is None
        ]
        http_json(self.vm_list_port, "POST", "/control/vms", vms)

    def wait_for_members(self, count: int) -> float:
        """Waits until every running node sees that many live members.

        Returns:
            Seconds waited.

        Raises:
            FleetError: If it takes longer than `START_TIMEOUT_S`.
        """

        def converged() -> bool:
            return all(self._live_members(node) == count for node in self.running())

        return wait_until(converged, f"{count} live members on every node")

    def wait_until_ready(self) -> float:
        """Waits until every running node is ready for callers; returns the seconds waited."""

        def ready() -> bool:
            return all(self._status(node, "/readyz")[0] == 200 for node in self.running())

        return wait_until(ready, "every node ready")

    def running(self) -> list[LocalNode]:
        """Returns the nodes whose process runs."""
        return [node for node in self.nodes.values() if node.process.poll() is None]

    def kill(self, node: LocalNode) -> None:
        """Ends a node at once."""
        node.process.send_signal(SIGKILL)
        node.process.wait(STOP_TIMEOUT_S)

    def leave(self, node: LocalNode) -> None:
        """Asks a node to leave gracefully; does not wait."""
        node.process.send_signal(SIGTERM)

    def set_upstream_faults(self, upstream: str, **fields: object) -> None:
        """Changes the faults of one upstream, or of all for `*`."""
        body = {"upstream": upstream, **fields}
        http_json(self.upstreams_port, "POST", "/control/faults", body)

    def set_store_faults(self, **fields: object) -> None:
        """Changes the faults of the store."""
        http_json(self.store_port, "POST", "/control/faults", fields)

    def upstream_counters(self) -> dict[str, Any]:
        """Returns what the upstreams counted, and the runs per idempotency key."""
        counters: dict[str, Any] = http_json(self.upstreams_port, "GET", "/control/counters")[1]
        return counters

    def stop(self) -> None:
        """Ends every process that this fleet started."""
        for process in reversed(self._processes):
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait(STOP_TIMEOUT_S)

    def _live_members(self, node: LocalNode) -> int:
        """Counts the members that a node believes alive."""
        status, view = self._status(node, "/v1/status")
        if status != 200:
            return -1
        return sum(member["state"] == "alive" for member in view["members"])

    def _status(self, node: LocalNode, path: str) -> tuple[int, Any]:
        """Asks a node's operators' port; status 0 when it does not answer."""
        try:
            return http_json(node.ports.operators, "GET", path, timeout=2.0)
        except OSError:
            return 0, None

    def _start_standin(self, module: str, *args: str) -> Any:
        """Starts a stand-in and returns the JSON line that it prints."""
        process = Popen(
            [executable, "-m", module, *args],
            stdout=PIPE,
            stdin=DEVNULL,
            env=_environment(),
        )
        self._processes.append(process)
        assert process.stdout is not None
        if not select([process.stdout], [], [], START_TIMEOUT_S)[0]:
            raise FleetError(f"{module} did not start")
        line = process.stdout.readline()
        if not line:
            raise FleetError(f"{module} ended at its start")
        return json.decode(line)


@contextmanager
def local_fleet(
    text: str, nodes: int, faults: dict[str, Any] | None = None
) -> Iterator[LocalFleet]:
    """Runs stand-ins and nodes, and ends them all on leaving.

    Args:
        text: Operators' text.
        nodes: How many nodes to start.
        faults: Behaviour of all upstreams at the start.

    Yields:
        The fleet, with every node in the VM list but no text applied yet.
    """
    with TemporaryDirectory(prefix="sequoiapulley-") as folder:
        fleet = LocalFleet(text, Path(folder), faults)
        try:
            for number in range(1, nodes + 1):
                fleet.start_node(number)
            fleet.publish_vms()
            yield fleet
        finally:
            fleet.stop()


def wait_until(condition: Any, what: str) -> float:
    """Polls a condition.

    Args:
        condition: Function without arguments.
        what: Words for the error.

    Returns:
        Seconds waited.

    Raises:
        FleetError: If it does not hold within `START_TIMEOUT_S`.
    """
    start = monotonic()
    while not condition():
        if monotonic() - start > START_TIMEOUT_S:
            raise FleetError(f"not reached within {START_TIMEOUT_S:.0f} s: {what}")
        sleep(POLL_S)
    return monotonic() - start


def terminate(process: Popen[bytes]) -> int | None:
    """Waits for a process that was asked to leave; returns its exit code, or None."""
    try:
        return process.wait(START_TIMEOUT_S)
    except TimeoutExpired:
        return None


def _parse(text: str) -> Configuration:
    """Parses a text that must be free of findings."""
    result = parse_text(text, ConfigVersion(1), "text")
    if not isinstance(result, Ok):
        raise FleetError("; ".join(str(finding) for finding in result.err_value))
    return result.ok_value


def _specs(configuration: Configuration) -> list[UpstreamSpec]:
    """Lists the stand-ins for the upstreams of a configuration, on any port."""
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
                )
                specs.append(spec)
    return specs


def _with_ports(text: str, ports: dict[str, int]) -> str:
    """Replaces the address of every upstream by the port of its stand-in."""
    for name, port in ports.items():
        pattern = rf'("{name}":\s*\{{[^}}]*"address":\s*")[^"]*"'
        text = sub(pattern, rf'\g<1>{HOST}:{port}"', text)
    return text


def _environment() -> dict[str, str]:
    """Returns the environment of a child process."""
    root = Path(__file__).resolve().parent.parent
    return {**environ, "PYTHONPATH": f"{root / 'src'}:{root}"}
