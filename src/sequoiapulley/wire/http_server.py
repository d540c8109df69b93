"""An HTTP/1.1 server that runs on the reactor."""

from __future__ import annotations

from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM
from socket import AF_INET, SO_RCVBUF, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from typing import Final

from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.connection_budget import ConnectionBudget, ResourceLimits
from sequoiapulley.wire.reactor import READABLE, Reactor
from sequoiapulley.wire.server_connection import (
    RequestHandler,
    ServerConnection,
    ServerLimits,
)

BACKLOG: Final = 512
"""Maximum number of new connections that the kernel queues until they are accepted."""
MAX_ACCEPTS_PER_POLL: Final = 64
"""Maximum number of connections accepted per readiness event."""
ACCEPT_PAUSE_S: Final = 0.1
"""Time without accepting after a failure; the socket stays readable meanwhile."""
NO_RESOURCES: Final = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})


class HttpServer:
    """Listens on one address and owns the connections accepted there."""

    def __init__(
        self,
        reactor: Reactor,
        timers: TimerQueue,
        host: str,
        port: int,
        handler: RequestHandler,
        limits: ServerLimits,
        budget: ConnectionBudget | None = None,
    ) -> None:
        """Binds the address and starts to listen.

        Args:
            reactor: Reports readiness of the sockets.
            timers: Timers of the same event loop.
            host: IPv4 address.
            port: TCP port; 0 for any free port.
            handler: Serves complete requests.
            limits: Limits on callers' requests and connections.
            budget: Limits on all connections of the process; None for a budget of the server's own.

        Raises:
            OSError: If the address cannot be used.
        """
        self.reactor = reactor
        self.timers = timers
        self.handler = handler
        self.limits = limits
        self.budget = budget or ConnectionBudget(ResourceLimits(), lambda: reactor.sockets)
        self.shutting_down = False
        """Whether the server is shutting down: each answer then closes its connection."""
        self.connections: set[ServerConnection] = set()
        self._sock: socket | None = socket(AF_INET, SOCK_STREAM)
        try:
            self._sock.setblocking(False)
            self._sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            # Connections that were not accepted yet receive, too. They inherit the size.
            self._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, self.budget.small_buffer)
            self._sock.bind((host, port))
            self._sock.listen(BACKLOG)
        except OSError:
            self._sock.close()
            raise
        self.port: int = self._sock.getsockname()[1]
        reactor.register(self._sock.fileno(), READABLE, self)

    @property
    def busy(self) -> int:
        """Number of busy connections, see `ServerConnection.busy`."""
        return sum(conn.busy for conn in self.connections)

    @property
    def undelivered(self) -> int:
        """Number of connections with undelivered bytes, see `ServerConnection.undelivered`."""
        return sum(conn.undelivered for conn in self.connections)

    def on_ready(self, events: int) -> None:
        """Accepts new connections."""
        for _ in range(MAX_ACCEPTS_PER_POLL):
            if self._sock is None:
                return
            try:
                sock, _address = self._sock.accept()
            except OSError as exc:
                if exc.errno in NO_RESOURCES:
                    self._pause_accepting(exc)
                # Otherwise no connection is queued, or its caller has reset it.
                return
            self._add_connection(sock)

    def on_failure(self) -> None:
        """Keeps listening: only the connection that was being accepted is lost."""

    def stop_listening(self) -> bool:
        """Stops accepting connections; those that the kernel has queued are accepted first.

        Returns whether the server was listening.

        The kernel would reset the queued ones, although their callers may have sent a request.
        """
        if self._sock is None:
            return False
        for _ in range(BACKLOG):
            try:
                sock, _address = self._sock.accept()
            except OSError:
                # No connection is queued.
                break
            self._add_connection(sock)
        self.reactor.unregister(self._sock.fileno())
        self._sock.close()
        self._sock = None
        return True

    def close_idle(self) -> None:
        """Serves the requests that have arrived, then closes connections that are not busy.

        Those that are closing are left to their callers: a close with unread data would reset the
        connection, and the caller might not receive its answer.
        """
        for conn in tuple(self.connections):
            conn.read_pending()
            if not conn.busy and not conn.closing:
                conn.close()

    def _pause_accepting(self, exc: OSError) -> None:
        """Leaves new connections to the kernel's queue for a while."""
        if self._sock is None:
            return
        self.reactor.modify(self._sock.fileno(), 0)
        self.timers.call_later(ACCEPT_PAUSE_S, self._resume_accepting)
        self.budget.accept_failed(self.port, exc)

    def _resume_accepting(self) -> None:
        """Accepts connections again, unless the server has stopped listening."""
        if self._sock is not None:
            self.reactor.modify(self._sock.fileno(), READABLE)

    def _add_connection(self, sock: socket) -> None:
        """Serves an accepted connection, unless no descriptor can be freed for it."""
        admitted = self.budget.admit()
        receive_buffer = self.budget.receive_buffer
        try:
            if receive_buffer != self.budget.small_buffer:
                sock.setsockopt(SOL_SOCKET, SO_RCVBUF, receive_buffer)
            conn = ServerConnection(self, sock)
        except OSError:
            # The caller has already reset the connection.
            sock.close()
            return
        self.connections.add(conn)
        self.budget.add(conn)
        if not admitted:
            self.budget.refuse(conn)

    def close(self) -> None:
        """Stops listening and closes every connection; requests in flight are abandoned."""
        self.stop_listening()
        for conn in tuple(self.connections):
            conn.close()
