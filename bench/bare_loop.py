"""A minimal HTTP client on an epoll loop: the baseline of the wire benchmark."""

from __future__ import annotations

from collections.abc import Callable
from select import EPOLLIN, epoll
from socket import IPPROTO_TCP, TCP_NODELAY, create_connection, socket
from typing import Final

from httptools import HttpResponseParser

RECEIVE_BYTES: Final = 65_536


class BareConnection:
    """One client connection of the bare loop."""

    def __init__(self, port: int) -> None:
        """Connects to a port on loopback."""
        self.sock: socket = create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.parser = HttpResponseParser(self)
        self.body = b""
        self.done = False

    def on_body(self, body: bytes) -> None:
        """Stores the body of the reply."""
        self.body = body

    def on_message_complete(self) -> None:
        """Records that the reply is complete."""
        self.done = True


class BareLoop:
    """A minimal client that only sends, polls, receives and parses."""

    def __init__(self, ports: list[int], request: Callable[[int], bytes]) -> None:
        """Opens one connection to every port.

        Args:
            ports: Ports of the servers.
            request: Returns the encoded request for a request number.
        """
        self._request = request
        self._poller = epoll()
        self._conns: dict[int, BareConnection] = {}
        for port in ports:
            conn = BareConnection(port)
            self._conns[conn.sock.fileno()] = conn
            self._poller.register(conn.sock.fileno(), EPOLLIN)

    def batch(self, first: int) -> None:
        """Sends one request on every connection and reads every reply."""
        for number, conn in enumerate(self._conns.values(), first):
            conn.sock.send(self._request(number))
        left = len(self._conns)
        while left:
            for fd, _ in self._poller.poll():
                conn = self._conns[fd]
                conn.parser.feed_data(conn.sock.recv(RECEIVE_BYTES))
                if conn.done:
                    conn.done = False
                    left -= 1

    def close(self) -> None:
        """Closes every connection."""
        for conn in self._conns.values():
            conn.sock.close()
        self._poller.close()
