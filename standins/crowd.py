"""Clients outside the limits: many connections at once that hold what a server must not keep."""

from __future__ import annotations

from enum import Enum
from select import EPOLLIN, EPOLLOUT, epoll
from socket import SO_SNDBUF, SOL_SOCKET, socket
from threading import Event, Thread
from time import monotonic
from typing import Final

from msgspec import Struct

HEADER_LIMIT_BYTES: Final = 16_384
BODY_LIMIT_BYTES: Final = 262_144
HEAD_MARGIN_BYTES: Final = 300
"""Bytes by which a head stays below the limit."""
SHORT_HEADER_LINE: Final = b"a:b\r\n"
LARGE_CHUNK_BYTES: Final = 65_000
SMALL_CHUNK_BYTES: Final = 2
OVERSIZED_BODY_BYTES: Final = 4_000_000
ANNOUNCED_BYTES: Final = 99_999_999_999
PIPELINED_REQUESTS: Final = 12
UNREAD_REQUESTS: Final = 60
DISTINCT_IDS: Final = 128
"""Number of ids of requests that are served; a stand-in keeps the last request of each."""
LONG_ID_BYTES: Final = 6_000
"""Size of an id that is returned twice in the head of an upstream's reply."""
DRIP_INTERVAL_S: Final = 0.01
REOPEN_DELAY_S: Final = 0.2
"""Time after which a refused client connects again."""
POLL_S: Final = 0.01
OPENED_PER_POLL: Final = 50
MAX_EVENTS: Final = 256
SEND_BUFFER_BYTES: Final = 65_536
RECEIVE_BYTES: Final = 65_536


class CrowdKind(Enum):
    """What each client of a crowd sends on its connection, before it waits without closing it."""

    SILENT = "silent"
    """Nothing."""
    DRIP = "drip"
    """A head, one byte at a time."""
    SHORT_HEADERS = "short headers"
    """Very many short header lines, not ended."""
    SHORT_HEADERS_ENDED = "short headers, ended"
    """One request of that kind."""
    SHORT_HEADERS_PIPELINED = "short headers, pipelined"
    """Several requests of that kind, one behind the other."""
    LARGE_CHUNKS = "large chunks"
    """A chunked body that stops just short of its end."""
    SMALL_CHUNKS = "small chunks"
    """The same in chunks of a few bytes."""
    BYTE_CHUNKS = "chunks of one byte"
    """The same in chunks of one byte."""
    WHOLE_BODY = "whole body"
    """One request with a body of full size."""
    BODIES_PIPELINED = "bodies, pipelined"
    """Several requests with bodies of full size, one behind the other."""
    OVERSIZED_CHUNKS = "oversized, in chunks"
    """A body far over the limit, in chunks."""
    OVERSIZED_LENGTH = "oversized, announced"
    """A body far over the limit, announced by its length, of which only a part is sent."""
    TRAILERS = "trailers"
    """A chunked body with trailers that do not end."""
    UNREAD_ANSWERS = "unread answers"
    """Many requests one behind the other, whose answers are not read."""
    BODIES_LEFT = "bodies, left"
    """One request with a body of full size; the connection is closed once it is sent."""
    SHORT_HEADERS_SERVED = "short headers, served"
    """Requests of very many short header lines, each sent after the answer to the last one."""
    SHORT_HEADERS_REPEATED = "short headers, repeated"
    """The same with one id, so that no connection to an upstream carries two of them."""
    BODIES_SERVED = "bodies, served"
    """Requests with bodies of full size, each sent after the answer to the last one."""
    LONG_IDS_SERVED = "long ids, served"
    """Requests with a long id, each sent after the answer to the last one."""


SERVED_KINDS: Final = frozenset(
    {
        CrowdKind.SHORT_HEADERS_SERVED,
        CrowdKind.SHORT_HEADERS_REPEATED,
        CrowdKind.BODIES_SERVED,
        CrowdKind.LONG_IDS_SERVED,
    }
)
"""Kinds whose clients stay inside the limits: they wait for each answer and go on."""


class Target(Struct, frozen=True):
    """Address of a port, and a request that it serves."""

    host: str
    port: int
    path: str
    method: str = "POST"
    headers: tuple[tuple[str, str], ...] = ()
    name: str = "x.example"
    """Value of the Host header."""
    id_header: str = "X-Attempt-Id"
    """Header whose value is another one in each request of the kinds that are served."""


