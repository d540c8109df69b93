"""Starts nodes with the command of the deploy file, on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from random import SystemRandom
from subprocess import Popen

from review.lib3.http import call

ROOT = Path(__file__).resolve().parent.parent.parent
READY_WAIT_S = 20.0


@dataclass
class Ports:
    """Ports, the same on every node."""

    callers: int
    ready: int
    control: int
    directory: int
    internal: int
    metrics: int


@dataclass
class Node:
    """One machine and its process."""

    name: str
    host: str
    zone: str
    settings: Path
    log: Path
    process: Popen[bytes] | None = None
    own_ends: list[int] = field(default_factory=list)
    """Exit status of each process that ended without a signal to stop it."""


class Fleet:
    """A few nodes of one deployment; `close` ends their processes."""

    def __init__(self, zones: dict[str, str], nodes: list[str], store: str, bounds: str) -> None:
        """Creates the settings files.

        Args:
            zones: Region of each zone.
            nodes: Zone of each node.
            store: Address of the platform's store.
            bounds: Lines of the settings' table `bounds`.
        """
        self._folder = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = Path(self._folder.name)
        self._zones = zones
        self.store = store
        """Address of the store in the settings that are written next."""
        self.bounds = bounds
        random = SystemRandom()
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        hosts = self._hosts = [f"{network}.{number}" for number in range(1, len(nodes) + 1)]
        self.ports = Ports(*_free_ports(hosts, 6))
        self.nodes = [
            Node(
                f"front-{zone}-{number}",
                host,
                zone,
                self.folder / f"{number}.toml",
                self.folder / f"{number}.log",
            )
            for number, (zone, host) in enumerate(zip(nodes, hosts, strict=True), start=1)
        ]
        for node in self.nodes:
            self.write_settings(node, first=True)

    def write_settings(self, node: Node, first: bool) -> None:
        """Replaces the settings file of a node, in the form of the users' pages."""
        ports = self.ports
        seeds = ", ".join(f'"{host}:{ports.control}"' for host in self._hosts[:3])
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in self._zones.items())
        text = f"""
node_name = "{node.name}"
role = "node"
machine_class = "front"
serves = ["front", "directory", "control"]
ip = "{node.host}"
zone = "{node.zone}"
region = "{self._zones[node.zone]}"
internal_ports = [{ports.internal}, {ports.internal + 15}]
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
front = "{node.host}:{ports.callers}"
ready = "{node.host}:{ports.ready}"
control = "{node.host}:{ports.control}"
directory = "{node.host}:{ports.directory}"
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
[bounds]
{self.bounds}
[platform]
address = "{self.store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""
        new = node.settings.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(node.settings)

    def start(self, node: Node) -> None:
        """Starts the process of a node, as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        words = deploy["roles"]["node"]["run"].split()
        # The port of the metrics is free on the address of each node.
        words[words.index("--metrics-port") + 1] = str(self.ports.metrics)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SEQUOIAPULLEY_SETTINGS"] = str(node.settings)
        with node.log.open("ab") as log:
            node.process = Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)

    def send(self, node: Node, number: signal.Signals) -> None:
        """Sends a signal to the process of a node, if it runs."""
        if node.process is not None and node.process.poll() is None:
            node.process.send_signal(number)

    async def is_ready(self, node: Node) -> bool:
        """Returns whether the node answers the platform's check with 200."""
        answer = await call(
            node.host, self.ports.ready, "GET", "/readiness", {"Host": "ready"}, b"", 1.0
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self) -> None:
        """Waits until every node is ready.

        Raises:
            TimeoutError: If one is not in time.
        """
        async with asyncio.timeout(READY_WAIT_S):
            for node in self.nodes:
                while not await self.is_ready(node):
                    await asyncio.sleep(0.05)

    async def entries(self, node: Node, zone: str) -> list[tuple[str, int]]:
        """Asks a node where clients of a zone connect."""
        path = f"/resolution?name=review.example&region={self._zones[zone]}&zone={zone}"
        answer = await call(
            node.host, self.ports.directory, "GET", path, {"Host": "directory"}, b"", 1.0
        )
        if answer is None or answer.status != 200:
            return []
        found = []
        for address in json.loads(answer.body)["addrs"]:
            host, _, port = address.rpartition(":")
            found.append((host, int(port)))
        return found

    def close(self) -> None:
        """Ends all processes that were started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
            if node.process is not None:
                node.process.wait(10.0)
        self._folder.cleanup()


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free on all addresses, the internal ones with 15 after them."""
    random = SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        first = random.randrange(20_000, 31_000)
        if all(abs(first - port) > 20 for port in ports) and _are_free(hosts, first):
            ports.append(first)
    return ports


def _are_free(hosts: list[str], port: int) -> bool:
    """Returns whether a port is free on all addresses, for TCP and UDP."""
    for host in hosts:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((host, port))
                except OSError:
                    return False
    return True
