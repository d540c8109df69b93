"""Work that waits for a slot: earliest deadline first, in fair shares between callers."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import Final

from sequoiapulley.ids import CallerId
from sequoiapulley.upstream._work import Work, WorkState

SHARE_SLACK: Final = 4
"""Requests by which a caller may be ahead of the one served least."""


class _CallerQueue:
    """The queued work of one caller."""

    __slots__ = ("heap", "served", "size")

    def __init__(self, served: float) -> None:
        """Initialise an empty queue.

        Args:
            served: Requests served, counted from the caller served least when this one came.
        """
        self.heap: list[tuple[float, int, Work]] = []
        self.size = 0
        self.served = served

    def head_deadline(self) -> float:
        """Returns the earliest deadline; finished work is dropped on the way."""
        while self.heap[0][2].state is not WorkState.QUEUED:
            heappop(self.heap)
        return self.heap[0][0]


class FairQueue:
    """Earliest deadline first among the callers that are not ahead of their share."""

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self._callers: dict[CallerId, _CallerQueue] = {}
        self._order = count()
        self._size = 0

    def __len__(self) -> int:
        """Returns the amount of queued work."""
        return self._size

    def push(self, work: Work) -> None:
        """Adds work and marks it as queued."""
        caller = self._callers.get(work.sub.caller)
        if caller is None:
            caller = self._callers[work.sub.caller] = _CallerQueue(self._least_served())
        work.state = WorkState.QUEUED
        heappush(caller.heap, (work.deadline, next(self._order), work))
        caller.size += 1
        self._size += 1

    def pop(self) -> Work | None:
        """Removes and returns the work to serve next, or None."""
        if not self._size:
            return None
        callers = self._callers
        bound = self._least_served() + SHARE_SLACK
        first: _CallerQueue | None = None
        first_deadline = 0.0
        for caller in callers.values():
            if caller.served >= bound:
                continue
            deadline = caller.head_deadline()
            if first is None or deadline < first_deadline:
                first, first_deadline = caller, deadline
        assert first is not None
        work = heappop(first.heap)[2]
        first.served += 1
        self._remove(work)
        return work

    def discard(self, work: Work) -> None:
        """Removes queued work that is finished or about to be."""
        if work.state is WorkState.QUEUED:
            self._remove(work)

    def ahead_of(self, deadline: float) -> int:
        """Counts the work with the same or an earlier deadline."""
        return sum(
            1
            for caller in self._callers.values()
            for due, _, work in caller.heap
            if due <= deadline and work.state is WorkState.QUEUED
        )

    def victim_for(self, caller_id: CallerId) -> Work | None:
        """Finds work to refuse in favour of a caller that has less in the queue.

        Args:
            caller_id: The caller of new work.

        Returns:
            The latest work of the caller with the most, or None if that is no other caller.
        """
        longest_id = max(self._callers, key=lambda key: self._callers[key].size, default=None)
        if longest_id is None or longest_id == caller_id:
            return None
        longest = self._callers[longest_id]
        own = self._callers.get(caller_id)
        if own is not None and own.size + 1 >= longest.size:
            return None
        queued = [entry for entry in longest.heap if entry[2].state is WorkState.QUEUED]
        return max(queued)[2]

    def drain(self) -> list[Work]:
        """Removes and returns all queued work."""
        found: list[Work] = []
        while (work := self.pop()) is not None:
            found.append(work)
        return found

    def _remove(self, work: Work) -> None:
        caller = self._callers[work.sub.caller]
        work.state = WorkState.NEW
        caller.size -= 1
        self._size -= 1
        if not caller.size:
            del self._callers[work.sub.caller]

    def _least_served(self) -> float:
        return min((caller.served for caller in self._callers.values()), default=0.0)
