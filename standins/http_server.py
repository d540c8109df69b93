"""Minimal HTTP/1.1 server on asyncio for the stand-ins."""

from __future__ import annotations

from asyncio import (
    AbstractEventLoop,
    BaseTransport,
    CancelledError,
    Protocol,
    Task,
    Transport,
    get_running_loop,
    sleep,
)
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Final
from urllib.parse import parse_qsl, urlsplit

from httptools import HttpParserError, HttpRequestParser
from msgspec import Struct, json

REASON_PHRASE: Final = b"-"
ENDLESS_CHUNK_BYTES: Final = 16_384
MAX_UNSENT_BYTES: Final = 131_072
"""Number of unsent bytes above which an endless reply waits for the client to read."""
ENDLESS_POLL_S: Final = 0.002
SHORT_HEADER: Final = b"ab:cd\r\n"
INTERIM_REPLY: Final = b"HTTP/1.1 100 -\r\n\r\n"


class Request(Struct):
    """A received HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    """Header values by lower-case name."""
    body: bytes


class EndlessPart(Enum):
    """Part of a reply that never ends."""

    HEAD = "head"
    BODY = "body"
    """Body without a length."""
    LENGTH_BODY = "length_body"
    """Body with a length that it does not reach."""
    CHUNKED_BODY = "chunked_body"
    SHORT_HEADERS = "short_headers"
    """Head with very many headers of a few bytes."""
    INTERIM = "interim"
    """Interim replies, one after another."""


class Endless(Struct, frozen=True):
    """Bytes that are sent instead of a reply until the client closes the connection."""

    part: EndlessPart
    chunk_bytes: int = ENDLESS_CHUNK_BYTES
    """Number of bytes per write."""
    pause: float = 0.0
    """Pause between two writes, in seconds."""


class Response(Struct):
    """An HTTP reply, with faults to inject when it is sent."""

    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()
    drop: bool = False
    """Reset the connection instead of sending the reply."""
    cut_to: int | None = None
    """Send only this many bytes of the encoded reply, then close the connection."""
    endless: Endless | None = None
    """Send the head, and then these bytes without end."""


Handler = Callable[[Request], Awaitable[Response]]


def reply_json(status: int, value: object, headers: tuple[tuple[str, str], ...] = ()) -> Response:
    """Returns a reply with a JSON body."""
    return Response(status, json.encode(value), headers)


def encode_response(response: Response) -> bytes:
    """Encodes the head and body of a reply."""
    head = f"HTTP/1.1 {response.status:03} ".encode() + REASON_PHRASE + b"\r\n"
    for name, value in response.headers:
        head += f"{name}: {value}\r\n".encode("latin-1")
    head += f"content-type: application/json\r\ncontent-length: {len(response.body)}".encode()
    return head + b"\r\n\r\n" + response.body


def _endless_head(response: Response, part: EndlessPart) -> bytes:
    """Encodes the beginning of a reply whose head or body never ends."""
    if part is EndlessPart.INTERIM:
        return b""
    head = f"HTTP/1.1 {response.status:03} ".encode() + REASON_PHRASE + b"\r\n"
    for name, value in response.headers:
        head += f"{name}: {value}\r\n".encode("latin-1")
    if part in (EndlessPart.HEAD, EndlessPart.SHORT_HEADERS):
        return head
    if part is EndlessPart.LENGTH_BODY:
        head += b"content-length: 1000000000000\r\n"
    elif part is EndlessPart.CHUNKED_BODY:
        head += b"transfer-encoding: chunked\r\n"
    return head + b"\r\n"


def _endless_chunk(endless: Endless) -> bytes:
    """Returns the bytes of one write of an endless reply."""
    if endless.part is EndlessPart.SHORT_HEADERS:
        return SHORT_HEADER * -(-endless.chunk_bytes // len(SHORT_HEADER))
    if endless.part is EndlessPart.INTERIM:
        return INTERIM_REPLY * -(-endless.chunk_bytes // len(INTERIM_REPLY))
    data = b"a" * endless.chunk_bytes
    if endless.part is EndlessPart.HEAD:
        return b"x-filler: " + data + b"\r\n"
    if endless.part is EndlessPart.CHUNKED_BODY:
        return b"%x\r\n%b\r\n" % (len(data), data)
    return data


class HttpServerConnection(Protocol):
    """A client connection; pipelined requests are answered in order, one at a time."""

    def __init__(self, handler: Handler) -> None:
        """Creates a connection without a transport.

        Args:
            handler: Returns the reply to a request; cancelled when the connection closes.
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
        """Whether received data is discarded and no replies are sent any more."""

    def connection_made(self, transport: BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Passes received data to the parser."""
        if self.silent:
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.send(Response(400, b'{"error":"malformed request"}'))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress and discards the queued ones."""
        self.transport = None
        self._requests.clear()
        if self._task is not None:
            self._task.cancel()

    def on_url(self, url: bytes) -> None:
        """Appends a chunk of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Appends a chunk of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues a complete request."""
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
            self._task = self._loop.create_task(self._process_requests())

    async def _process_requests(self) -> None:
        """Answers the queued requests in order."""
        try:
            while self._requests and not self.silent:
                response = await self._handler(self._requests.popleft())
                if response.endless is not None:
                    await self._send_endless(response, response.endless)
                    return
                self.send(response)
        except CancelledError:
            pass
        finally:
            self._task = None

    def send(self, response: Response) -> None:
        """Sends a reply, applying its faults."""
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

    async def _send_endless(self, response: Response, endless: Endless) -> None:
        """Sends the beginning of a reply and further bytes until the client closes."""
        if self.transport is not None:
            self.transport.write(_endless_head(response, endless.part))
        data = _endless_chunk(endless)
        while self.transport is not None and not self.transport.is_closing():
            if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                await sleep(ENDLESS_POLL_S)
                continue
            self.transport.write(data)
            await sleep(endless.pause)

    def close(self) -> None:
        """Closes the connection after the buffered data has been sent."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        self.transport.abort()
