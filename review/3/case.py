"""Another writer's entry, which cannot be read, stops every node from reading the store."""

from __future__ import annotations

import asyncio

from review.lib.backend import Backend
from review.lib.case import HOST, Case, CouldNotRunError, main, route
from review.lib.client import Client
from review.lib.fleet import ZONES

ENTRY = b'{"labels":' + b"[" * 1500 + b"]" * 1500 + b"}"
"""Valid JSON that nests deep, in a field that no page names; the named fields are missing."""
WAIT_S = 5.0
"""Time from the entry to the next configuration."""
CONFIG_APPLY_S = 3.0
PROBES_S = 15.0
"""Time for which probes are sent after the configuration."""


async def play(case: Case) -> None:
    """Writes the entry, then a configuration, and probes which one is in force."""
    zones = list(ZONES)
    names = ("homeowner-portal", "supplier-sync")
    backends = [
        Backend(case.store, case.record, f"i-{n}{z}f3a91c", names[n], zones[z], work_s=0.01)
        for n in range(2)
        for z in range(3)
    ]
    await case.store.open()
    for backend in backends:
        await backend.open()
    first = route("plans", "/timi402/", names[0])
    case.put_configuration([first], list(names))
    for zone in zones:
        case.fleet.add(zone, case.store.address)
    await case.fleet.start()
    await asyncio.sleep(2.0)
    clients = [
        Client(case.record, f"look-{number}", node.front, HOST)
        for number, node in enumerate(case.fleet.nodes)
    ]
    for client in clients:
        if (await client.send("GET", "/timi402/2f"))[1].status != 200:
            raise CouldNotRunError("the first configuration is not served")
    if case.trouble:
        case.store.put("servers/i-77aa55cc", ENTRY)
        case.record.add("entry of another writer", bytes=len(ENTRY))
    await asyncio.sleep(WAIT_S)
    moved = [route("plans", "/timi402/", names[1]), route("added", "/bapu561/", names[0])]
    acknowledged = case.put_configuration(moved, list(names))
    while case.record.now() < acknowledged + PROBES_S:
        for client in clients:
            for path in ("/timi402/2f", "/bapu561/2f"):
                await client.send("GET", path)
        await asyncio.sleep(0.2)
    check(case, acknowledged, {backend.name: backend.service for backend in backends})
    for backend in backends:
        backend.close()


def check(case: Case, acknowledged: float, service_of: dict[str, str]) -> None:
    """Checks that requests sent later than `config_apply_ms` follow the new configuration."""
    answered = {str(row["attempt"]): row for row in case.record.named("answered")}
    for row in case.record.named("sent"):
        after = float(str(row["at"])) - acknowledged
        if after <= CONFIG_APPLY_S:
            continue
        answer = answered[str(row["attempt"])]
        text = f"CONFIG: {row['attempt']} at {row['node']}, {after:.1f} s after the acknowledgement"
        if row["path"] == "/bapu561/2f" and answer["status"] == 404:
            case.broke(f"{text}: 404 on a route that was added")
        service = service_of.get(str(answer["seal"]).partition(".")[0], "")
        if row["path"] == "/timi402/2f" and service == "homeowner-portal":
            case.broke(f"{text}: run by {service}, from which the route was moved")


if __name__ == "__main__":
    main(play)
