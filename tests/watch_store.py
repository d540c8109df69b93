"""An in-memory store with watches whose calls can fail or lose their reply."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok

from sequoiapulley.ids import LeaseId, Revision
from sequoiapulley.platform.store import (
    ABSENT,
    LeaseReply,
    StoreError,
    StoreErrorKind,
    StoreReply,
    StoreValue,
)


class WatchStore:
    """An in-memory `Store` that answers every call at once, except watches without a change."""

    def __init__(self) -> None:
        self.values: dict[str, StoreValue] = {}
        self.revision = 0
        self.calls = 0
        self.down = False
        self.replies_to_lose: list[bool] = []
        """For each of the next calls, whether its reply is lost after the call took effect."""
        self.before_put: Callable[[], None] | None = None
        """Runs once, before the next write."""
        self.during_put: Callable[[], None] | None = None
        """Runs in every write, after the revision check and before the write takes effect."""
        self.watches: list[tuple[str, Revision, Callable[[StoreReply], None]]] = []

    def read(self, key: str) -> StoreValue:
        """Returns the value of a key."""
        return self.values.get(key, StoreValue(key, b"", ABSENT))

    def get(self, key: str, done: Callable[[StoreReply], None]) -> None:
        """Reads a key."""
        self._answer(done, lambda: Ok(self.read(key)))

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        done: Callable[[StoreReply], None],
        lease: LeaseId | None = None,
    ) -> None:
        """Writes a key by compare-and-swap."""
        if self.before_put is not None:
            race, self.before_put = self.before_put, None
            race()
        self._answer(done, lambda: self._swap(key, value, expected))

    def delete(self, key: str, expected: Revision, done: Callable[[StoreReply], None]) -> None:
        """Is not implemented, because the configuration does not use it."""
        raise NotImplementedError

    def grant_lease(self, ttl: float, done: Callable[[LeaseReply], None]) -> None:
        """Is not implemented, because the configuration does not use it."""
        raise NotImplementedError

    def watch(
        self, key: str, after: Revision, wait: float, done: Callable[[StoreReply], None]
    ) -> None:
        """Stores the watch, or answers at once on a newer revision, an outage or `wait` 0."""
        if self.down or wait == 0 or self.read(key).revision > after:
            self._answer(done, lambda: Ok(self.read(key)))
            return
        self.calls += 1
        self.watches.append((key, after, done))

    def answer_watch(self, done: Callable[[StoreReply], None]) -> None:
        """Answers one watch if it is still pending."""
        for watch in self.watches:
            if watch[2] is done:
                self.watches.remove(watch)
                done(_unavailable() if self.down else Ok(self.read(watch[0])))
                return

    def answer_watches(self) -> None:
        """Answers all pending watches, as after a change, the end of their wait or an outage."""
        waiting, self.watches = self.watches, []
        for key, _after, done in waiting:
            done(_unavailable() if self.down else Ok(self.read(key)))

    def _swap(self, key: str, value: bytes, expected: Revision) -> StoreReply:
        current = self.read(key)
        if current.revision != expected:
            return Err(StoreError(StoreErrorKind.CONFLICT, "other revision", current))
        if self.during_put is not None:
            self.during_put()
        self.revision += 1
        self.values[key] = StoreValue(key, value, Revision(self.revision))
        return Ok(self.values[key])

    def _answer(self, done: Callable[[StoreReply], None], call: Callable[[], StoreReply]) -> None:
        self.calls += 1
        if self.down:
            done(_unavailable())
            return
        reply = call()
        if self.replies_to_lose and self.replies_to_lose.pop(0):
            done(Err(StoreError(StoreErrorKind.NO_REPLY, "reply lost")))
            return
        done(reply)


def _unavailable() -> StoreReply:
    return Err(StoreError(StoreErrorKind.UNAVAILABLE, "store is down"))
