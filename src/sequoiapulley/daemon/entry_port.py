"""Answers who is ready, and which nodes a caller is to use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from sequoiapulley.forward.messages import Answer, CallerRequest
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.roles import choose_entries
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, RegionName
from sequoiapulley.wire.request_parser import ParsedRequest
from sequoiapulley.wire.server_connection import ServerRequest

ENTRY_TTL_S: Final = 4.0
"""Time for which a directory answer holds: a node that stops or is lost leaves the answers within
it. Callers ask a node beside them, which costs it little."""
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_UNAVAILABLE: Final = 503


class PlatformCalls(Protocol):
    """The platform's form of what callers ask a node."""

    def caller_request(self, parsed: ParsedRequest, now: float) -> CallerRequest:
        """Returns a caller's request."""

    def is_readiness(self, target: bytes) -> bool:
        """Returns whether a request asks for readiness."""

    def decode_entry_query(self, target: bytes) -> tuple[FailureDomainName, RegionName] | None:
        """Returns failure domain and region of a caller that asks which nodes to use, or None."""

    def encode_entries(self, nodes: list[NodeRecord], ttl: float) -> Answer:
        """Returns the answer that names the nodes to use."""


class EntryPort:
    """Serves the readiness and the directory addresses of a node."""

    def __init__(
        self,
        calls: PlatformCalls,
        peers: PeerTable,
        is_ready: Callable[[], bool],
        most_ttl: float,
    ) -> None:
        """Initialise the port.

        Args:
            calls: Form of the calls.
            peers: The other nodes.
            is_ready: Whether this node serves callers and stays.
            most_ttl: Longest time that callers keep an answer, in seconds.
        """
        self._calls = calls
        self._peers = peers
        self._is_ready = is_ready
        self.most_ttl = most_ttl
        """Longest time that callers keep an answer, in seconds."""

    def serve(self, req: ServerRequest) -> None:
        """Answers one question."""
        target = req.parsed.target
        if self._calls.is_readiness(target):
            req.answer(STATUS_OK if self._is_ready() else STATUS_UNAVAILABLE, (), b"")
            return
        query = self._calls.decode_entry_query(target)
        if query is None:
            req.answer(STATUS_NOT_FOUND, (), b"")
            return
        chosen = self._entries_for(*query)
        if not chosen:
            req.answer(STATUS_UNAVAILABLE, (), b"")
            return
        answer = self._calls.encode_entries(chosen, min(ENTRY_TTL_S, self.most_ttl))
        req.answer(answer.status, answer.headers, answer.body)

    def names_me(self) -> bool:
        """Returns whether callers of this node's failure domain are sent to it."""
        me = self._peers.me
        return me in self._entries_for(me.failure_domain, me.region)

    def _entries_for(
        self, failure_domain: FailureDomainName, region: RegionName
    ) -> list[NodeRecord]:
        """Returns the nodes that a caller is to use."""
        nodes = self._peers.ready()
        if self._is_ready():
            nodes.append(self._peers.me)
        return choose_entries(nodes, failure_domain, region)
