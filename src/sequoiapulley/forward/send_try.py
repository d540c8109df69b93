"""One try: one send of a request to one upstream."""

from __future__ import annotations

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.runtime import TimerHandle


class SendTry:
    """State of one try."""

    __slots__ = (
        "alone",
        "ended",
        "exchange",
        "overdue",
        "overdue_after_s",
        "overdue_timer",
        "probe",
        "upstream",
        "uses_quota",
    )

    def __init__(self, upstream: Upstream, uses_quota: bool, probe: bool) -> None:
        """Initialise a try that has not been sent.

        Args:
            upstream: The upstream that receives the request.
            uses_quota: Whether it consumed a retry from the quota.
            probe: Whether it is the probe of a request that may crash upstreams.
        """
        self.upstream = upstream
        self.uses_quota = uses_quota
        self.probe = probe
        self.alone = upstream.pool.busy == 0
        """Whether nothing else of this node was in flight at the upstream."""
        self.exchange: Exchange | None = None
        self.overdue_timer: TimerHandle | None = None
        self.overdue = False
        self.overdue_after_s = 0.0
        """Time from the send until the try is overdue, in seconds."""
        self.ended = False
