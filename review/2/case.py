"""A faulty backend sends some bytes after a complete answer."""

from __future__ import annotations

import asyncio
from random import Random

from review.lib.backend import RECORD_BYTES, SEARCH_PREFIX, Backend
from review.lib.case import HOST, Case, CouldNotRunError, main, route
from review.lib.client import Answer, Client, resolve
from review.lib.fleet import ZONES
from review.lib.http_server import Reply, Request, encode_reply

SECONDS = 40.0
SHARDS = 6
TOP_K = 20
LEAST_SHARE = 0.75
CLIENTS_PER_ZONE = 5
PAUSE_S = 0.12
"""Mean pause of a client between two requests."""
SHARE_OF_ANSWERS = 0.02
"""Share of a faulty backend's answers that are followed by additional bytes."""
SHARE_OF_BACKENDS = 0.35
FAULT_S = 5.5
"""Length of one time of faults, with a pause of `PAUSE_BETWEEN_S` after it."""
PAUSE_BETWEEN_S = 1.0
ERROR_BYTES = b"HTTP/1.1 503 Serv"
"""Beginning of an error reply, after the answer to an order."""
PROMISES = (408, 421, 429, 503)


async def play(case: Case) -> None:
    """Sends searches and orders, while some backends add bytes to some answers."""
    zones = list(ZONES)
    shards = [f"planner-desk-{number}" for number in range(SHARDS)]
    searched = [
        Backend(case.store, case.record, f"i-{n}{copy}f3a91c", shard, zones[copy], work_s=0.0075)
        for n, shard in enumerate(shards)
        for copy in range(2)
    ]
    ordered = [
        Backend(case.store, case.record, f"i-e{n}f3a91c", "supplier-sync", zones[n], work_s=0.03)
        for n in range(3)
    ]
    await case.store.open()
    for backend in (*searched, *ordered):
        await backend.open()
    search = route("searches", SEARCH_PREFIX, "")
    del search["service"]
    search |= {"gather": shards, "top_k": TOP_K, "oldest_version": LEAST_SHARE, "goal_ms": 113}
    orders = route("orders", "/timi402/", "supplier-sync", "non_idempotent")
    case.put_configuration([search, orders], [*shards, "supplier-sync"])
    for zone in zones:
        case.fleet.add(zone, case.store.address)
    await case.fleet.start()
    await asyncio.sleep(3.0)
    start = case.record.now()
    random = Random(2)

    def add_bytes(backend: Backend, req: Request, reply: Reply) -> None:
        in_time = (case.record.now() - start) % (FAULT_S + PAUSE_BETWEEN_S) < FAULT_S
        if reply.status != 200 or not in_time or random.random() >= SHARE_OF_ANSWERS:
            return
        reply.raw_after = ERROR_BYTES
        if req.target.startswith(SEARCH_PREFIX):
            copy = encode_reply(reply)
            reply.raw_after = copy[: random.randrange(1, len(copy))]
        attempt = req.headers["x-attempt-id"]
        text = reply.raw_after.decode("latin-1")
        case.record.add("additional bytes", after=attempt, backend=backend.name, bytes=text)

    for group in (searched, ordered) if case.trouble else ():
        for backend in group[: int(SHARE_OF_BACKENDS * len(group))]:
            backend.fault = add_bytes
    answers: dict[str, Answer] = {}

    async def use(zone: str, number: int) -> None:
        choices = Random(f"{zone} {number}")
        node = next(node for node in case.fleet.nodes if node.zone == zone)
        found = await resolve(node.directory, HOST, ZONES[zone], zone)
        if not found:
            raise CouldNotRunError("the directory names no node")
        client = Client(case.record, f"{zone}-{number}", choices.choice(found), HOST)
        while case.record.now() < start + SECONDS:
            if choices.random() < 0.5:
                sent = client.send("GET", f"{SEARCH_PREFIX}2f", deadline_ms=1001)
            else:
                sent = client.send("POST", "/timi402/2f", b"one vanity")
            attempt, answer = await sent
            answers[attempt] = answer
            await asyncio.sleep(choices.expovariate(1 / PAUSE_S))
        client.close()

    await asyncio.gather(*(use(zone, n) for zone in zones for n in range(CLIENTS_PER_ZONE)))
    await asyncio.sleep(1.0)
    check(case, answers, {backend.name: backend for backend in (*searched, *ordered)})
    for backend in (*searched, *ordered):
        backend.close()


def check(case: Case, answers: dict[str, Answer], backends: dict[str, Backend]) -> None:
    """Checks the answers against what ran and what the backends answered."""
    served = sum(answer.status == 200 for answer in answers.values())
    if served < len(answers) / 2 or len(answers) < 100:
        raise CouldNotRunError(f"{served} of {len(answers)} requests were served")
    if case.trouble and not case.record.named("additional bytes"):
        raise CouldNotRunError("no additional bytes were sent")
    ran_at = {str(row["attempt"]): str(row["backend"]) for row in case.record.named("run")}
    paths = {str(row["attempt"]): str(row["path"]) for row in case.record.named("sent")}
    for attempt, answer in answers.items():
        if paths.get(attempt, "").startswith(SEARCH_PREFIX):
            if answer.status == 200:
                _check_search(case, attempt, answer, backends)
            continue
        ran, seal = ran_at.get(attempt), answer.headers.get("x-server-seal", "")
        if answer.status in PROMISES and ran:
            case.broke(f"REFUSED: order {attempt} was answered {answer.status} and ran at {ran}")
        if answer.status != 200 and seal and ran:
            case.broke(f"MIXED: order {attempt} got {answer.status} with {seal} of a success")


def _check_search(case: Case, attempt: str, answer: Answer, backends: dict[str, Backend]) -> None:
    """Checks the parts and the body of a success."""
    seals = [seal.strip() for seal in answer.headers.get("x-part-seals", "").split(",")]
    parts = [backends.get(seal.partition(".")[0]) for seal in seals]
    for seal, part in zip(seals, parts, strict=True):
        if part is None or seal != f"{part.name}.{attempt}":
            case.broke(f"MIXED: search {attempt} got 200 with {seal!r}, which no backend gave")
            return
    services = {part.service for part in parts if part is not None}
    missing = int(answer.headers.get("x-missing-parts", "0"))
    if len(services) != len(seals) or len(seals) + missing != SHARDS:
        case.broke(f"MIXED: search {attempt} names {seals} and {missing} missing")
    bodies = [part.body(SEARCH_PREFIX, attempt) for part in parts if part is not None]
    records = [
        body[at : at + RECORD_BYTES] for body in bodies for at in range(0, len(body), RECORD_BYTES)
    ]
    if b"".join(sorted(records, reverse=True)[:TOP_K]) != answer.body:
        case.broke(f"MIXED: search {attempt} has not the greatest records of its parts")


if __name__ == "__main__":
    main(play)
