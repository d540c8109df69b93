"""Counters of a forwarding node, stored at low cost until metrics are scraped."""

from __future__ import annotations

from collections import Counter, deque
from typing import Final

MAX_SAMPLES: Final = 2_000
"""Maximum number of latencies stored until the next scrape; monitored nodes are scraped every few
seconds."""


class Tally:
    """Counters and recent latencies."""

    def __init__(self) -> None:
        """Initialise empty counts."""
        self.outcomes: Counter[str] = Counter()
        """Requests by outcome."""
        self.ends: Counter[str] = Counter()
        """Sends to upstreams, by end of the exchange."""
        self.repeats: Counter[str] = Counter()
        """Retries and hedged requests, by verdict of the quota."""
        self.delegated: Counter[str] = Counter()
        """Requests to remote nodes for parts, by outcome."""
        self.handovers: Counter[str] = Counter()
        """Requests handed over to nodes in contact with the upstreams, by outcome."""
        self.parts_lacking = 0
        """Total number of shards missing from merged answers."""
        self.leaving_upstreams = 0
        """Total number of upstreams that announced their shutdown."""
        self.pauses = 0
        """Total number of pauses that upstreams requested."""
        self.state_replies: Counter[str] = Counter()
        """Replies to peers that read this node's state, by content."""
        self.state_reply_bytes = 0
        """Total size of the bodies of these replies."""
        self._latencies: deque[tuple[str, float]] = deque(maxlen=MAX_SAMPLES)

    def record_latency(self, route: str, seconds: float) -> None:
        """Records the latency of one answer."""
        self._latencies.append((route, seconds))

    def drain_latencies(self) -> list[tuple[str, float]]:
        """Returns and clears the latencies recorded since the last call."""
        taken = list(self._latencies)
        self._latencies.clear()
        return taken
