"""Queue of work: earliest deadline first, with fair shares between callers."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import Final

from sequoiapulley.ids import CallerId
from sequoiapulley.upstream._work import Work, WorkState

SHARE_SLACK: Final = 4
"""Number of requests by which a caller may be ahead of the least served one."""


class _CallerQueue:
    """The queued work of one caller."""

    __slots__ = ("heap", "served", "size")

    def __init__(self, served: float) -> None:
        """Creates an empty queue.

        Args:
            served: Initial number of requests served: that of the least served caller, so that a
                new caller has no advantage over it.
        """
        self.heap: list[tuple[float, int, Work]] = []
        self.size = 0
        self.served = served

    def head_deadline(self) -> float:
        """Returns the earliest deadline, after removing discarded work from the head."""
        while self.heap[0][2].state is not WorkState.QUEUED:
            heappop(self.heap)
        return self.heap[0][0]


class FairQueue:
    """Serves the earliest deadline among the callers that are not ahead of their share."""

    def __init__(self) -> None:
        self._callers: dict[CallerId, _CallerQueue] = {}
        self._order = count()
        self._size = 0

    def __len__(self) -> int:
        """Returns the number of queued requests."""
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
        """Removes work that has been or is about to be finished, if it is queued."""
        if work.state is WorkState.QUEUED:
            self._remove(work)

    def count_due_by(self, deadline: float) -> int:
        """Counts the queued work with the same or an earlier deadline."""
        return sum(
            1
            for caller in self._callers.values()
            for due, _, work in caller.heap
            if due <= deadline and work.state is WorkState.QUEUED
        )

    def victim_for(self, caller_id: CallerId) -> Work | None:
        """Returns queued work to refuse in favour of a caller with less queued work.

        Args:
            caller_id: The caller of new work.

        Returns:
            The work with the latest deadline of the caller with the most queued work. None if that
            is the same caller, or if this one would have at least as much with the new work.
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
