"""A backend withdraws its entry, and a node that is killed reads a stale second page."""

from __future__ import annotations

import asyncio
from random import Random

from review.lib.backend import Backend
from review.lib.case import HOST, Case, CouldNotRunError, main, route
from review.lib.client import Client
from review.lib.fleet import ZONES, Node

ROUNDS = 2
STALE_LAGS_S = (0.0, 2.5)
"""Ages of the replicas that serve reads with `allow_stale`: of first and of later pages."""
KILL_AFTER_S = 0.2
"""Time from the withdrawal to the kill."""
DOWN_S = 0.5
"""Time until the process is started again."""
DRAIN_S = 3.0
CONTACT_S = 4.0
SERVES_ON_S = 14.0
"""Time for which a backend serves after its withdrawal: `drain_ms` and many seconds."""
CLIENTS_PER_NODE = 3
PAUSE_S = 0.15


async def play(case: Case) -> None:
    """Withdraws one backend in each round and kills one node, while orders go on."""
    zones = list(ZONES)
    case.store.stale_lags_s = STALE_LAGS_S
    shards = [
        Backend(case.store, case.record, f"i-{number:02x}a0b1c2", f"planner-desk-{number // 2}", z)
        for number, z in ((number, zones[number % 2]) for number in range(40))
    ]
    portal = [
        Backend(case.store, case.record, f"i-c{n}f3a91c", "homeowner-portal", zones[n % 3])
        for n in range(5)
    ]
    later = [
        Backend(case.store, case.record, f"i-{number + 160:02x}d0e1f2", f"member-{number // 2}", z)
        for number, z in ((number, zones[number % 2]) for number in range(60))
    ]
    backends = [*shards, *portal, *later]
    await case.store.open()
    for backend in backends:
        await backend.open()
    case.put_configuration(
        [route("orders", "/timi402/", "homeowner-portal", "non_idempotent")],
        sorted({backend.service for backend in backends}),
    )
    for zone in (zones[0], zones[0], zones[0], zones[1], zones[2]):
        case.fleet.add(zone, case.store.address)
    await case.fleet.start()
    await asyncio.sleep(2.0)
    node = case.fleet.nodes[2]
    tasks = [
        asyncio.create_task(order(case, each, number))
        for each in case.fleet.nodes
        for number in range(CLIENTS_PER_NODE)
    ]
    for backend in portal[:ROUNDS]:
        await asyncio.sleep(3.0)
        await withdraw(case, backend, node)
    case.over = True
    await asyncio.gather(*tasks)
    if sum(row["status"] == 200 for row in case.record.named("answered")) < 500:
        raise CouldNotRunError("too few orders were served")
    for backend in backends:
        backend.close()


async def withdraw(case: Case, backend: Backend, node: Node) -> None:
    """Withdraws a backend, kills a node and checks what the nodes send to the backend."""
    revision = backend.withdraw()
    withdrawn = case.record.add("withdrawn", backend=backend.name, revision=revision)
    started = withdrawn
    if case.trouble:
        await asyncio.sleep(KILL_AFTER_S)
        await node.kill()
        case.record.add("killed", node=node.name)
        await asyncio.sleep(DOWN_S)
        await node.start(first=False)
        started = case.record.add("started", node=node.name)
        await node.wait_ready()
        case.record.add("ready", node=node.name)
    in_touch = {each.front: withdrawn + DRAIN_S for each in case.fleet.nodes}
    in_touch[node.front] = max(withdrawn + DRAIN_S, started + CONTACT_S)
    case.record.add("in touch", since={key: round(at, 3) for key, at in in_touch.items()})
    await asyncio.sleep(withdrawn + SERVES_ON_S - case.record.now())
    backend.close()
    ended = case.record.add("backend ended", backend=backend.name)
    await asyncio.sleep(0.5)
    sent = {str(row["attempt"]): row for row in case.record.named("sent")}
    for run in case.record.named("run"):
        way = sent[str(run["attempt"])]
        since = in_touch[str(way["node"])]
        if run["backend"] != backend.name or float(str(way["at"])) < since:
            continue
        after = float(str(way["at"])) - withdrawn
        case.broke(
            f"DRAIN: {run['attempt']} by {way['node']} reached {backend.name},"
            f" sent {after:.2f} s after its removal was acknowledged"
        )
    for row in case.record.named("answered"):
        if abs(float(str(row["at"])) - ended) < 0.5 and row["status"] != 200:
            case.record.add("lost at the end", attempt=row["attempt"], status=row["status"])


async def order(case: Case, node: Node, number: int) -> None:
    """Sends orders to one node."""
    pauses = Random(f"{node.name} {number}")
    client = Client(case.record, f"{node.zone}-{number}", node.front, HOST)
    while not case.over:
        await client.send("POST", "/timi402/2f", b"one vanity")
        await asyncio.sleep(pauses.expovariate(1 / PAUSE_S))
    client.close()


if __name__ == "__main__":
    main(play)
