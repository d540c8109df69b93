"""An HTTP server of circuits.web behind the connection guard."""

from __future__ import annotations

from collections import deque
from socket import IPPROTO_TCP, SO_RCVBUF, SO_REUSEADDR, SOL_SOCKET, TCP_NODELAY, socket
from typing import Any, Final

from circuits import BaseComponent, Event, handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer
from circuits.web.events import response
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response
from msgspec import json

from sequoiapulley.entry.connection_guard import ConnectionGuard
from sequoiapulley.entry.error_messages import ErrorBody, ErrorDetail
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.connection_budget import ConnectionBudget, ResourceLimits

LISTEN_BACKLOG: Final = 1_024
CLOSED_FD: Final = -1
"""Descriptor of a closed socket."""


class GuardedServer(BaseComponent):
    """Accepts connections, fires a `request` event for each request and sends the answers.

    A subclass or another component on the same channel handles the `request` events: it returns
    True and calls `answer` at once or later.
    """

    secure = False
    """Read by circuits.web."""
    display_banner = False
    """Read by circuits.web."""

    def __init__(
        self,
        host: str,
        port: int,
        name: str,
        timers: TimerQueue,
        budget: ConnectionBudget | None = None,
    ) -> None:
        """Binds the listening socket.

        Args:
            host: IP address to listen on.
            port: TCP port; 0 lets the operating system choose.
            name: Channel of the HTTP events.
            timers: Timers of the process.
            budget: Limits on all connections of the process; None for a budget of the server's own.

        Raises:
            OSError: If the address cannot be bound.
        """
        super().__init__(channel=name)
        self._tcp_channel = f"{name}-tcp"
        budget = budget or _own_budget()
        options = [
            (SOL_SOCKET, SO_REUSEADDR, 1),
            (IPPROTO_TCP, TCP_NODELAY, 1),
            # Connections that were not accepted yet receive, too. They inherit the size.
            (SOL_SOCKET, SO_RCVBUF, budget.small_buffer),
        ]
        self._tcp = TCPServer(
            (host, port),
            channel=self._tcp_channel,
            backlog=LISTEN_BACKLOG,
            socket_options=options,
        ).register(self)
        self._listener: socket = self._tcp._sock
        self.host: str = self._tcp.host
        self.port: int = self._tcp.port
        self._guard = ConnectionGuard(
            self._tcp_channel, name, timers, self, self.port, budget
        ).register(self)
        self.http = HTTP(self, channel=name).register(self)
        self._shutting_down = False

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return int(self._guard.open_connections)

    def abort(self, sock: socket) -> None:
        """Closes a connection at once, with the answers that were not sent."""
        self._tcp._close(sock)

    def unsent_bytes(self, sock: socket) -> int:
        """Returns the size of the answers that were not sent on a connection."""
        buffers = self._tcp._buffers
        return sum(len(data) for data in buffers[sock]) if sock in buffers else 0

    def stop_accepting(self) -> None:
        """Closes the listening socket and idle connections; requests in progress are answered.

        Connections that the kernel has queued are accepted first, as closing the socket would reset
        them although their callers may have sent a request.
        """
        self._shutting_down = True
        for _ in range(LISTEN_BACKLOG):
            before = len(self._tcp._clients)
            # The TCP server accepts one connection for each event of its listening socket.
            deque(self._tcp._accept(), maxlen=0)
            if len(self._tcp._clients) == before:
                break
        self.fire(close(self._listener), self._tcp_channel)
        self._guard.stop_accepting()

    def answer(self, res: Response, status: int, body: object, retry_after: int = 0) -> None:
        """Sends a JSON answer.

        Args:
            res: The response object of the request.
            status: HTTP status code.
            body: Value that msgspec can encode.
            retry_after: Seconds for the Retry-After header; 0 omits it.
        """
        if retry_after:
            res.headers["Retry-After"] = str(retry_after)
        self.answer_bytes(res, status, "application/json", json.encode(body))

    def answer_error(self, res: Response, status: int, code: str, message: str) -> None:
        """Sends an error answer.

        Args:
            res: The response object of the request.
            status: HTTP status code.
            code: Stable snake_case code.
            message: Text for people, with the cause and the remedy.
        """
        self.answer(res, status, ErrorBody(ErrorDetail(code, message)))

    def answer_bytes(self, res: Response, status: int, content_type: str, body: bytes) -> None:
        """Sends an answer of any content type."""
        res.status = status
        res.headers["Content-Type"] = content_type
        res.body = body
        self._remove_version_headers(res)
        if self._shutting_down:
            res.close = True
        if res.close:
            res.headers["Connection"] = "close"
        if self._guard.is_open(res.request.sock):
            self.fire(response(res))

    def _remove_version_headers(self, res: Response) -> None:
        """Removes the headers that name the server's version."""
        for name in ("Server", "X-Powered-By"):
            if name in res.headers:
                del res.headers[name]

    @handler("read", priority=1)
    def _on_read(self, event: Event, sock: socket, _data: bytes) -> None:
        """Drops a request whose connection was closed after the guard had forwarded it.

        circuits.web would fail on the closed socket and keep the request for good.
        """
        if sock.fileno() == CLOSED_FD:
            event.stop()

    @handler("write")
    def _on_write(self, sock: socket, data: bytes) -> None:
        """Forwards the bytes of a response to the TCP server."""
        self.fire(write(sock, data), self._tcp_channel)

    @handler("close")
    def _on_close(self, sock: socket | None = None) -> None:
        """Forwards the closing of a connection to the TCP server."""
        if sock is not None:
            self.fire(close(sock), self._tcp_channel)

    @handler("response_success")
    def _on_response_success(self, event: Event, *_: Any) -> None:
        """Lets the guard forward the next request of the connection."""
        # The argument is the `response` event, whose argument is the response object.
        res: Response = event.args[0].args[0]
        self._guard.on_response_written(res.request.sock)

    @handler("httperror", priority=10)
    def _on_httperror(
        self, event: Event, req: Request, res: Response, code: int = 500, **_: Any
    ) -> None:
        """Replaces the HTML error page of circuits.web with a JSON body."""
        event.stop()
        res.close = True
        if code >= 500:
            self.answer_error(res, code, "internal", "the server failed to handle the request")
            return
        self.answer_error(res, code, f"http_{code}", "the request has no route here")


def _own_budget() -> ConnectionBudget:
    """Returns a budget with the limits of the machine, for a process with one server."""
    budget = ConnectionBudget(ResourceLimits(), lambda: len(budget.connections))
    return budget
