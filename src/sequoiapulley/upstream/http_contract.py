"""The upstreams' wire contract: paths, headers, JSON bodies and status codes.

Only this module depends on the format; docs/CONTRACTS.md documents it for operators.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from typing import Final, Protocol
from urllib.parse import quote

from msgspec import Raw, Struct
from msgspec.json import Decoder, Encoder

from sequoiapulley.decoding import CheckedDecoder
from sequoiapulley.ids import ExchangeId, ShardId
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import Hit
from sequoiapulley.upstream.messages import (
    ReplyKind,
    SendExchange,
    SubRun,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.wire.http_connection import host_header
from sequoiapulley.wire.reply_parser import ParsedReply

SEARCH_PATH: Final = "/search"
RUN_PATH: Final = "/run"
JSON_HEADERS: Final = (("content-type", "application/json"),)
IDEMPOTENCY_HEADER: Final = "idempotency-key"
DRAINING_HEADER: Final = b"x-draining"
LOAD_HEADER: Final = b"x-load"
MS_PER_S: Final = 1000.0
SNAPSHOT_CACHE_SIZE: Final = 1024
LOAD_CACHE_SIZE: Final = 256
REQUEST_HEAD_CACHE_SIZE: Final = 8192
"""Larger than the number of upstreams of one node."""

Headers = tuple[tuple[str, str], ...]

_ERROR: Final = ReplyKind.ERROR
_MALFORMED: Final = ReplyKind.MALFORMED
_DRAINING: Final = ReplyKind.DRAINING
_KIND_OF_STATUS: Final[Mapping[int, ReplyKind]] = {
    200: ReplyKind.OK,
    409: ReplyKind.WRONG_SNAPSHOT,
    429: ReplyKind.SHED,
    503: ReplyKind.DRAINING,
    504: ReplyKind.EXPIRED,
}


class ContractError(ValueError):
    """The body of a reply violates the contract."""


class _SearchBody(Struct):
    """Body of a search."""

    request_id: int
    service: str
    instance: str
    query: str
    limit: int
    snapshot: str | None
    time_left_ms: float


class _RunBody(Struct):
    """Body of a non-idempotent request."""

    request_id: int
    service: str
    instance: str
    request: Raw
    time_left_ms: float


class _Envelope(Struct):
    """Fields common to all replies; the rest of the body is skipped."""

    request_id: int
    snapshot: str | None = None
    available: tuple[str, ...] = ()


class _WireHit(Struct):
    """One hit in the format of upstreams."""

    id: str
    score: float
    fields: dict[str, str] = {}


class _HitsBody(Struct):
    """Body of the reply to a search, without the envelope."""

    shard: str
    hits: list[_WireHit]


class _RunReplyBody(Struct):
    """Body of the reply to a non-idempotent request, without the envelope."""

    result: Raw


_ENCODER: Final = Encoder()
_ENVELOPE_DECODER: Final = CheckedDecoder(Decoder(_Envelope))
_HITS_DECODER: Final = CheckedDecoder(Decoder(_HitsBody))
_RUN_REPLY_DECODER: Final = CheckedDecoder(Decoder(_RunReplyBody))


def encode_search(exchange_id: ExchangeId, sub: SubSearch, now: float) -> bytes:
    """Encodes the body of a search for `SEARCH_PATH`, sent with `JSON_HEADERS`.

    Args:
        exchange_id: The id that the reply must contain.
        sub: The sub-search.
        now: Clock reading in seconds.

    Returns:
        A JSON body.
    """
    snapshot = None if sub.snapshot is None else str(sub.snapshot)
    target = sub.target
    time_left = max(0.0, sub.deadline - now) * MS_PER_S
    return _ENCODER.encode(
        _SearchBody(
            exchange_id,
            target.service,
            target.instance,
            sub.query,
            sub.limit,
            snapshot,
            time_left,
        )
    )


def encode_run(exchange_id: ExchangeId, sub: SubRun, now: float) -> bytes:
    """Encodes the body of a non-idempotent request for `RUN_PATH`, sent with `run_headers`.

    Args:
        exchange_id: The id that the reply must contain.
        sub: The request; its body is JSON text.
        now: Clock reading in seconds.

    Returns:
        A JSON body.
    """
    time_left = max(0.0, sub.deadline - now) * MS_PER_S
    request = Raw(sub.body.encode())
    return _ENCODER.encode(_RunBody(exchange_id, sub.service, sub.instance, request, time_left))


def run_headers(sub: SubRun) -> Headers:
    """Returns the headers of a non-idempotent request, with its idempotency key URL-encoded."""
    return (*JSON_HEADERS, (IDEMPOTENCY_HEADER, quote(sub.key, safe="")))


def decode_search_body(body: bytes, shard: ShardId) -> tuple[Hit, ...]:
    """Decodes the hits of a reply that `HttpContract` decoded as `OK`.

    Args:
        body: `UpstreamReply.body`.
        shard: The shard that was requested.

    Returns:
        The hits in the order of the reply.

    Raises:
        ContractError: If the body cannot be decoded or is from another shard.
    """
    try:
        reply = _HITS_DECODER.decode(body)
    except ValueError as exc:
        raise ContractError(f"cannot decode search reply: {exc}") from exc
    if reply.shard != shard:
        raise ContractError(f"reply is from shard {reply.shard!r}, expected {shard!r}")
    return tuple([Hit(hit.id, hit.score, shard, hit.fields) for hit in reply.hits])


def decode_run_body(body: bytes) -> str:
    """Decodes the result of a non-idempotent request.

    Args:
        body: `UpstreamReply.body` of an `OK` reply.

    Returns:
        JSON text.

    Raises:
        ContractError: If the body cannot be decoded.
    """
    try:
        return bytes(_RUN_REPLY_DECODER.decode(body).result).decode()
    except ValueError as exc:
        raise ContractError(f"cannot decode run reply: {exc}") from exc


class UpstreamContract(Protocol):
    """Encodes whole requests to upstreams and decodes their whole replies."""

    def encode(self, action: SendExchange, host: str, port: int) -> bytes:
        """Encodes a whole request."""

    def decode(
        self,
        exchange_id: ExchangeId,
        parsed: ParsedReply,
    ) -> UpstreamReply:
        """Decodes a whole reply; one that violates the contract is `MALFORMED`."""


class HttpContract:
    """Implements the contract over HTTP/1.1 with JSON bodies."""

    def encode(self, action: SendExchange, host: str, port: int) -> bytes:
        """Encodes a whole request.

        Args:
            action: The request. Its path and headers are not escaped, as they come from this
                module.
            host: IP address of the upstream.
            port: TCP port of the upstream.

        Returns:
            The bytes to send.
        """
        head = _request_head(action.path, action.headers, host, port)
        return b"%b%d\r\n\r\n%b" % (head, len(action.body), action.body)

    def decode(self, exchange_id: ExchangeId, parsed: ParsedReply) -> UpstreamReply:
        """Decodes a whole reply.

        Args:
            exchange_id: The id that the request contained.
            parsed: The reply as received.

        Returns:
            The reply; `MALFORMED` if it contains another id or its body cannot be decoded. With a
            status that the contract does not list, such a body gives `ERROR`.
        """
        kind = _KIND_OF_STATUS.get(parsed.status, _ERROR)
        try:
            envelope = _ENVELOPE_DECODER.decode(parsed.body)
            snapshot = _parse_snapshot(envelope.snapshot) if envelope.snapshot else None
            available = _parse_snapshots(envelope.available)
        except ValueError:
            return UpstreamReply(_ERROR if kind is _ERROR else _MALFORMED, identified=False)
        if envelope.request_id != exchange_id:
            return UpstreamReply(_MALFORMED, identified=False)
        draining = kind is _DRAINING
        load = None
        for name, value in parsed.headers:
            if name == LOAD_HEADER:
                load = _parse_load(value)
            elif name == DRAINING_HEADER and value == b"1":
                draining = True
        return UpstreamReply(kind, snapshot, available, parsed.body, draining, load)


@lru_cache(SNAPSHOT_CACHE_SIZE)
def _parse_snapshot(text: str) -> Snapshot:
    """Parses a snapshot; cached, as few different ones occur at a time."""
    return Snapshot.parse(text)


@lru_cache(SNAPSHOT_CACHE_SIZE)
def _parse_snapshots(texts: tuple[str, ...]) -> tuple[Snapshot, ...]:
    """Parses a list of snapshots."""
    return tuple(Snapshot.parse(text) for text in texts)


@lru_cache(REQUEST_HEAD_CACHE_SIZE)
def _request_head(path: str, headers: Headers, host: str, port: int) -> bytes:
    """Returns the request line and the headers up to the value of content-length."""
    lines = [f"POST {path} HTTP/1.1", f"host: {host_header(host, port)}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append("content-length: ")
    return "\r\n".join(lines).encode("latin-1")


@lru_cache(LOAD_CACHE_SIZE)
def _parse_load(value: bytes) -> float | None:
    """Parses a reported load; returns None unless it is a number from 0 to 1."""
    try:
        load = float(value)
    except ValueError:
        return None
    return load if 0.0 <= load <= 1.0 else None
