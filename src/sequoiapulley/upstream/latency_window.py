"""Histogram of recent latencies, cheap enough to record every exchange."""

from __future__ import annotations

from math import log2
from typing import Final

from msgspec import Struct

MIN_LATENCY_S: Final = 50e-6
BUCKETS_PER_DOUBLING: Final = 8
BUCKETS: Final = 160
"""The range is 50 µs x 2^20, about 52 s."""
WINDOW_SAMPLES: Final = 512
WINDOW_S: Final = 10.0
"""A window is rotated after this time, if it has `MIN_SAMPLES`."""
MIN_SAMPLES: Final = 32
REFRESH_SAMPLES: Final = 32
"""Number of new samples after which the figures are computed again."""
INSIDE_BUCKET_FACTOR: Final = 0.95
"""Factor on a quantile, the upper edge of a bucket, that gives a value inside that bucket."""


class LatencyFigures(Struct, frozen=True):
    """Quantiles and mean of a window, in seconds."""

    p10: float
    p50: float
    p90: float
    p97: float
    p99: float
    mean: float


QUANTILES: Final = (0.1, 0.5, 0.9, 0.97, 0.99)


class LatencyWindow:
    """Histogram with logarithmic buckets over the current and the previous window of samples."""

    __slots__ = (
        "_current",
        "_current_count",
        "_current_sum",
        "_previous",
        "_previous_count",
        "_previous_sum",
        "_samples_since_refresh",
        "_started_at",
        "figures",
    )

    def __init__(self) -> None:
        self._current = [0] * BUCKETS
        self._previous = [0] * BUCKETS
        self._current_count = 0
        self._previous_count = 0
        self._current_sum = 0.0
        self._previous_sum = 0.0
        self._started_at = 0.0
        self._samples_since_refresh = 0
        self.figures: LatencyFigures | None = None
        """Figures as of the last refresh; None before the first sample."""

    @property
    def count(self) -> int:
        """Number of samples in both windows."""
        return self._current_count + self._previous_count

    def record(self, latency: float, now: float) -> None:
        """Adds one sample.

        Args:
            latency: Seconds.
            now: Clock reading in seconds.
        """
        bucket = 0
        if latency > MIN_LATENCY_S:
            bucket = min(int(log2(latency / MIN_LATENCY_S) * BUCKETS_PER_DOUBLING), BUCKETS - 1)
        self._current[bucket] += 1
        self._current_count += 1
        self._current_sum += latency
        self._samples_since_refresh += 1
        if self._samples_since_refresh >= REFRESH_SAMPLES or self._needs_early_refresh():
            self._refresh(now)

    def record_unanswered(self, elapsed: float, now: float) -> None:
        """Adds an abandoned exchange without raising the upper quantiles.

        The elapsed time is a lower bound of its latency. It is capped just below the 97th
        percentile: ignoring cancelled exchanges would lower the percentiles, and counting their
        full time would let silent connections raise them until such delays appear normal.

        Args:
            elapsed: Seconds since the exchange was sent.
            now: Clock reading in seconds.
        """
        if self.figures is not None:
            self.record(min(elapsed, INSIDE_BUCKET_FACTOR * self.figures.p97), now)

    def quantile(self, fraction: float) -> float | None:
        """Returns the latency that a fraction of the samples does not exceed.

        Args:
            fraction: From 0 to 1.

        Returns:
            Seconds, rounded up to the upper edge of a bucket; None without samples.
        """
        return self._quantiles((fraction,))[0] if self.count else None

    def _needs_early_refresh(self) -> bool:
        """Returns whether the first window has a power of two of samples, up to `MIN_SAMPLES`."""
        count = self._current_count
        return count <= MIN_SAMPLES and not self._previous_count and not count & (count - 1)

    def _refresh(self, now: float) -> None:
        self._samples_since_refresh = 0
        count = self.count
        mean = (self._current_sum + self._previous_sum) / count
        p10, p50, p90, p97, p99 = self._quantiles(QUANTILES)
        self.figures = LatencyFigures(p10, p50, p90, p97, p99, mean)
        full = self._current_count >= WINDOW_SAMPLES
        old = now - self._started_at > WINDOW_S and self._current_count >= MIN_SAMPLES
        if full or old:
            self._rotate(now)

    def _quantiles(self, fractions: tuple[float, ...]) -> list[float]:
        """Computes several quantiles, given by fractions in ascending order, in one pass."""
        count = self.count
        found: list[float] = []
        seen = 0
        bucket = -1
        for fraction in fractions:
            wanted = max(1.0, fraction * count)
            while seen < wanted and bucket < BUCKETS - 1:
                bucket += 1
                seen += self._current[bucket] + self._previous[bucket]
            found.append(float(MIN_LATENCY_S * 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING)))
        return found

    def _rotate(self, now: float) -> None:
        self._previous = self._current
        self._previous_count = self._current_count
        self._previous_sum = self._current_sum
        self._current = [0] * BUCKETS
        self._current_count = 0
        self._current_sum = 0.0
        self._started_at = now
