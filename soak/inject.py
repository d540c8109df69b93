"""Injects the faults of a schedule from outside the node processes, and reverts them."""

from __future__ import annotations

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from enum import Enum

from soak.loss import Trouble, Work, WorkKind
from soak.plan import Fault, FaultKind
from soak.proxy import FaultProxy, ProxyFault
from soak.testbed import DRAIN_S, Testbed
from standins.http_server import Endless, EndlessPart
from standins.platform_fleet import FleetNode
from standins.platform_upstream import PlatformUpstream, UpstreamFaults
from standins.store import StoreFaults

UPSTREAM_FAULTS = {
    FaultKind.UPSTREAM_REFUSES: UpstreamFaults(refuse=0.6),
    FaultKind.UPSTREAM_LOSES: UpstreamFaults(lose=0.5),
    FaultKind.UPSTREAM_CUTS_REPLIES: UpstreamFaults(cut=0.5),
}
FAIL_SHARE = 0.6
FAIL_STATUSES = (500, 503, 429, 408, 504, 0, 199, 600, 999)
"""Statuses of failures after a run; 421 states by itself that the request did not run."""
ENDLESS_PARTS = tuple(EndlessPart)
LEAVE_MARGIN_S = 1.5
"""Time beyond `DRAIN_S` for which an upstream that leaves still serves."""
LIMIT_PER_S = 5.0
SLOW_FACTOR = 2.0
"""Factor of the duration of slow upstreams; their requests outlast a grace period at times."""
ROLLING_INTERVAL_S = 1.5
"""Time between the signals to two nodes that are stopped one after another."""
GRACES_S = (6.0, 6.0, 4.0, 8.0)
"""Grace periods of rewritten settings."""
SHORT_GRACE_S = 4.0
LONG_GRACE_S = 10.0
SETTINGS_CHANGE_S = 0.3
"""Time between a change of a settings file and the signal to stop, in either order."""
STOP_POLL_S = 0.02
SLOW_SHARE = 0.4
STORE_AWAY_S = 0.6
REWRITE_S = 1.0
"""Time within which operators and upstreams write again after the store was restored."""
PROXY_FAULTS = {
    FaultKind.UPSTREAM_DELAY: ProxyFault.DELAY,
    FaultKind.UPSTREAM_CUT: ProxyFault.CUT,
    FaultKind.UPSTREAM_COPIES: ProxyFault.COPY,
}
STORE_FAULTS = {
    FaultKind.STORE_DOWN: StoreFaults(down=True),
    FaultKind.STORE_RESET: StoreFaults(unreachable=True),
    FaultKind.STORE_SLOW: StoreFaults(slow_ms=300.0),
}
ODD_ENTRY = (
    b'{"service":"orders-1","address":"127.0.0.1:%b","zone":"p","max_concurrency":%b'
    b',"state":"ready"%b}'
)
ODD_ENTRIES = (
    b"\xff{",
    b'{"labels":' + b"[" * 1_500 + b"]" * 1_500 + b"}",
    ODD_ENTRY % (b"1", b"9" * 30, b""),
    ODD_ENTRY % (b"70000", b"4", b""),
    ODD_ENTRY % (b"1", b"4", b',"born":-1'),
    (ODD_ENTRY % (b"1", b"4", b"")).replace(b"orders-1", b"x" * 400_000),
    ODD_ENTRY % (b"1", b"4", b',"labels":' + b'{"a":' * 3_000 + b"1" + b"}" * 3_000),
)
"""Entries of another writer; none names an upstream."""
PROXY_DELAY_S = 0.2
STORM_VERSIONS = 6
STORM_INTERVAL_S = 0.1


class SettingsChange(Enum):
    """Change of a node's settings file around a stop, without a signal."""

    NONE = "none"
    SHORTER_BEFORE = "shorter_before"
    LONGER_DURING = "longer_during"


SETTINGS_CHANGES = tuple(SettingsChange)


