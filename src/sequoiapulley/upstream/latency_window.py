"""Quantiles of recent latencies, cheap enough to record every exchange."""

from __future__ import annotations

from math import log2
from typing import Final

SMALLEST_S: Final = 50e-6
BUCKETS_PER_DOUBLING: Final = 8
BUCKETS: Final = 160
"""Reaches 50 µs x 2^20, about 52 s."""
WINDOW_SAMPLES: Final = 512
WINDOW_S: Final = 10.0
"""A window is replaced after this time, if it holds `MIN_SAMPLES`."""
MIN_SAMPLES: Final = 32
REFRESH_SAMPLES: Final = 32
"""Samples after which a quantile is computed again."""


class LatencyWindow:
    """Log-scaled histogram of the last one to two windows of samples."""

    def __init__(self) -> None:
        """Initialise an empty window."""
        self._current = [0] * BUCKETS
        self._previous = [0] * BUCKETS
        self._current_count = 0
        self._previous_count = 0
        self._current_sum = 0.0
        self._previous_sum = 0.0
        self._started_at = 0.0
        self._cache: dict[float, float] = {}
        self._stale = 0

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
        bucket = int(log2(latency / SMALLEST_S) * BUCKETS_PER_DOUBLING) if latency > 0 else 0
        self._current[min(max(bucket, 0), BUCKETS - 1)] += 1
        self._current_count += 1
        self._current_sum += latency
        self._stale += 1
        if self._stale >= REFRESH_SAMPLES or self.count < MIN_SAMPLES:
            self._stale = 0
            self._cache.clear()
        full = self._current_count >= WINDOW_SAMPLES
        old = now - self._started_at > WINDOW_S and self._current_count >= MIN_SAMPLES
        if full or old:
            self._rotate(now)

    @property
    def mean(self) -> float | None:
        """Mean of the samples in seconds, or None without samples."""
        count = self.count
        return (self._current_sum + self._previous_sum) / count if count else None

    def quantile(self, share: float) -> float | None:
        """Returns the latency that a share of the samples does not exceed.

        Args:
            share: From 0 to 1.

        Returns:
            Seconds, to the upper edge of a bucket; None without samples.
        """
        if not self.count:
            return None
        cached = self._cache.get(share)
        if cached is None:
            cached = self._compute(share)
            self._cache[share] = cached
        return cached

    def _compute(self, share: float) -> float:
        wanted = share * self.count
        seen = 0
        for bucket in range(BUCKETS):
            seen += self._current[bucket] + self._previous[bucket]
            if seen >= wanted and seen:
                break
        return float(SMALLEST_S * 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING))

    def _rotate(self, now: float) -> None:
        self._previous = self._current
        self._previous_count = self._current_count
        self._previous_sum = self._current_sum
        self._current_sum = 0.0
        self._current = [0] * BUCKETS
        self._current_count = 0
        self._started_at = now
