"""What the nodes share through the store: configuration, upstreams, nodes."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct
from result import Result

from sequoiapulley.forward.messages import UpstreamRecord
from sequoiapulley.forward.route_table import RouteTable
from sequoiapulley.ids import (
    FailureDomainName,
    Incarnation,
    LeaseId,
    NodeId,
    RegionName,
    Revision,
    UpstreamName,
)


class NodeRecord(Struct, frozen=True, array_like=True):
    """One node as it announces itself."""

    name: NodeId
    incarnation: Incarnation
    """Unix milliseconds of its start; the greater one is the present process."""
    failure_domain: FailureDomainName
    region: RegionName
    host: str
    """IP address."""
    callers_port: int
    peers_port: int
    """TCP port on which other nodes ask for its state."""
    heartbeat_port: int
    """UDP port."""
    capacity: float = 1.0
    """Processor cores that the process may use."""


class TableChange(Struct, frozen=True, tag="table"):
    """A configuration version."""

    table: RouteTable


class UpstreamChange(Struct, frozen=True, tag="upstream"):
    """A record of an upstream."""

    record: UpstreamRecord


class UpstreamRemoval(Struct, frozen=True, tag="upstream_gone"):
    """An upstream's entry is gone."""

    name: UpstreamName
    may_return: bool = False
    """Whether the entry may have lapsed in an outage of the store, and the upstream live on."""


class NodeChange(Struct, frozen=True, tag="node"):
    """A record of a node."""

    record: NodeRecord


class NodeRemoval(Struct, frozen=True, tag="node_gone"):
    """A node's entry is gone."""

    name: NodeId


class Unreadable(Struct, frozen=True, tag="unreadable"):
    """An entry that cannot be read."""

    key: str
    detail: str
    upstream: UpstreamName | None = None
    """The upstream that the entry would name, if any."""


Change = TableChange | UpstreamChange | UpstreamRemoval | NodeChange | NodeRemoval | Unreadable


class ChangeSet(Struct, frozen=True):
    """Changes up to a revision, in order."""

    revision: Revision
    changes: tuple[Change, ...]
    whole: bool = False
    """Whether this is everything there is, so that what is not named is gone."""
    age: float = 0.0
    """Seconds since the store was read."""


class SourceErrorKind(Enum):
    """Why a read failed."""

    HISTORY_GONE = "history_gone"
    """The changes after the revision are no longer kept; read everything."""
    UNAVAILABLE = "unavailable"


class SourceError(Struct, frozen=True):
    """A failed call to a source of state."""

    kind: SourceErrorKind
    detail: str


ChangesReply = Result[ChangeSet, SourceError]
AnnounceReply = Result[LeaseId, SourceError]


class StateSource(Protocol):
    """Reads shared state; every callback runs once, later, on the event loop."""

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        """Reads everything.

        Args:
            exact: Whether the reply must include every change made so far. Otherwise it may be
                some seconds old, which is cheaper.
            timeout: Longest wait for each reply, in seconds.
            done: Receives the result.
        """

    def read_changes(
        self, after: Revision, wait: float, timeout: float, done: Callable[[ChangesReply], None]
    ) -> None:
        """Reads the changes after a revision.

        Args:
            after: Revision up to which everything is known.
            wait: Longest wait of the source for the first change, in seconds.
            timeout: Longest wait for the reply beyond `wait`, in seconds.
            done: Receives the result.
        """


class NodeRegistry(Protocol):
    """Holds the nodes' records; every callback runs once, later, on the event loop."""

    def announce(
        self, record: NodeRecord, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        """Writes a node's record under a new lease of `ttl` seconds."""

    def renew(self, lease: LeaseId, done: Callable[[AnnounceReply], None]) -> None:
        """Renews a node's lease; `HISTORY_GONE` says that it has ended."""

    def withdraw(self, lease: LeaseId) -> None:
        """Ends a node's lease, without waiting for a reply."""
