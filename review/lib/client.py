"""Stand-in of a client: one connection, one request at a time, an id for each attempt."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from review.lib.record import Record

CONNECT_S = 1.0
GRACE_S = 1.5
"""Time after its time limit for which a client still waits for an answer."""


@dataclass
class Answer:
    """End of one attempt; status 0 if the connection closed, -1 if there was no answer in time."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """Sends attempts to one node over a connection that it keeps."""

    def __init__(self, record: Record, name: str, address: str, host: str) -> None:
        self.address = address
        self._record = record
        self._name = name
        self._host = host
        self._count = 0
        self._conn: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, method: str, path: str, body: bytes = b"", deadline_ms: int = 3001
    ) -> tuple[str, Answer]:
        """Sends one attempt; returns its id and its answer."""
        self._count += 1
        attempt = f"{self._name}-{self._count}"
        try:
            reader, writer = await self._connection()
        except (TimeoutError, OSError):
            self._record.add("unreachable", attempt=attempt, node=self.address)
            return attempt, Answer(0, {}, b"")
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\nX-Attempt-Id: {attempt}\r\n"
        head += f"X-Deadline-Ms: {deadline_ms}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self._record.add("sent", attempt=attempt, node=self.address, method=method, path=path)
        writer.write(head.encode() + b"\r\n" + body)
        try:
            answer = await asyncio.wait_for(_read_answer(reader), deadline_ms / 1000 + GRACE_S)
        except TimeoutError:
            answer = Answer(-1, {}, b"")
        except (OSError, EOFError, asyncio.IncompleteReadError):
            answer = Answer(0, {}, b"")
        self._record.add(
            "answered",
            attempt=attempt,
            node=self.address,
            status=answer.status,
            seal=answer.headers.get("x-server-seal", ""),
        )
        if answer.status <= 0 or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return attempt, answer

    def close(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn[1].close()
            self._conn = None

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns the open connection, or opens one."""
        if self._conn is None:
            host, _, port = self.address.rpartition(":")
            self._conn = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT_S)
        return self._conn


async def get(address: str, path: str) -> Answer:
    """Calls one of the system's own addresses on a new connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT_S)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        return await asyncio.wait_for(_read_answer(reader), CONNECT_S)
    finally:
        writer.close()


async def resolve(directory: str, name: str, region: str, zone: str) -> list[str]:
    """Asks a node which addresses to use; returns none if it fails."""
    try:
        answer = await get(directory, f"/resolution?name={name}&region={region}&zone={zone}")
    except (TimeoutError, OSError, EOFError):
        return []
    return json.loads(answer.body)["addrs"] if answer.status == 200 else []


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one complete answer."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(lines[0].split(" ")[1]), headers, body)
