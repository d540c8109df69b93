"""Nodes of other failure domains that ask the shards near them and merge the parts.

A part from another failure domain costs a whole exchange on a link that is dear, above all between
regions. A node beside the shards asks several of them at once and sends back the greatest records
only.
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
"""Nodes of a failure domain that are asked: those that serve its callers, whose connections are
warm."""
INITIAL_PAUSE_S: Final = 2.0
"""Time for which a node is not asked after it did not answer, about half of what heartbeats need to
show that it is gone."""
MAX_PAUSE_S: Final = 16.0
DIRECT_REQUEST_S: Final = 2.0
"""Time for which a shard is asked directly after a node could not get its part in time, so that
this node learns itself how slow the shard is."""


class ShardTask(Struct, frozen=True, array_like=True):
    """A shard to ask, and the upstreams that may get the request."""

    service: ServiceName
    upstreams: tuple[UpstreamName, ...]


class PartsRequest(Struct, frozen=True, array_like=True):
    """Asks a node for the merged parts of some shards."""

    id: RequestId
    """The caller's id of its attempt."""
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    time_left: float
    """Seconds that the caller waits."""
    due_in: float
    """Seconds after which the reply goes out with the parts that are there."""
    route: str
    goal: float
    """The route's goal in seconds."""
    max_upstreams: int
    """Most upstreams of a shard that may run the request."""
    top_k: int
    """Records in the merged body."""
    tasks: tuple[ShardTask, ...]


class PartsReply(Struct, frozen=True, array_like=True):
    """The parts that came in time."""

    seals: dict[int, bytes]
    """Proof of each part, by the position of its shard in the request."""
    body: bytes
    """The greatest records of these parts, greatest first."""
    elapsed: float
    """Seconds between the request's arrival and this reply."""


class PartsFailure(Struct, frozen=True):
    """A node that did not answer."""

    sent: bool
    """Whether the request may have reached it."""
    detail: str


class PartsBounds(Struct, frozen=True):
    """How long to wait for a node."""

    reply: float
    """Longest wait for the reply, in seconds."""
    confirmation: float | None
    """Longest wait for the node's kernel to confirm the request, in seconds; None for no bound."""


PartsResult = Result[PartsReply, PartsFailure]


class PartsClient(Protocol):
    """Asks one node for parts."""

    def is_connected(self, node: NodeRecord) -> bool:
        """Returns whether a request would leave at once; if not, a connection is opened."""

    def ask(
        self,
        node: NodeRecord,
        request: PartsRequest,
        bounds: PartsBounds,
        done: Callable[[PartsResult], None],
    ) -> None:
        """Sends a request.

        Args:
            node: Whom to ask.
            request: What to ask.
            bounds: How long to wait.
            done: Receives the result, once, later.
        """


class _Pause:
    """Time for which a node is not asked."""

    __slots__ = ("length", "until")

    def __init__(self, length: float, until: float) -> None:
        """Initialise a pause."""
        self.length = length
        self.until = until


class Aggregators:
    """Chooses the nodes that are asked for parts, and remembers which ones fail."""

    def __init__(
        self,
        failure_domain: FailureDomainName,
        ready: Callable[[], list[NodeRecord]],
        client: PartsClient,
        clock: Clock,
        log: LogSink,
    ) -> None:
        """Initialise without failures.

        Args:
            failure_domain: Failure domain of this node.
            ready: Returns the peers that serve callers.
            client: Asks a node.
            clock: Source of time.
            log: Receives nodes that fail and answer again.
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
        """Returns whether a failure domain is not this node's."""
        return failure_domain != self._failure_domain

    def may_delegate(self, service: ServiceName) -> bool:
        """Returns whether a shard's part may come from another node."""
        until = self._direct_until.get(service)
        return until is None or self._clock.now() >= until

    def next_node(self, failure_domain: FailureDomainName) -> NodeRecord | None:
        """Returns the node of a failure domain to ask next, or None."""
        usable = [node for node in self._usable(failure_domain) if self._client.is_connected(node)]
        if not usable:
            return None
        self._round_robin_index += 1
        return usable[self._round_robin_index % len(usable)]

    def ask(
        self,
        node: NodeRecord,
        request: PartsRequest,
        bounds: PartsBounds,
        done: Callable[[PartsResult], None],
    ) -> None:
        """Asks a node and learns from the outcome.

        Args:
            node: Whom to ask.
            request: What to ask.
            bounds: How long to wait.
            done: Receives the result, once, later.
        """

        def on_result(result: PartsResult) -> None:
            self._record_result(node, request, result)
            done(result)

        self._client.ask(node, request, bounds, on_result)

    def keep_connected(self) -> None:
        """Opens connections ahead to the nodes of other failure domains that lack one."""
        for domain in {node.failure_domain for node in self._ready()} - {self._failure_domain}:
            for node in self._usable(domain):
                self._client.is_connected(node)

    def _usable(self, failure_domain: FailureDomainName) -> list[NodeRecord]:
        """Returns the nodes of a failure domain that may be asked."""
        now = self._clock.now()
        near = [node for node in self._ready() if node.failure_domain == failure_domain]
        return [
            node
            for node in ranked(near)[:NODES_PER_FAILURE_DOMAIN]
            if not self._is_paused(node, now)
        ]

    def _is_paused(self, node: NodeRecord, now: float) -> bool:
        """Returns whether a node is not asked at present."""
        pause = self._pauses.get(node.name)
        return pause is not None and now < pause.until

    def _record_result(self, node: NodeRecord, request: PartsRequest, result: PartsResult) -> None:
        """Takes a node's reply or failure."""
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
    """Returns which shards to ask for in which failure domain, using as few as possible.

    Args:
        domains_of: Failure domains with a good upstream, by position of the shard.
    """
    left = {position: frozenset(domains) for position, domains in domains_of.items()}
    groups: dict[FailureDomainName, list[int]] = {}
    while left:
        counts: dict[FailureDomainName, int] = {}
        for domains in left.values():
            for domain in domains:
                counts[domain] = counts.get(domain, 0) + 1
        if not counts:
            break
        best = min(counts, key=lambda domain: (-counts[domain], domain))
        groups[best] = [position for position, domains in left.items() if best in domains]
        left = {position: domains for position, domains in left.items() if best not in domains}
    return groups
