"""Nodes for the users' platform as processes, each on a separate loopback address."""

from __future__ import annotations

import sys
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from subprocess import Popen
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Final

from msgspec import Struct

from standins.process_meter import resident_kb

ROOT: Final = Path(__file__).resolve().parent.parent
CALLERS_PORT: Final = 8104
DIRECTORY_PORT: Final = 8100
READY_PORT: Final = 8108
PEERS_PORT: Final = 8106
HEARTBEAT_PORT: Final = 7380
METRICS_PORT: Final = 9464
STOP_TIMEOUT_S: Final = 10.0
START_TIME_S: Final = 2.0
"""Time after the start of a process from which it handles SIGHUP, which ends it before."""


class FleetSettings(Struct, frozen=True):
    """Settings that all nodes of a fleet share."""

    network: str
    """First three numbers of the loopback addresses, such as `127.9.1`."""
    store: str
    """Address of the store, `IP:PORT`."""
    failure_domains: dict[str, str]
    """Region of each failure domain."""
    grace: float = 6.0
    """Seconds between SIGTERM and SIGKILL, until the settings of a node are rewritten."""
    stores: dict[str, str] = {}
    """Address of the store for the nodes of a failure domain, where it is another one."""
    older: Path | None = None
    """Checkout of an older build; every second node starts with it, and each restart of a node
    changes its build. None for the same build on all nodes."""
    memory_mb: int = 0
    """Memory of each VM in MB; 0 for settings without it."""
    max_fds: int = 0
    """Maximum number of descriptors of a process; 0 for settings without it."""


class FleetNode:
    """A node and its process."""

    def __init__(
        self, shape: FleetSettings, number: int, failure_domain: str, folder: Path
    ) -> None:
        """Writes the settings file of a node, without starting the node.

        Args:
            shape: Settings that all nodes share.
            number: Number of the node, from 1; also the last number of its address.
            failure_domain: Failure domain of the node.
            folder: Folder for the settings file and the log.
        """
        self.name = f"node-{number}"
        self.host = f"{shape.network}.{number}"
        self.failure_domain = failure_domain
        self.region = shape.failure_domains[failure_domain]
        self.log = folder / f"{self.name}.log"
        self.process: Popen[bytes] | None = None
        self.grace = shape.grace
        """Seconds between SIGTERM and SIGKILL in its settings."""
        self._started_at = 0.0
        self._shape = shape
        self._older = shape.older
        self._runs_older = number % 2 == 0
        self._settings = folder / f"{self.name}.toml"
        self.write_settings(shape.grace)

    def write_settings(self, grace: float) -> None:
        """Replaces the settings file; `grace` are the seconds between SIGTERM and SIGKILL."""
        self.grace = grace
        new = self._settings.with_suffix(".new")
        new.write_text(_settings_text(self._shape, self), encoding="utf-8")
        new.replace(self._settings)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def resident_kb(self) -> int:
        """Returns the resident memory of the process in kB; 0 if it is not running."""
        if self.process is None or not self.is_running:
            return 0
        return resident_kb(self.process.pid)

    def start(self) -> None:
        """Starts the process, with the other build than before if there are two."""
        root = self._older if self._older is not None and self._runs_older else ROOT
        self._runs_older = not self._runs_older
        self._started_at = monotonic()
        with self.log.open("ab") as log:
            self.process = Popen(
                [sys.executable, "deploy/node.py", "--metrics-port", str(METRICS_PORT)],
                cwd=root,
                env={"SEQUOIAPULLEY_SETTINGS": str(self._settings), "PATH": "/usr/bin:/bin"},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal to the process, if it is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(signal_number)

    def terminate(self) -> None:
        """Starts a graceful shutdown with SIGTERM."""
        self.send_signal(SIGTERM)

    def reload(self) -> None:
        """Sends SIGHUP, unless the process is still starting."""
        if monotonic() > self._started_at + START_TIME_S:
            self.send_signal(SIGHUP)

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its exit."""
        self.send_signal(SIGKILL)
        if self.process is not None:
            self.process.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspends the process with SIGSTOP until `resume` is called."""
        self.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.send_signal(SIGCONT)


class PlatformFleet:
    """Several nodes and their settings folder; `close` stops the nodes and deletes the folder."""

    def __init__(self, shape: FleetSettings, failure_domains: list[str]) -> None:
        """Creates the nodes without starting them.

        Args:
            shape: Settings that all nodes share.
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
        """Kills every node and deletes the settings and logs."""
        for node in self.nodes:
            node.resume()
            node.kill()
        self._folder.cleanup()


def _settings_text(shape: FleetSettings, node: FleetNode) -> str:
    """Returns the text of a node's settings file in the platform's format."""
    zones = "\n".join(f'{domain} = "{region}"' for domain, region in shape.failure_domains.items())
    seeds = ", ".join(f'"{shape.network}.{number}:{PEERS_PORT}"' for number in (1, 2, 3))
    limits = {"memory_mb": shape.memory_mb, "max_fds": shape.max_fds}
    limit_lines = "\n".join(f"{name} = {value}" for name, value in limits.items() if value)
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
{limit_lines}
[bounds]
grace_s = {node.grace}
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 200
ttl_max_s = 5
[platform]
address = "{shape.stores.get(node.failure_domain, shape.store)}"
"""
