"""Table of the open attempts of this node, with their timers."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush

from sequoiapulley.ids import NodeId
from sequoiapulley.requests.attempt import Attempt, AttemptState


class AttemptTable:
    """Open attempts, indexed by run id and by store key, with a timer queue."""

    def __init__(self) -> None:
        self._attempts: dict[int, Attempt] = {}
        self._by_key: dict[str, Attempt] = {}
        self._timers: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Returns the number of open attempts."""
        return len(self._attempts)

    def get(self, run_id: int) -> Attempt | None:
        """Returns the attempt with a run id, or None."""
        return self._attempts.get(run_id)

    def get_by_key(self, key: str) -> Attempt | None:
        """Returns the attempt that holds a store key on this node, or None."""
        return self._by_key.get(key)

    def sent_to(self, node: NodeId) -> list[Attempt]:
        """Returns the attempts whose run order was sent to a node that has not reported yet."""
        sent = (AttemptState.RUNNING, AttemptState.LATE)
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.home == node and attempt.state in sent
        ]

    def count_unanswered(self) -> int:
        """Returns the number of attempts whose caller has not received an outcome."""
        return sum(not attempt.answered for attempt in self._attempts.values())

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt."""
        self._attempts[attempt.run_id] = attempt
        self._by_key[attempt.store_key] = attempt

    def close(self, attempt: Attempt) -> None:
        """Marks an attempt as closed and removes it."""
        attempt.state = AttemptState.CLOSED
        self._attempts.pop(attempt.run_id, None)
        if self._by_key.get(attempt.store_key) is attempt:
            del self._by_key[attempt.store_key]

    def set_timer(self, attempt: Attempt, due: float) -> None:
        """Sets a timer for an attempt; `due` is a clock reading in seconds."""
        heappush(self._timers, (due, attempt.run_id))

    def pop_due(self, now: float) -> Iterator[Attempt]:
        """Removes the timers that are due and yields the open attempt of each."""
        while self._timers and self._timers[0][0] <= now:
            attempt = self._attempts.get(heappop(self._timers)[1])
            if attempt is not None:
                yield attempt

    def next_due(self) -> float | None:
        """Returns the clock reading of the next timer, or None."""
        while self._timers and self._timers[0][1] not in self._attempts:
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None
