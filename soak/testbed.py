"""Node processes, stand-ins and fault proxies of one soak run."""

from __future__ import annotations

from asyncio import get_running_loop, open_connection, sleep
from pathlib import Path
from shutil import copy
from typing import Final

from msgspec import json

from soak.caller import HOST, read_answer
from soak.proxy import FaultProxy
from standins.platform_fleet import READY_PORT, FleetNode, FleetSettings, PlatformFleet
from standins.platform_upstream import PlatformUpstream
from standins.store import StoreStandIn

SHARDS: Final = ("shard-1", "shard-2", "shard-3", "shard-4")
NON_IDEMPOTENT_SERVICES: Final = ("orders-1", "orders-2")
REMOTE_SHARDS: Final = frozenset({"shard-3", "shard-4"})
"""Shards whose upstreams are all in the second failure domain: nodes of the first one get their
parts from nodes of the second."""
FAILURE_DOMAINS: Final = {"p": "g", "q": "h"}
"""Region of each failure domain."""
NODE_DOMAINS: Final = ("p", "p", "p", "q", "q", "q")
"""Failure domain of each node."""
START_TIMEOUT_S: Final = 30.0
VERSION_BEFORE_FIRST: Final = 3
"""Each configuration raises the version by 2, so that the first one written is 5."""


class Testbed:
    """The store, the upstreams and the nodes of a run.

    Nodes connect to the store and to every upstream through a proxy that can inject faults.
    """

    def __init__(self, network: str) -> None:
        """Creates everything without starting it.

        Args:
            network: First three numbers of the nodes' loopback addresses.
        """
        self._network = network
        self.failure_domains = list(FAILURE_DOMAINS)
        self.store = StoreStandIn()
        self.upstreams = [
            PlatformUpstream(f"u-{service}-{number}", service, "127.0.0.1", domain)
            for service in (*SHARDS, *NON_IDEMPOTENT_SERVICES)
            for number, domain in enumerate(_upstream_domains(service))
        ]
        self.proxies: list[FaultProxy] = []
        self.version = VERSION_BEFORE_FIRST
        self._born = 1

    async def open(self) -> None:
        """Starts everything and waits until every node is ready."""
        self.store.start()
        for upstream in self.upstreams:
            upstream.start()
            proxy = FaultProxy("127.0.0.1", "127.0.0.1", upstream.port)
            await proxy.open()
            self.proxies.append(proxy)
            self.register(upstream)
        self.store_proxy = FaultProxy("127.0.0.1", self.store.host, self.store.port)
        await self.store_proxy.open()
        self.put_configuration()
        shape = FleetSettings(self._network, f"127.0.0.1:{self.store_proxy.port}", FAILURE_DOMAINS)
        self.fleet = PlatformFleet(shape, list(NODE_DOMAINS))
        self.fleet.start()
        end = get_running_loop().time() + START_TIMEOUT_S
        for node in self.fleet.nodes:
            while not await _is_ready(node):
                if get_running_loop().time() > end:
                    raise TimeoutError(f"{node.name} did not become ready in time")
                await sleep(0.05)

    def close(self) -> None:
        """Stops everything that this testbed started."""
        self.fleet.close()
        for proxy in (*self.proxies, self.store_proxy):
            proxy.close()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()

    def register(self, upstream: PlatformUpstream, state: str = "ready") -> None:
        """Writes an upstream's entry to the store, with the port of its proxy."""
        port = self.proxies[self.upstreams.index(upstream)].port
        record = upstream.record(port, state, self._born)
        self.store.put(f"servers/{upstream.name}", json.encode(record))

    def put_configuration(self) -> None:
        """Writes a new configuration version.

        The service of the non-idempotent route alternates between the versions.
        """
        self.version += 2
        base = {"host": HOST, "timeout_ms": 2_000, "goal_ms": 300, "max_attempts": 2}
        merged = {
            "name": "g",
            "prefix": "/g/",
            "type": "idempotent",
            "gather": list(SHARDS),
            "top_k": 5,
            "oldest_version": 0.5,
        }
        service = NON_IDEMPOTENT_SERVICES[self.version // 2 % 2]
        non_idempotent = {
            "name": "o",
            "prefix": "/o/",
            "type": "non_idempotent",
            "service": service,
        }
        config = {
            "version": self.version,
            "routes": [{**base, **merged}, {**base, **non_idempotent}],
        }
        self.store.put("op/config", json.encode(config))

    def keep_logs(self, folder: Path) -> None:
        """Copies the nodes' logs to a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for node in self.fleet.nodes:
            copy(node.log, folder / node.log.name)


async def _is_ready(node: FleetNode) -> bool:
    """Returns whether the readiness check of a node succeeds."""
    try:
        reader, writer = await open_connection(node.host, READY_PORT)
    except OSError:
        return False
    try:
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: n\r\n\r\n")
        return (await read_answer(reader)).status == 200
    except (OSError, EOFError):
        return False
    finally:
        writer.close()


def _upstream_domains(service: str) -> tuple[str, ...]:
    """Returns the failure domain of each upstream of a service."""
    first, second = FAILURE_DOMAINS
    return (second, second) if service in REMOTE_SHARDS else (first, second)