def payload(kind: CrowdKind, target: Target) -> bytes:
    """Returns what one client sends."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in target.headers)
    line = f"{target.method} {target.path} HTTP/1.1\r\nHost: {target.name}\r\n{fields}".encode()
    get = f"GET {target.path} HTTP/1.1\r\nHost: {target.name}\r\n{fields}".encode()
    count = (HEADER_LIMIT_BYTES - HEAD_MARGIN_BYTES - len(get)) // len(SHORT_HEADER_LINE)
    short_head = get + SHORT_HEADER_LINE * count
    chunked = line + b"Transfer-Encoding: chunked\r\n\r\n"
    whole = line + b"Content-Length: %d\r\n\r\n" % BODY_LIMIT_BYTES + b"b" * BODY_LIMIT_BYTES
    almost = BODY_LIMIT_BYTES - 1
    payloads = {
        CrowdKind.SILENT: b"",
        CrowdKind.DRIP: short_head,
        CrowdKind.SHORT_HEADERS: short_head,
        CrowdKind.SHORT_HEADERS_ENDED: short_head + b"\r\n",
        CrowdKind.SHORT_HEADERS_PIPELINED: (short_head + b"\r\n") * PIPELINED_REQUESTS,
        CrowdKind.LARGE_CHUNKS: chunked + chunks(almost, LARGE_CHUNK_BYTES),
        CrowdKind.SMALL_CHUNKS: chunked + chunks(almost, SMALL_CHUNK_BYTES),
        CrowdKind.BYTE_CHUNKS: chunked + chunks(almost, 1),
        CrowdKind.WHOLE_BODY: whole,
        CrowdKind.BODIES_LEFT: whole,
        CrowdKind.BODIES_PIPELINED: whole * PIPELINED_REQUESTS,
        CrowdKind.OVERSIZED_CHUNKS: chunked + chunks(OVERSIZED_BODY_BYTES, LARGE_CHUNK_BYTES),
        CrowdKind.OVERSIZED_LENGTH: line
        + b"Content-Length: %d\r\n\r\n" % ANNOUNCED_BYTES
        + b"b" * almost,
        CrowdKind.TRAILERS: chunked + b"1\r\nb\r\n0\r\n" + SHORT_HEADER_LINE * count * 8,
        CrowdKind.UNREAD_ANSWERS: (get + b"\r\n") * UNREAD_REQUESTS,
    }
    return payloads[kind]


def served_request(kind: CrowdKind, target: Target, number: int) -> bytes:
    """Returns one request of a kind that is served."""
    fields = "".join(
        f"{name}: {value}\r\n" for name, value in target.headers if name != target.id_header
    )
    repeated = kind is CrowdKind.SHORT_HEADERS_REPEATED
    request_id = "crowd" if repeated else f"crowd-{number % DISTINCT_IDS}"
    line = f"{target.path} HTTP/1.1\r\nHost: {target.name}\r\n{fields}"
    room = HEADER_LIMIT_BYTES - HEAD_MARGIN_BYTES - len(line)
    if kind is CrowdKind.LONG_IDS_SERVED:
        request_id = request_id.ljust(LONG_ID_BYTES, "i")
    head = f"{target.method} {line}{target.id_header}: {request_id}\r\n".encode()
    if kind in (CrowdKind.SHORT_HEADERS_SERVED, CrowdKind.SHORT_HEADERS_REPEATED):
        head += SHORT_HEADER_LINE * (room // len(SHORT_HEADER_LINE))
    body = b"b" * BODY_LIMIT_BYTES if kind is CrowdKind.BODIES_SERVED else b""
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def request_at_the_limits(target: Target) -> bytes:
    """Returns a request of very many short header lines with a whole body in chunks of one byte."""
    head = served_request(CrowdKind.SHORT_HEADERS_SERVED, target, 0)
    head = head.replace(b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n")
    return head + chunks(BODY_LIMIT_BYTES, 1) + b"0\r\n\r\n"


def chunks(size: int, chunk: int) -> bytes:
    """Returns `size` bytes of a body in chunks of `chunk` bytes, without the last chunk."""
    whole, rest = divmod(size, chunk)
    encoded = (b"%x\r\n" % chunk + b"b" * chunk + b"\r\n") * whole
    return encoded + (b"%x\r\n" % rest + b"b" * rest + b"\r\n" if rest else b"")


class _Client:
    """One client and its connection."""

    __slots__ = ("due", "payload", "sent", "sock")

    def __init__(self) -> None:
        self.sock: socket | None = None
        self.payload = b""
        """What it sends on the connection; one request of a kind that is served."""
        self.sent = 0
        """Number of bytes sent on the connection."""
        self.due = 0.0
        """Time from which the client connects again or sends the next byte."""


class Crowd:
    """Runs clients of one kind in a thread; a client whose connection ends connects again."""

    def __init__(self, kind: CrowdKind, target: Target, count: int) -> None:
        """Creates a crowd that is not started.

        Args:
            kind: What each client does.
            target: Where the clients connect, and the request that they send.
            count: Number of clients.
        """
        self.opened = 0
        """Number of connections opened so far."""
        self.requests = 0
        """Number of requests begun so far by clients that wait for each answer."""
        self._kind = kind
        self._target = target
        self._payload = b"" if kind in SERVED_KINDS else payload(kind, target)
        self._clients = [_Client() for _ in range(count)]
        self._open: dict[int, _Client] = {}
        self._epoll = epoll()
        self._stopped = Event()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the clients."""
        self._thread.start()

    def stop(self) -> None:
        """Closes every connection and ends the thread; may be called again."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        """Serves the connections until the crowd is stopped."""
        try:
            while not self._stopped.is_set():
                self._open_connections()
                for fd, events in self._epoll.poll(POLL_S, MAX_EVENTS):
                    self._serve(self._open[fd], events)
                if self._kind is CrowdKind.DRIP:
                    self._drip()
        finally:
            for client in tuple(self._open.values()):
                self._close(client)
            self._epoll.close()

    def _open_connections(self) -> None:
        """Connects clients without a connection, a limited number at a time."""
        now = monotonic()
        closed = [client for client in self._clients if client.sock is None and client.due <= now]
        for client in closed[:OPENED_PER_POLL]:
            sock = socket()
            sock.setblocking(False)
            sock.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)
            try:
                sock.connect((self._target.host, self._target.port))
            except BlockingIOError:
                pass
            except OSError:
                # The port does not exist at the moment.
                sock.close()
                client.due = now + REOPEN_DELAY_S
                continue
            client.sock = sock
            self._begin(client)
            self.opened += 1
            self._open[sock.fileno()] = client
            self._epoll.register(sock.fileno(), EPOLLIN | EPOLLOUT)

    def _begin(self, client: _Client) -> None:
        """Starts to send: all that the client sends, or its next request."""
        client.sent = 0
        client.payload = self._payload
        if self._kind in SERVED_KINDS:
            client.payload = served_request(self._kind, self._target, self.requests)
            self.requests += 1

    def _serve(self, client: _Client, events: int) -> None:
        """Sends what the connection takes, and discards what has arrived."""
        assert client.sock is not None
        try:
            if events & ~EPOLLOUT and self._reads(events):
                if not client.sock.recv(RECEIVE_BYTES):
                    self._close(client)
                    return
                if self._kind in SERVED_KINDS and client.sent == len(client.payload):
                    self._begin(client)
                    self._epoll.modify(client.sock.fileno(), EPOLLIN | EPOLLOUT)
            if events & EPOLLOUT:
                self._send(client, len(client.payload) if self._kind is not CrowdKind.DRIP else 0)
        except BlockingIOError:
            return
        except OSError:
            self._close(client)

    def _reads(self, events: int) -> bool:
        """Returns whether the client reads; one that does not only notices the connection's end."""
        return self._kind is not CrowdKind.UNREAD_ANSWERS or bool(events & ~(EPOLLIN | EPOLLOUT))

    def _send(self, client: _Client, limit: int) -> None:
        """Sends the payload up to a position; writability is no longer reported at that point."""
        assert client.sock is not None
        if client.sent < limit:
            client.sent += client.sock.send(client.payload[client.sent : limit])
        if client.sent >= limit and self._kind is CrowdKind.BODIES_LEFT:
            self._close(client)
        elif client.sent >= limit:
            events = 0 if self._kind is CrowdKind.UNREAD_ANSWERS else EPOLLIN
            self._epoll.modify(client.sock.fileno(), events)

    def _drip(self) -> None:
        """Sends one byte on each connection whose pause has ended."""
        now = monotonic()
        for client in tuple(self._open.values()):
            if client.due > now or client.sent == len(client.payload):
                continue
            client.due = now + DRIP_INTERVAL_S
            assert client.sock is not None
            try:
                client.sock.send(client.payload[client.sent : client.sent + 1])
                client.sent += 1
            except BlockingIOError:
                continue
            except OSError:
                self._close(client)

    def _close(self, client: _Client) -> None:
        """Closes a connection; the client connects again later."""
        sock, client.sock = client.sock, None
        assert sock is not None
        self._epoll.unregister(sock.fileno())
        del self._open[sock.fileno()]
        sock.close()
        client.due = monotonic() + REOPEN_DELAY_S
