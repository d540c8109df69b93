"""The UDP port for heartbeats between nodes."""

from __future__ import annotations

from collections.abc import Callable
from socket import AF_INET, SOCK_DGRAM, socket
from typing import Final

from msgspec.msgpack import Decoder, encode

from sequoiapulley.decoding import CheckedDecoder
from sequoiapulley.forward.addresses import check_addresses
from sequoiapulley.forward.log_events import HEARTBEAT_UNREADABLE
from sequoiapulley.forward.peer_table import Heartbeat
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.wire.reactor import READABLE, Reactor

MAX_DATAGRAM_BYTES: Final = 2_048
MAX_DATAGRAMS_PER_EVENT: Final = 128


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
        data = encode(heartbeat)
        for peer in peers:
            try:
                self._sock.sendto(data, (peer.host, peer.heartbeat_port))
            except OSError:
                # The next heartbeat replaces it; a peer that receives none marks this node as lost.
                continue

    def on_failure(self) -> None:
        """Does nothing: the next datagram is read."""

    def on_ready(self, events: int) -> None:
        """Reads the datagrams that have arrived, up to a limit for each event."""
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data = self._sock.recv(MAX_DATAGRAM_BYTES)
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
