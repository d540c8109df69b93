"""Serves the readiness check and the directory of entry nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from sequoiapulley.forward.messages import Answer, CallerRequest
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.roles import choose_entry_nodes
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, RegionName
from sequoiapulley.wire.request_parser import ParsedRequest
from sequoiapulley.wire.server_connection import ServerRequest

ENTRY_TTL_S: Final = 4.0
"""Time for which callers may cache a directory answer, unless the settings limit it to less. It is
also the time within which they stop using a node that shuts down or is lost. It may be short, as
queries are cheap: callers ask a local node."""
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_UNAVAILABLE: Final = 503


class CallerCodec(Protocol):
    """Decodes the requests of callers and of the platform, and encodes directory answers."""

    def decode_request(self, parsed: ParsedRequest, now: float) -> CallerRequest:
        """Decodes a caller's request that arrived at the clock reading `now`."""

    def is_readiness_check(self, target: bytes) -> bool:
        """Returns whether a request is a readiness check."""

    def decode_entry_query(self, target: bytes) -> tuple[FailureDomainName, RegionName] | None:
        """Returns the caller's failure domain and region, or None if this is no directory query."""

    def encode_entries(self, nodes: list[NodeRecord], ttl: float) -> Answer:
        """Returns the directory answer that lists nodes for `ttl` seconds."""


class EntryPort:
    """Handles the requests to the readiness and directory addresses of a node."""

    def __init__(
        self,
        codec: CallerCodec,
        peers: PeerTable,
        is_ready: Callable[[], bool],
        is_cut_off: Callable[[], bool],
        max_ttl: float,
    ) -> None:
        """Initialise the port.

        Args:
            codec: Decodes the requests and encodes the answers.
            peers: Table of the other nodes.
            is_ready: Returns whether this node serves callers and is not shutting down.
            is_cut_off: Returns whether this node is cut off from the upstreams.
            max_ttl: Upper limit of `ENTRY_TTL_S` from the settings, in seconds.
        """
        self._codec = codec
        self._peers = peers
        self._is_ready = is_ready
        self._is_cut_off = is_cut_off
        self.max_ttl = max_ttl
        """Upper limit of `ENTRY_TTL_S` from the settings, in seconds."""

    def serve(self, req: ServerRequest) -> None:
        """Answers a readiness check or a directory query."""
        target = req.parsed.target
        if self._codec.is_readiness_check(target):
            req.answer(STATUS_OK if self._is_ready() else STATUS_UNAVAILABLE, (), b"")
            return
        query = self._codec.decode_entry_query(target)
        if query is None:
            req.answer(STATUS_NOT_FOUND, (), b"")
            return
        chosen = self._entries_for(*query)
        if not chosen:
            req.answer(STATUS_UNAVAILABLE, (), b"")
            return
        answer = self._codec.encode_entries(chosen, min(ENTRY_TTL_S, self.max_ttl))
        req.answer(answer.status, answer.headers, answer.body)

    def is_entry_node(self) -> bool:
        """Returns whether this node is an entry node of its failure domain."""
        record = self._peers.local_node
        return record in self._entries_for(record.failure_domain, record.region)

    def _entries_for(
        self, failure_domain: FailureDomainName, region: RegionName
    ) -> list[NodeRecord]:
        """Returns the entry nodes for callers of a failure domain."""
        nodes = self._peers.ready()
        if self._is_ready() and not self._is_cut_off():
            nodes.append(self._peers.local_node)
        if not nodes:
            # All upstreams may be gone; callers are refused by the nodes, which tell why.
            nodes = self._peers.cut_off()
            if self._is_ready():
                nodes.append(self._peers.local_node)
        return choose_entry_nodes(nodes, failure_domain, region)
