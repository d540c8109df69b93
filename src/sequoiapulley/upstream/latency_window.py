"""Quantiles of recent latencies, cheap enough to record every exchange."""

from __future__ import annotations

from math import log2
from typing import Final

from msgspec import Struct

SMALLEST_S: Final = 50e-6
BUCKETS_PER_DOUBLING: Final = 8
BUCKETS: Final = 160
"""Reaches 50 µs x 2^20, about 52 s."""
WINDOW_SAMPLES: Final = 512
WINDOW_S: Final = 10.0
"""A window is replaced after this time, if it holds `MIN_SAMPLES`."""
MIN_SAMPLES: Final = 32
REFRESH_SAMPLES: Final = 32
"""Samples after which the figures are computed again."""
INSIDE: Final = 0.95
"""Factor that keeps a sample in the bucket whose upper edge a quantile is."""


class LatencyFigures(Struct, frozen=True):
    """Quantiles and mean of a window, in seconds."""

    p10: float
    p50: float
    p90: float
    p97: float
    p99: float
    mean: float


SHARES: Final = (0.1, 0.5, 0.9, 0.97, 0.99)


class LatencyWindow:
    """Log-scaled histogram of the last one to two windows of samples."""

    __slots__ = (
        "_current",
        "_current_count",
        "_current_sum",
        "_previous",
        "_previous_count",
        "_previous_sum",
        "_stale",
        "_started_at",
        "figures",
    )

    def __init__(self) -> None:
        """Initialise an empty window."""
        self._current = [0] * BUCKETS
        self._previous = [0] * BUCKETS
        self._current_count = 0
        self._previous_count = 0
        self._current_sum = 0.0
        self._previous_sum = 0.0
        self._started_at = 0.0
        self._stale = 0
        self.figures: LatencyFigures | None = None
        """Figures as of some samples ago; None before the first sample."""

    @property
    def count(self) -> int:
        """Samples held."""
        return self._current_count + self._previous_count

    def record(self, latency: float, now: float) -> None:
        """Adds one sample.

        Args:
            latency: Seconds.
            now: Clock reading in seconds.
        """
        bucket = 0
        if latency > SMALLEST_S:
            bucket = min(int(log2(latency / SMALLEST_S) * BUCKETS_PER_DOUBLING), BUCKETS - 1)
        self._current[bucket] += 1
        self._current_count += 1
        self._current_sum += latency
        self._stale += 1
        if self._stale >= REFRESH_SAMPLES or self._starts():
            self._refresh(now)

    def record_unanswered(self, elapsed: float, now: float) -> None:
        """Adds an exchange that was given up, without moving the upper quantiles.

        The time it took so far is a lower bound. It counts as just inside the 97th percentile:
        left out, cancelling the late would pull the percentiles down; counted in full, silent
        connections would push them up until silence looks usual.

        Args:
            elapsed: Seconds since the exchange was sent.
            now: Clock reading in seconds.
        """
        if self.figures is not None:
            self.record(min(elapsed, INSIDE * self.figures.p97), now)

    def quantile(self, share: float) -> float | None:
        """Returns the latency that a share of the samples does not exceed.

        Args:
            share: From 0 to 1.

        Returns:
            Seconds, to the upper edge of a bucket; None without samples.
        """
        return self._quantiles((share,))[0] if self.count else None

    def _starts(self) -> bool:
        """Returns whether the count of a new window reached the next power of two."""
        count = self._current_count
        return count <= MIN_SAMPLES and not self._previous_count and not count & (count - 1)

    def _refresh(self, now: float) -> None:
        self._stale = 0
        count = self.count
        mean = (self._current_sum + self._previous_sum) / count
        p10, p50, p90, p97, p99 = self._quantiles(SHARES)
        self.figures = LatencyFigures(p10, p50, p90, p97, p99, mean)
        full = self._current_count >= WINDOW_SAMPLES
        old = now - self._started_at > WINDOW_S and self._current_count >= MIN_SAMPLES
        if full or old:
            self._rotate(now)

    def _quantiles(self, shares: tuple[float, ...]) -> list[float]:
        """Computes several quantiles, given by rising shares, in one pass."""
        count = self.count
        found: list[float] = []
        seen = 0
        bucket = -1
        for share in shares:
            wanted = max(1.0, share * count)
            while seen < wanted and bucket < BUCKETS - 1:
                bucket += 1
                seen += self._current[bucket] + self._previous[bucket]
            found.append(float(SMALLEST_S * 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING)))
        return found

    def _rotate(self, now: float) -> None:
        self._previous = self._current
        self._previous_count = self._current_count
        self._previous_sum = self._current_sum
        self._current = [0] * BUCKETS
        self._current_count = 0
        self._current_sum = 0.0
        self._started_at = now
