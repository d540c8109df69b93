"""Starts the project's nodes as processes, with the command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from random import SystemRandom

from review.lib.client import get

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"burnaby-a": "lower-mainland", "nanaimo-a": "vancouver-island", "kelowna-a": "interior"}
"""Region of each zone."""
BOUNDS = """
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 12000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 126
recovery_s = 12
ttl_max_s = 5
"""
READY_S = 20.0
METRICS_PORT = 9464
"""Port in the deploy file's command; each node has an address of its own."""


class Node:
    """One node and its process."""

    def __init__(self, fleet: Fleet, number: int, zone: str, store: str) -> None:
        self.name = f"front-{zone}-{number}"
        self.host = f"{fleet.network}.{number}"
        self.zone = zone
        self.front = f"{self.host}:{fleet.ports[0]}"
        self.directory = f"{self.host}:{fleet.ports[2]}"
        self.ready = f"{self.host}:{fleet.ports[1]}"
        self.control = f"{self.host}:{fleet.ports[3]}"
        self.log = fleet.folder / f"{self.name}.log"
        self._settings = fleet.folder / f"{self.name}.toml"
        self._fleet = fleet
        self._store = store
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, first: bool) -> None:
        """Starts the process.

        Args:
            first: Whether the whole system starts for the first time.
        """
        self._settings.write_text(self._settings_text(first), encoding="utf-8")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._fleet.command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "SEQUOIAPULLEY_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    async def kill(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def wait_ready(self) -> None:
        """Waits until the node says that it is ready."""
        end = asyncio.get_running_loop().time() + READY_S
        while True:
            try:
                if (await get(self.ready, "/readiness")).status == 200:
                    return
            except (TimeoutError, OSError, EOFError):
                pass
            if asyncio.get_running_loop().time() > end:
                raise TimeoutError(f"{self.name} is not ready: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)

    def _settings_text(self, first: bool) -> str:
        """Returns the settings file, with the fields that the pages list."""
        fleet = self._fleet
        seeds = ", ".join(f'"{node.control}"' for node in fleet.nodes[:3])
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        return f"""
node_name = "{self.name}"
role = "node"
machine_class = "front"
serves = ["front", "control", "directory"]
ip = "{self.host}"
zone = "{self.zone}"
region = "{ZONES[self.zone]}"
internal_ports = [{fleet.ports[4]}, {fleet.ports[4] + 15}]
seeds = [{seeds}]
initial_start = {"true" if first else "false"}
loss_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[zones]
{zones}
[listen_addrs]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpu_share = 0.731
cores = 1
memory_mb = 222
max_fds = 1535
link_mbps = 350.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]{BOUNDS}
[platform]
address = "{self._store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


class Fleet:
    """All nodes of a case, in a temporary folder."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.command = shlex.split(deploy["roles"]["node"]["run"])
        self.network, self.ports = _free_network()
        self.nodes: list[Node] = []

    def add(self, zone: str, store: str) -> Node:
        """Adds a node that is not started."""
        node = Node(self, len(self.nodes) + 1, zone, store)
        self.nodes.append(node)
        return node

    async def start(self) -> None:
        """Starts all nodes for the first time and waits until they are ready."""
        for node in self.nodes:
            await node.start(first=True)
        for node in self.nodes:
            await node.wait_ready()

    async def close(self, keep_logs: Path | None = None) -> None:
        """Kills all nodes and deletes their folder."""
        for node in self.nodes:
            await node.kill()
            if keep_logs is not None and node.log.exists():
                (keep_logs / node.log.name).write_bytes(node.log.read_bytes())
        self._folder.cleanup()


def _free_network() -> tuple[str, list[int]]:
    """Returns a loopback network of three numbers, and ports that are free on all of it.

    The ports are those for clients, readiness, directory, control and between nodes.
    """
    random = SystemRandom()
    while True:
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        base = random.randrange(20_000, 30_000)
        ports = [base, base + 1, base + 2, base + 3, base + 10]
        try:
            for number in range(1, 9):
                for port in (*ports, METRICS_PORT):
                    with socket.socket() as sock:
                        sock.bind((f"{network}.{number}", port))
        except OSError:
            continue
        return network, ports
