"""One submitted sub-request and its exchanges with upstreams."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from sequoiapulley.ids import ExchangeId, UpstreamName
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream.messages import SubRun, SubSearch
from sequoiapulley.upstream.upstream_state import UpstreamState

if TYPE_CHECKING:
    from sequoiapulley.upstream.directory import InstanceState


class WorkState(Enum):
    """Processing state of a sub-request."""

    NEW = "new"
    QUEUED = "queued"
    RESERVED = "reserved"
    """Suspected work that waits until no other request is in flight at its upstream."""
    IN_FLIGHT = "in_flight"
    FINISHED = "finished"


class Exchange:
    """One request sent to one upstream."""

    __slots__ = ("exchange_id", "fresh", "isolated", "sent_at", "upstream", "work")

    def __init__(
        self,
        exchange_id: ExchangeId,
        work: Work,
        upstream: UpstreamState,
        sent_at: float,
        fresh: bool,
    ) -> None:
        self.exchange_id = exchange_id
        self.work = work
        self.upstream = upstream
        self.sent_at = sent_at
        self.fresh = fresh
        """Whether a new connection was requested."""
        self.isolated = upstream.reserved_for is work
        """Whether it is the only request of this home node in flight at the upstream."""


class Work:
    """A sub-search or a sub-run, from its submission to its outcome."""

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
        """Creates work that is not yet queued.

        Args:
            sub: The sub-request as submitted.
            instance: The instance that serves its shard.
        """
        self.sub = sub
        self.sub_id = sub.sub_id
        self.deadline = sub.deadline
        self.fingerprint = sub.fingerprint
        self.is_run = isinstance(sub, SubRun)
        self.instance = instance
        self.state = WorkState.NEW
        self.due: float | None = None
        """Clock reading at which its next timer expires."""
        self.exchanges: list[Exchange] = []
        """Exchanges in flight, oldest first."""
        self.tried: set[UpstreamName] = set()
        """Upstreams excluded from further tries: those to which the work was sent, or to which no
        connection could be opened."""
        self.tries = 0
        self.replaced = False
        """Whether an exchange was replaced by one on a new connection."""
        self.reserved_on: UpstreamState | None = None
        """The upstream that is reserved for this work while its state is `RESERVED`."""
        self.reason: MissingReason | None = None
        """Why the last exchange that failed gave no answer."""
