"""Counts and latencies of one service over the rolling windows, in bounded memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from itertools import islice
from typing import Final

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS: Final = 100
HIGHEST_MICROSECONDS: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 2

LEVEL_SECONDS: Final = (60, 600, 21_600)
"""Length of a bucket on each level, in seconds; each divides the next."""
LEVEL_BUCKETS: Final = (30, 36, 12)
"""Closed buckets kept on each level."""
WINDOW_LEVELS: Final[dict[int, tuple[int, int]]] = {
    300: (0, 5),
    1_800: (0, 30),
    3_600: (1, 6),
    21_600: (1, 36),
    259_200: (2, 12),
}
"""Level and closed buckets of each window, by its length in seconds."""
LATENCY_WINDOWS: Final = frozenset({300, 3_600, 259_200})
"""Windows that carry a histogram."""
COUNTS: Final = 6

IN_TIME_TOTAL: Final = 0
IN_TIME_GOOD: Final = 1
COVERAGE_TOTAL: Final = 2
COVERAGE_GOOD: Final = 3
ADMITTED_TOTAL: Final = 4
ADMITTED_GOOD: Final = 5


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds; all nodes use the same shape."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


class _Level:
    """Buckets of one length: one open, some closed."""

    __slots__ = ("closed", "counts", "latency")

    def __init__(self, buckets: int) -> None:
        """Initialise an empty level.

        Args:
            buckets: Closed buckets to keep.
        """
        self.closed: deque[tuple[list[int], bytes]] = deque(maxlen=buckets)
        self.counts = [0] * COUNTS
        self.latency: HdrHistogram | None = None

    def close(self) -> None:
        """Closes the open bucket and opens an empty one."""
        encoded = self.latency.encode() if self.latency is not None else b""
        self.closed.append((self.counts, encoded))
        self.counts = [0] * COUNTS
        self.latency = None

    def merge(self, other: _Level) -> None:
        """Adds the open bucket of a lower level to this one's."""
        for index, count in enumerate(other.counts):
            self.counts[index] += count
        if other.latency is None:
            return
        if self.latency is None:
            self.latency = new_histogram()
        self.latency.add(other.latency)


class ServiceCounts:
    """Everything counted for one service."""

    def __init__(self, now: float) -> None:
        """Initialise empty counts.

        Args:
            now: Clock reading in seconds.
        """
        self._minute = int(now // LEVEL_SECONDS[0])
        self._levels = [_Level(buckets) for buckets in LEVEL_BUCKETS]

    def add(self, now: float, *indices: int) -> None:
        """Adds one to some of the counts."""
        self.roll(now)
        counts = self._levels[0].counts
        for index in indices:
            counts[index] += 1

    def add_latency(self, now: float, seconds: float) -> None:
        """Records one answer time."""
        self.roll(now)
        level = self._levels[0]
        if level.latency is None:
            level.latency = new_histogram()
        microseconds = int(seconds * 1_000_000)
        level.latency.record_value(
            min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        )

    def roll(self, now: float) -> None:
        """Closes the buckets whose time is over."""
        minute = int(now // LEVEL_SECONDS[0])
        if minute == self._minute:
            return
        longest = LEVEL_SECONDS[-1] * (LEVEL_BUCKETS[-1] + 1)
        if minute - self._minute > longest // LEVEL_SECONDS[0]:
            self._levels = [_Level(buckets) for buckets in LEVEL_BUCKETS]
            self._minute = minute
            return
        while self._minute < minute:
            self._minute += 1
            self._close_due(self._minute * LEVEL_SECONDS[0])

    def counts(self, window: int) -> list[int]:
        """Sums the counts of a window; it covers its length and at most one bucket more."""
        sums = [0] * COUNTS
        for counts in self._counts_of(window):
            for index, count in enumerate(counts):
                sums[index] += count
        return sums

    def latency(self, window: int) -> str:
        """Returns the encoded histogram of a window, empty when nothing was answered."""
        level, buckets = WINDOW_LEVELS[window]
        merged = new_histogram()
        for _, encoded in _last(self._levels[level].closed, buckets):
            if encoded:
                merged.decode_and_add(encoded)
        for lower in self._levels[: level + 1]:
            if lower.latency is not None:
                merged.add(lower.latency)
        return merged.encode().decode() if merged.get_total_count() else ""

    def _counts_of(self, window: int) -> Iterator[list[int]]:
        level, buckets = WINDOW_LEVELS[window]
        for counts, _ in _last(self._levels[level].closed, buckets):
            yield counts
        for lower in self._levels[: level + 1]:
            yield lower.counts

    def _close_due(self, boundary: int) -> None:
        """Closes the open bucket of each level that ends at a boundary, lowest first."""
        for index, level in enumerate(self._levels):
            if boundary % LEVEL_SECONDS[index]:
                return
            if index + 1 < len(self._levels):
                self._levels[index + 1].merge(level)
            level.close()


def _last(
    closed: deque[tuple[list[int], bytes]], buckets: int
) -> Iterator[tuple[list[int], bytes]]:
    return islice(closed, max(len(closed) - buckets, 0), None)
