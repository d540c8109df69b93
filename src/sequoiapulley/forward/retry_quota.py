"""Limits the retries that this node sends to each service; a hedged request counts as a retry.

In any window, all nodes together may send `ratio` retries for each request, plus a constant
(`slack`). Each node uses the share of its own requests and its share of the slack, so that the sum
stays within the limit without messages between nodes.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import ServiceName

REQUEST_SHARE: Final = 0.9
"""Share of the per-request retries that is used; the rest covers requests and retries that are
counted wrongly at the ends of the window."""
HEDGE_RESERVE: Final = 0.3
"""Share of the quota that is reserved for retries after a failure and not used by hedged
requests."""
BUCKETS_PER_WINDOW: Final = 10


class QuotaSettings(Struct, frozen=True):
    """Limit on retries, for all nodes together."""

    ratio: float = 0.2
    """Retries allowed for each request."""
    slack: float = 100.0
    """Retries allowed in a window in addition to those for each request."""
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
    """Counts requests and retries for each service over a sliding window."""

    def __init__(self, settings: QuotaSettings) -> None:
        """Initialise without counts.

        Args:
            settings: The limit for all nodes together.
        """
        self._settings = settings
        self._services: dict[ServiceName, _ServiceCounts] = {}
        self.slack_share = 0.0
        """This node's share of the slack, 0 to 1."""

    def configure(self, settings: QuotaSettings) -> None:
        """Replaces the limit; the counts are retained.

        Args:
            settings: The limit for all nodes together.
        """
        self._settings = settings

    def record_request(self, service: ServiceName, now: float) -> None:
        """Counts the first try of a request."""
        counts = self._current(service, now)
        counts.buckets[-1].requests += 1
        counts.requests += 1

    def try_acquire(self, service: ServiceName, now: float, hedge: bool) -> bool:
        """Counts one retry if the quota allows it.

        Args:
            service: Service that receives the retry.
            now: Clock reading in seconds.
            hedge: Whether it is a hedged request: the first try may still get a reply.

        Returns:
            Whether the retry may be sent.
        """
        if self.available(service, now, hedge) < 1:
            return False
        counts = self._current(service, now)
        counts.buckets[-1].retries += 1
        counts.retries += 1
        return True

    def refund(self, service: ServiceName) -> None:
        """Credits the quota with one retry that was counted but not sent."""
        counts = self._services.get(service)
        if counts is None or not counts.buckets or counts.buckets[-1].retries == 0:
            return
        counts.buckets[-1].retries -= 1
        counts.retries -= 1

    def available(self, service: ServiceName, now: float, hedge: bool) -> float:
        """Returns the number of retries that may be sent now."""
        counts = self._current(service, now)
        cfg = self._settings
        quota = REQUEST_SHARE * cfg.ratio * counts.requests
        quota += self.slack_share * cfg.slack
        if hedge:
            quota *= 1 - HEDGE_RESERVE
        return quota - counts.retries

    def _current(self, service: ServiceName, now: float) -> _ServiceCounts:
        """Returns a service's counts, with a bucket for the current slice."""
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _ServiceCounts()
        buckets = counts.buckets
        # The oldest slice is counted until all of it has left the window.
        slice_s = self._settings.window / BUCKETS_PER_WINDOW
        while buckets and now - buckets[0].start >= self._settings.window + slice_s:
            old = buckets.popleft()
            counts.requests -= old.requests
            counts.retries -= old.retries
        if not buckets or now - buckets[-1].start >= slice_s:
            buckets.append(_Bucket(now))
        return counts
