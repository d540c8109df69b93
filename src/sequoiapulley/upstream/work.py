"""One submitted sub-request and the exchanges that serve it."""

from __future__ import annotations

from enum import Enum

from sequoiapulley.ids import ExchangeId, Fingerprint, InstanceName, ServiceName, UpstreamName
from sequoiapulley.search.messages import LackReason
from sequoiapulley.upstream.messages import SubRun, SubSearch
from sequoiapulley.upstream.upstream_state import UpstreamState


class WorkState(Enum):
    """Where a sub-request stands."""

    QUEUED = "queued"
    IN_FLIGHT = "in_flight"
    FINISHED = "finished"


class Exchange:
    """One request sent to one upstream."""

    __slots__ = ("exchange_id", "sent_at", "upstream", "work")

    def __init__(
        self, exchange_id: ExchangeId, work: Work, upstream: UpstreamState, sent_at: float
    ) -> None:
        """Initialise the exchange; arguments become attributes of the same names."""
        self.exchange_id = exchange_id
        self.work = work
        self.upstream = upstream
        self.sent_at = sent_at


class Work:
    """A sub-search or a sub-run until its outcome is known."""

    __slots__ = (
        "deadline",
        "exchanges",
        "fingerprint",
        "instance",
        "is_run",
        "reason",
        "service",
        "state",
        "sub",
        "sub_id",
        "tried",
    )

    def __init__(self, sub: SubSearch | SubRun) -> None:
        """Initialise queued work.

        Args:
            sub: The sub-request as submitted.
        """
        self.sub = sub
        self.sub_id: int = sub.sub_id
        self.deadline: float = sub.deadline
        self.fingerprint: Fingerprint = sub.fingerprint
        self.is_run = isinstance(sub, SubRun)
        target = sub if isinstance(sub, SubRun) else sub.target
        self.service: ServiceName = target.service
        self.instance: InstanceName = target.instance
        self.state = WorkState.QUEUED
        self.exchanges: list[Exchange] = []
        self.tried: set[UpstreamName] = set()
        self.reason: LackReason | None = None
