"""A small HTTP/1.1 server on asyncio for the stand-ins."""

from __future__ import annotations

from asyncio import (
    AbstractEventLoop,
    BaseTransport,
    CancelledError,
    Protocol,
    Task,
    Transport,
    get_running_loop,
)
from collections import deque
from collections.abc import Awaitable, Callable
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Final
from urllib.parse import parse_qsl, urlsplit

from httptools import HttpParserError, HttpRequestParser
from msgspec import Struct, json

REASON: Final = b"-"


class Request(Struct):
    """One request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    """Names in lower case."""
    body: bytes


class Response(Struct):
    """One reply."""

    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()
    drop: bool = False
    """Close the connection in place of a reply."""
    cut_to: int | None = None
    """Send only this many bytes, then close the connection."""


Handler = Callable[[Request], Awaitable[Response]]


def reply_json(status: int, value: object, headers: tuple[tuple[str, str], ...] = ()) -> Response:
    """Returns a reply with a JSON body."""
    return Response(status, json.encode(value), headers)


def encode_response(response: Response) -> bytes:
    """Encodes a whole reply."""
    head = f"HTTP/1.1 {response.status} ".encode() + REASON + b"\r\n"
    for name, value in response.headers:
        head += f"{name}: {value}\r\n".encode("latin-1")
    head += f"content-type: application/json\r\ncontent-length: {len(response.body)}".encode()
    return head + b"\r\n\r\n" + response.body


class HttpServerConnection(Protocol):
    """One client's connection; requests are answered in order, one at a time."""

    def __init__(self, handler: Handler) -> None:
        """Initialise the connection.

        Args:
            handler: Answers a request; cancelled when the client closes the connection.
        """
        self._handler = handler
        self._loop: AbstractEventLoop = get_running_loop()
        self._parser = HttpRequestParser(self)
        self._requests: deque[Request] = deque()
        self._task: Task[None] | None = None
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self.transport: Transport | None = None
        self.silent = False
        """Whether the connection takes bytes and answers nothing any more."""

    def connection_made(self, transport: BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self.silent:
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.send(Response(400, b'{"error":"malformed request"}'))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request that runs."""
        self.transport = None
        self._requests.clear()
        if self._task is not None:
            self._task.cancel()

    def on_url(self, url: bytes) -> None:
        """Keeps the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues a whole request."""
        parts = urlsplit(self._url.decode("latin-1"))
        request = Request(
            self._parser.get_method().decode(),
            parts.path,
            dict(parse_qsl(parts.query)),
            self._headers,
            b"".join(self._body),
        )
        self._url, self._headers, self._body = b"", {}, []
        self._requests.append(request)
        if self._task is None:
            self._task = self._loop.create_task(self._answer())

    async def _answer(self) -> None:
        """Answers queued requests in order."""
        try:
            while self._requests and not self.silent:
                self.send(await self._handler(self._requests.popleft()))
        except CancelledError:
            pass
        finally:
            self._task = None

    def send(self, response: Response) -> None:
        """Sends a reply, or what its faults leave of it."""
        if self.transport is None or self.silent:
            return
        if response.drop:
            self.reset()
            return
        data = encode_response(response)
        if response.cut_to is None:
            self.transport.write(data)
            return
        self.transport.write(data[: response.cut_to])
        self.close()

    def close(self) -> None:
        """Closes the connection after what was written."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Resets the connection."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        self.transport.abort()
