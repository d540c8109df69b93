"""Reads and sends HTTP/1.1 messages with a length, for clients and backends."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from dataclasses import dataclass


@dataclass(frozen=True)
class HttpMessage:
    """A request or an answer."""

    start: str
    headers: dict[str, str]
    """Values by lower-case name."""
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])


async def read_message(reader: StreamReader) -> HttpMessage | None:
    """Reads one message; returns None at the end of the stream."""
    message = await read_head(reader)
    if message is None:
        return None
    body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return HttpMessage(message.start, message.headers, body)


async def read_head(reader: StreamReader) -> HttpMessage | None:
    """Reads a message that has no body; returns None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    return HttpMessage(*_parse_head(head), b"")


def parse_message(data: bytes) -> tuple[HttpMessage | None, bytes]:
    """Returns the first message if it is whole, and the bytes that follow it."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None, data
    start, headers = _parse_head(head)
    length = int(headers.get("content-length", "0"))
    if len(rest) < length:
        return None, data
    return HttpMessage(start, headers, rest[:length]), rest[length:]


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers."""
    start, *lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def call(
    host: str, port: int, method: str, path: str, headers: dict[str, str], body: bytes, wait: float
) -> HttpMessage | None:
    """Sends one request on a new connection; returns None if it ends without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
