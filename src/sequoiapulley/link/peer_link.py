"""Messages between nodes, over bidirectional gRPC streams.

A pair of nodes shares one stream, or two if both nodes opened one at the same time.
"""

from __future__ import annotations

from asyncio import AbstractEventLoop, Task, get_running_loop, new_event_loop, set_event_loop
from collections import deque
from collections.abc import Callable
from threading import Event as ThreadEvent
from threading import Thread
from typing import Final

from msgspec import Struct

from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import Incarnation, NodeId, WorkspaceName
from sequoiapulley.link._peer import Peer
from sequoiapulley.link._transport import Transport
from sequoiapulley.link.log_events import LINK_PLAINTEXT
from sequoiapulley.link.messages import LinkHello, LinkMessage
from sequoiapulley.link.tls_files import TlsFiles, TlsSource
from sequoiapulley.observe.log_event import LogSink

MAX_QUEUED_MESSAGES: Final = 8192
START_TIMEOUT_S: Final = 10.0
STOP_MARGIN_S: Final = 5.0


class LinkIdentity(Struct, frozen=True):
    """Identity of the local node towards its peers, fixed while the process runs."""

    workspace: WorkspaceName
    node: NodeId
    incarnation: Incarnation


class LinkHandlers(Struct, frozen=True):
    """Callbacks of the link; they run on the node's event loop."""

    on_message: Callable[[NodeId, Incarnation, LinkMessage], None]
    on_unsent: Callable[[NodeId, LinkMessage], None]
    """Called with a message that `send` accepted but that was not sent."""
    on_peer_lost: Callable[[NodeId], None]
    """Called when a stream to the node closed or could not be opened; requests that the node has
    not answered may or may not have run."""


class LinkCounters(Struct):
    """Totals since the start."""

    messages_sent: int = 0
    messages_received: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    unknown_messages: int = 0
    refused_frames: int = 0
    refused_peers: int = 0


class PeerLinkStartError(OSError):
    """The port of the link could not be bound."""


