"""One send of a request to one upstream."""

from __future__ import annotations

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.runtime import TimerHandle


class SendTry:
    """One send to one upstream."""

    __slots__ = ("counted", "ended", "exchange", "overdue", "overdue_timer", "upstream", "usual")

    def __init__(self, upstream: Upstream, counted: bool) -> None:
        """Initialise a try.

        Args:
            upstream: Where it goes.
            counted: Whether it was taken from the quota of repeats.
        """
        self.upstream = upstream
        self.counted = counted
        self.exchange: Exchange | None = None
        self.overdue_timer: TimerHandle | None = None
        self.overdue = False
        self.usual = 0.0
        """Time after which it is overdue, in seconds."""
        self.ended = False
