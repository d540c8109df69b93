"""Work that waits for a slot, earliest deadline first."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

from sequoiapulley.upstream.work import Work, WorkState


class DeadlineQueue:
    """Priority queue of queued work; finished work is dropped when it surfaces."""

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self._heap: list[tuple[float, int, Work]] = []
        self._order = count()

    def push(self, work: Work) -> None:
        """Adds queued work."""
        heappush(self._heap, (work.deadline, next(self._order), work))

    def pop(self) -> Work | None:
        """Removes and returns the queued work with the earliest deadline, or None."""
        while self._heap:
            work = heappop(self._heap)[2]
            if work.state is WorkState.QUEUED:
                return work
        return None

    def drain(self) -> list[Work]:
        """Removes and returns all queued work by deadline."""
        found: list[Work] = []
        while (work := self.pop()) is not None:
            found.append(work)
        return found
