"""Estimates the time left that callers of a route send with their first attempt."""

from __future__ import annotations

from collections import Counter
from typing import Final

MS_PER_S: Final = 1000.0
MIN_SHARE: Final = 0.05
"""Minimum share of the requests with the same time left for it to be considered."""
CONNECT_ALLOWANCE_MS: Final = 50
"""Difference from the most common time up to which a longer one is attributed to the same callers:
a directory look-up and a new connection take a few round trips."""
MAX_COUNT: Final = 400
"""Number of requests after which all counts are halved, so that the estimate follows a change
within a few hundred requests."""
REFRESH_INTERVAL: Final = 20
"""Number of requests between two updates of the estimate."""


class InitialTimeLeft:
    """Estimates the longest time left, near the most common one, that enough requests have.

    Requests with less time left have spent the difference before: on a directory look-up, on a
    new connection, or on an earlier attempt.
    """

    def __init__(self) -> None:
        """Initialise without observations."""
        self._counts: Counter[int] = Counter()
        self._total = 0
        self._usual_ms = 0

    def observe(self, time_left: float) -> float:
        """Counts one request; returns the estimate, in seconds.

        Args:
            time_left: Seconds until the caller's deadline.
        """
        self._counts[round(time_left * MS_PER_S)] += 1
        self._total += 1
        if self._total <= REFRESH_INTERVAL or self._total % REFRESH_INTERVAL == 0:
            self._refresh()
        return self._usual_ms / MS_PER_S

    def _refresh(self) -> None:
        """Updates the estimate from the counts, and halves the counts when they are many."""
        common = max(self._counts, key=lambda value: self._counts[value])
        least = MIN_SHARE * self._total
        candidates = [
            value for value in self._counts if common <= value <= common + CONNECT_ALLOWANCE_MS
        ]
        frequent = (value for value in candidates if self._counts[value] >= least)
        # If the values vary too much for any to be frequent, the most common one is the estimate.
        self._usual_ms = max(frequent, default=common)
        if self._total < MAX_COUNT:
            return
        halved = {value: count // 2 for value, count in self._counts.items() if count > 1}
        self._counts = Counter(halved)
        self._total = sum(halved.values())
