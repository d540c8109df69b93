"""Small HTTP/1.1 server on asyncio: one request at a time on each connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass
class Request:
    """A request that was received completely."""

    method: str
    target: str
    headers: dict[str, str]
    """Values by lower-case name; the last one wins."""
    body: bytes
    conn: Connection


@dataclass
class Reply:
    """A reply to send."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    raw_before: bytes = b""
    """Bytes that a faulty server sends before the reply."""
    raw_after: bytes = b""
    """Bytes that a faulty server sends after the reply."""


def encode_reply(reply: Reply) -> bytes:
    """Returns the bytes of a reply, without those of a fault."""
    lines = [f"HTTP/1.1 {reply.status} {REASONS[reply.status]}"]
    lines.extend(f"{name}: {value}" for name, value in reply.headers)
    lines.append(f"Content-Length: {len(reply.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + reply.body


class Connection(asyncio.Protocol):
    """One connection; a request is dropped when its connection closes."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._buffer = b""
        self._task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.state: dict[str, object] = {}
        """What the server's handler keeps with the connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress."""
        self.transport = None
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Serves the next complete request."""
        self._buffer += data
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def reset(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    async def _serve(self) -> None:
        """Serves complete requests until none is left in the buffer."""
        try:
            while (req := self._next_request()) is not None:
                reply = await self._server.handler(req)
                if self.transport is None or reply is None:
                    return
                self.transport.write(reply.raw_before + encode_reply(reply) + reply.raw_after)
        except asyncio.CancelledError:
            return
        finally:
            self._task = None

    def _next_request(self) -> Request | None:
        """Takes a complete request from the buffer, or returns None."""
        head, end, rest = self._buffer.partition(b"\r\n\r\n")
        if not end:
            return None
        lines = head.decode("latin-1").split("\r\n")
        method, target, _version = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return None
        self._buffer = rest[length:]
        return Request(method, target, headers, rest[:length], self)


Handler = Callable[[Request], Awaitable[Reply | None]]


class Server:
    """Listens on one address."""

    def __init__(self, handler: Handler, host: str, port: int = 0) -> None:
        self.handler = handler
        self.host = host
        self.port = port
        self.connections: set[Connection] = set()
        self._listener: asyncio.Server | None = None

    async def open(self) -> None:
        """Opens the port; port 0 selects a free one."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: Connection(self), self.host, self.port, backlog=512
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Closes the port and resets every connection, as at the end of the process."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for conn in list(self.connections):
            conn.reset()
