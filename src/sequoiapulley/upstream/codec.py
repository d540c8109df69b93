"""The wire contract of upstreams as the dispatcher needs it."""

from __future__ import annotations

from typing import Protocol

from sequoiapulley.ids import ExchangeId
from sequoiapulley.search.messages import Hit
from sequoiapulley.upstream.messages import SubRun, SubSearch


class ExchangeCodec(Protocol):
    """Encodes requests for upstreams and decodes the bodies of their replies."""

    def encode_search(self, exchange_id: ExchangeId, sub: SubSearch, now: float) -> bytes:
        """Returns the request that searches one shard."""

    def encode_run(self, exchange_id: ExchangeId, sub: SubRun, now: float) -> bytes:
        """Returns the request that runs non-idempotent work."""

    def decode_search(self, body: bytes) -> tuple[Hit, ...]:
        """Decodes the hits of a reply.

        Raises:
            ValueError: If the body is truncated or malformed.
            msgspec.MsgspecError: If the body is truncated or malformed.
        """