class FaultInjector:
    """Executes a fault schedule on a testbed."""

    def __init__(self, testbed: Testbed, faults: list[Fault]) -> None:
        """Creates an injector.

        Args:
            testbed: Processes and stand-ins that receive the faults.
            faults: Schedule, in order of start.
        """
        self._testbed = testbed
        self._faults = faults
        self._stopping: set[str] = set()
        """Addresses of the nodes that are being stopped."""

    async def run(self) -> None:
        """Injects every fault at its scheduled time; returns once all are over."""
        start = get_running_loop().time()
        tasks: list[Task[None]] = []
        for fault in self._faults:
            await sleep(max(0.0, start + fault.at - get_running_loop().time()))
            tasks.append(create_task(self._inject(fault)))
        await gather(*tasks)

    async def _inject(self, fault: Fault) -> None:
        """Injects one fault and reverts it after its duration if its kind is reverted."""
        kind = fault.kind
        testbed = self._testbed
        node = testbed.fleet.nodes[fault.pick % len(testbed.fleet.nodes)]
        index = fault.pick % len(testbed.upstreams)
        if kind in STORE_FAULTS:
            await self._apply_store_faults(STORE_FAULTS[kind], fault.lasts)
        elif kind in UPSTREAM_FAULTS:
            await _apply_upstream_faults(
                testbed.upstreams[index], UPSTREAM_FAULTS[kind], fault.lasts
            )
        elif kind is FaultKind.UPSTREAM_FAILS:
            status = FAIL_STATUSES[fault.pick // len(testbed.upstreams) % len(FAIL_STATUSES)]
            faults = UpstreamFaults(fail=FAIL_SHARE, fail_status=status)
            await _apply_upstream_faults(testbed.upstreams[index], faults, fault.lasts)
        elif kind in PROXY_FAULTS:
            trouble = testbed.note_trouble([testbed.upstreams[index].name])
            await _apply_proxy_fault(testbed.proxies[index], PROXY_FAULTS[kind], fault.lasts)
            _end(trouble)
        elif kind is FaultKind.STORE_CUT:
            await _apply_proxy_fault(testbed.store_proxy, ProxyFault.CUT_REPLIES, fault.lasts)
        elif kind is FaultKind.NODE_PAUSE:
            testbed.note_disturbed([node])
            trouble = testbed.note_trouble([node.host])
            node.pause()
            await sleep(fault.lasts)
            node.resume()
            testbed.note_disturbed([node])
            _end(trouble)
        elif kind is FaultKind.NODE_STOP:
            await self._stop_and_restart(node, fault.pick // len(testbed.fleet.nodes))
        elif kind is FaultKind.ROLLING_STOP:
            await self._stop_all()
        elif kind is FaultKind.NODE_RELOAD:
            self._reload(node, fault.pick // len(testbed.fleet.nodes))
        elif kind is FaultKind.UPSTREAM_SLOW:
            await self._slow_service(testbed.upstreams[index].service, fault.lasts * SLOW_FACTOR)
        elif kind is FaultKind.UPSTREAM_DRAINS:
            testbed.register(testbed.upstreams[index], "draining")
            await sleep(fault.lasts)
            testbed.register(testbed.upstreams[index])
        elif kind is FaultKind.UPSTREAM_LEAVES:
            await self._leave_and_start_again(testbed.upstreams[index])
        elif kind is FaultKind.UPSTREAM_PAUSES:
            faults = UpstreamFaults(pause=fault.lasts)
            await _apply_upstream_faults(testbed.upstreams[index], faults, fault.lasts)
        elif kind is FaultKind.UPSTREAM_LIMITS:
            faults = UpstreamFaults(limit=LIMIT_PER_S)
            await _apply_upstream_faults(testbed.upstreams[index], faults, fault.lasts)
        elif kind is FaultKind.UPSTREAM_ENDLESS:
            part = ENDLESS_PARTS[fault.pick // len(testbed.upstreams) % len(ENDLESS_PARTS)]
            faults = UpstreamFaults(endless=Endless(part))
            await _apply_upstream_faults(testbed.upstreams[index], faults, fault.lasts)
        elif kind is FaultKind.STORE_RESTORED:
            await self._restore_store()
        else:
            await self._inject_instant(fault, node, index)

    async def _inject_instant(self, fault: Fault, node: FleetNode, index: int) -> None:
        """Injects a fault that is not reverted, apart from the restart of killed nodes."""
        testbed = self._testbed
        actions: dict[FaultKind, Callable[[], Awaitable[None] | None]] = {
            FaultKind.NODE_KILL: lambda: self._kill_and_restart([node], fault.lasts / 3),
            FaultKind.HERD_KILL: lambda: self._kill_and_restart(
                testbed.fleet.nodes, fault.lasts / 3
            ),
            FaultKind.STORE_FORGETS: testbed.store.compact_history,
            FaultKind.STORE_SILENT: testbed.store_proxy.silence_open,
            FaultKind.UPSTREAM_SILENT: lambda: self._silence(index),
            FaultKind.UPSTREAM_RESET: lambda: self._reset(index),
            FaultKind.CONFIG_CHANGE: testbed.put_configuration,
            FaultKind.CONFIG_STORM: self._write_config_storm,
            FaultKind.FORGED_ENTRY: lambda: self._forge_entry(fault.pick),
        }
        pending = actions[fault.kind]()
        if pending is not None:
            await pending

    async def _apply_store_faults(self, faults: StoreFaults, lasts: float) -> None:
        """Applies faults to the store for `lasts` seconds."""
        service = self._testbed.store.service
        service.faults = faults
        await sleep(lasts)
        if service.faults is faults:
            service.faults = StoreFaults()

    async def _leave_and_start_again(self, upstream: PlatformUpstream) -> None:
        """Lets an upstream announce its shutdown, then registers it as a new process."""
        upstream.leaving_arrivals.append("")
        faults = upstream.faults = UpstreamFaults(leaving=True)
        await sleep(DRAIN_S + LEAVE_MARGIN_S)
        if upstream.faults is faults:
            upstream.faults = UpstreamFaults()
        self._testbed.register(upstream, restarted=True)

    async def _restore_store(self) -> None:
        """Restores the store from its latest copy; operators and upstreams then write again."""
        store = self._testbed.store
        faults = store.service.faults = StoreFaults(down=True)
        await sleep(STORE_AWAY_S)
        store.restore()
        if store.service.faults is faults:
            store.service.faults = StoreFaults()
        await self._testbed.write_again(REWRITE_S)

    async def _kill_and_restart(self, nodes: list[FleetNode], pause: float) -> None:
        """Kills nodes and restarts them after a pause in seconds."""
        self._testbed.note_disturbed(nodes)
        trouble = self._testbed.note_trouble(node.host for node in nodes)
        await _kill_and_restart(nodes, pause)
        _end(trouble)

    def _forge_entry(self, pick: int) -> None:
        """Writes an odd entry, of which the store keeps one of each sort."""
        number = pick % len(ODD_ENTRIES)
        self._testbed.store.put(f"servers/forged-{number}", ODD_ENTRIES[number])

    def _silence(self, index: int) -> None:
        """Silences the open connections to an upstream, which stay so."""
        self._testbed.note_trouble([self._testbed.upstreams[index].name])
        self._testbed.proxies[index].silence_open()

    def _reset(self, index: int) -> None:
        """Resets the open connections to an upstream."""
        _end(self._testbed.note_trouble([self._testbed.upstreams[index].name]))
        self._testbed.proxies[index].reset_all()

    async def _slow_service(self, service: str, lasts: float) -> None:
        """Makes the upstreams of a service slow for `lasts` seconds."""
        faults = UpstreamFaults(slow=SLOW_SHARE)
        upstreams = [u for u in self._testbed.upstreams if u.service == service]
        await gather(*(_apply_upstream_faults(u, faults, lasts) for u in upstreams))

    async def _stop_all(self) -> None:
        """Stops and restarts all nodes, one after another, while the earlier ones still stop."""
        tasks = []
        for node in self._testbed.fleet.nodes:
            tasks.append(create_task(self._stop_and_restart(node)))
            await sleep(ROLLING_INTERVAL_S)
        await gather(*tasks)

    async def _stop_and_restart(self, node: FleetNode, number: int = 0) -> None:
        """Stops a node as the platform does and restarts it; a stop in a stop repeats SIGTERM.

        Args:
            node: The node.
            number: Selects whether its settings file changes without a signal: not, to a shorter
                grace period just before the stop, or to a longer one during the stop, for which the
                platform does not wait.
        """
        loop = get_running_loop()
        testbed = self._testbed
        testbed.note_disturbed([node])
        process = node.process
        if process is None or node.host in self._stopping:
            node.terminate()
            return
        self._stopping.add(node.host)
        change = SETTINGS_CHANGES[number % len(SETTINGS_CHANGES)]
        if change is SettingsChange.SHORTER_BEFORE:
            node.write_settings(SHORT_GRACE_S)
            await sleep(SETTINGS_CHANGE_S)
        end = loop.time() + node.grace
        testbed.work.append(Work(WorkKind.STOP, node.host, loop.time(), node.grace))
        node.terminate()
        if change is SettingsChange.LONGER_DURING:
            await sleep(SETTINGS_CHANGE_S)
            node.write_settings(LONG_GRACE_S)
        while process.poll() is None and loop.time() < end:
            await sleep(STOP_POLL_S)
        if node.process is process:
            node.kill()
        self._stopping.discard(node.host)
        if not node.is_running:
            node.start()

    def _reload(self, node: FleetNode, number: int) -> None:
        """Rewrites a node's settings and sends SIGHUP; a node that stops keeps its grace period."""
        grace = GRACES_S[number % len(GRACES_S)]
        node.write_settings(node.grace if node.host in self._stopping else grace)
        now = get_running_loop().time()
        self._testbed.work.append(Work(WorkKind.RELOAD, node.host, now, node.grace))
        node.reload()

    async def _write_config_storm(self) -> None:
        """Writes several configuration versions in quick succession."""
        for _ in range(STORM_VERSIONS):
            self._testbed.put_configuration()
            await sleep(STORM_INTERVAL_S)


def _end(trouble: list[Trouble]) -> None:
    """Records that faults end now."""
    for item in trouble:
        item.ended_at = get_running_loop().time()


async def _apply_upstream_faults(
    upstream: PlatformUpstream, faults: UpstreamFaults, lasts: float
) -> None:
    """Applies faults to an upstream for `lasts` seconds."""
    upstream.faults = faults
    await sleep(lasts)
    if upstream.faults is faults:
        upstream.faults = UpstreamFaults()


async def _apply_proxy_fault(proxy: FaultProxy, fault: ProxyFault, lasts: float) -> None:
    """Applies a fault to a proxy for `lasts` seconds, then resets its connections."""
    proxy.delay = PROXY_DELAY_S
    proxy.fault = fault
    await sleep(lasts)
    proxy.fault = ProxyFault.NONE
    proxy.reset_all()


async def _kill_and_restart(nodes: list[FleetNode], pause: float) -> None:
    """Kills nodes and restarts them after a pause in seconds."""
    for node in nodes:
        node.resume()
        node.kill()
    await sleep(pause)
    for node in nodes:
        if not node.is_running:
            node.start()
