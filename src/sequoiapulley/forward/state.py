"""Data types of the state that nodes share through the store, and interfaces to read it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final, Protocol

from msgspec import Struct
from result import Result

from sequoiapulley.forward.messages import UpstreamRecord
from sequoiapulley.forward.route_table import RouteTable
from sequoiapulley.forward.store_position import NO_ERA, StorePosition
from sequoiapulley.ids import (
    Era,
    FailureDomainName,
    Fingerprint,
    Incarnation,
    LeaseId,
    NodeId,
    RegionName,
    Revision,
    UpstreamName,
)

MAX_TRANSFER_S: Final = 3.2
"""Maximum time for a reply with state that keeps arriving: twice the time that the store's largest
reply, 1.4 MB, takes on a link of 7 Mbit/s."""


class NodeRecord(Struct, frozen=True, array_like=True):
    """Record that a node publishes about itself."""

    name: NodeId
    incarnation: Incarnation
    """Start time in Unix milliseconds; the greatest one identifies the current process."""
    failure_domain: FailureDomainName
    region: RegionName
    host: str
    """IP address."""
    callers_port: int
    peers_port: int
    """TCP port that serves requests of other nodes."""
    heartbeat_port: int
    """UDP port that receives heartbeats."""
    capacity: float = 1.0
    """Number of processor cores that the process may use."""


class TableChange(Struct, frozen=True, tag="table"):
    """A new configuration version."""

    table: RouteTable


class UpstreamChange(Struct, frozen=True, tag="upstream"):
    """A new or changed record of an upstream."""

    record: UpstreamRecord
    returned: bool = False
    """Whether the entry was removed and written again since the previous read."""


class UpstreamRemoval(Struct, frozen=True, tag="upstream_gone"):
    """The entry of an upstream was removed."""

    name: UpstreamName
    may_return: bool = False
    """Whether the entry may have expired in an outage of the store while the upstream is still
    alive."""


class NodeChange(Struct, frozen=True, tag="node"):
    """A new or changed record of a node."""

    record: NodeRecord


class NodeRemoval(Struct, frozen=True, tag="node_gone"):
    """The entry of a node was removed."""

    name: NodeId


class RequestRefusal(Struct, frozen=True, tag="refusal"):
    """A request that has crashed upstreams, kept for nodes that start later."""

    fingerprint: Fingerprint
    strikes: int
    """Number of losses that counted against it."""
    expires_ms: int
    """Time at which it is no longer refused or suspected, in Unix milliseconds."""


class UnreadableEntry(Struct, frozen=True, tag="unreadable"):
    """An entry that cannot be decoded."""

    key: str
    detail: str
    upstream: UpstreamName | None = None
    """The upstream that the entry's key names, if any."""
    is_configuration: bool = False
    """Whether it is the operator's configuration."""


Change = (
    TableChange
    | UpstreamChange
    | UpstreamRemoval
    | NodeChange
    | NodeRemoval
    | RequestRefusal
    | UnreadableEntry
)


class ChangeSet(Struct, frozen=True):
    """Ordered changes up to a revision."""

    revision: Revision
    changes: tuple[Change, ...]
    whole: bool = False
    """Whether this is the full state, so that upstreams that are not listed were removed."""
    age: float = 0.0
    """Age of the state: seconds since the store was read."""
    era: Era = NO_ERA
    """Era of the store to which the revision belongs."""

    @property
    def position(self) -> StorePosition:
        """Position in the store's history up to which the changes reach."""
        return StorePosition(self.era, self.revision)


class SourceErrorKind(Enum):
    """Why a call to a source of state failed."""

    HISTORY_COMPACTED = "history_gone"
    """The history after the revision was compacted; the full state must be read. For a lease: it
    has expired."""
    UNAVAILABLE = "unavailable"


class SourceError(Struct, frozen=True):
    """Error of a call to a source of state."""

    kind: SourceErrorKind
    detail: str
    era: Era = NO_ERA
    """Era of the store that the failed call reported; 0 if it reported none."""


ChangesReply = Result[ChangeSet, SourceError]
AnnounceReply = Result[LeaseId, SourceError]
RegisteredReply = Result[bool, SourceError]
FoundLeaseReply = Result[LeaseId | None, SourceError]


class StateSource(Protocol):
    """Reads shared state; every callback runs once, asynchronously, on the event loop."""

    @property
    def receiving(self) -> bool:
        """Whether a part of a reply has arrived."""

    def close_idle(self) -> None:
        """Closes idle connections to the source, which may have gone silent."""

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        """Reads the full state.

        Args:
            exact: Whether the reply must include every change made so far. Otherwise it may be
                some seconds old, which is cheaper.
            timeout: Timeout of each reply, in seconds. A reply that keeps arriving has
                `MAX_TRANSFER_S`.
            done: Called with the result.
        """

    def read_changes(
        self,
        after: StorePosition,
        wait: float,
        timeout: float,
        done: Callable[[ChangesReply], None],
    ) -> None:
        """Reads the changes after a position.

        The reply may be of another era, if the store was restored meanwhile. Its changes are then
        not the ones that follow the position.

        Args:
            after: Position up to which everything has been read.
            wait: Maximum time that the source waits for the first change, in seconds.
            timeout: Timeout of the reply, in addition to `wait`, in seconds. A reply that keeps
                arriving has `MAX_TRANSFER_S`.
            done: Called with the result.
        """


class RefusalStore(Protocol):
    """Keeps refused requests; every callback runs once, asynchronously, on the event loop."""

    def keep_refusal(
        self, refusal: RequestRefusal, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        """Writes a refused request under a new lease of `ttl` seconds."""


class NodeRegistry(Protocol):
    """Registry of nodes; every callback runs once, asynchronously, on the event loop."""

    def announce(
        self, record: NodeRecord, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        """Writes a node's record under a new lease of `ttl` seconds."""

    def renew(self, lease: LeaseId, done: Callable[[AnnounceReply], None]) -> None:
        """Renews a node's lease; the error `HISTORY_COMPACTED` means that the lease has expired."""

    def is_registered(
        self, record: NodeRecord, lease: LeaseId, done: Callable[[RegisteredReply], None]
    ) -> None:
        """Reads whether the store holds a node's record under its lease."""

    def find_lease(self, record: NodeRecord, done: Callable[[FoundLeaseReply], None]) -> None:
        """Reads the lease of a record that an earlier process of the node has left.

        The reply may be some seconds old. It has no lease if the store holds no such record, or
        one that differs in more than the incarnation.
        """
