"""A non-blocking HTTP/1.1 client connection that carries one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from fcntl import ioctl
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    MSG_PEEK,
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
from sequoiapulley.wire.receive_budget import ReceiveBudget
from sequoiapulley.wire.reply_parser import ParsedReply, ReplyError, ReplyParser

RECEIVE_BYTES: Final = 65_536
READABLE_OR_BROKEN: Final = READABLE | BROKEN
KEEPALIVE_IDLE_S: Final = 5
KEEPALIVE_INTERVAL_S: Final = 2
KEEPALIVE_PROBES: Final = 3
ZERO_COUNT: Final = bytes(4)
"""A zero C `int`, as the kernel returns the number of unacknowledged bytes."""
USER_TIMEOUT_MS: Final = 10_000
"""Time after which the kernel closes a connection whose data is not acknowledged."""


class ConnectionState(Enum):
    """State of a connection."""

    CONNECTING = "connecting"
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


# Looking up a member on its class costs more than the comparison, on a path that runs often.
_CONNECTING: Final = ConnectionState.CONNECTING
_IDLE: Final = ConnectionState.IDLE
_BUSY: Final = ConnectionState.BUSY
_CLOSED: Final = ConnectionState.CLOSED


class CloseReason(Enum):
    """Reason for which a connection closed."""

    CONNECT_FAILED = "connect_failed"
    PEER_CLOSED = "peer_closed"
    """The peer ended the stream or reset the connection."""
    PATH_LOST = "path_lost"
    """The kernel closed the connection, for example because the peer no longer acknowledges."""
    TRUNCATED = "truncated"
    """The stream ended within a reply."""
    MALFORMED = "malformed"
    """The peer sent invalid HTTP, or data without a request."""
    TOO_LARGE = "too_large"
    """A reply exceeded the size limits."""
    LOCAL = "local"
    """This process closed the connection."""


class ReplyBounds(Struct, frozen=True, kw_only=True):
    """Size limits of a reply, and its permitted framing."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    unframed: bool = False
    """Whether a reply without a length or chunks may end with its connection."""
    budget: ReceiveBudget | None = None
    """Limit on the memory of large bodies that several connections share; None for no limit."""


class ConnectionOwner(Protocol):
    """Receives the events of a connection, never from within a call to the connection."""

    def on_open(self, conn: HttpConnection) -> None:
        """Handles a completed connect; the connection is idle."""

    def on_reply(self, conn: HttpConnection, reply: ParsedReply) -> None:
        """Handles a complete reply; the connection is idle or closed."""

    def on_closed(self, conn: HttpConnection, reason: CloseReason) -> None:
        """Handles a close that the owner did not request."""


