"""Requests between nodes over HTTP for callers of a node that is cut off from the upstreams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Struct
from msgspec.msgpack import Decoder, encode
from result import Err, Ok

from sequoiapulley.daemon.parts_port import MAX_REQUEST_TIME_S, STATUS_BAD_REQUEST
from sequoiapulley.daemon.peer_source import MSGPACK_HEADERS, STATUS_OK, STATUS_UNAVAILABLE
from sequoiapulley.decoding import CheckedDecoder, DecodingError, decode_msgpack
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.handover import Cancel, HandoverFailure, HandoverResult
from sequoiapulley.forward.log_events import HANDOVER_UNREADABLE
from sequoiapulley.forward.messages import Answer, CallerRequest, Headers
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.roles import nodes_by_distance
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.forward.upstream_contact import UpstreamContact
from sequoiapulley.ids import NodeId, RequestId
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import Clock
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.server_connection import ServerRequest

HANDOVER_PATH: Final = "/v1/handover"
NODES_IN_ROTATION: Final = 4
"""Number of nodes among which a cut-off node spreads its callers' requests."""
ACK_TIMEOUT_S: Final = 0.25
"""Timeout for a node's kernel to acknowledge a request: several round trips between regions."""


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


class HandoverReply(Struct, frozen=True, array_like=True):
    """The answer for the caller."""

    id: RequestId
    status: int
    headers: Headers
    body: bytes


class HttpHandoverClient:
    """Implements `HandoverClient` over HTTP."""

    def __init__(self, client: HttpClient, peers: PeerTable, clock: Clock) -> None:
        """Initialise the client.

        Args:
            client: Sends the requests.
            peers: The other nodes.
            clock: Source of time.
        """
        self._client = client
        self._peers = peers
        self._clock = clock
        self._round_robin_index = 0

    @property
    def available(self) -> bool:
        """Whether any node is in contact with upstreams."""
        return bool(self._peers.in_contact(self._clock.now()))

    def next_node(self, excluded: list[NodeId]) -> NodeRecord | None:
        """Returns the next of the closest nodes that are in contact with upstreams, or None."""
        in_contact = self._peers.in_contact(self._clock.now())
        usable = [node for node in in_contact if node.name not in excluded]
        closest = nodes_by_distance(usable, self._peers.local_node)[:NODES_IN_ROTATION]
        if not closest:
            return None
        self._round_robin_index += 1
        return closest[self._round_robin_index % len(closest)]

    def hand_over(
        self,
        node: NodeRecord,
        req: CallerRequest,
        time_left: float,
        done: Callable[[HandoverResult], None],
    ) -> Cancel:
        """Sends a request; `done` receives the answer or the failure."""
        body = encode(
            HandoverRequest(
                req.id, req.method, req.target, req.host, req.headers, req.body, time_left
            )
        )
        call = HttpCall(
            node.host,
            node.peers_port,
            "POST",
            HANDOVER_PATH,
            body=body,
            timeout=time_left,
            ack_timeout=ACK_TIMEOUT_S,
        )
        return self._client.request(call, lambda result: done(_decode(result, req.id)))


class HandoverPort:
    """Serves the callers' requests that other nodes hand over."""

    def __init__(
        self, forwarder: Forwarder, contact: UpstreamContact, clock: Clock, log: LogSink
    ) -> None:
        """Initialise the port.

        Args:
            forwarder: Serves the requests.
            contact: Tells whether this node is cut off as well.
            clock: Source of time.
            log: Receives an event for each request that does not decode.
        """
        self._forwarder = forwarder
        self._contact = contact
        self._clock = clock
        self._log = log
        self._decoder = CheckedDecoder(Decoder(HandoverRequest))

    def serve(self, req: ServerRequest) -> None:
        """Decodes a request, serves it and answers it."""
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
            arrived=self._clock.now(),
        )
        job = self._forwarder.handle(caller_req, on_answer, may_hand_over=False)
        req.on_disconnect = job.disconnect


def _decode(result: HttpResult, request: RequestId) -> HandoverResult:
    """Decodes a node's reply to a request, or classifies its failure."""
    if isinstance(result, Err):
        return Err(HandoverFailure(result.err_value.sent, result.err_value.detail))
    reply = result.ok_value
    if reply.status != STATUS_OK:
        # Status 503 is that of a node that is cut off as well and has not served the request.
        return Err(HandoverFailure(reply.status != STATUS_UNAVAILABLE, f"status {reply.status}"))
    try:
        answer = decode_msgpack(reply.body, HandoverReply)
    except DecodingError as exc:
        return Err(HandoverFailure(True, f"reply does not decode: {exc}"))
    if answer.id != request:
        return Err(HandoverFailure(True, f"reply to request {answer.id} instead of {request}"))
    return Ok(Answer(answer.status, answer.headers, answer.body))
