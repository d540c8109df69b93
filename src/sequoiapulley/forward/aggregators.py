"""Requests merged parts from nodes of other failure domains (aggregators).

A direct call to a remote shard costs a whole exchange on an expensive link, above all between
regions. An aggregator in the shards' failure domain calls several of them and returns only the
greatest records of their parts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

from msgspec import Struct
from result import Err, Result

from sequoiapulley.forward.log_events import AGGREGATOR_FAILED, AGGREGATOR_REGAINED
from sequoiapulley.forward.messages import Headers
from sequoiapulley.forward.roles import ranked
from sequoiapulley.forward.state import NodeRecord
from sequoiapulley.ids import FailureDomainName, NodeId, RequestId, ServiceName, UpstreamName
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import Clock

NODES_PER_FAILURE_DOMAIN: Final = 2
"""Number of nodes of a failure domain that are used: its entry nodes, which already have open
connections to the upstreams."""
INITIAL_PAUSE_S: Final = 2.0
"""Time for which a node is not used after its first failure, about half the time until missing
heartbeats mark it as lost."""
MAX_PAUSE_S: Final = 16.0
DIRECT_REQUEST_S: Final = 2.0
"""Time for which a shard is called directly after a node did not return its part in time, so that
the local node measures the shard's latency itself."""


class ShardTask(Struct, frozen=True, array_like=True):
    """A shard to call, and the upstreams that may receive the request."""

    service: ServiceName
    upstreams: tuple[UpstreamName, ...]


class PartsRequest(Struct, frozen=True, array_like=True):
    """Request to a node for the merged parts of some shards."""

    id: RequestId
    """Id of the caller's attempt."""
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    time_left: float
    """Seconds until the caller's deadline."""
    due_in: float
    """Seconds until the reply is due, with the parts that have arrived by then."""
    route: str
    goal: float
    """Latency goal of the route, in seconds."""
    max_upstreams: int
    """Maximum number of upstreams of a shard that may run the request."""
    top_k: int
    """Maximum number of records in the merged body."""
    tasks: tuple[ShardTask, ...]


class PartsReply(Struct, frozen=True, array_like=True):
    """The parts that arrived in time."""

    seals: dict[int, bytes]
    """Message authentication code (seal) of each part, by position of its shard in the request."""
    body: bytes
    """The greatest records of these parts, in descending order."""
    elapsed: float
    """Seconds between the request's arrival and this reply."""
    leaving: tuple[UpstreamName, ...] = ()
    """Requested upstreams that have announced their shutdown."""
    id: RequestId = RequestId("")
    """Id of the request; empty in replies of nodes of earlier versions."""
    crashed: dict[int, UpstreamName] = {}
    """Upstream that crashed while it had the request, by position of its shard; empty in replies of
    nodes of earlier versions."""


class PartsFailure(Struct, frozen=True):
    """Failed request to a node."""

    sent: bool
    """Whether the request may have reached the node."""
    detail: str


class PartsTimeouts(Struct, frozen=True):
    """Timeouts of a request to a node."""

    reply: float
    """Timeout of the reply, in seconds."""
    confirmation: float | None
    """Timeout for the node's kernel to acknowledge the request, in seconds; None for no timeout."""


PartsResult = Result[PartsReply, PartsFailure]


class PartsClient(Protocol):
    """Sends requests for parts to single nodes."""

    def ensure_connected(self, node: NodeRecord) -> bool:
        """Returns whether a request can be sent at once; if not, starts to open a connection."""

    def request_parts(
        self,
        node: NodeRecord,
        request: PartsRequest,
        timeouts: PartsTimeouts,
        done: Callable[[PartsResult], None],
    ) -> None:
        """Sends a request.

        Args:
            node: The remote node.
            request: The request.
            timeouts: Timeouts of the request.
            done: Called once with the result, asynchronously.
        """


class _Pause:
    """Pause during which a failed node is not used."""

    __slots__ = ("length", "until")

    def __init__(self, length: float, until: float) -> None:
        """Initialise a pause of `length` seconds that ends at the clock reading `until`."""
        self.length = length
        self.until = until


