"""Counts of a forwarding node, kept cheaply until somebody asks for metrics."""

from __future__ import annotations

from collections import Counter, deque
from typing import Final

MAX_SAMPLES: Final = 2_000
"""Latencies kept for the next scrape; scrapes come each few seconds while somebody looks."""


class Tally:
    """Counters and recent latencies."""

    def __init__(self) -> None:
        """Initialise empty counts."""
        self.outcomes: Counter[str] = Counter()
        """Requests by outcome."""
        self.ends: Counter[str] = Counter()
        """Sends to upstreams by end."""
        self.repeats: Counter[str] = Counter()
        """Repeats by verdict of the quota."""
        self.delegated: Counter[str] = Counter()
        """Requests to nodes of other failure domains for parts, by outcome."""
        self.parts_lacking = 0
        """Shards that merged answers lacked."""
        self._latencies: deque[tuple[str, float]] = deque(maxlen=MAX_SAMPLES)

    def record_latency(self, route: str, seconds: float) -> None:
        """Keeps the time of one answer."""
        self._latencies.append((route, seconds))

    def take_latencies(self) -> list[tuple[str, float]]:
        """Returns the latencies since the last call."""
        taken = list(self._latencies)
        self._latencies.clear()
        return taken
