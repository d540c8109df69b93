"""Hands callers' requests over to other nodes over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec.msgpack import encode
from result import Err, Ok

from sequoiapulley.daemon.handover_port import (
    HANDOVER_PATH,
    STATUS_OTHER_VERSION,
    HandoverReply,
    HandoverRequest,
)
from sequoiapulley.daemon.peer_source import STATUS_OK, STATUS_UNAVAILABLE
from sequoiapulley.decoding import DecodingError, decode_msgpack
from sequoiapulley.forward.handover import Cancel, HandoverFailure, HandoverResult
from sequoiapulley.forward.messages import Answer, CallerRequest
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.roles import nodes_by_distance
from sequoiapulley.forward.shown_version import ShownVersion
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import ConfigVersion, NodeId, RequestId
from sequoiapulley.runtime import Clock
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.reply_parser import is_final_status

NODES_IN_ROTATION: Final = 4
"""Number of nodes among which a cut-off node spreads its callers' requests."""
ACK_TIMEOUT_S: Final = 0.25
"""Timeout for a node's kernel to acknowledge a request: several round trips between regions."""
NOT_SERVED_STATUSES: Final = frozenset({STATUS_UNAVAILABLE, STATUS_OTHER_VERSION})
"""Statuses of nodes that have not served the request; the first is that of a node that is cut off
as well, or has waited for the version in vain."""
MAX_VERSION_RETRIES: Final = 2
"""Number of times that a request is sent again to a node that has a later version."""


class HttpHandoverClient:
    """Implements `HandoverClient` over HTTP."""

    def __init__(
        self, client: HttpClient, peers: PeerTable, clock: Clock, shown: ShownVersion
    ) -> None:
        """Initialise the client.

        Args:
            client: Sends the requests.
            peers: The other nodes.
            clock: Source of time.
            shown: Version that this node's callers may have seen.
        """
        self._client = client
        self._peers = peers
        self._clock = clock
        self._shown = shown
        self._round_robin_index = 0
        self._last_earlier: NodeId | None = None
        """Node of an earlier build that was used last."""

    @property
    def available(self) -> bool:
        """Whether any node is in contact with upstreams."""
        return bool(self._peers.in_contact(self._clock.now()))

    def next_node(self, excluded: list[NodeId]) -> NodeRecord | None:
        """Returns the next of the closest nodes that are in contact with upstreams, or None.

        Nodes that compare versions come first, and among them those that are known to have the
        version that this node's callers have seen. Of nodes of earlier builds only those are used
        that are known to have it.
        """
        in_contact = self._peers.in_contact(self._clock.now())
        usable = [node for node in in_contact if node.name not in excluded]
        before = ConfigVersion(self._shown.version - 1)
        current = {node.name for node in self._peers.with_newer_configuration(before)}
        comparing = {node.name for node in self._peers.comparing_versions()}
        versioned = [node for node in usable if node.name in comparing]
        if not versioned:
            return self._node_of_earlier_build([node for node in usable if node.name in current])
        usable = [node for node in versioned if node.name in current] or versioned
        closest = nodes_by_distance(usable, self._peers.local_node)[:NODES_IN_ROTATION]
        self._round_robin_index += 1
        return closest[self._round_robin_index % len(closest)]

    def _node_of_earlier_build(self, usable: list[NodeRecord]) -> NodeRecord | None:
        """Returns the node that was used last while it is usable, else the closest one, or None.

        Several nodes would serve with different versions.
        """
        closest = nodes_by_distance(usable, self._peers.local_node)
        names = [node.name for node in closest]
        if self._last_earlier in names:
            return closest[names.index(self._last_earlier)]
        self._last_earlier = names[0] if names else None
        return closest[0] if closest else None

    def hand_over(
        self,
        node: NodeRecord,
        req: CallerRequest,
        time_left: float,
        done: Callable[[HandoverResult], None],
    ) -> Cancel:
        """Sends a request; `done` receives the answer or the failure."""
        if node not in self._peers.comparing_versions():
            self._shown.record_unknown()
        return _VersionedSend(
            self._client, self._clock, self._shown, node, req, time_left, done
        ).start()


class _VersionedSend:
    """One request to one node, sent again if the node states that it has a later version.

    No node serves it with a version that this node does not know: the effect would be seen long
    before the answer.
    """

    def __init__(
        self,
        client: HttpClient,
        clock: Clock,
        shown: ShownVersion,
        node: NodeRecord,
        req: CallerRequest,
        time_left: float,
        done: Callable[[HandoverResult], None],
    ) -> None:
        """Initialise a request that is not sent."""
        self._client = client
        self._clock = clock
        self._shown = shown
        self._node = node
        self._req = req
        self._deadline = clock.now() + time_left
        self._done = done
        self._retries = 0
        self._cancel_call: Cancel = _do_nothing

    def start(self) -> Cancel:
        """Sends the request; returns the function that cancels it."""
        self._send()
        return lambda: self._cancel_call()

    def _send(self) -> None:
        """Sends the request with the version that callers have seen."""
        req = self._req
        version = self._shown.version
        time_left = max(0.0, self._deadline - self._clock.now())
        body = encode(
            HandoverRequest(
                req.id, req.method, req.target, req.host, req.headers, req.body, time_left, version
            )
        )
        call = HttpCall(
            self._node.host,
            self._node.peers_port,
            "POST",
            HANDOVER_PATH,
            body=body,
            timeout=time_left,
            ack_timeout=ACK_TIMEOUT_S,
        )
        self._cancel_call = self._client.request(call, self._on_result)

    def _on_result(self, result: HttpResult) -> None:
        """Sends the request again with the node's version, or passes the result on."""
        self._cancel_call = _do_nothing
        version = _stated_version(result)
        if version is not None and self._retries < MAX_VERSION_RETRIES:
            self._retries += 1
            self._shown.record(version)
            self._send()
            return
        self._done(_decode(result, self._req.id))


def _do_nothing() -> None:
    """Cancels nothing: the call has ended."""


def _stated_version(result: HttpResult) -> ConfigVersion | None:
    """Returns the version of a node that has a later one than the request; None in other cases."""
    if isinstance(result, Err) or result.ok_value.status != STATUS_OTHER_VERSION:
        return None
    try:
        return ConfigVersion(decode_msgpack(result.ok_value.body, int))
    except DecodingError:
        return None


def _decode(result: HttpResult, request: RequestId) -> HandoverResult:
    """Decodes a node's reply to a request, or classifies its failure."""
    if isinstance(result, Err):
        return Err(HandoverFailure(result.err_value.sent, result.err_value.detail))
    reply = result.ok_value
    if reply.status != STATUS_OK:
        return Err(
            HandoverFailure(reply.status not in NOT_SERVED_STATUSES, f"status {reply.status}")
        )
    try:
        answer = decode_msgpack(reply.body, HandoverReply)
    except DecodingError as exc:
        return Err(HandoverFailure(True, f"reply does not decode: {exc}"))
    if answer.id != request:
        return Err(HandoverFailure(True, f"reply to request {answer.id} instead of {request}"))
    if not is_final_status(answer.status):
        # Nodes of earlier builds forward any status.
        return Err(HandoverFailure(True, f"the answer has status {answer.status}"))
    return Ok(Answer(answer.status, answer.headers, answer.body))
