"""Requests between nodes over HTTP for callers of a node that is cut off from the upstreams."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from msgspec import Struct
from msgspec.msgpack import Decoder, encode
from msgspec.structs import replace

from sequoiapulley.daemon.parts_port import MAX_REQUEST_TIME_S, STATUS_BAD_REQUEST
from sequoiapulley.daemon.peer_source import MSGPACK_HEADERS, STATUS_OK, STATUS_UNAVAILABLE
from sequoiapulley.decoding import CheckedDecoder
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.log_events import HANDOVER_UNREADABLE
from sequoiapulley.forward.messages import Answer, CallerRequest, Headers
from sequoiapulley.forward.refusal import Reason
from sequoiapulley.forward.route_table import CallerLimits
from sequoiapulley.forward.upstream_contact import UpstreamContact
from sequoiapulley.ids import ConfigVersion, RequestId
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerHandle, TimerQueue
from sequoiapulley.wire.server_connection import ServerLimits, ServerRequest

HANDOVER_PATH: Final = "/v1/handover"
ENCODED_HEADER_BYTES: Final = 2
"""Bytes of an encoded request per byte of the caller's headers; short headers gain most."""

NOT_STATED: Final = ConfigVersion(-1)
STATUS_OTHER_VERSION: Final = 409
"""Answer of a node that has a later version, which it states; the request was not served."""
MAX_VERSION_WAIT_S: Final = 1.0
"""Longest time for which a request waits for its version at a node that has an earlier one: about
the interval at which nodes read the store."""
MAX_VERSION_WAIT_SHARE: Final = 0.5
"""Share of the time left that a request may wait; another node can then still serve it."""


class HandoverRequest(Struct, frozen=True, array_like=True):
    """A caller's request that another node is to serve."""

    id: RequestId
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    time_left: float
    """Seconds until the caller's deadline."""
    version: ConfigVersion = NOT_STATED
    """Version that the sender's callers have seen, with which the request is to be served;
    `NOT_STATED` by nodes of earlier builds."""


class HandoverReply(Struct, frozen=True, array_like=True):
    """The answer for the caller."""

    id: RequestId
    status: int
    headers: Headers
    body: bytes


def peer_limits(limits: CallerLimits) -> ServerLimits:
    """Returns the limits of the port for other nodes, at which every caller's request fits.

    Args:
        limits: Limits on the callers' own requests.
    """
    base = ServerLimits(quick_acks=True)
    handover_bytes = limits.body_bytes + ENCODED_HEADER_BYTES * limits.header_bytes
    return replace(base, body_bytes=max(base.body_bytes, handover_bytes))


class _Waiter:
    """A request that waits for its version to be applied."""

    __slots__ = ("begin", "req", "timer", "version")

    def __init__(
        self, req: ServerRequest, version: ConfigVersion, begin: Callable[[], None]
    ) -> None:
        self.req = req
        self.version = version
        self.begin = begin
        self.timer: TimerHandle | None = None


class HandoverPort:
    """Serves the callers' requests that other nodes hand over."""

    def __init__(
        self,
        forwarder: Forwarder,
        contact: UpstreamContact,
        latest_version: Callable[[], ConfigVersion],
        timers: TimerQueue,
        log: LogSink,
    ) -> None:
        """Initialise the port.

        Args:
            forwarder: Serves the requests.
            contact: Tells whether this node is cut off as well.
            latest_version: Returns the latest version that a live peer states; 0 if there is none.
            timers: Timers of the event loop.
            log: Receives an event for each request that does not decode.
        """
        self._forwarder = forwarder
        self._contact = contact
        self._latest_version = latest_version
        self._timers = timers
        self._log = log
        self._waiters: list[_Waiter] = []
        self._decoder = CheckedDecoder(Decoder(HandoverRequest))

    def serve(self, req: ServerRequest) -> None:
        """Decodes a request, and serves it once this node has the version that it asks for."""
        try:
            request = self._decoder.decode(req.parsed.body)
            if not 0.0 < request.time_left <= MAX_REQUEST_TIME_S:
                raise ValueError(f"time_left {request.time_left} s is out of range")
        except ValueError as exc:
            self._log.log(HANDOVER_UNREADABLE, error=str(exc))
            req.answer(STATUS_BAD_REQUEST, (), b"")
            return
        if self._contact.cut_off:
            req.answer(STATUS_UNAVAILABLE, (), b"")
            return
        version = request.version
        if version == NOT_STATED:
            # Another node may have served the sender's callers with the latest one.
            version = self._latest_version()
        if version <= self._forwarder.version:
            self._begin(req, request)
            return
        arrived = self._timers.clock.now()
        waiter = _Waiter(req, version, lambda: self._begin(req, request, arrived))
        wait = min(MAX_VERSION_WAIT_S, MAX_VERSION_WAIT_SHARE * request.time_left)
        waiter.timer = self._timers.call_later(wait, lambda: self._end_wait(waiter))
        self._waiters.append(waiter)
        req.on_disconnect = lambda: self._forget(waiter)

    def wake(self) -> None:
        """Serves the requests whose version this node has now."""
        version = self._forwarder.version
        for waiter in [waiter for waiter in self._waiters if waiter.version <= version]:
            self._forget(waiter)
            if self._contact.cut_off:
                waiter.req.answer(STATUS_UNAVAILABLE, (), b"")
                continue
            waiter.begin()

    def _end_wait(self, waiter: _Waiter) -> None:
        """Refuses a request for whose version it has waited, so that another node is used."""
        if waiter in self._waiters:
            self._forget(waiter)
            waiter.req.answer(STATUS_UNAVAILABLE, (), b"")

    def _forget(self, waiter: _Waiter) -> None:
        """Ends the wait of a request."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if waiter.timer is not None:
            waiter.timer.cancel()

    def _begin(
        self, req: ServerRequest, request: HandoverRequest, arrived: float | None = None
    ) -> None:
        """Serves a request, or states the version of this node if that is a later one."""
        version = self._forwarder.version
        if request.version not in (NOT_STATED, version):
            req.answer(STATUS_OTHER_VERSION, MSGPACK_HEADERS, encode(version))
            return

        def on_answer(answer: Answer) -> None:
            reply = HandoverReply(request.id, answer.status, answer.headers, answer.body)
            req.answer(STATUS_OK, MSGPACK_HEADERS, encode(reply))

        caller_req = CallerRequest(
            id=request.id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            time_left=request.time_left,
            arrived=self._timers.clock.now() if arrived is None else arrived,
        )
        job = self._forwarder.handle(caller_req, on_answer, may_hand_over=False)
        req.on_disconnect = job.disconnect
        req.on_give_up = partial(job.give_up, Reason.RESOURCES)
