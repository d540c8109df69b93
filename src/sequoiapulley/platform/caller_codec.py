"""Decodes callers' requests, readiness checks and entry node queries to a node."""

from __future__ import annotations

from typing import Final
from urllib.parse import parse_qs

from msgspec.json import encode

from sequoiapulley.forward.messages import Answer, CallerRequest, Headers
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, RegionName
from sequoiapulley.platform.names import READINESS_PATH, RESOLUTION_PATH
from sequoiapulley.platform.platform_contract import decode_caller_request
from sequoiapulley.wire.request_parser import ParsedRequest

JSON_HEADERS: Final[Headers] = ((b"Content-Type", b"application/json"),)
STATUS_OK: Final = 200


class PlatformCallerCodec:
    """Implements `CallerCodec`."""

    def decode_request(self, parsed: ParsedRequest, now: float) -> CallerRequest:
        """Decodes a caller's request that was received at `now`."""
        return decode_caller_request(parsed, now)

    def is_readiness_check(self, target: bytes) -> bool:
        """Returns whether a request is a readiness check."""
        return target.partition(b"?")[0] == READINESS_PATH

    def decode_entry_query(self, target: bytes) -> tuple[FailureDomainName, RegionName] | None:
        """Decodes an entry node query.

        Returns:
            Failure domain and region of the caller, or None if the request is no such query.
        """
        path, _, query = target.partition(b"?")
        if path != RESOLUTION_PATH:
            return None
        fields = parse_qs(query.decode("latin-1"))
        domain = fields.get("zone", [""])[0]
        region = fields.get("region", [""])[0]
        return FailureDomainName(domain), RegionName(region)

    def encode_entries(self, nodes: list[NodeRecord], ttl: float) -> Answer:
        """Encodes the answer to an entry node query, valid for `ttl` seconds."""
        addresses = [f"{node.host}:{node.callers_port}" for node in nodes]
        return Answer(STATUS_OK, JSON_HEADERS, encode({"addrs": addresses, "ttl_s": ttl}))
