"""One submitted sub-request and the exchanges that serve it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from sequoiapulley.ids import ExchangeId, UpstreamName
from sequoiapulley.search.messages import LackReason
from sequoiapulley.upstream.messages import SubRun, SubSearch
from sequoiapulley.upstream.upstream_state import UpstreamState

if TYPE_CHECKING:
    from sequoiapulley.upstream.directory import InstanceState


class WorkState(Enum):
    """Where a sub-request stands."""

    NEW = "new"
    QUEUED = "queued"
    RESERVED = "reserved"
    """Suspected work that waits for its upstream to run empty."""
    IN_FLIGHT = "in_flight"
    FINISHED = "finished"


class Exchange:
    """One request sent to one upstream."""

    __slots__ = ("alone", "exchange_id", "fresh", "sent_at", "upstream", "work")

    def __init__(
        self,
        exchange_id: ExchangeId,
        work: Work,
        upstream: UpstreamState,
        sent_at: float,
        fresh: bool,
    ) -> None:
        """Initialise the exchange; arguments become attributes of the same names."""
        self.exchange_id = exchange_id
        self.work = work
        self.upstream = upstream
        self.sent_at = sent_at
        self.fresh = fresh
        """Whether a new connection was ordered."""
        self.alone = upstream.exclusive is work
        """Whether nothing else of this home is in flight at the upstream meanwhile."""


class Work:
    """A sub-search or a sub-run until its outcome is known."""

    __slots__ = (
        "deadline",
        "due",
        "exchanges",
        "fingerprint",
        "instance",
        "is_run",
        "reason",
        "replaced",
        "reserved_on",
        "state",
        "sub",
        "sub_id",
        "tried",
        "tries",
    )

    def __init__(self, sub: SubSearch | SubRun, instance: InstanceState) -> None:
        """Initialise new work.

        Args:
            sub: The sub-request as submitted.
            instance: The instance that holds its shard.
        """
        self.sub = sub
        self.sub_id = sub.sub_id
        self.deadline = sub.deadline
        self.fingerprint = sub.fingerprint
        self.is_run = isinstance(sub, SubRun)
        self.instance = instance
        self.state = WorkState.NEW
        self.due: float | None = None
        """Clock reading at which the work is next looked at."""
        self.exchanges: list[Exchange] = []
        """Exchanges in flight, oldest first."""
        self.tried: set[UpstreamName] = set()
        """Upstreams that may have received the work."""
        self.tries = 0
        self.replaced = False
        """Whether an exchange was replaced by one on a fresh connection."""
        self.reserved_on: UpstreamState | None = None
        """The upstream that suspected work waits for."""
        self.reason: LackReason | None = None
        """Why the latest exchange that ended gave no answer."""
