"""What this entry has seen of each home: travel time, time to the first batch, silence."""

from __future__ import annotations

from math import ceil
from typing import Final

from sequoiapulley.ids import NodeId
from sequoiapulley.search.delay_estimate import DelayEstimate

MAX_HOMES: Final = 2048
DEFAULT_ROUND_TRIP_S: Final = 0.002
MIN_HOP_MARGIN_S: Final = 0.001
MAX_MARGIN_SHARE: Final = 0.5
DEFAULT_FIRST_BATCH_S: Final = 0.020
MIN_HEDGE_S: Final = 0.008
HEDGE_STEP_S: Final = 0.004
SILENT_GROUPS_TO_AVOID: Final = 3
AVOID_S: Final = 1.0
NO_NODES: Final[frozenset[NodeId]] = frozenset()


class _Home:
    """The record of one home."""

    __slots__ = ("first_batch", "round_trip", "silent")

    def __init__(self) -> None:
        self.round_trip = DelayEstimate()
        self.first_batch = DelayEstimate()
        self.silent = 0
        """Groups in a row that drew no batch in time."""


class HomeHealth:
    """Records of all homes, in bounded number; they steer choices and prove nothing."""

    def __init__(self) -> None:
        """Initialise without records."""
        self._homes: dict[NodeId, _Home] = {}
        self._avoided_until: dict[NodeId, float] = {}

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
        self._avoided_until.pop(node, None)
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
            self._avoided_until[node] = now + AVOID_S

    def avoided(self, now: float) -> frozenset[NodeId]:
        """Returns the homes that were silent so often that others are asked first."""
        if not self._avoided_until:
            return NO_NODES
        for node in [node for node, until in self._avoided_until.items() if until <= now]:
            del self._avoided_until[node]
        return frozenset(self._avoided_until)

    def hop_margin(self, node: NodeId, time_left: float) -> float:
        """Returns the seconds to keep for the way to a home and back."""
        home = self._homes.get(node)
        trip = DEFAULT_ROUND_TRIP_S
        if home is not None:
            trip = home.round_trip.upper(DEFAULT_ROUND_TRIP_S)
        return max(MIN_HOP_MARGIN_S, min(trip, MAX_MARGIN_SHARE * time_left))

    def hedge_delay(self, node: NodeId) -> float:
        """Returns the seconds of silence after which another home is asked as well.

        Delays come in steps, so that the homes of one search share a few timers.
        """
        home = self._homes.get(node)
        if home is None:
            return DEFAULT_FIRST_BATCH_S
        delay = max(MIN_HEDGE_S, home.first_batch.upper(DEFAULT_FIRST_BATCH_S))
        return ceil(delay / HEDGE_STEP_S) * HEDGE_STEP_S

    def _record(self, node: NodeId) -> _Home:
        home = self._homes.get(node)
        if home is None:
            home = _Home()
            if len(self._homes) >= MAX_HOMES:
                del self._homes[next(iter(self._homes))]
            self._homes[node] = home
        return home