class Aggregators:
    """Selects the remote nodes that merge parts, and pauses the use of those that fail."""

    def __init__(
        self,
        failure_domain: FailureDomainName,
        ready: Callable[[], list[NodeRecord]],
        client: PartsClient,
        clock: Clock,
        log: LogSink,
    ) -> None:
        """Initialise without failed nodes.

        Args:
            failure_domain: Failure domain of the local node.
            ready: Returns the peers that serve callers.
            client: Sends requests to nodes.
            clock: Source of time.
            log: Receives failures and recoveries of nodes.
        """
        self._failure_domain = failure_domain
        self._ready = ready
        self._client = client
        self._clock = clock
        self._log = log
        self._pauses: dict[NodeId, _Pause] = {}
        self._direct_until: dict[ServiceName, float] = {}
        self._round_robin_index = 0

    def is_remote(self, failure_domain: FailureDomainName) -> bool:
        """Returns whether a failure domain differs from that of the local node."""
        return failure_domain != self._failure_domain

    def may_delegate(self, service: ServiceName) -> bool:
        """Returns whether the call to a shard may be delegated to a remote node."""
        until = self._direct_until.get(service)
        return until is None or self._clock.now() >= until

    def next_node(self, failure_domain: FailureDomainName) -> NodeRecord | None:
        """Returns the node of a failure domain to use next, in rotation, or None."""
        usable = [
            node for node in self._usable(failure_domain) if self._client.ensure_connected(node)
        ]
        if not usable:
            return None
        self._round_robin_index += 1
        return usable[self._round_robin_index % len(usable)]

    def request_parts(
        self,
        node: NodeRecord,
        request: PartsRequest,
        timeouts: PartsTimeouts,
        done: Callable[[PartsResult], None],
    ) -> None:
        """Sends a request to a node and records the outcome.

        Args:
            node: The remote node.
            request: The request.
            timeouts: Timeouts of the request.
            done: Called once with the result, asynchronously.
        """

        def on_result(result: PartsResult) -> None:
            self._record_result(node, request, result)
            done(result)

        self._client.request_parts(node, request, timeouts, on_result)

    def preopen_connections(self) -> None:
        """Opens connections in advance to remote nodes without one."""
        for domain in {node.failure_domain for node in self._ready()} - {self._failure_domain}:
            for node in self._usable(domain):
                self._client.ensure_connected(node)

    def _usable(self, failure_domain: FailureDomainName) -> list[NodeRecord]:
        """Returns the nodes of a failure domain that may be used."""
        now = self._clock.now()
        candidates = [node for node in self._ready() if node.failure_domain == failure_domain]
        return [
            node
            for node in ranked(candidates)[:NODES_PER_FAILURE_DOMAIN]
            if not self._is_paused(node, now)
        ]

    def _is_paused(self, node: NodeRecord, now: float) -> bool:
        """Returns whether a node is currently not used because it failed."""
        pause = self._pauses.get(node.name)
        return pause is not None and now < pause.until

    def _record_result(self, node: NodeRecord, request: PartsRequest, result: PartsResult) -> None:
        """Records the result of a request to a node."""
        now = self._clock.now()
        if isinstance(result, Err):
            before = self._pauses.get(node.name)
            if before is not None and now < before.until:
                return
            length = INITIAL_PAUSE_S if before is None else min(MAX_PAUSE_S, 2 * before.length)
            self._pauses[node.name] = _Pause(length, now + length)
            failure = result.err_value
            self._log.log(
                AGGREGATOR_FAILED,
                id=request.id,
                peer=node.name,
                error=failure.detail,
                pause_s=length,
            )
            return
        if self._pauses.pop(node.name, None) is not None:
            self._log.log(AGGREGATOR_REGAINED, id=request.id, peer=node.name)
        for position, task in enumerate(request.tasks):
            if position not in result.ok_value.seals:
                self._direct_until[task.service] = now + DIRECT_REQUEST_S


def cover_failure_domains(
    domains_of: Mapping[int, Iterable[FailureDomainName]],
) -> dict[FailureDomainName, list[int]]:
    """Returns the shards to request from each failure domain, using few failure domains.

    Greedy: it repeatedly picks the failure domain that covers the most remaining shards.

    Args:
        domains_of: Failure domains with a suitable upstream, by position of the shard.
    """
    remaining = {position: frozenset(domains) for position, domains in domains_of.items()}
    groups: dict[FailureDomainName, list[int]] = {}
    while remaining:
        counts: dict[FailureDomainName, int] = {}
        for domains in remaining.values():
            for domain in domains:
                counts[domain] = counts.get(domain, 0) + 1
        if not counts:
            break
        best = min(counts, key=lambda domain: (-counts[domain], domain))
        groups[best] = [position for position, domains in remaining.items() if best in domains]
        remaining = {
            position: domains for position, domains in remaining.items() if best not in domains
        }
    return groups
