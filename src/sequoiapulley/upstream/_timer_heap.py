"""Timers of items, each of which may be changed or cancelled."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import Generic, Protocol, TypeVar


class HasDue(Protocol):
    """An item with at most one timer."""

    due: float | None
    """Clock reading at which the timer expires, or None if no timer is set."""


ItemT = TypeVar("ItemT", bound=HasDue)


class TimerHeap(Generic[ItemT]):
    """A heap of timers; entries whose due time differs from that of their item are skipped."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ItemT]] = []
        self._order = count()

    def arm(self, item: ItemT, due: float) -> None:
        """Sets the timer of an item, in place of any previous one."""
        item.due = due
        heappush(self._heap, (due, next(self._order), item))

    def next_due(self) -> float | None:
        """Returns the earliest due time, or None if no timer is set."""
        heap = self._heap
        while heap and heap[0][2].due != heap[0][0]:
            heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: float) -> list[ItemT]:
        """Removes and returns the items that are due, earliest first."""
        found: list[ItemT] = []
        heap = self._heap
        while heap and heap[0][0] <= now:
            due, _, item = heappop(heap)
            if item.due != due:
                continue
            item.due = None
            found.append(item)
        return found
