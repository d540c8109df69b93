"""A non-blocking HTTP/1.1 client connection with one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from fcntl import ioctl
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_ERROR,
    SO_KEEPALIVE,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)
from termios import TIOCOUTQ
from typing import Final, Protocol

from msgspec import Struct

from sequoiapulley.wire.reactor import BROKEN, READABLE, WRITABLE, Reactor
from sequoiapulley.wire.reply_parser import ParsedReply, ReplyError, ReplyParser

RECEIVE_BYTES: Final = 65_536
READABLE_OR_BROKEN: Final = READABLE | BROKEN
KEEPALIVE_IDLE_S: Final = 5
KEEPALIVE_INTERVAL_S: Final = 2
KEEPALIVE_PROBES: Final = 3
NO_COUNT: Final = bytes(4)
"""Zero as the kernel writes it: a whole number of four bytes."""
USER_TIMEOUT_MS: Final = 10_000


class ConnectionState(Enum):
    """Life of a connection."""

    CONNECTING = "connecting"
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


# Looking a member up on its class costs more than the comparison on this path.
_CONNECTING: Final = ConnectionState.CONNECTING
_IDLE: Final = ConnectionState.IDLE
_BUSY: Final = ConnectionState.BUSY
_CLOSED: Final = ConnectionState.CLOSED


class CloseReason(Enum):
    """Why a connection closed."""

    CONNECT_FAILED = "connect_failed"
    PEER_CLOSED = "peer_closed"
    """End of stream, or reset."""
    PATH_LOST = "path_lost"
    """The network gave the connection up, as when the peer no longer acknowledges."""
    TRUNCATED = "truncated"
    """The stream ended inside a reply."""
    MALFORMED = "malformed"
    """The peer broke HTTP, or sent what nobody asked for."""
    TOO_LARGE = "too_large"
    """A reply exceeded the bounds."""
    LOCAL = "local"
    """This process closed it."""


class ReplyBounds(Struct, frozen=True):
    """Largest reply that is read."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    unframed: bool = False
    """Whether a reply may end with its connection, without a length or chunks."""


