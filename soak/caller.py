"""A caller of the soak: it asks which nodes to use and keeps its connection while it lasts."""

from __future__ import annotations

from asyncio import (
    IncompleteReadError,
    LimitOverrunError,
    StreamReader,
    StreamWriter,
    get_running_loop,
    open_connection,
    sleep,
    wait_for,
)
from random import Random
from typing import Final

from msgspec import json

from soak.ledger import Answer, Ledger
from standins.platform_fleet import CALLERS_PORT, DIRECTORY_PORT

HOST: Final = "soak.example"
DEADLINE_S: Final = 2.0
PATIENCE_S: Final = 1.5
"""Time beyond the deadline for which an answer is awaited."""
CONNECT_TIMEOUT_S: Final = 1.0
MERGED_SHARE: Final = 0.7
BROKEN: Final = (OSError, IncompleteReadError, LimitOverrunError, ValueError)


class Caller:
    """Sends one request after the other."""

    def __init__(
        self, name: str, hosts: list[str], failure_domain: str, ledger: Ledger, seed: int
    ) -> None:
        """Initialise a caller without a connection.

        Args:
            name: Begins the ids of its requests.
            hosts: Addresses of nodes that may be asked which to use.
            failure_domain: Where it is.
            ledger: Gets what it sees.
            seed: Seed of its choices.
        """
        self._name = name
        self._hosts = hosts
        self._failure_domain = failure_domain
        self._ledger = ledger
        self._random = Random(seed)
        self._addresses: list[str] = []
        self._until = 0.0
        self._conn: tuple[StreamReader, StreamWriter] | None = None
        self._count = 0

    async def run(self, seconds: float, pause: float) -> None:
        """Sends requests.

        Args:
            seconds: How long.
            pause: Mean time between two requests.
        """
        end = get_running_loop().time() + seconds
        while get_running_loop().time() < end:
            await self._send_one()
            await sleep(self._random.expovariate(1.0 / pause))
        self._drop()

    async def _send_one(self) -> None:
        """Sends one request and checks its answer."""
        self._count += 1
        request = f"{self._name}-{self._count}"
        merged = self._random.random() < MERGED_SHARE
        if not merged:
            self._ledger.once.add(request)
        began = get_running_loop().time()
        try:
            reader, writer = await self._connection()
            writer.write(_encode(request, merged))
            answer = await wait_for(read_answer(reader), DEADLINE_S + PATIENCE_S)
        except TimeoutError:
            self._drop()
            self._ledger.note("no answer in time", began, False)
            return
        except BROKEN:
            self._drop()
            self._ledger.note("connection lost", began, False)
            return
        self._ledger.note(str(answer.status), began, answer.status == 200)
        self._ledger.check(request, merged, answer)
        if answer.headers.get("connection") == "close":
            self._drop()

    async def _connection(self) -> tuple[StreamReader, StreamWriter]:
        """Returns the open connection, or opens one to a node of the directory."""
        if get_running_loop().time() >= self._until:
            await self._ask_directory()
        if self._conn is None:
            if not self._addresses:
                raise ConnectionError("no address is known")
            host = self._random.choice(self._addresses).partition(":")[0]
            self._conn = await wait_for(open_connection(host, CALLERS_PORT), CONNECT_TIMEOUT_S)
        return self._conn

    async def _ask_directory(self) -> None:
        """Asks up to three nodes which addresses to use; an older answer stays if none tells."""
        for host in self._random.sample(self._hosts, min(3, len(self._hosts))):
            try:
                found = await wait_for(self._ask(host), CONNECT_TIMEOUT_S)
            except (*BROKEN, TimeoutError):
                # Another node may answer.
                continue
            if found.status != 200:
                continue
            directory = json.decode(found.body)
            self._addresses = directory["addrs"]
            self._until = get_running_loop().time() + directory["ttl_s"]
            return

    async def _ask(self, host: str) -> Answer:
        """Asks one node which addresses to use."""
        reader, writer = await open_connection(host, DIRECTORY_PORT)
        try:
            path = (
                f"/resolution?name={HOST}&region={self._failure_domain}&zone={self._failure_domain}"
            )
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            return await read_answer(reader)
        finally:
            writer.close()

    def _drop(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn[1].close()
            self._conn = None


def _encode(request: str, merged: bool) -> bytes:
    """Encodes one request."""
    line = "GET /g/x HTTP/1.1" if merged else "POST /o/x HTTP/1.1"
    head = f"{line}\r\nHost: {HOST}\r\nX-Attempt-Id: {request}\r\n"
    head += f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
    if merged:
        return f"{head}\r\n".encode()
    body = f"order {request}".encode()
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def read_answer(reader: StreamReader) -> Answer:
    """Reads one whole answer.

    Raises:
        IncompleteReadError: If the connection ends first.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(lines[0].split(" ")[1]), headers, body)
