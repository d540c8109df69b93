"""Full backends refuse orders; a faulty one sends a second, late copy of some refusals."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from review.lib.backend import Backend
from review.lib.case import HOST, Case, CouldNotRunError, main, route
from review.lib.client import Client, resolve
from review.lib.fleet import ZONES
from review.lib.http_server import Connection, Reply, Request, encode_reply

SECONDS = 60.0
CLIENTS_PER_ZONE = 40
PAUSE_S = 0.35
"""Mean pause of a client between two orders."""
SHARE_OF_ANSWERS = 0.04
"""Upper limit of the share of the faulty backend's answers that are followed by a second copy."""
FAULT_S = 5.0
"""Length of one time of faults, with a pause of `PAUSE_BETWEEN_S` after it."""
PAUSE_BETWEEN_S = 1.0
PROMISES = (408, 421, 429, 503)


async def play(case: Case) -> None:
    """Sends more orders than the backends can run, while one of two sends late copies."""
    zones = list(ZONES)
    backends = [
        Backend(
            case.store,
            case.record,
            f"i-{n}f3a91c2",
            "homeowner-portal",
            zones[n],
            queue=8,
            work_s=0.01125,
        )
        for n in range(2)
    ]
    await case.store.open()
    for backend in backends:
        await backend.open()
    case.put_configuration(
        [route("orders", "/timi402/", "homeowner-portal", "non_idempotent")], ["homeowner-portal"]
    )
    for zone in (*zones, *zones):
        case.fleet.add(zone, case.store.address)
    await case.fleet.start()
    await asyncio.sleep(3.0)
    start = case.record.now()
    copies: dict[Connection, tuple[str, bytes]] = {}
    sent = 0

    def keep_copy(backend: Backend, req: Request, reply: Reply) -> None:
        nonlocal sent
        in_time = (case.record.now() - start) % (FAULT_S + PAUSE_BETWEEN_S) < FAULT_S
        if in_time and reply.status == 503 and sent < SHARE_OF_ANSWERS * backend.answers:
            sent += 1
            copies[req.conn] = req.headers.get("x-attempt-id", ""), encode_reply(reply)

    def send_copy(backend: Backend, req: Request) -> bytes:
        attempt, copy = copies.pop(req.conn, ("", b""))
        if copy:
            now = req.headers.get("x-attempt-id", "")
            case.record.add("late copy", of=attempt, before=now, backend=backend.name)
        return copy

    for backend in backends[:1] if case.trouble else []:
        backend.fault = keep_copy
        backend.before_reply = send_copy
    answers: dict[str, int] = {}

    async def order(zone: str, number: int) -> None:
        pauses = Random(f"{zone} {number}")
        node = next(node for node in case.fleet.nodes if node.zone == zone)
        found = await resolve(node.directory, HOST, ZONES[zone], zone)
        if not found:
            raise CouldNotRunError("the directory names no node")
        client = Client(case.record, f"{zone}-{number}", pauses.choice(found), HOST)
        while case.record.now() < start + SECONDS:
            attempt, answer = await client.send("POST", "/timi402/2f", b"one vanity")
            answers[attempt] = answer.status
            await asyncio.sleep(pauses.expovariate(1 / PAUSE_S))
        client.close()

    await asyncio.gather(*(order(zone, n) for zone in zones for n in range(CLIENTS_PER_ZONE)))
    await asyncio.sleep(1.0)
    check(case, answers)
    for backend in backends:
        backend.close()


def check(case: Case, answers: dict[str, int]) -> None:
    """Checks that each order ran once at most, and not at all if it was refused."""
    statuses = Counter(answers.values())
    case.record.add("answers", statuses={str(key): count for key, count in statuses.items()})
    if statuses[200] < len(answers) / 4 or not case.record.named("rejected"):
        raise CouldNotRunError(f"{statuses}")
    runs = Counter(str(row["attempt"]) for row in case.record.named("run"))
    for attempt, count in runs.items():
        if count > 1:
            case.broke(f"TWICE: {attempt} ran {count} times, answered {answers.get(attempt)}")
        if answers.get(attempt) in PROMISES:
            case.broke(f"REFUSED: {attempt} was answered {answers[attempt]} and ran")


if __name__ == "__main__":
    main(play)