class ConnectionOwner(Protocol):
    """Receives what happens on a connection, never from inside a call it made."""

    def on_open(self, conn: HttpConnection) -> None:
        """Handles a finished connect; the connection is idle."""

    def on_reply(self, conn: HttpConnection, reply: ParsedReply) -> None:
        """Handles a whole reply; the connection is idle or about to close."""

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Handles a close that the owner did not ask for."""


class HttpConnection:
    """One TCP connection to one server."""

    __slots__ = (
        "_fd",
        "_out",
        "_owner",
        "_parser",
        "_reactor",
        "_sock",
        "_unframed",
        "bytes_left",
        "last_used",
        "opened_at",
        "replies",
        "sent_at",
        "state",
        "tag",
    )

    def __init__(
        self,
        reactor: Reactor,
        host: str,
        port: int,
        owner: ConnectionOwner,
        bounds: ReplyBounds,
    ) -> None:
        """Start to connect.

        Args:
            reactor: Watches the socket.
            host: IP address.
            port: TCP port.
            owner: Receiver of what happens.
            bounds: Largest reply that is read.

        Raises:
            OSError: If the connect fails at once; nothing is left open.
        """
        self._reactor = reactor
        self._owner = owner
        self._parser = ReplyParser(bounds.header_bytes, bounds.body_bytes)
        self._unframed = bounds.unframed
        self._out = b""
        self.state = _CONNECTING
        self.bytes_left = False
        """Whether any byte of the present exchange left this process."""
        self.replies = 0
        """Whole replies received."""
        self.opened_at = reactor.clock.now()
        """Clock reading at which the connect began."""
        self.sent_at = self.opened_at
        """Clock reading at which the present or last exchange began."""
        self.last_used = self.opened_at
        """Clock reading of the last reply, or of the connect."""
        self.tag: object = None
        """Free for the owner's use."""
        self._sock = _open_socket(host, port)
        self._fd = self._sock.fileno()
        reactor.register(self._fd, WRITABLE, self)

    @property
    def reply_begun(self) -> bool:
        """Whether a part of the awaited reply has arrived."""
        return self._parser.in_message

    def send(self, data: bytes, accepts: Callable[[ParsedReply], bool] | None = None) -> None:
        """Sends a whole request on an idle connection.

        A failure is reported by `on_closed`, after the return.

        Args:
            data: The request's bytes.
            accepts: Tells whether a reply belongs to the request; None accepts every reply.

        Raises:
            RuntimeError: If the connection is not idle.
        """
        if self.state is not _IDLE:
            raise RuntimeError(f"cannot send on a connection that is {self.state.value}")
        self.state = _BUSY
        self.bytes_left = False
        self.sent_at = self._reactor.clock.now()
        self._parser.expect(accepts)
        self._write(data)

    def close(self) -> None:
        """Closes the connection; the owner hears nothing more of it."""
        if self.state is _CLOSED:
            return
        self.state = _CLOSED
        self._reactor.unregister(self._fd)
        self._sock.close()

    def on_ready(self, events: int) -> None:
        """Handles readiness of the socket."""
        if self.state is _CONNECTING:
            self._finish_connect(events)
            return
        if events & READABLE_OR_BROKEN:
            self._read()
        if events & WRITABLE and self._out and self.state is _BUSY:
            self._write(self._out)

    def _finish_connect(self, events: int) -> None:
        """Turns a connecting socket idle, or reports the failure."""
        failed = self._sock.getsockopt(SOL_SOCKET, SO_ERROR)
        if failed or events & BROKEN:
            self._fail(CloseReason.CONNECT_FAILED)
            return
        self.state = _IDLE
        self.last_used = self._reactor.clock.now()
        self._reactor.modify(self._fd, READABLE)
        self._owner.on_open(self)

    def _write(self, data: bytes) -> None:
        """Writes what the socket takes and keeps the rest."""
        try:
            sent = self._sock.send(data)
        except OSError:
            # Either the socket is full, or it is broken and the reactor reports it next.
            sent = 0
        if sent:
            self.bytes_left = True
        if sent == len(data) and not self._out:
            return
        waited = bool(self._out)
        self._out = data[sent:]
        if waited is not bool(self._out):
            self._reactor.modify(self._fd, READABLE | WRITABLE if self._out else READABLE)

    @property
    def unacknowledged(self) -> bool:
        """Whether the other end's kernel has not confirmed all bytes that were sent.

        False where the system does not tell.
        """
        try:
            count = ioctl(self._fd, TIOCOUTQ, NO_COUNT)
        except OSError:
            # A closed socket, or a system without the call; the reply's own timeout remains.
            return False
        return bool(self._out) or count != NO_COUNT

    def _read(self) -> None:
        """Reads what has arrived and reports whole replies."""
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except ConnectionError:
            self._end_of_stream(None)
            return
        except OSError:
            self._fail(CloseReason.PATH_LOST)
            return
        if not data:
            self._end_of_stream(self._parser.end_of_stream() if self._unframed else None)
            return
        if self.state is _IDLE:
            self._fail(CloseReason.MALFORMED)
            return
        try:
            reply = self._parser.feed(data)
        except ReplyError as exc:
            self._fail(CloseReason.TOO_LARGE if exc.too_large else CloseReason.MALFORMED)
            return
        if reply is None:
            return
        self.replies += 1
        self.last_used = self._reactor.clock.now()
        if self._out or not reply.keep_alive:
            self.close()
        else:
            self.state = _IDLE
        self._owner.on_reply(self, reply)

    def _end_of_stream(self, reply: ParsedReply | None) -> None:
        """Reports a reply that lasted until the close, or the loss of the connection."""
        if reply is None or self.state is not _BUSY:
            truncated = self._parser.in_message
            self._fail(CloseReason.TRUNCATED if truncated else CloseReason.PEER_CLOSED)
            return
        self.replies += 1
        self.close()
        self._owner.on_reply(self, reply)

    def _fail(self, reason: CloseReason) -> None:
        """Closes the connection and tells the owner."""
        self.close()
        self._owner.on_closed(self, reason)


def host_header(host: str, port: int) -> str:
    """Returns the value of the Host header for an IP address, IPv6 in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _open_socket(host: str, port: int) -> socket:
    """Opens a non-blocking socket and starts its connect."""
    sock = socket(AF_INET6 if ":" in host else AF_INET, SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.connect((host, port))
    except BlockingIOError:
        return sock
    except OSError:
        sock.close()
        raise
    return sock