class PeerLink:
    """Sends and receives messages.

    `send` and the handlers run on the node's event loop; gRPC runs on a thread of its own, the gRPC
    thread, which has an asyncio loop. Messages to send pass to the gRPC thread through the queue of
    their peer, received ones come back through one queue for all peers. In each direction, one
    wake-up of the other thread covers all messages that are queued.
    """

    def __init__(
        self,
        identity: LinkIdentity,
        address: tuple[str, int],
        call_soon: Callable[[Callable[[], None]], None],
        handlers: LinkHandlers,
        log: LogSink,
        tls: TlsFiles | None = None,
        max_connections: int | None = None,
    ) -> None:
        """Initialise a link that is not started.

        Args:
            identity: Identity of the local node.
            address: IP address and port to listen on; port 0 selects a free one.
            call_soon: Schedules a function on the node's event loop; thread-safe.
            handlers: Callbacks, which run on the node's event loop.
            log: Receives the log events.
            tls: Files for mutual TLS, or None for plaintext.
            max_connections: Maximum number of connections that are accepted; None for no limit.

        Raises:
            OSError: If a TLS file cannot be read.
        """
        self.counters = LinkCounters()
        self._address = address
        self._call_soon = call_soon
        self._handlers = handlers
        self._log = log
        self._peers: dict[NodeId, Peer] = {}
        self._peers_to_wake: deque[Peer] = deque()
        self._wake_pending = False
        self._inbound: deque[Callable[[], None]] = deque()
        self._inbound_scheduled = False
        source = TlsSource(tls, log) if tls is not None else None
        hello = LinkHello(identity.workspace, identity.node, identity.incarnation)
        self._transport = Transport(hello, self, log, source, max_connections)
        self._grpc_loop: AbstractEventLoop | None = None
        self._thread: Thread | None = None
        self._ready = ThreadEvent()
        self._port: int | None = None
        self._stop_task: Task[None] | None = None

    def start(self) -> int:
        """Binds the port and starts to serve.

        Returns:
            The port.

        Raises:
            PeerLinkStartError: If the port could not be bound.
        """
        if not self._transport.has_tls:
            self._log.log(LINK_PLAINTEXT, address=self._address[0])
        self._thread = Thread(target=self._run, name="peer-link", daemon=True)
        self._thread.start()
        self._ready.wait(START_TIMEOUT_S)
        if self._port is None:
            host, port = self._address
            raise PeerLinkStartError(f"cannot bind the link to {host}:{port}")
        return self._port

    def stop(self, grace: float) -> None:
        """Writes the queued messages, closes every stream and ends the thread.

        Args:
            grace: Seconds until streams that are still open are closed.
        """
        if self._thread is None or self._grpc_loop is None:
            return
        self._grpc_loop.call_soon_threadsafe(self._begin_stop, grace)
        self._thread.join(grace + STOP_MARGIN_S)
        self._thread = None

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Updates the addresses of the nodes and removes idle peers that are not listed."""
        known = {member.node for member in members}
        for node, peer in list(self._peers.items()):
            if node not in known and peer.idle:
                del self._peers[node]
        for member in members:
            self._peer(member.node).address = (member.host, member.link_port)

    def send(self, node: NodeId, message: LinkMessage) -> bool:
        """Queues a message for a node; opens a stream if there is none.

        Args:
            node: A node listed in `update_members`, or one with an open stream.
            message: The message.

        Returns:
            False if the message was refused: the link is not started, the node is unknown, its
            queue is full, or the delay after a failed connection attempt has not passed.
        """
        peer = self._peers.get(node)
        if peer is None or not peer.accepts(MAX_QUEUED_MESSAGES):
            return False
        loop = self._grpc_loop
        if loop is None:
            return False
        peer.queue.append(message)
        self._peers_to_wake.append(peer)
        if not self._wake_pending:
            self._wake_pending = True
            loop.call_soon_threadsafe(self._wake_peers)
        return True

    def has_stream(self, node: NodeId) -> bool:
        """Returns whether a stream to the node is open."""
        peer = self._peers.get(node)
        return peer is not None and bool(peer.streams)

    def _peer(self, node: NodeId) -> Peer:
        return self._peers.setdefault(node, Peer(node))

    def _run(self) -> None:
        loop = new_event_loop()
        set_event_loop(loop)
        self._grpc_loop = loop
        try:
            self._port = loop.run_until_complete(self._transport.start(self._address))
        except (OSError, RuntimeError):
            self._ready.set()
            loop.close()
            return
        self._ready.set()
        # The loop stays open after it stops: gRPC's completion queue may still call it.
        loop.run_forever()

    def _begin_stop(self, grace: float) -> None:
        loop = get_running_loop()
        self._stop_task = loop.create_task(self._transport.stop(grace, list(self._peers.values())))
        self._stop_task.add_done_callback(lambda _task: loop.stop())

    def _wake_peers(self) -> None:
        self._wake_pending = False
        while self._peers_to_wake:
            self._transport.wake(self._peers_to_wake.popleft())

    # The transport calls the following methods on the gRPC thread.

    def get_or_create_peer(self, node: NodeId) -> Peer:
        """Returns the peer of a node, created if it does not exist yet."""
        return self._peer(node)

    def pending_calls(self) -> int:
        """Returns the number of calls that wait for the node's event loop."""
        return len(self._inbound)

    def on_messages_received(
        self, node: NodeId, incarnation: Incarnation, messages: list[LinkMessage]
    ) -> None:
        """Passes received messages to the handler, on the node's event loop."""
        self.counters.messages_received += len(messages)
        on_message = self._handlers.on_message

        def deliver() -> None:
            for message in messages:
                on_message(node, incarnation, message)

        self._schedule(deliver)

    def on_messages_unsent(self, node: NodeId, messages: list[LinkMessage]) -> None:
        """Passes messages that were not sent to the handler, on the node's event loop."""
        if not messages:
            return

        def deliver() -> None:
            for message in messages:
                self._handlers.on_unsent(node, message)

        self._schedule(deliver)

    def on_stream_lost(self, node: NodeId) -> None:
        """Reports a lost stream to the handler, on the node's event loop."""
        self._schedule(lambda: self._handlers.on_peer_lost(node))

    def _schedule(self, deliver: Callable[[], None]) -> None:
        self._inbound.append(deliver)
        if not self._inbound_scheduled:
            self._inbound_scheduled = True
            self._call_soon(self._run_inbound)

    def _run_inbound(self) -> None:
        self._inbound_scheduled = False
        while self._inbound:
            self._inbound.popleft()()
