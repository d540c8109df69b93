"""Health of each home as observed by this entry node: round trip, first-batch delay, timeouts."""

from __future__ import annotations

from math import ceil
from typing import Final

from sequoiapulley.ids import NodeId
from sequoiapulley.search.delay_estimate import DelayEstimate

MAX_HOMES: Final = 2048
DEFAULT_ROUND_TRIP_S: Final = 0.002
MIN_NETWORK_MARGIN_S: Final = 0.001
MAX_MARGIN_SHARE: Final = 0.5
"""Maximum share of the time left that is reserved for the network."""
DEFAULT_FIRST_BATCH_S: Final = 0.020
"""Hedge delay of a home without observations."""
MIN_HEDGE_DELAY_S: Final = 0.008
HEDGE_DELAY_STEP_S: Final = 0.004
TIMEOUTS_TO_AVOID: Final = 3
AVOID_DURATION_S: Final = 1.0
NO_NODES: Final[frozenset[NodeId]] = frozenset()


class _HomeStats:
    """Observations of one home."""

    __slots__ = ("consecutive_timeouts", "first_batch", "round_trip")

    def __init__(self) -> None:
        self.round_trip = DelayEstimate()
        self.first_batch = DelayEstimate()
        self.consecutive_timeouts = 0
        """Consecutive group searches without a batch within their hedge delay."""


class HomeHealth:
    """Observations of up to `MAX_HOMES` homes.

    They only influence which home is queried first and when a request is hedged; they are no proof
    that a home is lost.
    """

    def __init__(self) -> None:
        self._homes: dict[NodeId, _HomeStats] = {}
        self._avoided_until: dict[NodeId, float] = {}

    def on_batch(
        self, node: NodeId, elapsed: float, home_elapsed: float | None, first: bool
    ) -> None:
        """Records a batch of replies.

        Args:
            node: The home that sent it.
            elapsed: Seconds since the group search was sent.
            home_elapsed: Seconds between request and batch as reported by the home, or None.
            first: Whether it is the first batch of its group search.
        """
        home = self._stats_of(node)
        home.consecutive_timeouts = 0
        self._avoided_until.pop(node, None)
        if not first:
            return
        home.first_batch.add(elapsed)
        if home_elapsed is not None:
            home.round_trip.add(elapsed - home_elapsed)

    def on_timeout(self, node: NodeId, now: float) -> None:
        """Records that a home sent no batch within the hedge delay of a group search."""
        home = self._stats_of(node)
        home.consecutive_timeouts += 1
        if home.consecutive_timeouts >= TIMEOUTS_TO_AVOID:
            self._avoided_until[node] = now + AVOID_DURATION_S

    def avoided(self, now: float) -> frozenset[NodeId]:
        """Returns the homes with so many consecutive timeouts that others are queried first."""
        if not self._avoided_until:
            return NO_NODES
        for node in [node for node, until in self._avoided_until.items() if until <= now]:
            del self._avoided_until[node]
        return frozenset(self._avoided_until)

    def network_margin(self, node: NodeId, time_left: float) -> float:
        """Returns the seconds to reserve for the network round trip to a home."""
        home = self._homes.get(node)
        margin = DEFAULT_ROUND_TRIP_S
        if home is not None:
            margin = home.round_trip.upper_bound(DEFAULT_ROUND_TRIP_S)
        return max(MIN_NETWORK_MARGIN_S, min(margin, MAX_MARGIN_SHARE * time_left))

    def hedge_delay(self, node: NodeId) -> float:
        """Returns the seconds without a batch after which a hedged request is sent.

        Delays are rounded up to steps, so that the homes of one search share a few timers.
        """
        home = self._homes.get(node)
        if home is None:
            return DEFAULT_FIRST_BATCH_S
        delay = max(MIN_HEDGE_DELAY_S, home.first_batch.upper_bound(DEFAULT_FIRST_BATCH_S))
        return ceil(delay / HEDGE_DELAY_STEP_S) * HEDGE_DELAY_STEP_S

    def _stats_of(self, node: NodeId) -> _HomeStats:
        home = self._homes.get(node)
        if home is None:
            home = _HomeStats()
            if len(self._homes) >= MAX_HOMES:
                del self._homes[next(iter(self._homes))]
            self._homes[node] = home
        return home
