"""Bounds the repeats that this node sends to each service.

All nodes together may send `ratio` repeats for each request plus a constant in any window. Each
node takes its own requests' share and a part of the constant, so that no message between nodes is
needed to keep the sum.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import ServiceName

REQUEST_SHARE: Final = 0.9
"""Part of the per-request repeats that is used; the rest covers what is counted at window ends."""
HEDGE_RESERVE: Final = 0.3
"""Part of the quota that hedges leave for repeats after a failure."""
BUCKETS_PER_WINDOW: Final = 10


class QuotaSettings(Struct, frozen=True):
    """The bound on repeats, over all nodes."""

    ratio: float = 0.2
    """Repeats for each request."""
    slack: float = 100.0
    """Repeats in a window beside those for each request."""
    window: float = 10.0
    """Length of the sliding window in seconds."""


class _Bucket:
    """Counts of one slice of the window."""

    __slots__ = ("requests", "retries", "start")

    def __init__(self, start: float) -> None:
        """Initialise empty counts."""
        self.start = start
        self.requests = 0
        self.retries = 0


class _ServiceCounts:
    """Counts of one service over the window."""

    __slots__ = ("buckets", "requests", "retries")

    def __init__(self) -> None:
        """Initialise without buckets."""
        self.buckets: deque[_Bucket] = deque()
        self.requests = 0
        self.retries = 0


class RetryQuota:
    """Sliding counts of requests and repeats for each service."""

    def __init__(self, settings: QuotaSettings) -> None:
        """Initialise without counts.

        Args:
            settings: The bound over all nodes.
        """
        self._settings = settings
        self._services: dict[ServiceName, _ServiceCounts] = {}
        self.slack_share = 0.0
        """This node's part of the constant, 0 to 1."""

    def configure(self, settings: QuotaSettings) -> None:
        """Takes another bound; counts stay.

        Args:
            settings: The bound over all nodes.
        """
        self._settings = settings

    def record_request(self, service: ServiceName, now: float) -> None:
        """Counts the first try of a request."""
        counts = self._current(service, now)
        counts.buckets[-1].requests += 1
        counts.requests += 1

    def try_acquire(self, service: ServiceName, now: float, hedge: bool) -> bool:
        """Counts one repeat if the quota allows it.

        Args:
            service: Service that gets the repeat.
            now: Clock reading in seconds.
            hedge: Whether the repeat only saves time, as the first try may still be answered.

        Returns:
            Whether the repeat may be sent.
        """
        if self.available(service, now, hedge) < 1:
            return False
        counts = self._current(service, now)
        counts.buckets[-1].retries += 1
        counts.retries += 1
        return True

    def refund(self, service: ServiceName) -> None:
        """Takes back the count of a repeat that never left."""
        counts = self._services.get(service)
        if counts is None or not counts.buckets or counts.buckets[-1].retries == 0:
            return
        counts.buckets[-1].retries -= 1
        counts.retries -= 1

    def available(self, service: ServiceName, now: float, hedge: bool) -> float:
        """Returns the repeats that may be sent now."""
        counts = self._current(service, now)
        cfg = self._settings
        quota = REQUEST_SHARE * cfg.ratio * counts.requests
        quota += self.slack_share * cfg.slack
        if hedge:
            quota *= 1 - HEDGE_RESERVE
        return quota - counts.retries

    def _current(self, service: ServiceName, now: float) -> _ServiceCounts:
        """Returns a service's counts with a bucket for the present slice."""
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _ServiceCounts()
        buckets = counts.buckets
        # The oldest slice stays until all of it is out of the window.
        slice_s = self._settings.window / BUCKETS_PER_WINDOW
        while buckets and now - buckets[0].start >= self._settings.window + slice_s:
            old = buckets.popleft()
            counts.requests -= old.requests
            counts.retries -= old.retries
        if not buckets or now - buckets[-1].start >= slice_s:
            buckets.append(_Bucket(now))
        return counts
