"""Codec of the dispatcher for the upstreams' HTTP contract."""

from __future__ import annotations

from sequoiapulley.ids import ExchangeId, ShardId
from sequoiapulley.search.messages import Hit
from sequoiapulley.upstream.codec import EncodedRequest
from sequoiapulley.upstream.http_contract import (
    JSON_HEADERS,
    RUN_PATH,
    SEARCH_PATH,
    decode_run_body,
    decode_search_body,
    encode_run,
    encode_search,
    run_headers,
)
from sequoiapulley.upstream.messages import SubRun, SubSearch


class HttpExchangeCodec:
    """Encodes requests and decodes the bodies of replies."""

    def encode_search(self, exchange_id: ExchangeId, sub: SubSearch, now: float) -> EncodedRequest:
        """Returns the request that searches one shard."""
        return EncodedRequest(SEARCH_PATH, JSON_HEADERS, encode_search(exchange_id, sub, now))

    def encode_run(self, exchange_id: ExchangeId, sub: SubRun, now: float) -> EncodedRequest:
        """Returns the request that runs non-idempotent work."""
        return EncodedRequest(RUN_PATH, run_headers(sub), encode_run(exchange_id, sub, now))

    def decode_search(self, body: bytes, shard: ShardId) -> tuple[Hit, ...]:
        """Decodes the hits of a reply.

        Raises:
            ContractError: If the body cannot be decoded or is from another shard.
        """
        return decode_search_body(body, shard)

    def decode_run(self, body: bytes) -> str:
        """Decodes the result of non-idempotent work as JSON text.

        Raises:
            ContractError: If the body cannot be decoded.
        """
        return decode_run_body(body)
