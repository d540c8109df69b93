"""Loopback TCP proxy that can delay, drop or reset the traffic of its connections."""

from __future__ import annotations

from asyncio import (
    AbstractServer,
    CancelledError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    open_connection,
    sleep,
    start_server,
)
from enum import Enum
from random import Random
from re import IGNORECASE, compile
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Final

READ_BYTES: Final = 65_536
COPIED_SHARE: Final = 0.4
"""Share of the replies that `ProxyFault.COPY` sends twice."""
ID_LINE: Final = compile(rb"x-attempt-id:[^\r]*\r\n", IGNORECASE)
SUCCESS: Final = b"HTTP/1.1 200 "


class ProxyFault(Enum):
    """Fault that a proxy applies to all of its connections."""

    NONE = "none"
    DELAY = "delay"
    """Data is forwarded after a delay."""
    CUT_REPLIES = "cut_replies"
    """Data from the server is dropped."""
    CUT = "cut"
    """Data is dropped in both directions."""
    COPY = "copy"
    """Some replies are sent twice: at once or after the next request, with or without the attempt's
    id, whole or cut at a random byte."""


class FaultProxy:
    """Forwards connections to one server address."""

    def __init__(self, host: str, target_host: str, target_port: int) -> None:
        """Creates a proxy that does not listen yet.

        Args:
            host: IP address to bind.
            target_host: IP address of the server.
            target_port: TCP port of the server.
        """
        self._host = host
        self._target = (target_host, target_port)
        self._server: AbstractServer | None = None
        self._connections: set[_ProxiedConnection] = set()
        self.port = 0
        self.fault = ProxyFault.NONE
        self.delay = 0.0
        """Delay of `ProxyFault.DELAY`, in seconds."""
        self._random = Random(target_port)

    async def open(self) -> None:
        """Listens on a port that the operating system assigns, or on the same one as before."""
        self._server = await start_server(self._accept, self._host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and resets every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Resets every connection."""
        for conn in tuple(self._connections):
            conn.reset()

    def silence_open(self) -> None:
        """Drops all further data on the currently open connections; new ones are not affected."""
        for conn in self._connections:
            conn.silent = True

    def copy_reply(self, reply: bytes) -> tuple[bytes, bool]:
        """Returns the copy of a reply, which may be empty, and whether it is sent late.

        Only copies of a success are cut or lack the id: the beginning of a refusal without it
        makes a valid refusal of the next reply.
        """
        random = self._random
        if random.random() >= COPIED_SHARE:
            return b"", False
        if reply.startswith(SUCCESS):
            reply = random.choice((reply, ID_LINE.sub(b"", reply)))
            reply = random.choice((reply, reply[: random.randrange(1, len(reply))]))
        return reply, random.random() < 0.5

    async def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Connects to the server and forwards data in both directions."""
        try:
            server_reader, server_writer = await open_connection(*self._target)
        except OSError:
            _reset(writer)
            return
        conn = _ProxiedConnection(self, writer, server_writer)
        self._connections.add(conn)
        try:
            await conn.run(reader, server_reader)
        finally:
            self._connections.discard(conn)


class _ProxiedConnection:
    """A client connection and its connection to the server."""

    def __init__(self, proxy: FaultProxy, client: StreamWriter, server: StreamWriter) -> None:
        """Creates the object for two open connections."""
        self._proxy = proxy
        self._client = client
        self._server = server
        self._tasks: list[Task[None]] = []
        self._late_copy = b""
        """Copy of a reply that is sent after the next request."""
        self.silent = False
        """Whether all further data is dropped in both directions."""

    async def run(self, client_reader: StreamReader, server_reader: StreamReader) -> None:
        """Forwards data until both directions have ended, then closes both connections."""
        self._tasks = [
            create_task(self._forward(client_reader, self._server, replies=False)),
            create_task(self._forward(server_reader, self._client, replies=True)),
        ]
        try:
            await gather(*self._tasks, return_exceptions=True)
        except CancelledError:
            # The soak run ends while the connection is open.
            self.reset()
        self._client.close()
        self._server.close()

    def reset(self) -> None:
        """Resets both connections."""
        for task in self._tasks:
            task.cancel()
        _reset(self._client)
        _reset(self._server)

    async def _forward(self, reader: StreamReader, writer: StreamWriter, replies: bool) -> None:
        """Forwards data and the close in one direction until the sender closes its connection."""
        try:
            while data := await reader.read(READ_BYTES):
                if self._proxy.fault is ProxyFault.DELAY:
                    await sleep(self._proxy.delay)
                if self._drops(replies):
                    continue
                writer.write(data)
                await writer.drain()
                self._copy(data, replies)
        except (OSError, CancelledError):
            # The connection failed. Aborting the receiving one also ends the other direction.
            writer.transport.abort()
            return
        # While data is dropped, the close is not passed on either.
        if not self._drops(replies):
            writer.close()

    def _copy(self, data: bytes, replies: bool) -> None:
        """Sends the copy of a reply now, or keeps it until the next request was sent."""
        if not replies:
            self._client.write(self._late_copy)
            self._late_copy = b""
            return
        if self._proxy.fault is ProxyFault.COPY:
            copy, late = self._proxy.copy_reply(data)
            if late:
                self._late_copy = copy
            else:
                self._client.write(copy)

    def _drops(self, replies: bool) -> bool:
        """Returns whether data in this direction is dropped."""
        fault = self._proxy.fault
        if self.silent or fault is ProxyFault.CUT:
            return True
        return replies and fault is ProxyFault.CUT_REPLIES


def _reset(writer: StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    writer.transport.abort()
