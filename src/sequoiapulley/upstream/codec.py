"""Interface of the codec that the dispatcher uses for the upstreams' wire contract."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from sequoiapulley.ids import ExchangeId, ShardId
from sequoiapulley.search.messages import Hit
from sequoiapulley.upstream.messages import SubRun, SubSearch


class EncodedRequest(Struct, frozen=True):
    """The path, headers and body of a request to an upstream."""

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ExchangeCodec(Protocol):
    """Encodes requests for upstreams and decodes the bodies of their replies."""

    def encode_search(self, exchange_id: ExchangeId, sub: SubSearch, now: float) -> EncodedRequest:
        """Returns the request that searches one shard."""

    def encode_run(self, exchange_id: ExchangeId, sub: SubRun, now: float) -> EncodedRequest:
        """Returns the request that runs non-idempotent work."""

    def decode_search(self, body: bytes, shard: ShardId) -> tuple[Hit, ...]:
        """Decodes the hits of a reply.

        Raises:
            ValueError: If the body is truncated, malformed or from another shard.
        """

    def decode_run(self, body: bytes) -> str:
        """Decodes the result of non-idempotent work as JSON text.

        Raises:
            ValueError: If the body is truncated or malformed.
        """
