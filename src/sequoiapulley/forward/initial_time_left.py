"""The time that callers of a route have at their first attempt, as most of them tell it."""

from __future__ import annotations

from collections import Counter
from typing import Final

MS_PER_S: Final = 1000.0
MIN_SHARE: Final = 0.05
"""Share of the requests that must tell a time for it to count."""
CONNECT_ALLOWANCE_MS: Final = 50
"""Distance from the most common time within which a longer one is of the same callers: a look-up
and a new connection take a few round trips."""
MAX_COUNT: Final = 400
"""Requests after which all counts are halved, so that a change shows within some hundred."""
REFRESH_INTERVAL: Final = 20
"""Requests between two searches for the longest time that counts."""


class InitialTimeLeft:
    """Finds the longest time left that a fair share of the ordinary callers tell.

    Requests that tell less have spent the difference before: on a look-up, on a new connection, or
    on an earlier attempt.
    """

    def __init__(self) -> None:
        """Initialise without observations."""
        self._counts: Counter[int] = Counter()
        self._total = 0
        self._usual_ms = 0

    def observe(self, time_left: float) -> float:
        """Counts one request; returns the longest time that counts, in seconds.

        Args:
            time_left: Seconds that the caller has left.
        """
        self._counts[round(time_left * MS_PER_S)] += 1
        self._total += 1
        if self._total <= REFRESH_INTERVAL or self._total % REFRESH_INTERVAL == 0:
            self._refresh()
        return self._usual_ms / MS_PER_S

    def _refresh(self) -> None:
        """Searches the counts, and halves them when they are many."""
        common = max(self._counts, key=lambda value: self._counts[value])
        least = MIN_SHARE * self._total
        near = [value for value in self._counts if common <= value <= common + CONNECT_ALLOWANCE_MS]
        self._usual_ms = max(value for value in near if self._counts[value] >= least)
        if self._total < MAX_COUNT:
            return
        halved = {value: count // 2 for value, count in self._counts.items() if count > 1}
        self._counts = Counter(halved)
        self._total = sum(halved.values())
