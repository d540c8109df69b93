"""The grpc side of the link, on its own thread and asyncio loop."""

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
DIAL_TIMEOUT_S: Final = 1.0
REDIAL_DELAY_S: Final = 0.25
SILENCE_CHECK_S: Final = 0.25
MAX_INBOUND_BATCHES: Final = 1024
BACK_PRESSURE_PAUSE_S: Final = 0.002
CHANNEL_OPTIONS: Final = (
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
)


class Transport:
    """Opens, accepts, reads, writes and closes streams."""

    def __init__(
        self, hello: LinkHello, owner: TransportOwner, log: LogSink, tls: TlsSource | None
    ) -> None:
        """Initialise a transport that is not started.

        Args:
            hello: What this node says of itself.
            owner: What it reports to.
            log: Where events go.
            tls: Credentials, or None for plaintext.
        """
        self._hello = hello
        self._owner = owner
        self._log = log
        self._tls = tls
        self._server: Any = None
        self._watchdog: Task[None] | None = None
        self._streams: set[Stream] = set()
        self._stopping = False

    @property
    def has_tls(self) -> bool:
        """Whether streams are encrypted and authenticated."""
        return self._tls is not None

    async def start(self, address: tuple[str, int]) -> int:
        """Binds and serves; returns the port."""
        server = aio.server(options=CHANNEL_OPTIONS)
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
        self._watchdog = create_task(self._watch_silence())
        return int(port)

    async def stop(self, grace: float, peers: list[Peer]) -> None:
        """Sends what is queued, then closes all streams within `grace` seconds."""
        self._stopping = True
        deadline = monotonic() + grace
        while any(peer.queue for peer in peers) and monotonic() < deadline:
            await sleep(0.01)
        for stream in list(self._streams):
            stream.closing = True
            stream.wake.set()
        await self._server.stop(max(0.0, deadline - monotonic()))
        if self._watchdog is not None:
            self._watchdog.cancel()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await gather(*others, return_exceptions=True)

    def wake(self, peer: Peer) -> None:
        """Sees to it that the queue of a peer is written."""
        if peer.streams:
            peer.streams[0].wake.set()
            return
        if peer.dialing is None and not self._stopping:
            peer.dialing = create_task(self._dial(peer))

    async def _dial(self, peer: Peer) -> None:
        """Opens a stream to a peer and serves it until it ends."""
        channel = None
        try:
            if peer.address is not None:
                channel = self._open_channel(peer.address)
                call = channel.stream_stream(f"/{SERVICE}/{METHOD}")()
                hello = await wait_for(self._greet(call), DIAL_TIMEOUT_S)
                if self._admits(hello) and hello.node == peer.node:
                    stream = Stream(call, hello)
                    self._attach(peer, stream)
                    peer.dialing = None
                    await self._exchange(peer, stream)
                    call.cancel()
        except (aio.AioRpcError, BadFrameError, TimeoutError, asyncio.InvalidStateError):
            pass
        finally:
            if peer.dialing is not None:
                peer.dialing = None
                peer.retry_at = monotonic() + REDIAL_DELAY_S
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

    async def _greet(self, call: Any) -> LinkHello:
        await call.write(encode_hello(self._hello))
        return decode_hello(_frame_bytes(await call.read()))

    async def _serve(self, _requests: Any, context: Any) -> None:
        """Serves a stream that a peer opened."""
        try:
            frame = await wait_for(context.read(), DIAL_TIMEOUT_S)
            hello = decode_hello(_frame_bytes(frame))
        except (BadFrameError, TimeoutError) as exc:
            self._refuse(context.peer(), str(exc))
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "no hello")
            return
        if not self._admits(hello):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "hello refused")
            return
        await context.write(encode_hello(self._hello))
        peer = self._owner.peer_of(hello.node)
        stream = Stream(context, hello)
        self._attach(peer, stream)
        await self._exchange(peer, stream)

    def _admits(self, hello: LinkHello) -> bool:
        """Whether a peer belongs to this fleet and both ends understand each other."""
        if hello.workspace != self._hello.workspace:
            self._refuse(hello.node, f"workspace {hello.workspace!r} is not this fleet's")
            return False
        if hello.version < OLDEST_VERSION or hello.oldest > PROTOCOL_VERSION:
            self._refuse(hello.node, f"protocol version {hello.version} is not understood")
            return False
        return True

    def _refuse(self, peer: str, reason: str) -> None:
        self._owner.counters.refused_peers += 1
        self._log.log(LINK_REFUSED, peer=peer, reason=reason)

    def _attach(self, peer: Peer, stream: Stream) -> None:
        for other in peer.streams:
            if other.incarnation != stream.incarnation:
                # The peer started again; whatever served the old stream is gone.
                other.silent.set()
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
            self._owner.lost(peer.node)

    async def _exchange(self, peer: Peer, stream: Stream) -> None:
        """Reads and writes until either direction ends."""
        tasks = {
            create_task(self._write(peer, stream)),
            create_task(self._read(stream)),
            create_task(stream.silent.wait()),
        }
        for task in tasks:
            task.add_done_callback(_take_exception)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._detach(peer, stream)

    def _report_if_lost(self, peer: Peer) -> None:
        if peer.streams or peer.dialing is not None:
            return
        unsent = _without_pings(peer.queue)
        peer.queue.clear()
        self._log.log(LINK_DOWN, node=peer.node, unsent=len(unsent))
        if peer.refusals:
            self._log.log(LINK_QUEUE_FULL, node=peer.node, refused=peer.refusals)
            peer.refusals = 0
        self._owner.unsent(peer.node, unsent)
        self._owner.lost(peer.node)

    async def _write(self, peer: Peer, stream: Stream) -> None:
        """Writes the queue of a peer in as few frames as possible."""
        counters = self._owner.counters
        while True:
            await stream.wake.wait()
            stream.wake.clear()
            if stream.control:
                await self._write_queue(stream, stream.control)
            if peer.streams and peer.streams[0] is stream and peer.queue:
                counters.messages_sent += len(peer.queue)
                stream.note_write()
                await self._write_queue(stream, peer.queue)
            if stream.closing:
                return

    async def _write_queue(self, stream: Stream, queue: deque[StreamMessage]) -> None:
        counters = self._owner.counters
        encoded = encode_frames(queue)
        if encoded.oversized:
            self._log.log(LINK_MESSAGE_TOO_LARGE, node=stream.node, count=len(encoded.oversized))
            self._owner.unsent(stream.node, _without_pings(encoded.oversized))
        for frame in encoded.frames:
            await stream.call.write(frame)
            counters.frames_sent += 1
            counters.bytes_sent += len(frame)

    async def _read(self, stream: Stream) -> None:
        """Hands over what the peer sends until it ends the stream."""
        while True:
            frame = await stream.call.read()
            if frame is aio.EOF:
                return
            stream.note_read()
            self._take_frame(stream, frame)
            while self._owner.queue_length() > MAX_INBOUND_BATCHES:
                await sleep(BACK_PRESSURE_PAUSE_S)

    def _take_frame(self, stream: Stream, frame: bytes) -> None:
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
            self._owner.received(stream.node, stream.incarnation, messages)

    async def _watch_silence(self) -> None:
        """Gives up streams whose peer does not answer a ping."""
        while True:
            await sleep(SILENCE_CHECK_S)
            for stream in list(self._streams):
                if stream.check_silence():
                    stream.silent.set()


def _take_exception(task: Task[Any]) -> None:
    """Marks a task's exception as seen; a stream that broke is reported by its loss."""
    if not task.cancelled():
        task.exception()


def _without_pings(messages: Iterable[StreamMessage]) -> list[LinkMessage]:
    return [message for message in messages if not isinstance(message, LinkPing | LinkPong)]


def _frame_bytes(frame: Any) -> bytes:
    """Returns a frame's bytes; the end marker of a stream is no frame."""
    if not isinstance(frame, bytes):
        raise BadFrameError("stream ended before the hello")
    return frame
