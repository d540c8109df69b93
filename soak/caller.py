"""Simulated caller: looks up nodes in the directory and reuses one connection."""

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

from soak.checker import Answer, Passage, RequestKind, ResultChecker
from soak.loss import LostRequest
from standins.platform_fleet import CALLERS_PORT, DIRECTORY_PORT

HOST: Final = "soak.example"
DEADLINES_S: Final = (2.0, 3.5)
ROUTE_TIMEOUT_S: Final = 3.5
ANSWER_GRACE_S: Final = 1.5
"""Time for which the caller still waits for an answer after the deadline."""
CONNECT_TIMEOUT_S: Final = 1.0
KIND_WEIGHTS: Final = {
    RequestKind.MERGED: 5,
    RequestKind.SINGLE: 2,
    RequestKind.NON_IDEMPOTENT: 3,
}
VERSIONED_WEIGHT: Final = 10
"""Weight of versioned requests in runs with link cuts."""
SURPLUS_WAIT_S: Final = 0.001
SURPLUS_BYTES: Final = 4_096
HTTP_START: Final = b"HTTP/1.1 "
EXCHANGE_ERRORS: Final = (OSError, IncompleteReadError, LimitOverrunError, ValueError)


class Caller:
    """Sends requests one at a time over one connection."""

    def __init__(
        self,
        name: str,
        hosts: list[str],
        failure_domain: str,
        checker: ResultChecker,
        seed: int,
        versioned: bool = False,
    ) -> None:
        """Creates a caller without a connection.

        Args:
            name: Prefix of its request ids.
            hosts: Addresses of the nodes that may be queried for the directory.
            failure_domain: Failure domain of the caller.
            checker: Receives the outcomes and answers.
            seed: Seed of the random choices.
            versioned: Whether it also sends requests that show the configuration version.
        """
        self._weights = dict(KIND_WEIGHTS)
        if versioned:
            self._weights[RequestKind.VERSIONED] = VERSIONED_WEIGHT
        self._name = name
        self._hosts = hosts
        self._failure_domain = failure_domain
        self._checker = checker
        self._random = Random(seed)
        self._addresses: list[str] = []
        self._addresses_expire_at = 0.0
        self._conn: tuple[StreamReader, StreamWriter] | None = None
        self._host = ""
        """Address of the node at the other end of the connection."""
        self._count = 0

    async def run(self, seconds: float, pause: float) -> None:
        """Sends requests with pauses of random length.

        Args:
            seconds: Duration.
            pause: Mean pause between an answer and the next request, in seconds.
        """
        end = get_running_loop().time() + seconds
        while get_running_loop().time() < end:
            await self._send_one()
            await sleep(self._random.uniform(0.0, 2.0 * pause))
        self._close_connection()

    async def _send_one(self) -> None:
        """Sends one request, then records its outcome and checks its answer."""
        self._count += 1
        request = f"{self._name}-{self._count}"
        kind = self._random.choices(tuple(self._weights), tuple(self._weights.values()))[0]
        deadline = self._random.choice(DEADLINES_S)
        if kind is RequestKind.NON_IDEMPOTENT:
            self._checker.non_idempotent.add(request)
        clock = get_running_loop().time
        started_at = clock()
        try:
            reader, writer = await self._connection()
        except (*EXCHANGE_ERRORS, TimeoutError):
            self._checker.record_outcome("no connection", started_at, False)
            return
        started_at = clock()
        try:
            writer.write(_encode(request, kind, deadline))
            answer = await wait_for(read_answer(reader), deadline + ANSWER_GRACE_S)
        except TimeoutError:
            self._close_connection()
            self._checker.record_outcome("no answer in time", started_at, False)
            return
        except (OSError, IncompleteReadError):
            self._close_connection()
            self._checker.record_outcome("connection lost", started_at, False)
            limit = min(deadline, ROUTE_TIMEOUT_S)
            self._checker.lost.append(LostRequest(request, self._host, started_at, clock(), limit))
            return
        except (LimitOverrunError, ValueError) as exc:
            self._close_connection()
            self._checker.record_outcome("malformed answer", started_at, False)
            self._checker.add_violation("an answer is HTTP", request, repr(exc))
            return
        self._checker.record_outcome(str(answer.status), started_at, answer.status == 200)
        self._checker.check_answer(request, kind, answer)
        self._checker.passages[request] = Passage(self._host, started_at, clock())
        # A connection that the node says it closes is used until it is closed.
        await self._check_surplus()

    async def _connection(self) -> tuple[StreamReader, StreamWriter]:
        """Returns the open connection, or opens one to a random node of the directory."""
        if get_running_loop().time() >= self._addresses_expire_at:
            await self._refresh_addresses()
        await self._check_surplus()
        if self._conn is None:
            if not self._addresses:
                raise ConnectionError("no node address available from the directory")
            host = self._random.choice(self._addresses).partition(":")[0]
            self._conn = await wait_for(open_connection(host, CALLERS_PORT), CONNECT_TIMEOUT_S)
            self._host = host
        return self._conn

    async def _check_surplus(self) -> None:
        """Checks that nothing arrived without a request; drops the connection if it has ended."""
        if self._conn is None:
            return
        try:
            data = await wait_for(self._conn[0].read(SURPLUS_BYTES), SURPLUS_WAIT_S)
        except TimeoutError:
            return
        except OSError:
            data = b""
        self._close_connection()
        if data and (not data.startswith(HTTP_START) or data.startswith(HTTP_START + b"2")):
            detail = f"{self._host}: {data[:60]!r}"
            self._checker.add_violation("an answer has its request", self._name, detail)

    async def _refresh_addresses(self) -> None:
        """Queries up to three nodes for the directory; keeps the old addresses if all fail."""
        for host in self._random.sample(self._hosts, min(3, len(self._hosts))):
            try:
                found = await wait_for(self._query_directory(host), CONNECT_TIMEOUT_S)
            except (*EXCHANGE_ERRORS, TimeoutError):
                # Try the next node.
                continue
            if found.status != 200:
                continue
            directory = json.decode(found.body)
            self._addresses = directory["addrs"]
            self._addresses_expire_at = get_running_loop().time() + directory["ttl_s"]
            return

    async def _query_directory(self, host: str) -> Answer:
        """Queries the directory of one node."""
        reader, writer = await open_connection(host, DIRECTORY_PORT)
        try:
            path = (
                f"/resolution?name={HOST}&region={self._failure_domain}&zone={self._failure_domain}"
            )
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            return await read_answer(reader)
        finally:
            writer.close()

    def _close_connection(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn[1].close()
            self._conn = None


def _encode(request: str, kind: RequestKind, deadline: float) -> bytes:
    """Encodes one request as HTTP/1.1."""
    head = f"{kind.value} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request}\r\n"
    head += f"X-Deadline-Ms: {int(deadline * 1000)}\r\n"
    if kind is not RequestKind.NON_IDEMPOTENT:
        return f"{head}\r\n".encode()
    body = f"order {request}".encode()
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def read_answer(reader: StreamReader) -> Answer:
    """Reads one complete HTTP response.

    Raises:
        IncompleteReadError: If the connection closes before the end of the response.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(lines[0].split(" ")[1]), headers, body)
