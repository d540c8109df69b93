"""Runs stand-ins and nodes as loopback processes for the demo, tests and benchmarks."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from re import sub
from signal import SIGKILL, SIGTERM
from socket import SOCK_DGRAM, SOCK_STREAM, socket
from subprocess import DEVNULL, Popen, TimeoutExpired
from sys import executable
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any, Final

from msgspec import Struct, json
from result import Ok

from sequoiapulley.daemon.main import EXIT_ADDRESS_IN_USE
from sequoiapulley.ids import ConfigVersion
from sequoiapulley.model import Configuration
from sequoiapulley.settings.text import parse_configuration
from standins.http_call import HOST, http_json
from standins.upstream_processes import (
    StandInProcess,
    UpstreamProcesses,
    child_environment,
    make_upstream_specs,
)

START_TIMEOUT_S: Final = 120.0
"""Upper limit of every wait; not a start-up time that the software guarantees."""
STOP_TIMEOUT_S: Final = 10.0
POLL_S: Final = 0.05
ENTRY_LIFETIME_S: Final = 2.0


class FleetError(Exception):
    """A configuration is invalid or a wait timed out."""


class NodePorts(Struct, frozen=True):
    """Listening ports of one node."""

    callers: int
    operators: int
    link: int
    membership: int


class LocalNode(Struct):
    """One node and its daemon process."""

    number: int
    """Number passed to `start_node`."""
    name: str
    failure_domain: str
    region: str
    ports: NodePorts
    process: Popen[bytes]
    log_path: Path


def free_port(kind: int = SOCK_STREAM) -> int:
    """Returns a currently free port, chosen by the operating system."""
    with socket(type=kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class LocalFleet:
    """The platform's stand-ins, the upstreams of a configuration and any number of nodes."""

    def __init__(
        self,
        text: str,
        folder: Path,
        faults: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:
        """Starts the stand-ins.

        Args:
            text: Configuration text; its upstream addresses are replaced by those of the stand-ins.
            folder: Folder for settings and logs.
            faults: Initial fault settings of all upstreams.
            settings: Daemon settings that are added to or override the default ones.

        Raises:
            FleetError: If the configuration text is invalid.
            StandInError: If a stand-in does not start.
        """
        self.folder = folder
        self._settings = settings or {}
        self.nodes: dict[str, LocalNode] = {}
        self._processes: list[Popen[bytes]] = []
        self.configuration = _parse(text)
        self._platform = [StandInProcess("standins.store"), StandInProcess("standins.vm_list")]
        self.store_port, self.vm_list_port = (
            process.description["port"] for process in self._platform
        )
        specs = make_upstream_specs(self.configuration)
        self.upstreams = UpstreamProcesses(specs, folder, faults)
        self.text = _replace_addresses(text, self.upstreams.ports)

    def start_node(self, number: int) -> LocalNode:
        """Starts one daemon; failure domains are assigned round-robin by number.

        Args:
            number: Number of the node, from 1.

        Returns:
            The node, which is not necessarily ready yet.
        """
        domains = list(self.configuration.failure_domains.values())
        domain = domains[(number - 1) % len(domains)]
        name = f"{self.configuration.workspace}-{number:02d}"
        ports = NodePorts(free_port(), free_port(), free_port(), free_port(SOCK_DGRAM))
        settings = {
            "node": name,
            "customer": self.configuration.workspace,
            "place": domain.name,
            "region": domain.region,
            "callers": {"host": HOST, "port": ports.callers},
            "operators": {"host": HOST, "port": ports.operators},
            "link": {"host": HOST, "port": ports.link},
            "membership": {"host": HOST, "port": ports.membership},
            "store": {"host": HOST, "port": self.store_port},
            "vm_list": {"host": HOST, "port": self.vm_list_port},
            "log": {"json": True},
            "entry_lifetime_s": ENTRY_LIFETIME_S,
            **self._settings,
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
                env=child_environment(),
            )
        self._processes.append(process)
        node = LocalNode(number, name, domain.name, domain.region, ports, process, log_path)
        self.nodes[name] = node
        return node

    def publish_vms(self) -> None:
        """Replaces the VM list by the running nodes."""
        vms = [
            {
                "name": node.name,
                "host": HOST,
                "port": node.ports.membership,
                "place": node.failure_domain,
                "state": "live",
            }
            for node in self.nodes.values()
            if node.process.poll() is None
        ]
        http_json(self.vm_list_port, "POST", "/control/vms", vms)

    def wait_for_members(self, count: int) -> float:
        """Waits until every running node sees `count` live members.

        Returns:
            Seconds waited.

        Raises:
            FleetError: If this takes longer than `START_TIMEOUT_S`.
        """

        def converged() -> bool:
            self._restart_after_port_conflict()
            return all(self._live_members(node) == count for node in self.running())

        return wait_until(converged, f"{count} live members on every node")

    def wait_until_ready(self) -> float:
        """Waits until every running node is ready for callers; returns the seconds waited."""

        def ready() -> bool:
            self._restart_after_port_conflict()
            return all(self._status(node, "/readyz")[0] == 200 for node in self.running())

        return wait_until(ready, "every node ready")

    def _restart_after_port_conflict(self) -> None:
        """Restarts, on new ports, the nodes that exited because a port was in use.

        An outgoing connection may occupy a free port before the node binds it.
        """
        failed_nodes = [
            node for node in self.nodes.values() if node.process.poll() == EXIT_ADDRESS_IN_USE
        ]
        for node in failed_nodes:
            self.start_node(node.number)
        if failed_nodes:
            self.publish_vms()

    def running(self) -> list[LocalNode]:
        """Returns the nodes whose process is running."""
        return [node for node in self.nodes.values() if node.process.poll() is None]

    def kill(self, node: LocalNode) -> None:
        """Kills a node with SIGKILL and waits for its exit."""
        node.process.send_signal(SIGKILL)
        node.process.wait(STOP_TIMEOUT_S)

    def request_shutdown(self, node: LocalNode) -> None:
        """Starts a graceful shutdown of a node with SIGTERM, without waiting for its exit."""
        node.process.send_signal(SIGTERM)

    def set_store_faults(self, **fields: object) -> None:
        """Changes some fault settings of the store."""
        http_json(self.store_port, "POST", "/control/faults", fields)

    def stop(self) -> None:
        """Stops every process that this fleet started."""
        for process in reversed(self._processes):
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait(STOP_TIMEOUT_S)
        self.upstreams.stop()
        for standin in self._platform:
            standin.stop()

    def _live_members(self, node: LocalNode) -> int:
        """Returns how many members are alive in a node's view, or -1 if it does not answer."""
        status, view = self._status(node, "/v1/status")
        if status != 200:
            return -1
        return sum(member["state"] == "alive" for member in view["members"])

    def _status(self, node: LocalNode, path: str) -> tuple[int, Any]:
        """Sends a GET request to a node's operators' port; returns status 0 if it fails."""
        try:
            return http_json(node.ports.operators, "GET", path, timeout=2.0)
        except OSError:
            return 0, None


@contextmanager
def local_fleet(
    text: str,
    nodes: int,
    faults: dict[str, Any] | None = None,
    settings: dict[str, Any] | None = None,
) -> Iterator[LocalFleet]:
    """Runs stand-ins and nodes, and stops them all on exit from the context.

    Args:
        text: Configuration text.
        nodes: Number of nodes to start.
        faults: Initial fault settings of all upstreams.
        settings: Daemon settings that are added to or override the default ones.

    Yields:
        The fleet, with every node in the VM list but no configuration applied yet.
    """
    with TemporaryDirectory(prefix="sequoiapulley-") as folder:
        fleet = LocalFleet(text, Path(folder), faults, settings)
        try:
            for number in range(1, nodes + 1):
                fleet.start_node(number)
            fleet.publish_vms()
            yield fleet
        finally:
            fleet.stop()


def wait_until(condition: Any, what: str) -> float:
    """Polls a condition until it holds.

    Args:
        condition: Function without arguments that returns whether the condition holds.
        what: Description of the condition for the error message.

    Returns:
        Seconds waited.

    Raises:
        FleetError: If the condition does not hold within `START_TIMEOUT_S`.
    """
    start = monotonic()
    while not condition():
        if monotonic() - start > START_TIMEOUT_S:
            raise FleetError(f"timed out after {START_TIMEOUT_S:.0f} s waiting for: {what}")
        sleep(POLL_S)
    return monotonic() - start


def wait_for_exit(process: Popen[bytes]) -> int | None:
    """Waits for a process to exit; returns its exit code, or None after `START_TIMEOUT_S`."""
    try:
        return process.wait(START_TIMEOUT_S)
    except TimeoutExpired:
        return None


def _parse(text: str) -> Configuration:
    """Parses a configuration text; raises `FleetError` if it has findings."""
    result = parse_configuration(text, ConfigVersion(1), "text")
    if not isinstance(result, Ok):
        raise FleetError("; ".join(str(finding) for finding in result.err_value))
    return result.ok_value


def _replace_addresses(text: str, ports: dict[str, int]) -> str:
    """Replaces the address of every upstream by that of its stand-in."""
    for name, port in ports.items():
        pattern = rf'("{name}":\s*\{{[^}}]*"address":\s*")[^"]*"'
        text = sub(pattern, rf'\g<1>{HOST}:{port}"', text)
    return text
