"""A server that sends fixed replies from a minimal epoll loop, for the wire benchmarks."""

from __future__ import annotations

import sys
from contextlib import suppress
from select import EPOLLIN, epoll
from socket import IPPROTO_TCP, SOMAXCONN, TCP_NODELAY, create_server, socket
from subprocess import PIPE, Popen
from typing import Final

from msgspec import json

from standins.index import make_hits

RECEIVE_BYTES: Final = 65_536
HITS: Final = 10
REQUEST_ID_KEY: Final = b'"request_id":'


def reply_tail(hits: int = HITS) -> bytes:
    """Returns the part of a reply body that follows the request id."""
    fields = {
        "snapshot": "1.1",
        "available": ["1.1"],
        "shard": "i",
        "hits": make_hits("i", "query", "1.1", hits),
    }
    return b"," + json.encode(fields)[1:]


class EpollServer:
    """Answers every request with the same body, apart from the request id."""

    def __init__(self, listeners: int) -> None:
        """Opens the listening sockets.

        Args:
            listeners: Number of ports.
        """
        self._tail = reply_tail()
        self._poller = epoll()
        self._conns: dict[int, socket] = {}
        self._listeners: dict[int, socket] = {}
        for _ in range(listeners):
            listener = create_server(("127.0.0.1", 0), backlog=SOMAXCONN)
            listener.setblocking(False)
            self._listeners[listener.fileno()] = listener
            self._poller.register(listener.fileno(), EPOLLIN)

    def ports(self) -> list[int]:
        """Returns the ports that the server listens on."""
        return [listener.getsockname()[1] for listener in self._listeners.values()]

    def run(self) -> None:
        """Serves until standard input is closed."""
        self._poller.register(sys.stdin.fileno(), EPOLLIN)
        while True:
            for fd, _ in self._poller.poll():
                if fd == sys.stdin.fileno():
                    return
                listener = self._listeners.get(fd)
                if listener is not None:
                    self._accept(listener)
                    continue
                self._answer(fd)

    def _accept(self, listener: socket) -> None:
        """Accepts one connection."""
        conn, _ = listener.accept()
        conn.setblocking(False)
        conn.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._conns[conn.fileno()] = conn
        self._poller.register(conn.fileno(), EPOLLIN)

    def _answer(self, fd: int) -> None:
        """Answers one request, or closes a connection that the client has closed."""
        conn = self._conns[fd]
        try:
            data = conn.recv(RECEIVE_BYTES)
        except ConnectionResetError:
            data = b""
        if not data:
            self._poller.unregister(fd)
            self._conns.pop(fd).close()
            return
        start = data.index(REQUEST_ID_KEY) + len(REQUEST_ID_KEY)
        request_id = data[start : data.index(b",", start)]
        body = b'{"request_id":' + request_id + self._tail
        head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-load: 0.50\r\n"
        with suppress(ConnectionError):
            conn.send(head + b"content-length: %d\r\n\r\n" % len(body) + body)


class ServerProcess:
    """Runs the server in a separate process."""

    def __init__(self, listeners: int) -> None:
        """Starts the process and waits for its ports.

        Args:
            listeners: Number of ports.
        """
        command = [sys.executable, "-m", "bench.epoll_server", str(listeners)]
        self._process = Popen(command, stdin=PIPE, stdout=PIPE)
        assert self._process.stdout is not None
        self.ports: list[int] = json.decode(self._process.stdout.readline())

    def stop(self) -> None:
        """Closes the server's standard input and waits for the process to exit."""
        self._process.communicate()


def main() -> None:
    """Runs the server and prints its ports as one JSON line."""
    server = EpollServer(int(sys.argv[1]))
    sys.stdout.write(json.encode(server.ports()).decode() + "\n")
    sys.stdout.flush()
    server.run()


if __name__ == "__main__":
    main()
