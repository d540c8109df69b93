"""The link between one machine and one backend: a proxy that can be cut."""

from __future__ import annotations

import asyncio
import socket


class Link:
    """Forwards connections; while it is cut, bytes wait and new connections hang."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._open = asyncio.Event()
        self._open.set()
        self._blocker: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Address that replaces the backend's."""
        return f"{self._target[0]}:{self.port}"

    async def open(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(
            self._accept, self._target[0], self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Cuts the link: a listener with a full queue drops the first packet of connections."""
        self._open.clear()
        if self._server is not None:
            self._server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._target[0], self.port))
        listener.listen(0)
        self._blocker = [listener]
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._target[0], self.port))
            self._blocker.append(filler)

    async def mend(self) -> None:
        """Ends the cut."""
        for sock in reversed(self._blocker):
            sock.close()
        self._blocker = []
        await self.open()
        self._open.set()

    def close(self) -> None:
        """Closes the port and every connection."""
        for sock in self._blocker:
            sock.close()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one connection in both directions."""
        await self._open.wait()
        try:
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        await asyncio.gather(self._forward(reader, back), self._forward(there, writer))
        self._writers -= {writer, back}

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one direction until it ends."""
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
        except OSError:
            writer.transport.abort()
            return
        await self._open.wait()
        writer.close()