class HttpConnection:
    """One TCP connection to one server, for one exchange at a time."""

    __slots__ = (
        "_fd",
        "_owner",
        "_parser",
        "_reactor",
        "_send_failed",
        "_sock",
        "_unframed",
        "_unsent",
        "any_bytes_sent",
        "failure",
        "last_used",
        "opened_at",
        "received_at",
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
        """Opens a socket and starts to connect.

        Args:
            reactor: Reports readiness of the socket.
            host: IP address of the server.
            port: TCP port of the server.
            owner: Receives the events of the connection.
            bounds: Size limits of a reply.

        Raises:
            OSError: If the connect fails at once; the socket is then closed.
        """
        self._reactor = reactor
        self._owner = owner
        self._parser = ReplyParser(bounds.header_bytes, bounds.body_bytes, bounds.budget)
        self._unframed = bounds.unframed
        self._unsent = b""
        self._send_failed = False
        """Whether a write has met an error; the kernel reports it once, and reads then return the
        end of the stream as if the peer had closed the connection."""
        self.state = _CONNECTING
        self.any_bytes_sent = False
        """Whether any byte of the current exchange was written to the socket."""
        self.replies = 0
        """Number of complete replies received."""
        self.opened_at = reactor.clock.now()
        """Clock reading when the connect began, in seconds."""
        self.sent_at = self.opened_at
        """Clock reading when the current or last exchange began, in seconds."""
        self.last_used = self.opened_at
        """Clock reading of the last reply or, before the first one, of the connect, in seconds."""
        self.received_at = self.opened_at
        """Clock reading when bytes were last received, in seconds."""
        self.failure = ""
        """Why the last reply was refused; empty if none was."""
        self.tag: object = None
        """Reference that belongs to the owner; the connection does not use it."""
        self._sock = _open_socket(host, port)
        self._fd = self._sock.fileno()
        reactor.register(self._fd, WRITABLE, self)

    @property
    def reply_begun(self) -> bool:
        """Whether a part of the expected reply has been received."""
        return self._parser.in_message

    @property
    def progress(self) -> str:
        """Which part of the expected reply has been received, for error messages."""
        return self._parser.progress if self._parser.in_message else "no reply"

    @property
    def has_input(self) -> bool:
        """Whether bytes, or a close, have arrived after a reply and were not read yet.

        They belong to no request. False before the first reply: a connection that is closed at
        once must be reported as failed, and not be opened again and again.
        """
        if not self.replies or self.state is _CLOSED:
            return False
        try:
            self._sock.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(self, data: bytes, accepts: Callable[[ParsedReply], bool] | None = None) -> None:
        """Sends a complete request on an idle connection.

        A failure is reported later, by `on_closed` of the owner.

        Args:
            data: The encoded request.
            accepts: Returns whether a reply answers the request; None accepts every reply.

        Raises:
            RuntimeError: If the connection is not idle.
        """
        if self.state is not _IDLE:
            raise RuntimeError(f"cannot send on a connection that is {self.state.value}")
        self.state = _BUSY
        self.any_bytes_sent = False
        self.sent_at = self._reactor.clock.now()
        self._parser.expect(accepts)
        self._write(data)

    def close(self) -> None:
        """Closes the connection without a call to its owner."""
        if self.state is _CLOSED:
            return
        self.state = _CLOSED
        self._parser.close()
        self._reactor.unregister(self._fd)
        self._sock.close()

    def on_ready(self, events: int) -> None:
        """Handles readiness of the socket."""
        if self.state is _CONNECTING:
            self._finish_connect(events)
            return
        if events & READABLE_OR_BROKEN:
            self._read()
        if events & WRITABLE and self._unsent and self.state is _BUSY:
            self._write(self._unsent)

    def on_failure(self) -> None:
        """Closes the connection and reports that to the owner, after an unexpected error."""
        if self.state is not _CLOSED:
            self._fail(CloseReason.LOCAL)

    def _finish_connect(self, events: int) -> None:
        """Marks the connection as idle, or reports a failed connect."""
        failed = self._sock.getsockopt(SOL_SOCKET, SO_ERROR)
        if failed or events & BROKEN:
            self._fail(CloseReason.CONNECT_FAILED)
            return
        self.state = _IDLE
        self.last_used = self._reactor.clock.now()
        self._reactor.modify(self._fd, READABLE)
        self._owner.on_open(self)

    def _write(self, data: bytes) -> None:
        """Writes as much as the socket accepts and buffers the rest."""
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The reactor reports the broken connection, so that what was received is read first.
            self._send_failed = True
            sent = 0
        if sent:
            self.any_bytes_sent = True
        if sent == len(data) and not self._unsent:
            return
        waited = bool(self._unsent)
        self._unsent = data[sent:]
        if waited is not bool(self._unsent):
            self._reactor.modify(self._fd, READABLE | WRITABLE if self._unsent else READABLE)

    @property
    def unacknowledged(self) -> bool:
        """Whether the peer's kernel has not acknowledged all bytes that were sent.

        False if the operating system does not provide the information.
        """
        try:
            count = ioctl(self._fd, TIOCOUTQ, ZERO_COUNT)
        except OSError:
            # The socket is closed or the system lacks the call: only the reply's timeout applies.
            return False
        return bool(self._unsent) or count != ZERO_COUNT

    def _read(self) -> None:
        """Reads received data and reports a complete reply."""
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
            may_complete = self._unframed and not self._send_failed
            self._end_of_stream(self._parser.end_of_stream() if may_complete else None)
            return
        if self.state is _IDLE:
            self._fail(CloseReason.MALFORMED)
            return
        self.received_at = self._reactor.clock.now()
        try:
            reply = self._parser.feed(data)
        except ReplyError as exc:
            self.failure = str(exc)
            self._fail(CloseReason.TOO_LARGE if exc.too_large else CloseReason.MALFORMED)
            return
        if reply is None:
            return
        self.replies += 1
        self.last_used = self.received_at
        if self._unsent or not reply.keep_alive:
            self.close()
        else:
            self.state = _IDLE
        self._owner.on_reply(self, reply)

    def _end_of_stream(self, reply: ParsedReply | None) -> None:
        """Reports a reply that the end of the stream completed, or else the close."""
        if reply is None or self.state is not _BUSY:
            truncated = self._parser.in_message
            self._fail(CloseReason.TRUNCATED if truncated else CloseReason.PEER_CLOSED)
            return
        self.replies += 1
        self.close()
        self._owner.on_reply(self, reply)

    def _fail(self, reason: CloseReason) -> None:
        """Closes the connection and reports the reason to the owner."""
        self.close()
        self._owner.on_closed(self, reason)


def host_header(host: str, port: int) -> str:
    """Returns the Host header for an IP address and port; an IPv6 address is in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _open_socket(host: str, port: int) -> socket:
    """Opens a non-blocking socket and starts to connect it."""
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
    except OverflowError as exc:
        sock.close()
        raise OSError(f"port {port} is out of range") from exc
    return sock
