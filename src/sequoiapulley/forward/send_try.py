"""One send of a request to one upstream."""

from __future__ import annotations

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.runtime import TimerHandle


class SendTry:
    """One send to one upstream."""

    __slots__ = (
        "ended",
        "exchange",
        "overdue",
        "overdue_after_s",
        "overdue_timer",
        "upstream",
        "uses_quota",
    )

    def __init__(self, upstream: Upstream, uses_quota: bool) -> None:
        """Initialise a try.

        Args:
            upstream: Where it goes.
            uses_quota: Whether it was taken from the quota of repeats.
        """
        self.upstream = upstream
        self.uses_quota = uses_quota
        self.exchange: Exchange | None = None
        self.overdue_timer: TimerHandle | None = None
        self.overdue = False
        self.overdue_after_s = 0.0
        """Time after which it is overdue, in seconds."""
        self.ended = False
