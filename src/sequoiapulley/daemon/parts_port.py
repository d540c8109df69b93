"""Requests between nodes over HTTP for parts of a gather."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec.msgpack import Decoder, encode
from result import Err, Ok

from sequoiapulley.daemon.peer_source import MSGPACK_HEADERS, STATUS_OK, STATUS_UNAVAILABLE
from sequoiapulley.decoding import CheckedDecoder, DecodingError, decode_msgpack
from sequoiapulley.forward.aggregators import (
    PartsFailure,
    PartsReply,
    PartsRequest,
    PartsResult,
    PartsTimeouts,
)
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.log_events import PARTS_UNREADABLE
from sequoiapulley.forward.part_collector import PartCollector
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import RequestId
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.server_connection import ServerRequest

PARTS_PATH: Final = "/v1/parts"
STATUS_BAD_REQUEST: Final = 400
MAX_REQUEST_TIME_S: Final = 86_400.0
"""Maximum of the times in a request, so that they are finite."""


class HttpPartsClient:
    """Implements `PartsClient` over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        """Initialise the client.

        Args:
            client: Sends the requests.
        """
        self._client = client

    def ensure_connected(self, node: NodeRecord) -> bool:
        """Returns whether a request could be sent at once; if not, opens a connection."""
        return self._client.prepare(node.host, node.peers_port)

    def request_parts(
        self,
        node: NodeRecord,
        request: PartsRequest,
        timeouts: PartsTimeouts,
        done: Callable[[PartsResult], None],
    ) -> None:
        """Sends a request for parts; `done` receives the reply or the failure."""
        call = HttpCall(
            node.host,
            node.peers_port,
            "POST",
            PARTS_PATH,
            body=encode(request),
            timeout=timeouts.reply,
            ack_timeout=timeouts.confirmation,
        )
        self._client.request(call, lambda result: done(_decode(result, request.id)))


class PartsPort:
    """Serves other nodes' requests for parts."""

    def __init__(self, ctx: ForwardContext) -> None:
        """Initialise the port.

        Args:
            ctx: Components that the calls to upstreams use.
        """
        self._ctx = ctx
        self._decoder = CheckedDecoder(Decoder(PartsRequest))
        self._collectors: set[PartCollector] = set()

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered."""
        return len(self._collectors)

    def serve(self, req: ServerRequest) -> None:
        """Decodes a request, collects its parts from upstreams and answers it."""
        try:
            request = self._decoder.decode(req.parsed.body)
            _check_request(request)
        except ValueError as exc:
            self._ctx.log.log(PARTS_UNREADABLE, error=str(exc))
            req.answer(STATUS_BAD_REQUEST, (), b"")
            return
        if self._ctx.contact.cut_off:
            req.answer(STATUS_UNAVAILABLE, (), b"")
            return

        def on_done(reply: PartsReply) -> None:
            self._collectors.discard(collector)
            req.answer(STATUS_OK, MSGPACK_HEADERS, encode(reply))

        def on_disconnect() -> None:
            self._collectors.discard(collector)
            collector.stop()

        collector = PartCollector(self._ctx, request, on_done)
        self._collectors.add(collector)
        req.on_disconnect = on_disconnect
        collector.start()


def _check_request(request: PartsRequest) -> None:
    """Checks the numbers in another node's request.

    Raises:
        ValueError: If one of them is out of range.
    """
    for name, seconds in (
        ("time_left", request.time_left),
        ("due_in", request.due_in),
        ("goal", request.goal),
    ):
        if not 0.0 < seconds <= MAX_REQUEST_TIME_S:
            raise ValueError(f"{name} {seconds} is not between 0 and {MAX_REQUEST_TIME_S} s")
    if request.max_upstreams < 1 or request.top_k < 0:
        raise ValueError(f"max_upstreams {request.max_upstreams}, top_k {request.top_k}")


def _decode(result: HttpResult, request: RequestId) -> PartsResult:
    """Decodes a node's reply to a request, or classifies its failure."""
    if isinstance(result, Err):
        return Err(PartsFailure(result.err_value.sent, result.err_value.detail))
    reply = result.ok_value
    if reply.status != STATUS_OK:
        # As on the callers' port, status 503 means that no upstream ran the request.
        return Err(PartsFailure(reply.status != STATUS_UNAVAILABLE, f"status {reply.status}"))
    try:
        parts = decode_msgpack(reply.body, PartsReply)
    except DecodingError as exc:
        return Err(PartsFailure(True, f"reply does not decode: {exc}"))
    if parts.id and parts.id != request:
        return Err(PartsFailure(True, f"reply to request {parts.id} instead of {request}"))
    return Ok(parts)
