"""What this entry has seen of each home: travel time, time to the first batch, silence."""

from __future__ import annotations

from typing import Final

from cachetools import LRUCache

from sequoiapulley.ids import NodeId
from sequoiapulley.search.delay_estimate import DelayEstimate

MAX_HOMES: Final = 2048
DEFAULT_ROUND_TRIP_S: Final = 0.002
MIN_HOP_MARGIN_S: Final = 0.001
MAX_MARGIN_SHARE: Final = 0.5
DEFAULT_FIRST_BATCH_S: Final = 0.020
MIN_HEDGE_S: Final = 0.008
SILENT_GROUPS_TO_AVOID: Final = 3
AVOID_S: Final = 1.0


class _Home:
    """The record of one home."""

    __slots__ = ("avoided_until", "first_batch", "round_trip", "silent")

    def __init__(self) -> None:
        self.round_trip = DelayEstimate()
        self.first_batch = DelayEstimate()
        self.silent = 0
        """Groups in a row that drew no batch in time."""
        self.avoided_until = 0.0


class HomeHealth:
    """Records of all homes, in bounded number; they steer choices and prove nothing."""

    def __init__(self) -> None:
        """Initialise without records."""
        self._homes: LRUCache[NodeId, _Home] = LRUCache(MAX_HOMES)

    def on_batch(self, node: NodeId, elapsed: float, spent: float | None, first: bool) -> None:
        """Takes in a batch of replies.

        Args:
            node: The home.
            elapsed: Seconds since the group was sent.
            spent: Seconds of these that the home says it spent, or None.
            first: Whether it is the first batch of its group.
        """
        home = self._record(node)
        home.silent = 0
        home.avoided_until = 0.0
        if not first:
            return
        home.first_batch.add(elapsed)
        if spent is not None:
            home.round_trip.add(elapsed - spent)

    def on_silence(self, node: NodeId, now: float) -> None:
        """Takes in that a group drew no batch in time."""
        home = self._record(node)
        home.silent += 1
        if home.silent >= SILENT_GROUPS_TO_AVOID:
            home.avoided_until = now + AVOID_S

    def is_avoided(self, node: NodeId, now: float) -> bool:
        """Returns whether a home was silent so often that others are asked first."""
        home = self._homes.get(node)
        return home is not None and home.avoided_until > now

    def hop_margin(self, node: NodeId, time_left: float) -> float:
        """Returns the seconds to keep for the way to a home and back."""
        home = self._homes.get(node)
        trip = DEFAULT_ROUND_TRIP_S
        if home is not None:
            trip = home.round_trip.upper(DEFAULT_ROUND_TRIP_S)
        return max(MIN_HOP_MARGIN_S, min(trip, MAX_MARGIN_SHARE * time_left))

    def hedge_delay(self, node: NodeId) -> float:
        """Returns the seconds of silence after which another home is asked as well."""
        home = self._homes.get(node)
        if home is None:
            return DEFAULT_FIRST_BATCH_S
        return max(MIN_HEDGE_S, home.first_batch.upper(DEFAULT_FIRST_BATCH_S))

    def _record(self, node: NodeId) -> _Home:
        home = self._homes.get(node)
        if home is None:
            home = _Home()
            self._homes[node] = home
        return home
