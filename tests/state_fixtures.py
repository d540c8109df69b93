"""Test data and a scripted source for the tests of shared state."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from string import ascii_lowercase, digits

from result import Err, Ok

from sequoiapulley.forward.messages import UpstreamRecord
from sequoiapulley.forward.peer_table import Heartbeat, NodeState
from sequoiapulley.forward.route_table import Route, RouteTable, WeightedService
from sequoiapulley.forward.state import (
    Change,
    ChangeSet,
    ChangesReply,
    NodeRecord,
    SourceError,
    SourceErrorKind,
    UpstreamChange,
    UpstreamRemoval,
)
from sequoiapulley.forward.store_position import StorePosition
from sequoiapulley.ids import (
    ConfigVersion,
    Era,
    FailureDomainName,
    Incarnation,
    NodeId,
    RegionName,
    Revision,
    ServiceName,
    UpstreamName,
)


def upstream(
    name: str, service: str = "s", draining: bool = False, start: int = 1, report: int = 0
) -> UpstreamRecord:
    """Returns an upstream's record."""
    return UpstreamRecord(
        UpstreamName(name),
        ServiceName(service),
        "127.0.0.1",
        1,
        FailureDomainName("p"),
        2,
        draining,
        0.0,
        start,
        report,
    )


def upstream_change(name: str, **fields: object) -> UpstreamChange:
    """Returns the change for an upstream that registers."""
    return UpstreamChange(upstream(name, **fields))  # type: ignore[arg-type]


def removal(name: str, may_return: bool = False) -> UpstreamRemoval:
    """Returns the change for an upstream whose entry was removed."""
    return UpstreamRemoval(UpstreamName(name), may_return)


def table(version: int, service: str = "s") -> RouteTable:
    """Returns a configuration with one route."""
    split = (WeightedService(ServiceName(service), 1.0),)
    route = Route("r", "h", "/p/", True, 1.0, 0.1, 1, 2, split)
    return RouteTable(ConfigVersion(version), (route,), {})


def large_table(version: int, count: int) -> RouteTable:
    """Returns a configuration with `count` routes; equal numbers give equal routes."""
    routes = []
    for number in range(count):
        suffix = "".join(Random(number).choices(ascii_lowercase + digits, k=8))
        split = (WeightedService(ServiceName("s"), 1.0),)
        routes.append(Route(f"r-{suffix}", "a.example", f"/{suffix}/", True, 3.0, 0.4, 2, 2, split))
    return RouteTable(ConfigVersion(version), tuple(routes), {})


def changes(
    revision: int, *items: Change, whole: bool = False, age: float = 0.0, era: int = 0
) -> ChangeSet:
    """Returns a change set."""
    return ChangeSet(Revision(revision), items, whole, age, Era(era))


def position(revision: int, era: int = 0) -> StorePosition:
    """Returns a position in the store's history."""
    return StorePosition(Era(era), Revision(revision))


def node(
    name: str, failure_domain: str = "p", region: str = "g", capacity: float = 1.0
) -> NodeRecord:
    """Returns a node's record; the host is its name."""
    return NodeRecord(
        NodeId(name),
        Incarnation(1),
        FailureDomainName(failure_domain),
        RegionName(region),
        name,
        1,
        2,
        3,
        capacity,
    )


def heartbeat(
    record: NodeRecord,
    version: int = 1,
    revision: int = 1,
    state: NodeState = NodeState.READY,
    era: int = 0,
) -> Heartbeat:
    """Returns a node's heartbeat."""
    return Heartbeat(
        record,
        state,
        ConfigVersion(version),
        Revision(revision),
        Era(era),
        compares_versions=True,
    )


def unavailable(era: int = 0) -> ChangesReply:
    """Returns the reply of an unavailable source."""
    return Err(SourceError(SourceErrorKind.UNAVAILABLE, "away", Era(era)))


def history_compacted(era: int = 0) -> ChangesReply:
    """Returns the reply of a source whose history was compacted."""
    return Err(SourceError(SourceErrorKind.HISTORY_COMPACTED, "gone", Era(era)))


def read(found: ChangeSet) -> ChangesReply:
    """Returns a successful reply."""
    return Ok(found)


class ScriptedSource:
    """Implements `StateSource`; the test replies to each read explicitly."""

    receiving = False

    def __init__(self, name: str = "store") -> None:
        self.name = name
        self.asked: list[str] = []
        self.waited: list[float] = []
        """Maximum wait of each read of changes."""
        self.idle_closed_before: list[int] = []
        """Number of the read before which idle connections were closed, for each time."""
        self._done: list[Callable[[ChangesReply], None]] = []

    def close_idle(self) -> None:
        self.idle_closed_before.append(len(self.asked) + 1)

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        self.asked.append("exact" if exact else "stale")
        self._done.append(done)

    def read_changes(
        self,
        after: StorePosition,
        wait: float,
        timeout: float,
        done: Callable[[ChangesReply], None],
    ) -> None:
        self.waited.append(wait)
        era = f" of era {after.era}" if after.era else ""
        self.asked.append(f"after {after.revision}{era}")
        self._done.append(done)

    @property
    def waits(self) -> bool:
        """Whether a read has no reply yet."""
        return bool(self._done)

    def reply(self, reply: ChangesReply) -> None:
        """Replies to the oldest read."""
        self._done.pop(0)(reply)
