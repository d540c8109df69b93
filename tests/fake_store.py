"""A store in memory whose calls wait until a test lets them through, with or without a fault."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

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

_Effect = Callable[[], StoreReply]


class Fault(Enum):
    """What happens to one call."""

    NONE = "none"
    LOST_AFTER_EFFECT = "lost_after_effect"
    LOST_BEFORE_EFFECT = "lost_before_effect"
    LOST_THEN_EFFECT = "lost_then_effect"
    """The reply is lost first; the write takes effect later."""
    UNAVAILABLE = "unavailable"


class StoreCall:
    """One call that waits."""

    def __init__(self, name: str, effect: _Effect, done: Callable[[StoreReply], None]) -> None:
        self.name = name
        self.effect = effect
        self.done = done


class FakeStore:
    """The platform's store, one call at a time."""

    def __init__(self) -> None:
        self.values: dict[str, StoreValue] = {}
        self.calls: list[StoreCall] = []
        self.delayed: list[_Effect] = []
        self.leases: dict[str, LeaseId | None] = {}
        self.writes = 0
        self._revision = 0

    def get(self, key: str, done: Callable[[StoreReply], None]) -> None:
        """Reads a key."""
        self.calls.append(StoreCall("get", lambda: Ok(self._read(key)), done))

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        done: Callable[[StoreReply], None],
        lease: LeaseId | None = None,
    ) -> None:
        """Writes a key if its revision is `expected`."""

        def effect() -> StoreReply:
            current = self._read(key)
            if current.revision != expected:
                return Err(StoreError(StoreErrorKind.CONFLICT, "revision", current))
            self._revision += 1
            self.writes += 1
            self.values[key] = StoreValue(key, value, Revision(self._revision))
            self.leases[key] = lease
            return Ok(self.values[key])

        self.calls.append(StoreCall("put", effect, done))

    def delete(self, key: str, expected: Revision, done: Callable[[StoreReply], None]) -> None:
        """Not needed by the requests."""
        raise NotImplementedError

    def watch(
        self, key: str, after: Revision, wait: float, done: Callable[[StoreReply], None]
    ) -> None:
        """Not needed by the requests."""
        raise NotImplementedError

    def grant_lease(self, ttl: float, done: Callable[[LeaseReply], None]) -> None:
        """Grants a lease at once."""
        done(Ok(LeaseId("lease-1")))

    def step(self, index: int = 0, fault: Fault = Fault.NONE) -> None:
        """Lets one waiting call through."""
        call = self.calls.pop(index)
        lost = Err(StoreError(StoreErrorKind.NO_REPLY, "timeout"))
        if fault is Fault.UNAVAILABLE:
            call.done(Err(StoreError(StoreErrorKind.UNAVAILABLE, "down")))
            return
        if fault is Fault.LOST_BEFORE_EFFECT:
            call.done(lost)
            return
        if fault is Fault.LOST_THEN_EFFECT:
            self.delayed.append(call.effect)
            call.done(lost)
            return
        reply = call.effect()
        call.done(lost if fault is Fault.LOST_AFTER_EFFECT else reply)

    def settle(self, fault: Fault = Fault.NONE) -> None:
        """Lets every waiting call through, also those that follow."""
        while self.calls:
            self.step(fault=fault)

    def take_delayed(self) -> None:
        """Lets the writes take effect whose replies were lost before."""
        for effect in self.delayed:
            effect()
        self.delayed.clear()

    def _read(self, key: str) -> StoreValue:
        return self.values.get(key, StoreValue(key, b"", ABSENT))
