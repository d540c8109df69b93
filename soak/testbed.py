"""Node processes, stand-ins and fault proxies of one soak run."""

from __future__ import annotations

from asyncio import Task, create_task, get_running_loop, open_connection, sleep
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from shutil import copy
from typing import Final

from msgspec import json, structs

from soak.caller import HOST, ROUTE_TIMEOUT_S, read_answer
from soak.loss import Trouble, Work
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
CUT_DOMAINS: Final = {**FAILURE_DOMAINS, "r": "h"}
"""Failure domains of runs with link cuts, with two others that serve requests of the cut-off one at
the same time."""
CUT_NODE_DOMAINS: Final = ("p", "q", "r", "p", "q", "r")
LINKS_NUMBER: Final = 250
"""Last number of the links' address, which no connection has as its source, so that a link can
listen on its port again."""
VERSION_SERVICES: Final = 16
"""Number of services among which the versioned route moves, more than a node may lag behind."""
START_TIMEOUT_S: Final = 30.0
MEMORY_MB: Final = 152
MAX_FDS: Final = 1_535
"""Limits of the smallest VMs."""
DRAIN_S: Final = 3.0
"""Time after an announced shutdown in which a node may still send requests to the upstream."""
COPY_INTERVAL_S: Final = 3.0
"""Time between two copies of the store, from which it may be restored."""
VERSION_BEFORE_FIRST: Final = 3
"""Each configuration raises the version by 2, so that the first one written is 5."""


