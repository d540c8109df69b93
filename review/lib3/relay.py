"""A TCP relay: an address of a server that can be taken away."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader, StreamWriter

READ_BYTES = 65_536


class Relay:
    """Passes connections on to a server on this machine."""

    def __init__(self, port: int) -> None:
        """Creates a relay that does not listen.

        Args:
            port: Port of the server.
        """
        self._target = port
        self._server: asyncio.Server | None = None
        self._writers: set[StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and resets every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Passes on one connection."""
        self._writers.add(writer)
        other: StreamWriter | None = None
        try:
            other_reader, other = await asyncio.open_connection("127.0.0.1", self._target)
            self._writers.add(other)
            await asyncio.gather(_pass_on(reader, other), _pass_on(other_reader, writer))
        except OSError:
            return
        finally:
            for end in (writer, other):
                if end is not None:
                    self._writers.discard(end)
                    end.close()


async def _pass_on(reader: StreamReader, writer: StreamWriter) -> None:
    """Passes on one direction until it ends."""
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    writer.close()
