"""Event counts and latency histograms of a service over rolling windows, in bounded memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from itertools import islice
from typing import Final

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US: Final = 100
MAX_LATENCY_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 2

BUCKET_LENGTHS_S: Final = (60, 600, 21_600)
"""Bucket length of each level; each length is a multiple of the previous one."""
CLOSED_BUCKETS: Final = (30, 36, 12)
"""Number of closed buckets stored on each level."""
WINDOW_LEVELS: Final[dict[int, tuple[int, int]]] = {
    300: (0, 5),
    1_800: (0, 30),
    3_600: (1, 6),
    21_600: (1, 36),
    259_200: (2, 12),
}
"""Level and number of closed buckets of each window, by window length in seconds."""
LATENCY_WINDOWS: Final = frozenset({300, 3_600, 259_200})
"""Windows for which a latency histogram is reported."""
COUNT_KINDS: Final = 6
"""Number of counters of a bucket; the constants below are their indices."""

IN_TIME_TOTAL: Final = 0
IN_TIME_GOOD: Final = 1
FULL_COVERAGE_TOTAL: Final = 2
FULL_COVERAGE_GOOD: Final = 3
NOT_REFUSED_TOTAL: Final = 4
NOT_REFUSED_GOOD: Final = 5


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of latencies in microseconds.

    All nodes use the same range and precision, so that their histograms can be merged.
    """
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class _Level:
    """Buckets of the same length: the open one and the latest closed ones."""

    __slots__ = ("closed", "counts", "latency")

    def __init__(self, buckets: int) -> None:
        """Initialise an empty level.

        Args:
            buckets: Number of closed buckets to store.
        """
        self.closed: deque[tuple[list[int], bytes]] = deque(maxlen=buckets)
        self.counts = [0] * COUNT_KINDS
        self.latency: HdrHistogram | None = None

    def close(self) -> None:
        """Closes the open bucket and opens an empty one."""
        encoded = self.latency.encode() if self.latency is not None else b""
        self.closed.append((self.counts, encoded))
        self.counts = [0] * COUNT_KINDS
        self.latency = None

    def merge(self, other: _Level) -> None:
        """Adds the open bucket of a lower level to the open bucket of this level."""
        for index, count in enumerate(other.counts):
            self.counts[index] += count
        if other.latency is None:
            return
        if self.latency is None:
            self.latency = new_histogram()
        self.latency.add(other.latency)


class ServiceCounts:
    """Counts and latencies of one service, on levels of increasingly long buckets.

    A bucket that is closed is also merged into the open bucket of the next level.
    """

    def __init__(self, now: float) -> None:
        """Initialise empty counts.

        Args:
            now: Clock reading in seconds.
        """
        self._minute = int(now // BUCKET_LENGTHS_S[0])
        self._levels = [_Level(buckets) for buckets in CLOSED_BUCKETS]

    def add(self, now: float, *indices: int) -> None:
        """Increments the counters with the given indices."""
        self.roll(now)
        counts = self._levels[0].counts
        for index in indices:
            counts[index] += 1

    def add_latency(self, now: float, seconds: float) -> None:
        """Records the latency of one answer."""
        self.roll(now)
        level = self._levels[0]
        if level.latency is None:
            level.latency = new_histogram()
        microseconds = int(seconds * 1_000_000)
        level.latency.record_value(min(max(microseconds, MIN_LATENCY_US), MAX_LATENCY_US))

    def roll(self, now: float) -> None:
        """Closes all buckets that have ended by now.

        If no stored bucket is recent enough for any window, all counts are dropped instead.
        """
        minute = int(now // BUCKET_LENGTHS_S[0])
        if minute == self._minute:
            return
        max_age_s = BUCKET_LENGTHS_S[-1] * (CLOSED_BUCKETS[-1] + 1)
        if minute - self._minute > max_age_s // BUCKET_LENGTHS_S[0]:
            self._levels = [_Level(buckets) for buckets in CLOSED_BUCKETS]
            self._minute = minute
            return
        while self._minute < minute:
            self._minute += 1
            self._close_buckets(self._minute * BUCKET_LENGTHS_S[0])

    def counts(self, window: int) -> list[int]:
        """Returns the sums of a window.

        They cover the full length of the window, and at most one more bucket of its level.
        """
        sums = [0] * COUNT_KINDS
        for counts in self._counts_of(window):
            for index, count in enumerate(counts):
                sums[index] += count
        return sums

    def latency(self, window: int) -> str:
        """Returns the encoded histogram of a window, or an empty string without answers."""
        level, buckets = WINDOW_LEVELS[window]
        merged = new_histogram()
        for _, encoded in _latest(self._levels[level].closed, buckets):
            if encoded:
                merged.decode_and_add(encoded)
        for lower in self._levels[: level + 1]:
            if lower.latency is not None:
                merged.add(lower.latency)
        return merged.encode().decode() if merged.get_total_count() else ""

    def _counts_of(self, window: int) -> Iterator[list[int]]:
        """Yields the counts of the buckets of a window.

        The open buckets of the lower levels are included: they hold the latest events, which have
        not been merged into the level of the window yet.
        """
        level, buckets = WINDOW_LEVELS[window]
        for counts, _ in _latest(self._levels[level].closed, buckets):
            yield counts
        for lower in self._levels[: level + 1]:
            yield lower.counts

    def _close_buckets(self, boundary: int) -> None:
        """Closes the open bucket of each level that ends at a time, lowest level first."""
        for index, level in enumerate(self._levels):
            if boundary % BUCKET_LENGTHS_S[index]:
                return
            if index + 1 < len(self._levels):
                self._levels[index + 1].merge(level)
            level.close()


def _latest(
    closed: deque[tuple[list[int], bytes]], buckets: int
) -> Iterator[tuple[list[int], bytes]]:
    return islice(closed, max(len(closed) - buckets, 0), None)
