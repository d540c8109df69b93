"""The UDP port for heartbeats between nodes."""

from __future__ import annotations

from collections.abc import Callable
from socket import AF_INET, SOCK_DGRAM, socket
from typing import Final, TypeVar

from msgspec.msgpack import Decoder, encode
from msgspec.structs import replace

from sequoiapulley.decoding import CheckedDecoder
from sequoiapulley.forward.addresses import check_addresses
from sequoiapulley.forward.log_events import HEARTBEAT_UNREADABLE
from sequoiapulley.forward.peer_table import Heartbeat
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.wire.reactor import READABLE, Reactor

MAX_DATAGRAM_BYTES: Final = 2_048
"""Maximum size of a heartbeat that is sent, as nodes of earlier builds read no more of it."""
RECEIVE_BYTES: Final = 8_192
"""Nodes of earlier builds send more than they read."""
MAX_DATAGRAMS_PER_EVENT: Final = 128

Item = TypeVar("Item")


class HeartbeatPort:
    """Sends heartbeats to peers, and receives and decodes theirs."""

    def __init__(
        self,
        reactor: Reactor,
        host: str,
        port: int,
        log: LogSink,
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        """Bind the port.

        Args:
            reactor: Watches the socket.
            host: IP address of the VM.
            port: UDP port.
            log: Receives an event for each datagram that does not decode.
            on_heartbeat: Receives each heartbeat.

        Raises:
            OSError: If the port cannot be bound.
        """
        self._reactor = reactor
        self._log = log
        self._on_heartbeat = on_heartbeat
        self._decoder = CheckedDecoder(Decoder(Heartbeat))
        self._turn = 0
        """Number of heartbeats so far that had more news than fits."""
        self._sock = socket(AF_INET, SOCK_DGRAM)
        self._sock.setblocking(False)
        try:
            self._sock.bind((host, port))
        except OSError:
            self._sock.close()
            raise
        reactor.register(self._sock.fileno(), READABLE, self)

    def send(self, heartbeat: Heartbeat, peers: list[NodeRecord]) -> None:
        """Sends a heartbeat to peers; a datagram that the socket refuses is dropped."""
        data = self._encode(heartbeat)
        for peer in peers:
            try:
                self._sock.sendto(data, (peer.host, peer.heartbeat_port))
            except OSError:
                # The next heartbeat replaces it; a peer that receives none marks this node as lost.
                continue

    def _encode(self, heartbeat: Heartbeat) -> bytes:
        """Encodes a heartbeat, without the news that does not fit; the news takes turns."""
        data = encode(heartbeat)
        if len(data) <= MAX_DATAGRAM_BYTES:
            return data
        self._turn += 1
        strikes = _rotated(heartbeat.strikes, self._turn)
        leaving = _rotated(heartbeat.leaving, self._turn)
        while len(data) > MAX_DATAGRAM_BYTES and (strikes or leaving):
            strikes, leaving = strikes[:-1], leaving[:-1]
            data = encode(replace(heartbeat, strikes=strikes, leaving=leaving))
        return data

    def on_failure(self) -> None:
        """Does nothing: the next datagram is read."""

    def on_ready(self, events: int) -> None:
        """Reads the datagrams that have arrived, up to a limit for each event."""
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data = self._sock.recv(RECEIVE_BYTES)
            except OSError:
                return
            try:
                heartbeat = self._decoder.decode(data)
                check_addresses(heartbeat.record)
            except ValueError as exc:
                self._log.log(HEARTBEAT_UNREADABLE, error=str(exc))
                continue
            self._on_heartbeat(heartbeat)

    def close(self) -> None:
        """Closes the socket."""
        self._reactor.unregister(self._sock.fileno())
        self._sock.close()


def _rotated(items: tuple[Item, ...], turn: int) -> tuple[Item, ...]:
    """Returns the items in an order that begins with another one at each turn."""
    first = turn % max(1, len(items))
    return (*items[first:], *items[:first])
