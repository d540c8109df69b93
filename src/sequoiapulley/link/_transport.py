"""The gRPC transport of the link, which runs on the asyncio loop of the gRPC thread."""

from __future__ import annotations

import asyncio
from asyncio import Task, create_task, gather, sleep, wait_for
from collections import deque
from collections.abc import Iterable
from time import monotonic
from typing import Any, Final

import grpc
from grpc import aio

from sequoiapulley.link._peer import Peer, TransportOwner
from sequoiapulley.link._stream import Stream
from sequoiapulley.link.frame_codec import (
    MAX_FRAME_BYTES,
    BadFrameError,
    decode_frame,
    decode_hello,
    encode_frames,
    encode_hello,
)
from sequoiapulley.link.log_events import (
    LINK_DOWN,
    LINK_FRAME_REFUSED,
    LINK_MESSAGE_TOO_LARGE,
    LINK_QUEUE_FULL,
    LINK_REFUSED,
    LINK_UNKNOWN_MESSAGE,
    LINK_UP,
)
from sequoiapulley.link.messages import (
    OLDEST_VERSION,
    PROTOCOL_VERSION,
    LinkHello,
    LinkMessage,
    LinkPing,
    LinkPong,
    StreamMessage,
)
from sequoiapulley.link.tls_files import TlsSource
from sequoiapulley.observe.log_event import LogSink

SERVICE: Final = "sequoiapulley.Link"
METHOD: Final = "Exchange"
CONNECT_TIMEOUT_S: Final = 1.0
RECONNECT_DELAY_S: Final = 0.25
LIVENESS_CHECK_INTERVAL_S: Final = 0.25
MAX_PENDING_CALLS: Final = 1024
"""Calls waiting for the node's event loop above which streams stop reading."""
BACKPRESSURE_PAUSE_S: Final = 0.002
CHANNEL_OPTIONS: Final = (
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
)
HANDSHAKE_TIMEOUT_MS: Final = 3_000
"""Time within which a new connection must have begun to speak HTTP/2."""
IDLE_TIMEOUT_MS: Final = 10_000
"""Time after which a connection without a stream is closed."""
MAX_METADATA_BYTES: Final = 8_192
MAX_STREAMS_PER_CONNECTION: Final = 8
SERVER_OPTIONS: Final = (
    *CHANNEL_OPTIONS,
    ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    ("grpc.max_connection_idle_ms", IDLE_TIMEOUT_MS),
    ("grpc.max_metadata_size", MAX_METADATA_BYTES),
    ("grpc.max_concurrent_streams", MAX_STREAMS_PER_CONNECTION),
)


