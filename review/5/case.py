"""A node that is cut off from the backends hands requests to nodes of other versions."""

from __future__ import annotations

import asyncio
import json
from random import Random

from review.lib.backend import Backend
from review.lib.case import HOST, Case, CouldNotRunError, main, route
from review.lib.client import Client
from review.lib.fleet import ZONES, Node
from review.lib.link import Link

CUTS = 3
CHANGES = 11
"""Number of configurations during a cut."""
CHANGE_S = 1.0
"""Time between two configurations; a cut lasts for `CHANGES` times as long."""
PAUSE_BETWEEN_S = 5.0
"""Time between two cuts."""
SERVICES = 12
"""Number of services among which the route moves in turn."""
SLACK_S = 0.25
"""`rollback_slack_ms` of the settings."""
CLIENTS_PER_NODE = 3
PAUSE_S = 0.08


async def play(case: Case) -> None:
    """Moves a route to another service every second, while one node is cut off."""
    zones = list(ZONES)
    names = [f"service-{number}" for number in range(SERVICES)]
    backends = [
        Backend(case.store, case.record, f"i-{n:x}{z}f3a91c", name, zones[z], work_s=0.01)
        for n, name in enumerate(names)
        for z in range(2)
    ]
    await case.store.open()
    for backend in backends:
        await backend.open()
    links = {backend.name: Link(backend.server.host, backend.server.port) for backend in backends}
    for link in links.values():
        await link.open()
    own = await case.store.open_further()

    def by_link(port: int, key: str, value: bytes) -> bytes:
        if port != own.port or not key.startswith("servers/"):
            return value
        entry = json.loads(value)
        entry["address"] = links[key.partition("/")[2]].address
        return json.dumps(entry).encode()

    case.store.rewrite = by_link
    case.put_configuration([route("looks", "/timi402/", names[0])], names)
    for zone in zones:
        first = zone == zones[0]
        case.fleet.add(zone, f"{own.host}:{own.port}" if first else case.store.address)
    await case.fleet.start()
    await asyncio.sleep(2.0)
    tasks = [
        asyncio.create_task(look(case, node, number))
        for node in case.fleet.nodes
        for number in range(CLIENTS_PER_NODE)
    ]
    written = [0.0]
    for _ in range(CUTS):
        await asyncio.sleep(PAUSE_BETWEEN_S)
        if case.trouble:
            case.record.add("cut", node=case.fleet.nodes[0].name)
            for link in links.values():
                link.cut()
        for _ in range(CHANGES):
            await asyncio.sleep(CHANGE_S)
            moved = route("looks", "/timi402/", names[len(written) % SERVICES])
            written.append(case.put_configuration([moved], names))
        if case.trouble:
            case.record.add("mended", node=case.fleet.nodes[0].name)
            for link in links.values():
                await link.mend()
    await asyncio.sleep(2.0)
    case.over = True
    await asyncio.gather(*tasks)
    services = {backend.name: names.index(backend.service) for backend in backends}
    check(case, services, written)
    for link in links.values():
        link.close()
    for backend in backends:
        backend.close()


async def look(case: Case, node: Node, number: int) -> None:
    """Sends requests to one node."""
    pauses = Random(f"{node.name} {number}")
    client = Client(case.record, f"{node.zone}-{number}", node.front, HOST)
    while not case.over:
        await client.send("GET", "/timi402/2f", deadline_ms=1001)
        await asyncio.sleep(pauses.expovariate(1 / PAUSE_S))
    client.close()


def check(case: Case, services: dict[str, int], written: list[float]) -> None:
    """Checks that no node falls back to an older version after it has shown a newer one."""
    sent = {str(row["attempt"]): row for row in case.record.named("sent")}
    shown: dict[str, dict[int, float]] = {}
    runs = sorted(case.record.named("run"), key=lambda row: float(str(row["at"])))
    if len(runs) < 1000:
        raise CouldNotRunError(f"{len(runs)} requests ran")
    for run in runs:
        way = sent[str(run["attempt"])]
        at, sent_at = float(str(run["at"])), float(str(way["at"]))
        version = max(
            number
            for number, since in enumerate(written)
            if number % SERVICES == services[str(run["backend"])] and since <= at
        )
        effects = shown.setdefault(str(way["node"]), {})
        newer = [v for v, since in effects.items() if v > version and sent_at > since + SLACK_S]
        if newer:
            since = effects[max(newer)]
            case.broke(
                f"CONFIG: {run['attempt']} at {way['node']} was handled as version {version},"
                f" sent {sent_at - since:.2f} s after a backend saw version {max(newer)}"
            )
        effects.setdefault(version, at)


if __name__ == "__main__":
    main(play)
