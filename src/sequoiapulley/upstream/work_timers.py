"""Clock readings at which work has to be looked at again."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

from sequoiapulley.upstream.work import Work, WorkState


class WorkTimers:
    """A heap of due times; entries of finished work are dropped when they surface."""

    def __init__(self) -> None:
        """Initialise an empty heap."""
        self._heap: list[tuple[float, int, Work]] = []
        self._order = count()

    def arm(self, due: float, work: Work) -> None:
        """Has work looked at again at a clock reading."""
        heappush(self._heap, (due, next(self._order), work))

    def next_due(self) -> float | None:
        """Returns the earliest due time of unfinished work, or None."""
        while self._heap and self._heap[0][2].state is WorkState.FINISHED:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def take_due(self, now: float) -> list[Work]:
        """Removes and returns the unfinished work that is due."""
        found: list[Work] = []
        while self._heap and self._heap[0][0] <= now:
            work = heappop(self._heap)[2]
            if work.state is not WorkState.FINISHED:
                found.append(work)
        return found