class Transport:
    """Opens, accepts, reads, writes and closes streams."""

    def __init__(
        self,
        hello: LinkHello,
        owner: TransportOwner,
        log: LogSink,
        tls: TlsSource | None,
        max_connections: int | None,
    ) -> None:
        """Initialise a transport that is not started.

        Args:
            hello: Hello of the local node, sent first on each stream.
            owner: Receives messages and reports of lost streams.
            log: Receives the log events.
            tls: Provides the credentials, or None for plaintext.
            max_connections: Maximum number of connections that are accepted; None for no limit.
        """
        self._max_connections = max_connections
        self._hello = hello
        self._owner = owner
        self._log = log
        self._tls = tls
        self._server: Any = None
        self._liveness_task: Task[None] | None = None
        self._streams: set[Stream] = set()
        self._stopping = False

    @property
    def has_tls(self) -> bool:
        """Whether streams are encrypted and authenticated."""
        return self._tls is not None

    async def start(self, address: tuple[str, int]) -> int:
        """Binds the port and starts to serve; returns the port."""
        options: tuple[tuple[str, int], ...] = SERVER_OPTIONS
        if self._max_connections is not None:
            options = (*options, ("grpc.max_allowed_incoming_connections", self._max_connections))
        server = aio.server(options=options)
        handler = grpc.stream_stream_rpc_method_handler(self._serve)
        generic = grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler})
        server.add_generic_rpc_handlers((generic,))
        target = f"{address[0]}:{address[1]}"
        if self._tls is not None:
            port = server.add_secure_port(target, self._tls.server_credentials())
        else:
            port = server.add_insecure_port(target)
        await server.start()
        self._server = server
        self._liveness_task = create_task(self._monitor_liveness())
        return int(port)

    async def stop(self, grace: float, peers: list[Peer]) -> None:
        """Writes the queued messages, then closes all streams within `grace` seconds."""
        self._stopping = True
        deadline = monotonic() + grace
        while any(peer.queue for peer in peers) and monotonic() < deadline:
            await sleep(0.01)
        for stream in list(self._streams):
            stream.closing = True
            stream.wake.set()
        await self._server.stop(max(0.0, deadline - monotonic()))
        if self._liveness_task is not None:
            self._liveness_task.cancel()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await gather(*others, return_exceptions=True)

    def wake(self, peer: Peer) -> None:
        """Starts to write the queue of a peer; connects to the peer if it has no stream."""
        if peer.streams:
            peer.streams[0].wake.set()
            return
        if peer.connect_task is None and not self._stopping:
            peer.connect_task = create_task(self._connect(peer))

    async def _connect(self, peer: Peer) -> None:
        """Opens a stream to a peer and runs it until it closes."""
        channel = None
        try:
            if peer.address is not None:
                channel = self._open_channel(peer.address)
                call = channel.stream_stream(f"/{SERVICE}/{METHOD}")()
                hello = await wait_for(self._exchange_hellos(call), CONNECT_TIMEOUT_S)
                if self._accepts_hello(hello) and hello.node == peer.node:
                    stream = Stream(call, hello)
                    self._attach(peer, stream)
                    peer.connect_task = None
                    await self._run_stream(peer, stream)
                    call.cancel()
        except (aio.AioRpcError, BadFrameError, TimeoutError, asyncio.InvalidStateError):
            pass
        finally:
            if peer.connect_task is not None:
                # No stream was opened, as the task is still set.
                peer.connect_task = None
                peer.retry_at = monotonic() + RECONNECT_DELAY_S
                self._report_if_lost(peer)
            if channel is not None:
                await channel.close()

    def _open_channel(self, address: tuple[str, int]) -> Any:
        target = f"{address[0]}:{address[1]}"
        if self._tls is None:
            return aio.insecure_channel(target, options=CHANNEL_OPTIONS)
        name = self._tls.files.server_name
        options = (*CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", name))
        return aio.secure_channel(target, self._tls.channel_credentials(), options=options)

    async def _exchange_hellos(self, call: Any) -> LinkHello:
        """Sends the local hello and returns that of the peer."""
        await call.write(encode_hello(self._hello))
        return decode_hello(_frame_bytes(await call.read()))

    async def _serve(self, _requests: Any, context: Any) -> None:
        """Runs a stream that a peer opened."""
        try:
            frame = await wait_for(context.read(), CONNECT_TIMEOUT_S)
            hello = decode_hello(_frame_bytes(frame))
        except (BadFrameError, TimeoutError) as exc:
            self._refuse(context.peer(), str(exc))
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "no hello")
            return
        if not self._accepts_hello(hello):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "hello refused")
            return
        await context.write(encode_hello(self._hello))
        peer = self._owner.get_or_create_peer(hello.node)
        stream = Stream(context, hello)
        self._attach(peer, stream)
        await self._run_stream(peer, stream)

    def _accepts_hello(self, hello: LinkHello) -> bool:
        """Returns whether the peer is of this workspace and supports a common protocol version."""
        if hello.workspace != self._hello.workspace:
            self._refuse(hello.node, f"workspace {hello.workspace!r} does not match this node's")
            return False
        if hello.version < OLDEST_VERSION or hello.oldest > PROTOCOL_VERSION:
            self._refuse(hello.node, f"protocol version {hello.version} is not supported")
            return False
        return True

    def _refuse(self, peer: str, reason: str) -> None:
        self._owner.counters.refused_peers += 1
        self._log.log(LINK_REFUSED, peer=peer, reason=reason)

    def _attach(self, peer: Peer, stream: Stream) -> None:
        for other in peer.streams:
            if other.incarnation != stream.incarnation:
                # The peer has restarted, so no process serves its old streams any more.
                other.aborted.set()
        self._streams.add(stream)
        peer.streams.append(stream)
        stream.wake.set()
        self._log.log(LINK_UP, node=peer.node, incarnation=stream.incarnation)

    def _detach(self, peer: Peer, stream: Stream) -> None:
        was_active = peer.streams[0] is stream
        self._streams.discard(stream)
        peer.streams.remove(stream)
        if not peer.streams:
            self._report_if_lost(peer)
        elif was_active:
            peer.streams[0].wake.set()
            self._owner.on_stream_lost(peer.node)

    async def _run_stream(self, peer: Peer, stream: Stream) -> None:
        """Reads and writes until either direction ends or the stream is aborted."""
        tasks = {
            create_task(self._write(peer, stream)),
            create_task(self._read(stream)),
            create_task(stream.aborted.wait()),
        }
        for task in tasks:
            task.add_done_callback(_retrieve_exception)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._detach(peer, stream)

    def _report_if_lost(self, peer: Peer) -> None:
        if peer.streams or peer.connect_task is not None:
            return
        unsent = _without_pings(peer.queue)
        peer.queue.clear()
        self._log.log(LINK_DOWN, node=peer.node, unsent=len(unsent))
        if peer.refused_messages:
            self._log.log(LINK_QUEUE_FULL, node=peer.node, refused=peer.refused_messages)
            peer.refused_messages = 0
        self._owner.on_messages_unsent(peer.node, unsent)
        self._owner.on_stream_lost(peer.node)

    async def _write(self, peer: Peer, stream: Stream) -> None:
        """Writes pings, pongs and the queue of the peer whenever the stream is woken."""
        counters = self._owner.counters
        while True:
            await stream.wake.wait()
            stream.wake.clear()
            if stream.control:
                await self._write_queue(stream, stream.control)
            if peer.streams and peer.streams[0] is stream and peer.queue:
                counters.messages_sent += len(peer.queue)
                stream.record_write()
                await self._write_queue(stream, peer.queue)
            if stream.closing:
                return

    async def _write_queue(self, stream: Stream, queue: deque[StreamMessage]) -> None:
        counters = self._owner.counters
        encoded = encode_frames(queue)
        if encoded.oversized:
            self._log.log(LINK_MESSAGE_TOO_LARGE, node=stream.node, count=len(encoded.oversized))
            self._owner.on_messages_unsent(stream.node, _without_pings(encoded.oversized))
        for frame in encoded.frames:
            await stream.call.write(frame)
            counters.frames_sent += 1
            counters.bytes_sent += len(frame)

    async def _read(self, stream: Stream) -> None:
        """Handles received frames until the peer ends the stream."""
        while True:
            frame = await stream.call.read()
            if frame is aio.EOF:
                return
            stream.record_read()
            self._handle_frame(stream, frame)
            while self._owner.pending_calls() > MAX_PENDING_CALLS:
                await sleep(BACKPRESSURE_PAUSE_S)

    def _handle_frame(self, stream: Stream, frame: bytes) -> None:
        counters = self._owner.counters
        counters.frames_received += 1
        counters.bytes_received += len(frame)
        try:
            decoded = decode_frame(frame)
        except BadFrameError as exc:
            counters.refused_frames += 1
            self._log.log(LINK_FRAME_REFUSED, node=stream.node, error=str(exc))
            return
        if decoded.unknown:
            counters.unknown_messages += decoded.unknown
            self._log.log(LINK_UNKNOWN_MESSAGE, node=stream.node, count=decoded.unknown)
        messages: list[LinkMessage] = []
        for message in decoded.messages:
            if isinstance(message, LinkPing):
                stream.control.append(LinkPong(message.number))
                stream.wake.set()
                continue
            if isinstance(message, LinkPong):
                continue
            messages.append(message)
        if messages:
            self._owner.on_messages_received(stream.node, stream.incarnation, messages)

    async def _monitor_liveness(self) -> None:
        """Aborts streams whose peer does not answer a ping."""
        while True:
            await sleep(LIVENESS_CHECK_INTERVAL_S)
            for stream in list(self._streams):
                if stream.check_liveness():
                    stream.aborted.set()


def _retrieve_exception(task: Task[Any]) -> None:
    """Retrieves the exception of a task, so that asyncio does not log it.

    The failure itself is reported when the stream is detached.
    """
    if not task.cancelled():
        task.exception()


def _without_pings(messages: Iterable[StreamMessage]) -> list[LinkMessage]:
    return [message for message in messages if not isinstance(message, LinkPing | LinkPong)]


def _frame_bytes(frame: Any) -> bytes:
    """Returns the bytes of a frame; raises BadFrameError for the EOF marker."""
    if not isinstance(frame, bytes):
        raise BadFrameError("stream ended before the hello")
    return frame
