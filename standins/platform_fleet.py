"""Nodes of the users' platform as processes, each on a loopback address of its own."""

from __future__ import annotations

import sys
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from subprocess import Popen
from tempfile import TemporaryDirectory
from typing import Final

from msgspec import Struct

ROOT: Final = Path(__file__).resolve().parent.parent
CALLERS_PORT: Final = 8104
DIRECTORY_PORT: Final = 8100
READY_PORT: Final = 8108
PEERS_PORT: Final = 8106
HEARTBEAT_PORT: Final = 7380
METRICS_PORT: Final = 9464
STOP_TIMEOUT_S: Final = 10.0


class FleetShape(Struct, frozen=True):
    """What nodes are told in their settings."""

    network: str
    """First three numbers of the loopback addresses, as `127.9.1`."""
    store: str
    """Address of the store, `IP:PORT`."""
    failure_domains: dict[str, str]
    """Region of each failure domain."""
    grace: float = 6.0


class FleetNode:
    """One node's process."""

    def __init__(self, shape: FleetShape, number: int, failure_domain: str, folder: Path) -> None:
        """Initialise a node that is not started.

        Args:
            shape: What all nodes have in common.
            number: Its number, from 1; the last number of its address.
            failure_domain: Its failure domain.
            folder: Where its settings and logs lie.
        """
        self.name = f"node-{number}"
        self.host = f"{shape.network}.{number}"
        self.failure_domain = failure_domain
        self.region = shape.failure_domains[failure_domain]
        self.log = folder / f"{self.name}.log"
        self.process: Popen[bytes] | None = None
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(_settings_text(shape, self), encoding="utf-8")

    @property
    def runs(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as log:
            self.process = Popen(
                [sys.executable, "deploy/node.py", "--metrics-port", str(METRICS_PORT)],
                cwd=ROOT,
                env={"SEQUOIAPULLEY_SETTINGS": str(self._settings), "PATH": "/usr/bin:/bin"},
                stdout=log,
                stderr=log,
            )

    def send(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.runs:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Asks the process to leave."""
        self.send(SIGTERM)

    def kill(self) -> None:
        """Ends the process at once."""
        self.send(SIGKILL)
        if self.process is not None:
            self.process.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Stops the process until `resume`."""
        self.send(SIGSTOP)

    def resume(self) -> None:
        """Lets a stopped process go on."""
        self.send(SIGCONT)


class PlatformFleet:
    """Several nodes; everything that was started is ended by `close`."""

    def __init__(self, shape: FleetShape, failure_domains: list[str]) -> None:
        """Initialise nodes that are not started.

        Args:
            shape: What all nodes have in common.
            failure_domains: Failure domain of each node.
        """
        self._folder = TemporaryDirectory(prefix="sequoiapulley-fleet-")
        self.folder = Path(self._folder.name)
        self.nodes = [
            FleetNode(shape, number, domain, self.folder)
            for number, domain in enumerate(failure_domains, start=1)
        ]

    def start(self) -> None:
        """Starts every node."""
        for node in self.nodes:
            node.start()

    def close(self) -> None:
        """Ends every node and removes the files."""
        for node in self.nodes:
            node.resume()
            node.kill()
        self._folder.cleanup()


def _settings_text(shape: FleetShape, node: FleetNode) -> str:
    """Returns a node's settings file, as the platform writes it."""
    zones = "\n".join(f'{domain} = "{region}"' for domain, region in shape.failure_domains.items())
    seeds = ", ".join(f'"{shape.network}.{number}:{PEERS_PORT}"' for number in (1, 2, 3))
    return f"""
node_name = "{node.name}"
ip = "{node.host}"
zone = "{node.failure_domain}"
region = "{node.region}"
internal_ports = [{HEARTBEAT_PORT}, {HEARTBEAT_PORT + 15}]
seeds = [{seeds}]
heartbeat_ms = 1200
[zones]
{zones}
[listen_addrs]
front = "{node.host}:{CALLERS_PORT}"
ready = "{node.host}:{READY_PORT}"
control = "{node.host}:{PEERS_PORT}"
directory = "{node.host}:{DIRECTORY_PORT}"
[limits]
cpu_share = 1.0
cores = 1
[bounds]
grace_s = {shape.grace}
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 200
ttl_max_s = 5
[platform]
address = "{shape.store}"
"""
