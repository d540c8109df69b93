"""The attempts of this node that are not closed, with their timers."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush

from sequoiapulley.ids import NodeId
from sequoiapulley.requests.attempt import Attempt, AttemptState


class AttemptTable:
    """Attempts by run id, by key and by time."""

    def __init__(self) -> None:
        """Initialise an empty table."""
        self._attempts: dict[int, Attempt] = {}
        self._by_key: dict[str, Attempt] = {}
        self._timers: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Returns the number of attempts."""
        return len(self._attempts)

    def get(self, run_id: int) -> Attempt | None:
        """Returns the attempt of a run id, or None."""
        return self._attempts.get(run_id)

    def of_key(self, key: str) -> Attempt | None:
        """Returns the attempt that holds a store key at this node, or None."""
        return self._by_key.get(key)

    def at_home(self, node: NodeId) -> list[Attempt]:
        """Lists the attempts whose order went to a home that has not reported."""
        sent = (AttemptState.RUNNING, AttemptState.LATE)
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.home == node and attempt.state in sent
        ]

    def unanswered(self) -> int:
        """Returns the number of attempts whose caller has no outcome yet."""
        return sum(not attempt.answered for attempt in self._attempts.values())

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt."""
        self._attempts[attempt.run_id] = attempt
        self._by_key[attempt.key] = attempt

    def close(self, attempt: Attempt) -> None:
        """Closes an attempt and removes it."""
        attempt.state = AttemptState.CLOSED
        self._attempts.pop(attempt.run_id, None)
        if self._by_key.get(attempt.key) is attempt:
            del self._by_key[attempt.key]

    def set_timer(self, attempt: Attempt, due: float) -> None:
        """Makes `take_due` return the attempt at a clock reading, in seconds."""
        heappush(self._timers, (due, attempt.run_id))

    def take_due(self, now: float) -> Iterator[Attempt]:
        """Takes the attempts with a timer that is due, once for each timer."""
        while self._timers and self._timers[0][0] <= now:
            attempt = self._attempts.get(heappop(self._timers)[1])
            if attempt is not None:
                yield attempt

    def next_due(self) -> float | None:
        """Returns the clock reading of the next timer, or None."""
        while self._timers and self._timers[0][1] not in self._attempts:
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None