class Testbed:
    """The store, the upstreams and the nodes of a run.

    Nodes connect to the store and to every upstream through a proxy that can inject faults.
    """

    def __init__(
        self, network: str, older: Path | None = None, cuts: bool = False, limited: bool = False
    ) -> None:
        """Creates everything without starting it.

        Args:
            network: First three numbers of the nodes' loopback addresses.
            older: Checkout of an older build that serves beside this one; None for this one alone.
            cuts: Whether the nodes of the first failure domain have links of their own to the
                upstreams, and a route shows the configuration version.
            limited: Whether the settings of the nodes state the memory and the descriptors of the
                smallest VMs.
        """
        self._network = network
        self._older = older
        self._cuts = cuts
        self._limited = limited
        self._link_host = f"{network}.{LINKS_NUMBER}"
        self.failure_domains = list(FAILURE_DOMAINS)
        self.store = StoreStandIn()
        self.upstreams = [
            PlatformUpstream(f"u-{service}-{number}", service, "127.0.0.1", domain)
            for service in (*SHARDS, *NON_IDEMPOTENT_SERVICES)
            for number, domain in enumerate(_upstream_domains(service))
        ]
        if cuts:
            self.upstreams.extend(
                PlatformUpstream(f"u-v-{number}", f"v-{number}", "127.0.0.1", "q")
                for number in range(VERSION_SERVICES)
            )
        self.links: list[FaultProxy] = []
        """Proxies between the nodes of the first failure domain and the upstreams, if there are
        cuts."""
        self.written: list[tuple[int, float]] = []
        """Configuration versions, each with the time at which it was written."""
        self.proxies: list[FaultProxy] = []
        self.version = VERSION_BEFORE_FIRST
        self.disturbed: list[tuple[str, float]] = []
        """Hosts of the nodes that were killed, stopped or paused, each with the time."""
        self.work: list[Work] = []
        """Planned work on the nodes."""
        self.trouble: list[Trouble] = []
        """Faults of the nodes and of the links to the upstreams."""
        self._born: Counter[str] = Counter()
        self._states: dict[str, str] = {}
        self._configuration = b""
        self._copies: Task[None] | None = None

    async def open(self) -> None:
        """Starts everything and waits until every node is ready."""
        if self._cuts:
            self.store.service.view = self._by_link
        self.store.start()
        for upstream in self.upstreams:
            upstream.start()
            proxy = FaultProxy("127.0.0.1", "127.0.0.1", upstream.port)
            await proxy.open()
            self.proxies.append(proxy)
            if self._cuts:
                link = FaultProxy(self._link_host, "127.0.0.1", proxy.port)
                await link.open()
                self.links.append(link)
            self.register(upstream)
        self.store_proxy = FaultProxy("127.0.0.1", self.store.host, self.store.port)
        await self.store_proxy.open()
        self.put_configuration()
        self._copies = create_task(self._copy_store())
        store = f"127.0.0.1:{self.store_proxy.port}"
        shape = FleetSettings(self._network, store, FAILURE_DOMAINS, older=self._older)
        if self._limited:
            shape = structs.replace(shape, memory_mb=MEMORY_MB, max_fds=MAX_FDS)
        node_domains = NODE_DOMAINS
        if self._cuts:
            view = f"127.0.0.1:{self.store.service.view_listener.port}"
            stores = {self.failure_domains[0]: view}
            shape = structs.replace(shape, failure_domains=CUT_DOMAINS, stores=stores)
            node_domains = CUT_NODE_DOMAINS
        self.fleet = PlatformFleet(shape, list(node_domains))
        self.fleet.start()
        end = get_running_loop().time() + START_TIMEOUT_S
        for node in self.fleet.nodes:
            while not await _is_ready(node):
                if get_running_loop().time() > end:
                    raise TimeoutError(f"{node.name} did not become ready in time")
                await sleep(0.05)

    def close(self) -> None:
        """Stops everything that this testbed started."""
        if self._copies is not None:
            self._copies.cancel()
        self.fleet.close()
        for proxy in (*self.links, *self.proxies, self.store_proxy):
            proxy.close()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()

    @property
    def cut_hosts(self) -> list[str]:
        """Addresses of the nodes whose links can be cut."""
        first = self.failure_domains[0]
        return [node.host for node in self.fleet.nodes if node.failure_domain == first]

    def cut_links(self) -> None:
        """Resets and refuses all connections of the first failure domain's nodes to upstreams."""
        for link in self.links:
            link.close()

    async def restore_links(self) -> None:
        """Ends a cut."""
        for link in self.links:
            await link.open()

    def _by_link(self, key: str, value: bytes) -> bytes:
        """Returns an entry with the port of the link in place of that of the proxy."""
        if not key.startswith("servers/u-"):
            return value
        names = [upstream.name for upstream in self.upstreams]
        entry = json.decode(value)
        link = self.links[names.index(key.partition("/")[2])]
        entry["address"] = f"{self._link_host}:{link.port}"
        return json.encode(entry)

    def register(
        self, upstream: PlatformUpstream, state: str = "ready", restarted: bool = False
    ) -> None:
        """Writes an upstream's entry to the store, with the port of its proxy.

        Args:
            upstream: The upstream.
            state: `ready` or `draining`.
            restarted: Whether it is a new process from now on.
        """
        self._born[upstream.name] += restarted
        self._states[upstream.name] = state
        port = self.proxies[self.upstreams.index(upstream)].port
        record = upstream.record(port, state, 1 + self._born[upstream.name])
        self.store.put(f"servers/{upstream.name}", json.encode(record))

    async def write_again(self, seconds: float) -> None:
        """Writes the configuration and all entries again, spread over some seconds."""
        self.store.put("op/config", self._configuration)
        for upstream in self.upstreams:
            self.register(upstream, self._states[upstream.name])
            await sleep(seconds / len(self.upstreams))

    def note_disturbed(self, nodes: list[FleetNode]) -> None:
        """Records that nodes are killed, stopped, paused or resumed now."""
        now = get_running_loop().time()
        self.disturbed.extend((node.host, now) for node in nodes)

    def note_trouble(self, names: Iterable[str]) -> list[Trouble]:
        """Records that a fault of nodes or upstreams begins now; the caller sets its end."""
        now = get_running_loop().time()
        begun = [Trouble(name, now) for name in names]
        self.trouble.extend(begun)
        return begun

    async def _copy_store(self) -> None:
        """Makes copies of the store until it is cancelled."""
        while True:
            self.store.save()
            await sleep(COPY_INTERVAL_S)

    def put_configuration(self) -> None:
        """Writes a new configuration version.

        The service of the non-idempotent route alternates between the versions.
        """
        self.version += 2
        timeout = int(ROUTE_TIMEOUT_S * 1_000)
        base = {"host": HOST, "timeout_ms": timeout, "goal_ms": 300, "max_attempts": 2}
        single = {"name": "i", "prefix": "/i/", "type": "idempotent", "service": SHARDS[1]}
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
        routes = [{**base, **merged}, {**base, **single}, {**base, **non_idempotent}]
        if self._cuts:
            shown = f"v-{len(self.written) % VERSION_SERVICES}"
            route = {"name": "v", "prefix": "/v/", "type": "idempotent", "service": shown}
            routes.append({**base, **route})
        self._configuration = json.encode({"version": self.version, "routes": routes})
        self.written.append((self.version, get_running_loop().time()))
        self.store.put("op/config", self._configuration)

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
