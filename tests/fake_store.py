"""An in-memory store whose calls wait until a test executes them, with or without a fault."""

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
    """Fault of one call."""

    NONE = "none"
    LOST_AFTER_EFFECT = "lost_after_effect"
    LOST_BEFORE_EFFECT = "lost_before_effect"
    LOST_THEN_EFFECT = "lost_then_effect"
    """The reply is lost, and the write takes effect only later."""
    UNAVAILABLE = "unavailable"


class StoreCall:
    """One pending call."""

    def __init__(self, name: str, effect: _Effect, done: Callable[[StoreReply], None]) -> None:
        self.name = name
        self.effect = effect
        self.done = done


class FakeStore:
    """An in-memory `Store` that executes its calls one at a time."""

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
        """Is not implemented, because the `requests` package does not use it."""
        raise NotImplementedError

    def watch(
        self, key: str, after: Revision, wait: float, done: Callable[[StoreReply], None]
    ) -> None:
        """Is not implemented, because the `requests` package does not use it."""
        raise NotImplementedError

    def grant_lease(self, ttl: float, done: Callable[[LeaseReply], None]) -> None:
        """Grants a lease at once."""
        done(Ok(LeaseId("lease-1")))

    def step(self, index: int = 0, fault: Fault = Fault.NONE) -> None:
        """Executes one pending call."""
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
        """Executes all pending calls, including those made meanwhile."""
        while self.calls:
            self.step(fault=fault)

    def apply_delayed(self) -> None:
        """Executes the writes that `LOST_THEN_EFFECT` delayed."""
        for effect in self.delayed:
            effect()
        self.delayed.clear()

    def _read(self, key: str) -> StoreValue:
        return self.values.get(key, StoreValue(key, b"", ABSENT))
